#include <stdio.h>
#include <string.h>

#include <wagtailferry/schema.h>

#include "cmd.h"

/* For text that is not JSON, the loader names the line instead of a key. */
#define LINE_PREFIX "line "

/* Skips the file name that the loader puts before the message. */
static const char *skip_file_name(const char *message, const char *path)
{
	size_t len = strlen(path);

	if (!strncmp(message, path, len) && !strncmp(message + len, ": ", 2))
		return message + len + 2;
	return message;
}

static json_t *problem_json(const char *message)
{
	const char *colon = strstr(message, ": ");
	const char *text = message;
	json_t *key = json_null();

	if (colon && strncmp(message, LINE_PREFIX, strlen(LINE_PREFIX)) != 0) {
		key = cmd_json_string(message, (size_t)(colon - message));
		text = colon + 2;
	}
	return json_pack("{s:o,s:o}", "path", key, "message",
			 cmd_json_string(text, strlen(text)));
}

static enum cmd_exit report_problem(const struct cmd_env *env, const char *path,
				    GError *error)
{
	if (!g_error_matches(error, ERR_DOMAIN, ERR_BAD_SETTINGS))
		return cmd_report_error(env, error);
	if (env->json)
		cmd_print_json(json_pack(
			"{s:b,s:[o]}", "valid", 0, "problems",
			problem_json(skip_file_name(error->message, path))));
	else
		fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
	return CMD_REFUSED;
}

static enum cmd_exit report_valid(const struct cmd_env *env, const char *path,
				  const char *instance, const char *data_center)
{
	if (env->json)
		cmd_print_json(json_pack("{s:b,s:s,s:s}", "valid", 1,
					 "instance", instance, "data_center",
					 data_center));
	else
		printf("%s is valid: instance %s in data centre %s\n", path,
		       instance, data_center);
	return CMD_OK;
}

enum cmd_exit cmd_settings_check(struct cmd_env *env)
{
	const char *path = env->args[0];
	GError *error = NULL;
	Wf__Settings *settings = sch_settings_read(path, &error);
	enum cmd_exit code;

	if (!settings)
		return report_problem(env, path, error);
	code = report_valid(env, path, settings->instance,
			    settings->data_center);
	sch_settings_free(settings);
	return code;
}

enum cmd_exit cmd_settings_check_edge(struct cmd_env *env)
{
	const char *path = env->args[0];
	GError *error = NULL;
	Wf__EdgeSettings *settings = sch_edge_settings_read(path, &error);
	enum cmd_exit code;

	if (!settings)
		return report_problem(env, path, error);
	code = report_valid(env, path, settings->instance,
			    settings->data_center);
	sch_edge_settings_free(settings);
	return code;
}
