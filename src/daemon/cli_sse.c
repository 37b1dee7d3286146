#include <string.h>

#include "daemon/cli_sse.h"

struct cli_sse {
	cli_sse_callback callback;
	void *user;
	size_t limit;
	GString *line;
	GString *name;
	GString *data;
	bool has_data;
	bool after_cr;
	bool first_line;
	bool stopped;
};

struct cli_sse *cli_sse_new(size_t limit, cli_sse_callback callback, void *user)
{
	struct cli_sse *parser = g_new0(struct cli_sse, 1);

	parser->callback = callback;
	parser->user = user;
	parser->limit = limit;
	parser->line = g_string_new(NULL);
	parser->name = g_string_new(NULL);
	parser->data = g_string_new(NULL);
	parser->first_line = true;
	return parser;
}

void cli_sse_drop(struct cli_sse *parser)
{
	if (!parser)
		return;
	g_string_free(parser->line, TRUE);
	g_string_free(parser->name, TRUE);
	g_string_free(parser->data, TRUE);
	g_free(parser);
}

static bool dispatch(struct cli_sse *parser)
{
	const char *name = parser->name->len ? parser->name->str : "message";
	bool proceed = true;

	if (parser->has_data)
		proceed =
			parser->callback(parser->user, name, parser->data->str,
					 parser->data->len);
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->data, 0);
	parser->has_data = false;
	return proceed;
}

static void process_field(struct cli_sse *parser, const char *field, size_t len,
			  const char *value)
{
	if (len == strlen("event") && !memcmp(field, "event", len)) {
		g_string_assign(parser->name, value);
	} else if (len == strlen("data") && !memcmp(field, "data", len)) {
		if (parser->has_data)
			g_string_append_c(parser->data, '\n');
		g_string_append(parser->data, value);
		parser->has_data = true;
	}
}

/* Processes a complete line. Ignores comments and unknown fields. */
static bool process_line(struct cli_sse *parser)
{
	static const char byte_order_mark[] = "\xef\xbb\xbf";
	const char *line = parser->line->str;
	const char *colon;

	if (parser->first_line && g_str_has_prefix(line, byte_order_mark))
		line += strlen(byte_order_mark);
	parser->first_line = false;
	if (!*line)
		return dispatch(parser);
	colon = strchr(line, ':');
	if (!colon) {
		process_field(parser, line, strlen(line), "");
		return true;
	}
	process_field(parser, line, (size_t)(colon - line),
		      colon[1] == ' ' ? colon + 2 : colon + 1);
	return true;
}

static bool end_line(struct cli_sse *parser)
{
	bool proceed = process_line(parser);

	g_string_truncate(parser->line, 0);
	return proceed;
}

static bool is_full(const struct cli_sse *parser)
{
	return parser->line->len + parser->name->len + parser->data->len >=
	       parser->limit;
}

static bool process_byte(struct cli_sse *parser, char c, GError **error)
{
	bool is_lf_of_cr_lf = parser->after_cr && c == '\n';

	parser->after_cr = c == '\r';
	if (is_lf_of_cr_lf)
		return true;
	if (c == '\r' || c == '\n')
		return end_line(parser);
	if (!c) {
		g_set_error(error, ERR_DOMAIN, ERR_PROTOCOL,
			    "null byte in event stream");
		return false;
	}
	if (is_full(parser)) {
		g_set_error(error, ERR_DOMAIN, ERR_TOO_LARGE,
			    "event exceeds %zu bytes", parser->limit);
		return false;
	}
	g_string_append_c(parser->line, c);
	return true;
}

bool cli_sse_feed(struct cli_sse *parser, const char *data, size_t len,
		  GError **error)
{
	size_t i;

	for (i = 0; i < len && !parser->stopped; i++)
		parser->stopped = !process_byte(parser, data[i], error);
	return !parser->stopped;
}
