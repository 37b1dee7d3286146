#include <string.h>

#include <wagtailferry/base.h>

struct ctr_value {
	int64_t value;
	bool gauge;
};

struct ctr_set {
	int refs;
	GHashTable *values; /* name to struct ctr_value */
};

struct ctr_set *ctr_new(void)
{
	struct ctr_set *set = g_new0(struct ctr_set, 1);

	set->refs = 1;
	set->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return set;
}

struct ctr_set *ctr_keep(struct ctr_set *set)
{
	if (set)
		set->refs++;
	return set;
}

void ctr_drop(struct ctr_set *set)
{
	if (!set || --set->refs)
		return;
	g_hash_table_unref(set->values);
	g_free(set);
}

static struct ctr_value *find_value(struct ctr_set *set, const char *name)
{
	struct ctr_value *value = g_hash_table_lookup(set->values, name);

	if (!value) {
		value = g_new0(struct ctr_value, 1);
		g_hash_table_insert(set->values, g_strdup(name), value);
	}
	return value;
}

void ctr_add(struct ctr_set *set, const char *name, uint64_t n)
{
	if (set)
		find_value(set, name)->value += (int64_t)n;
}

void ctr_set_gauge(struct ctr_set *set, const char *name, int64_t value)
{
	struct ctr_value *entry;

	if (!set)
		return;
	entry = find_value(set, name);
	entry->value = value;
	entry->gauge = true;
}

int64_t ctr_get(const struct ctr_set *set, const char *name)
{
	const struct ctr_value *value;

	if (!set)
		return 0;
	value = g_hash_table_lookup(set->values, name);
	return value ? value->value : 0;
}

static size_t base_length(const char *name)
{
	return strcspn(name, "{");
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

void ctr_write_text(const struct ctr_set *set, GString *out)
{
	GList *names = g_hash_table_get_keys(set->values);
	const char *previous = "";
	GList *item;

	names = g_list_sort(names, compare_names);
	for (item = names; item; item = item->next) {
		const char *name = item->data;
		const struct ctr_value *value;
		size_t len = base_length(name);

		value = g_hash_table_lookup(set->values, name);
		if (base_length(previous) != len ||
		    strncmp(previous, name, len))
			g_string_append_printf(
				out, "# TYPE %.*s %s\n", (int)len, name,
				value->gauge ? "gauge" : "counter");
		g_string_append_printf(out, "%s %" G_GINT64_FORMAT "\n", name,
				       value->value);
		previous = name;
	}
	g_list_free(names);
}
