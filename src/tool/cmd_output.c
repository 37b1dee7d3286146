#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "cmd.h"

#define CMD_VERSION "0.1.0"

void cmd_print_json(json_t *value)
{
	json_dumpf(value, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
	fputc('\n', stdout);
	fflush(stdout);
	json_decref(value);
}

json_t *cmd_json_string(const char *text, size_t len)
{
	char *valid = g_utf8_make_valid(text, (gssize)len);
	json_t *value = json_string(valid);

	g_free(valid);
	return value;
}

void cmd_print_error(const struct cmd_env *env, enum err_code code,
		     const char *format, ...)
{
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	if (env->json)
		cmd_print_json(json_pack(
			"{s:{s:s,s:o}}", "error", "type", err_name(code),
			"message", cmd_json_string(message, strlen(message))));
	else
		fprintf(stderr, "wagtailferry: %s\n", message);
	g_free(message);
}

char *cmd_format_time(clk_ms time)
{
	GDateTime *date = g_date_time_new_from_unix_utc(time / CLK_SECOND);
	char *text;

	if (!date)
		return g_strdup_printf("%" G_GINT64_FORMAT "ms", time);
	text = g_date_time_format(date, "%Y-%m-%dT%H:%M:%SZ");
	g_date_time_unref(date);
	return text;
}

clk_ms cmd_now(void)
{
	return g_get_real_time() / 1000;
}

enum cmd_exit cmd_report_error(const struct cmd_env *env, GError *error)
{
	enum err_code code = ERR_INTERNAL;

	if (error->domain == ERR_DOMAIN)
		code = (enum err_code)error->code;
	cmd_print_error(env, code, "%s", error->message);
	g_error_free(error);
	if (code == ERR_STORE_UNAVAILABLE)
		return CMD_UNREACHABLE;
	return CMD_REFUSED;
}

enum cmd_exit cmd_version(struct cmd_env *env)
{
	if (env->json)
		cmd_print_json(json_pack("{s:s}", "version", CMD_VERSION));
	else
		printf("wagtailferry %s\n", CMD_VERSION);
	return CMD_OK;
}
