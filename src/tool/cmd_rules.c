#include <stdio.h>
#include <string.h>

#include "cmd.h"

static json_t *problems_json(const GPtrArray *problems)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < problems->len; i++) {
		const struct rul_problem *problem = problems->pdata[i];
		json_t *entry = json_pack(
			"{s:i,s:i,s:s,s:s}", "line", (int)problem->line,
			"column", (int)problem->column, "text", problem->text,
			"message", problem->message);

		if (problem->suggestion)
			json_object_set_new(entry, "suggestion",
					    json_string(problem->suggestion));
		json_array_append_new(list, entry);
	}
	return list;
}

static void print_problems(const struct cmd_env *env, const char *path,
			   const GPtrArray *problems)
{
	GString *text = g_string_new(NULL);
	guint i;

	if (env->json) {
		cmd_print_json(json_pack("{s:b,s:o}", "valid", 0, "problems",
					 problems_json(problems)));
		g_string_free(text, TRUE);
		return;
	}
	for (i = 0; i < problems->len; i++) {
		g_string_append_printf(text, "%s:", path);
		rul_problem_write(problems->pdata[i], text);
		g_string_append_c(text, '\n');
	}
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
}

/*
 * Parses a text and prints its problems. first_line is 1 if a base line was
 * removed, so that line numbers are those of the file.
 */
static struct rul_set *parse_rules(const struct cmd_env *env, const char *path,
				   GBytes *text, unsigned first_line)
{
	GPtrArray *problems = rul_problems_new();
	GError *error = NULL;
	gsize len;
	const char *data = g_bytes_get_data(text, &len);
	struct rul_set *set = rul_set_parse(data, len, problems, &error);
	guint i;

	for (i = 0; i < problems->len; i++)
		((struct rul_problem *)problems->pdata[i])->line += first_line;
	if (problems->len)
		print_problems(env, path, problems);
	else if (!set)
		cmd_print_error(env, (enum err_code)error->code, "%s: %s", path,
				error->message);
	g_clear_error(&error);
	g_ptr_array_unref(problems);
	return set;
}

bool cmd_check_rules(const struct cmd_env *env, const char *path, GBytes *text,
		     unsigned first_line)
{
	struct rul_set *set = parse_rules(env, path, text, first_line);

	rul_set_drop(set);
	return set;
}

enum cmd_exit cmd_rules_check(struct cmd_env *env)
{
	const char *path = env->args[0];
	GError *error = NULL;
	GBytes *file = cmd_read_file(path, &error);
	struct rul_set *set;
	uint64_t base;
	GBytes *text;

	if (!file)
		return cmd_report_error(env, error);
	text = cmd_strip_base_line(file, &base);
	set = parse_rules(env, path, text, base != RUL_BASE_LATEST);
	g_bytes_unref(text);
	g_bytes_unref(file);
	if (!set)
		return CMD_REFUSED;
	if (env->json)
		cmd_print_json(json_pack("{s:b,s:I}", "valid", 1, "rules",
					 (json_int_t)rul_set_n_rules(set)));
	else
		printf("%s is valid: %zu rules\n", path, rul_set_n_rules(set));
	rul_set_drop(set);
	return CMD_OK;
}

/* Returns the canonical form of a text, or the text itself if invalid. */
static GBytes *canonical_text(GBytes *text)
{
	gsize len;
	const char *data = g_bytes_get_data(text, &len);
	struct rul_set *set = rul_set_parse(data, len, NULL, NULL);
	GString *out;

	if (!set)
		return g_bytes_ref(text);
	out = g_string_new(NULL);
	rul_set_write(set, out);
	rul_set_drop(set);
	return g_string_free_to_bytes(out);
}

static void print_rules(const struct cmd_env *env,
			const struct rul_manifest *manifest, GBytes *text)
{
	gsize len;
	const char *data = g_bytes_get_data(text, &len);

	if (env->json) {
		cmd_print_json(json_pack(
			"{s:I,s:s,s:s,s:I,s:s,s:o}", "revision",
			(json_int_t)manifest->revision, "author",
			manifest->author, "requested_by",
			manifest->requested_by, "time_ms",
			(json_int_t)manifest->time, "note", manifest->note,
			"text", cmd_json_string(data, len)));
		return;
	}
	if (!env->plain)
		printf(CMD_BASE_LINE_PREFIX "%" G_GUINT64_FORMAT "\n",
		       manifest->revision);
	fwrite(data, 1, len, stdout);
}

enum cmd_exit cmd_rules_show(struct cmd_env *env)
{
	struct cmd_store *store = cmd_store_new(env);
	struct rul_manifest *manifest;
	GError *error = NULL;
	GBytes *text = NULL;

	if (!store)
		return CMD_USAGE;
	manifest = cmd_store_get_manifest(store, &error);
	if (manifest)
		text = cmd_store_get_text(store, manifest, NULL, &error);
	if (text && env->canonical) {
		GBytes *other = canonical_text(text);

		g_bytes_unref(text);
		text = other;
	}
	if (text) {
		print_rules(env, manifest, text);
		g_bytes_unref(text);
	}
	rul_manifest_free(manifest);
	cmd_store_drop(store);
	return error ? cmd_report_error(env, error) : CMD_OK;
}

/* Reads a file without its base line. */
static GBytes *read_text(const char *path, GError **error)
{
	GBytes *file = cmd_read_file(path, error);
	uint64_t base;
	GBytes *text;

	if (!file)
		return NULL;
	text = cmd_strip_base_line(file, &base);
	g_bytes_unref(file);
	return text;
}

/* Reads the latest text in the store. */
static GBytes *read_latest(struct cmd_store *store, GBytes *known,
			   GError **error)
{
	struct rul_manifest *manifest = cmd_store_get_manifest(store, error);
	GBytes *text;

	if (!manifest)
		return NULL;
	text = cmd_store_get_text(store, manifest, known, error);
	rul_manifest_free(manifest);
	return text;
}

json_t *cmd_changes_json(const GArray *changes)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < changes->len; i++) {
		const struct rul_change *change;

		change = &g_array_index(changes, struct rul_change, i);
		json_array_append_new(
			list,
			json_pack("{s:s,s:i,s:o}", "change",
				  change->added ? "added" : "removed", "line",
				  (int)change->line, "text",
				  cmd_json_string(change->text, change->len)));
	}
	return list;
}

static void print_diff(const struct cmd_env *env, GBytes *from, GBytes *to)
{
	gsize from_len;
	gsize to_len;
	const char *from_text = g_bytes_get_data(from, &from_len);
	const char *to_text = g_bytes_get_data(to, &to_len);
	GArray *changes = rul_diff(from_text, from_len, to_text, to_len);
	GString *out = g_string_new(NULL);

	if (env->json)
		cmd_print_json(json_pack("{s:o}", "changes",
					 cmd_changes_json(changes)));
	else
		rul_diff_write(changes, (size_t)env->limit, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	g_array_unref(changes);
}

enum cmd_exit cmd_rules_diff(struct cmd_env *env)
{
	struct cmd_store *store = NULL;
	GError *error = NULL;
	GBytes *to = read_text(env->args[env->n_args - 1], &error);
	GBytes *from = NULL;

	if (to && env->n_args == 2)
		from = read_text(env->args[0], &error);
	else if (to) {
		store = cmd_store_new(env);
		if (store)
			from = read_latest(store, to, &error);
	}
	if (from)
		print_diff(env, from, to);
	if (from)
		g_bytes_unref(from);
	if (to)
		g_bytes_unref(to);
	cmd_store_drop(store);
	if (error)
		return cmd_report_error(env, error);
	return from ? CMD_OK : CMD_USAGE;
}
