#include <stdio.h>
#include <string.h>

#include <wagtailferry/catalog_check.h>

#include "cmd.h"
#include "platform/ptf.h"

/* Decodes a configuration as the instances do and adds its problems; NULL if
 * they would refuse it. */
static struct cat_catalog *decode(GBytes *file, GPtrArray *problems)
{
	gsize len;
	const char *text = g_bytes_get_data(file, &len);
	json_t *spec = ptf_read_spec(text, len, problems);
	GPtrArray *skipped = g_ptr_array_new_with_free_func(g_free);
	struct cat_catalog *catalog = NULL;

	if (spec) {
		/* Reports all that the decoder skips or refuses. */
		ptf_check_spec(spec, problems);
		catalog = ptf_decode_catalog(spec, skipped, NULL);
	}
	if (catalog)
		chk_catalog(catalog, problems);
	g_ptr_array_unref(skipped);
	json_decref(spec);
	return catalog;
}

static json_t *text_json(const char *text)
{
	return text ? cmd_json_string(text, strlen(text)) : json_null();
}

static json_t *problems_json(const GPtrArray *problems)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < problems->len; i++) {
		const struct chk_problem *problem = problems->pdata[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:o,s:o,s:o}", "kind",
				  chk_kind_name(problem->kind), "path",
				  text_json(problem->where), "line",
				  problem->line ? json_integer(problem->line)
						: json_null(),
				  "message", text_json(problem->message)));
	}
	return list;
}

static json_t *changes_json(const GPtrArray *changes)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < changes->len; i++) {
		const struct chk_change *change = changes->pdata[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:o,s:o,s:o}", "change",
				  chk_change_name(change->kind), "what",
				  change->what, "name", text_json(change->name),
				  "detail", text_json(change->detail),
				  "taken_from", text_json(change->taken_from)));
	}
	return list;
}

/* Prints a line. Names of the file may have control characters, which must not
 * reach a terminal. */
static void print_line(FILE *out, GString *line)
{
	gsize i;

	for (i = 0; i < line->len; i++) {
		if (g_ascii_iscntrl(line->str[i]))
			line->str[i] = '?';
	}
	fprintf(out, "%s\n", line->str);
	g_string_free(line, TRUE);
}

static void print_problem(const char *path, const struct chk_problem *problem)
{
	GString *line = g_string_new(path);

	if (problem->line)
		g_string_append_printf(line, ":%u", problem->line);
	g_string_append_printf(line, ": %s: ", chk_kind_name(problem->kind));
	if (problem->where)
		g_string_append_printf(line, "%s: ", problem->where);
	g_string_append(line, problem->message);
	print_line(stderr, line);
}

static void print_change(const struct chk_change *change)
{
	GString *line = g_string_new(chk_change_name(change->kind));

	g_string_append_printf(line, " %s %s", change->what, change->name);
	if (*change->detail)
		g_string_append_printf(line, ": %s", change->detail);
	if (change->taken_from)
		g_string_append_printf(line, " (taken from %s)",
				       change->taken_from);
	print_line(stdout, line);
}

static void print_report(const char *path, const struct cat_catalog *catalog,
			 const GPtrArray *problems, const GPtrArray *changes)
{
	guint i;

	for (i = 0; i < problems->len; i++)
		print_problem(path, problems->pdata[i]);
	if (!problems->len)
		printf("%s is valid: version %" G_GINT64_FORMAT
		       ", %zu routes\n",
		       path, (gint64)cat_version(catalog),
		       cat_route_count(catalog));
	for (i = 0; changes && i < changes->len; i++)
		print_change(changes->pdata[i]);
	if (changes && !changes->len)
		printf("no differences from the version in force\n");
}

static void print_report_json(const struct cat_catalog *catalog,
			      const GPtrArray *problems,
			      const GPtrArray *changes)
{
	json_t *report = json_pack(
		"{s:b,s:o,s:o}", "valid", problems->len == 0, "version",
		catalog ? json_integer(cat_version(catalog)) : json_null(),
		"problems", problems_json(problems));

	if (changes)
		json_object_set_new(report, "changes", changes_json(changes));
	cmd_print_json(report);
}

/* Reads the version in force, whose own problems don't matter; NULL and sets
 * error if it can't be compared with. */
static struct cat_catalog *read_in_force(const char *path, GError **error)
{
	GBytes *file = cmd_read_file(path, error);
	GPtrArray *problems;
	struct cat_catalog *catalog;

	if (!file)
		return NULL;
	problems = chk_problems_new();
	catalog = decode(file, problems);
	if (!catalog)
		g_set_error(error, ERR_DOMAIN, ERR_BAD_RULES,
			    "%s: no configuration that instances can read",
			    path);
	g_ptr_array_unref(problems);
	g_bytes_unref(file);
	return catalog;
}

/* in_force may be NULL. */
static enum cmd_exit check(const struct cmd_env *env, GBytes *file,
			   const struct cat_catalog *in_force)
{
	GPtrArray *problems = chk_problems_new();
	struct cat_catalog *catalog = decode(file, problems);
	GPtrArray *changes = NULL;
	enum cmd_exit result;

	if (catalog && in_force) {
		changes = chk_changes(in_force, catalog);
		chk_version(in_force, catalog, changes, problems);
	}
	if (env->json)
		print_report_json(catalog, problems, changes);
	else
		print_report(env->args[0], catalog, problems, changes);
	result = problems->len ? CMD_REFUSED : CMD_OK;
	if (changes)
		g_ptr_array_unref(changes);
	cat_drop(catalog);
	g_ptr_array_unref(problems);
	return result;
}

enum cmd_exit cmd_config_check(struct cmd_env *env)
{
	GError *error = NULL;
	GBytes *file = cmd_read_file(env->args[0], &error);
	struct cat_catalog *in_force = NULL;
	enum cmd_exit result = CMD_USAGE;

	if (file && env->in_force)
		in_force = read_in_force(env->in_force, &error);
	if (error)
		cmd_report_error(env, error);
	else
		result = check(env, file, in_force);
	cat_drop(in_force);
	if (file)
		g_bytes_unref(file);
	return result;
}
