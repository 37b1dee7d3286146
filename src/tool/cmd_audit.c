#include <stdio.h>
#include <string.h>

#include "cmd.h"

static void free_segment(gpointer data)
{
	rul_audit_free(data);
}

static json_t *text_json(const char *text)
{
	return cmd_json_string(text ? text : "", text ? strlen(text) : 0);
}

static json_t *entry_json(const struct rul_audit_entry *entry)
{
	json_t *root = json_pack(
		"{s:I,s:o,s:o,s:o}", "time_ms", (json_int_t)entry->time,
		"requested_by", text_json(entry->requested_by), "published_by",
		text_json(entry->published_by), "note", text_json(entry->note));

	if (entry->to_revision) {
		json_object_set_new(
			root, "from_revision",
			json_integer((json_int_t)entry->from_revision));
		json_object_set_new(
			root, "to_revision",
			json_integer((json_int_t)entry->to_revision));
		return root;
	}
	json_object_set_new(root, "order", text_json(entry->order));
	json_object_set_new(root, "target", text_json(entry->target));
	json_object_set_new(root, "argument", text_json(entry->argument));
	json_object_set_new(root, "fence",
			    json_integer((json_int_t)entry->fence));
	json_object_set_new(root, "outcome", text_json(entry->outcome));
	return root;
}

static void print_entry(const struct rul_audit_entry *entry)
{
	char *time = cmd_format_time(entry->time);

	if (entry->to_revision)
		printf("%s  revision %" G_GUINT64_FORMAT
		       " (from %" G_GUINT64_FORMAT ")  by %s, requested by %s",
		       time, entry->to_revision, entry->from_revision,
		       entry->published_by, entry->requested_by);
	else
		printf("%s  order %s %s to %s (fence %" G_GUINT64_FORMAT
		       ")  by %s, requested by %s: %s",
		       time, entry->order, entry->argument, entry->target,
		       entry->fence, entry->published_by, entry->requested_by,
		       entry->outcome);
	if (entry->note && *entry->note)
		printf("  %s", entry->note);
	putchar('\n');
	g_free(time);
}

static enum cmd_exit print_trail(struct cmd_env *env, bool rules_only)
{
	GPtrArray *segments = g_ptr_array_new_with_free_func(free_segment);
	struct cmd_store *store = cmd_store_new(env);
	GError *error = NULL;
	GPtrArray *entries = NULL;
	json_t *list = json_array();
	guint i;

	if (store)
		entries = cmd_store_get_audit(store, (size_t)env->limit,
					      rules_only, segments, &error);
	for (i = 0; entries && i < entries->len; i++) {
		if (env->json)
			json_array_append_new(list,
					      entry_json(entries->pdata[i]));
		else
			print_entry(entries->pdata[i]);
	}
	if (entries && env->json)
		cmd_print_json(json_pack("{s:O}", "entries", list));
	json_decref(list);
	if (entries)
		g_ptr_array_unref(entries);
	g_ptr_array_unref(segments);
	cmd_store_drop(store);
	if (error)
		return cmd_report_error(env, error);
	return entries ? CMD_OK : CMD_USAGE;
}

enum cmd_exit cmd_rules_history(struct cmd_env *env)
{
	return print_trail(env, true);
}

enum cmd_exit cmd_audit(struct cmd_env *env)
{
	return print_trail(env, false);
}
