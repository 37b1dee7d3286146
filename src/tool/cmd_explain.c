#include <stdio.h>
#include <string.h>

#include <wagtailferry/base.h>

#include "cmd.h"

/*
 * How long before the begin of a request the lines about its targets, and about
 * the store, the configuration and the instance, are shown. Lines after its end
 * are not.
 */
#define TARGET_LOOKBACK_MS (5 * CLK_SECOND)
#define STORE_LOOKBACK_MS (10 * CLK_SECOND)

/* One parsed log line. */
struct entry {
	clk_ms time;
	/* Borrowed from the command line. */
	const char *file;
	/* Borrowed from line. */
	const char *subject;
	const char *from;
	const char *to;
	const char *detail;
	json_t *line;
	bool is_selected;
};

struct search {
	const char *id;
	/* struct entry, of all files. */
	GArray *entries;
	/* Files with lines about the request, and its targets. */
	GHashTable *files;
	GHashTable *targets;
	/* Addresses on the paths of the request. */
	GHashTable *addresses;
	clk_ms begin;
	clk_ms end;
	unsigned n_skipped;
};

static void entry_clear(gpointer data)
{
	json_decref(((struct entry *)data)->line);
}

static const char *string_field(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text ? text : "";
}

/* Parses a line; counts those that an instance did not log. */
static void parse_line(struct search *search, const char *file,
		       const char *text)
{
	struct entry entry = {.file = file};

	if (!*text)
		return;
	entry.line = json_loads(text, 0, NULL);
	if (!json_is_integer(json_object_get(entry.line, "time_ms"))) {
		json_decref(entry.line);
		search->n_skipped++;
		return;
	}
	entry.time = json_integer_value(json_object_get(entry.line, "time_ms"));
	entry.subject = string_field(entry.line, "subject");
	entry.from = string_field(entry.line, "from");
	entry.to = string_field(entry.line, "to");
	entry.detail = string_field(entry.line, "detail");
	g_array_append_val(search->entries, entry);
}

static bool read_file(struct search *search, const char *file, GError **error)
{
	GError *problem = NULL;
	char **lines;
	char *text;
	size_t i;

	if (!g_file_get_contents(file, &text, NULL, &problem)) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "%s", problem->message);
		g_error_free(problem);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i]; i++)
		parse_line(search, file, lines[i]);
	g_strfreev(lines);
	g_free(text);
	return true;
}

static struct entry *entry_at(const struct search *search, guint i)
{
	return &g_array_index(search->entries, struct entry, i);
}

static bool is_about_request(const struct search *search,
			     const struct entry *entry)
{
	if (g_str_has_prefix(entry->subject, "request "))
		return !strcmp(entry->subject + strlen("request "), search->id);
	return !strcmp(entry->subject, "send") &&
	       !strcmp(entry->from, search->id);
}

/* How long the request took, if the line says so; 0 otherwise. */
static clk_ms request_duration(const struct entry *entry)
{
	const char *took = strstr(entry->detail, "took_ms=");

	return took ? (clk_ms)g_ascii_strtoll(took + strlen("took_ms="), NULL,
					      10)
		    : 0;
}

/* The path is "ADDRESS=FIRST-END" of each stage, or one address. */
static void note_addresses(struct search *search, const char *path)
{
	char **stages = g_strsplit(path, ",", -1);
	size_t i;

	for (i = 0; stages[i]; i++)
		g_hash_table_add(search->addresses,
				 g_strndup(stages[i], strcspn(stages[i], "=")));
	g_strfreev(stages);
}

static void note_targets(struct search *search, const char *detail)
{
	char **words = g_strsplit(detail, " ", -1);
	size_t i;

	for (i = 0; words[i]; i++) {
		const char *value = strchr(words[i], '=');

		if (value && (g_str_has_prefix(words[i], "target=") ||
			      g_str_has_prefix(words[i], "head=")))
			g_hash_table_add(search->targets, g_strdup(value + 1));
		if (value && (g_str_has_prefix(words[i], "path=") ||
			      g_str_has_prefix(words[i], "at=")))
			note_addresses(search, value + 1);
	}
	g_strfreev(words);
}

/* Adds the targets that were listed at an address on one of the paths. */
static void find_targets_by_address(struct search *search)
{
	guint i;

	for (i = 0; i < search->entries->len; i++) {
		const struct entry *entry = entry_at(search, i);
		const char *address = strstr(entry->detail, "address=");
		char *text;

		if (!address || entry->time > search->end ||
		    !g_str_has_prefix(entry->subject, "target "))
			continue;
		address += strlen("address=");
		text = g_strndup(address, strcspn(address, " "));
		if (g_hash_table_contains(search->addresses, text))
			g_hash_table_add(
				search->targets,
				g_strdup(entry->subject + strlen("target ")));
		g_free(text);
	}
}

static void select_request_lines(struct search *search)
{
	guint i;

	search->begin = CLK_NEVER;
	for (i = 0; i < search->entries->len; i++) {
		struct entry *entry = entry_at(search, i);

		if (!is_about_request(search, entry))
			continue;
		entry->is_selected = true;
		g_hash_table_add(search->files, (gpointer)entry->file);
		note_targets(search, entry->detail);
		search->begin = clk_min(search->begin,
					entry->time - request_duration(entry));
		search->end = MAX(search->end, entry->time);
	}
}

static bool is_about_target(const struct search *search,
			    const struct entry *entry)
{
	const char *space = strchr(entry->subject, ' ');

	return (g_str_has_prefix(entry->subject, "target ") ||
		g_str_has_prefix(entry->subject, "order ")) &&
	       space && g_hash_table_contains(search->targets, space + 1);
}

static bool is_about_instance(const struct entry *entry)
{
	return !strcmp(entry->subject, "store") ||
	       !strcmp(entry->subject, "config") ||
	       !strcmp(entry->subject, "instance");
}

/* Selects what the instances that handled the request logged around it. */
static void select_related_lines(struct search *search)
{
	guint i;

	for (i = 0; i < search->entries->len; i++) {
		struct entry *entry = entry_at(search, i);

		if (entry->time > search->end ||
		    !g_hash_table_contains(search->files, entry->file))
			continue;
		if (is_about_target(search, entry) &&
		    entry->time >= search->begin - TARGET_LOOKBACK_MS)
			entry->is_selected = true;
		if (is_about_instance(entry) &&
		    entry->time >= search->begin - STORE_LOOKBACK_MS)
			entry->is_selected = true;
	}
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct entry *left = a;
	const struct entry *right = b;

	return left->time < right->time ? -1 : left->time > right->time;
}

static void print_text(const struct search *search)
{
	guint i;

	for (i = 0; i < search->entries->len; i++) {
		const struct entry *entry = entry_at(search, i);

		if (entry->is_selected)
			printf("%+8" G_GINT64_FORMAT " ms  %s  %s: %s -> %s"
			       "  %s\n",
			       entry->time - search->begin, entry->file,
			       entry->subject, entry->from, entry->to,
			       entry->detail);
	}
}

static void print_json(const struct search *search)
{
	json_t *lines = json_array();
	guint i;

	for (i = 0; i < search->entries->len; i++) {
		const struct entry *entry = entry_at(search, i);

		if (!entry->is_selected)
			continue;
		json_object_set_new(entry->line, "file",
				    json_string(entry->file));
		json_array_append(lines, entry->line);
	}
	cmd_print_json(
		json_pack("{s:s,s:o}", "request", search->id, "lines", lines));
}

static enum cmd_exit explain(struct cmd_env *env, struct search *search)
{
	GError *error = NULL;
	size_t i;

	for (i = 1; i < env->n_args; i++) {
		if (!read_file(search, env->args[i], &error))
			return cmd_report_error(env, error);
	}
	select_request_lines(search);
	if (!g_hash_table_size(search->files)) {
		g_set_error(&error, ERR_DOMAIN, ERR_NOT_FOUND,
			    "no log line about request %s in %u log lines (%u "
			    "other lines skipped)",
			    search->id, search->entries->len,
			    search->n_skipped);
		return cmd_report_error(env, error);
	}
	find_targets_by_address(search);
	select_related_lines(search);
	g_array_sort(search->entries, compare_entries);
	if (env->json)
		print_json(search);
	else
		print_text(search);
	return CMD_OK;
}

enum cmd_exit cmd_explain(struct cmd_env *env)
{
	struct search search = {.id = env->args[0]};
	enum cmd_exit code;

	search.entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
	g_array_set_clear_func(search.entries, entry_clear);
	search.files = g_hash_table_new(g_str_hash, g_str_equal);
	search.targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	search.addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	code = explain(env, &search);
	g_array_unref(search.entries);
	g_hash_table_unref(search.files);
	g_hash_table_unref(search.targets);
	g_hash_table_unref(search.addresses);
	return code;
}
