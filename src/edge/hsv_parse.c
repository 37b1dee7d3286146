#include <string.h>

#include "edge/hsv_private.h"

/* Pipelined bytes buffered per connection; reading stops beyond that. */
#define MAX_PIPELINED_BYTES 65536

static int on_message_begin(http_parser *parser)
{
	struct hsv_conn *conn = parser->data;

	hdr_reset(&conn->request.headers);
	hdr_builder_begin(&conn->builder);
	g_string_truncate(conn->request.body, 0);
	g_string_truncate(conn->url, 0);
	conn->header_bytes = 0;
	conn->error_status = 0;
	hsv_set_phase(conn, PHASE_HEADER);
	return 0;
}

static int reject_from_parser(struct hsv_conn *conn, int status)
{
	conn->error_status = status;
	return -1;
}

static int count_header(struct hsv_conn *conn, size_t len)
{
	conn->header_bytes += len;
	if (conn->header_bytes > conn->server->limits.header_bytes)
		return reject_from_parser(conn, 431);
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct hsv_conn *conn = parser->data;

	g_string_append_len(conn->url, at, (gssize)len);
	return count_header(conn, len);
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct hsv_conn *conn = parser->data;

	hdr_builder_append_name(&conn->builder, &conn->request.headers, at,
				len);
	return count_header(conn, len);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct hsv_conn *conn = parser->data;

	hdr_builder_append_value(&conn->builder, at, len);
	return count_header(conn, len);
}

/* Detects a body length that two parsers may interpret differently, which
 * would allow request smuggling. */
static bool has_ambiguous_length(const struct hdr_list *headers)
{
	const char *coding = hdr_get(headers, "Transfer-Encoding");

	if (hdr_count(headers, "Content-Length") > 1 ||
	    hdr_count(headers, "Transfer-Encoding") > 1)
		return true;
	if (coding && (hdr_get(headers, "Content-Length") ||
		       g_ascii_strcasecmp(coding, "chunked") != 0))
		return true;
	return false;
}

static bool has_invalid_field(const struct hdr_list *headers)
{
	guint i;

	for (i = 0; i < headers->fields->len; i++) {
		const struct hdr_field *field =
			&g_array_index(headers->fields, struct hdr_field, i);

		if (!hdr_is_token(field->name) || strpbrk(field->value, "\r\n"))
			return true;
	}
	return false;
}

static int on_headers_complete(http_parser *parser)
{
	struct hsv_conn *conn = parser->data;
	const struct hdr_list *headers = &conn->request.headers;
	const char *expect;

	hdr_builder_end(&conn->builder, &conn->request.headers);
	if (parser->upgrade || parser->method == HTTP_CONNECT ||
	    has_ambiguous_length(headers) || has_invalid_field(headers) ||
	    hdr_count(headers, "Host") != 1 || conn->url->str[0] != '/')
		return reject_from_parser(conn, 400);
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > conn->server->limits.body_bytes)
		return reject_from_parser(conn, 413);
	expect = hdr_get(headers, "Expect");
	conn->expects_continue =
		expect && !g_ascii_strcasecmp(expect, "100-continue");
	hsv_set_phase(conn, PHASE_BODY);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct hsv_conn *conn = parser->data;
	struct hsv_server *server = conn->server;

	if (conn->request.body->len + len > server->limits.body_bytes)
		return reject_from_parser(conn, 413);
	if (server->body_bytes + len > server->limits.all_body_bytes)
		return reject_from_parser(conn, 503);
	server->body_bytes += len;
	conn->counted_body_bytes += len;
	conn->phase_since = (clk_ms)uv_now(server->loop);
	g_string_append_len(conn->request.body, at, (gssize)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct hsv_conn *conn = parser->data;

	conn->keeps_alive = http_should_keep_alive(parser) != 0;
	conn->had_request = true;
	hsv_set_phase(conn, PHASE_RESPONSE);
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void deliver(struct hsv_conn *conn)
{
	struct hsv_request *request = &conn->request;

	g_free(request->method);
	request->method = g_strdup(
		http_method_str((enum http_method)conn->parser.method));
	g_free(request->url);
	request->url = g_strdup(conn->url->str);
	request->user = NULL;
	conn->server->ops->request(conn->server->user, request);
}

void hsv_buffer_pipelined(struct hsv_conn *conn, const char *bytes, size_t len)
{
	g_string_append_len(conn->pipelined, bytes, (gssize)len);
	if (conn->pipelined->len > MAX_PIPELINED_BYTES)
		uv_read_stop((uv_stream_t *)&conn->tcp);
}

static void send_continue(struct hsv_conn *conn)
{
	conn->expects_continue = false;
	hsv_send(conn, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
}

void hsv_parse(struct hsv_conn *conn, const char *bytes, size_t len)
{
	size_t parsed;

	parsed = http_parser_execute(&conn->parser, &parser_settings, bytes,
				     len);
	if (conn->phase == PHASE_RESPONSE) {
		http_parser_pause(&conn->parser, 0);
		hsv_buffer_pipelined(conn, bytes + parsed, len - parsed);
		deliver(conn);
		return;
	}
	if (conn->error_status)
		hsv_refuse(conn, conn->error_status);
	else if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW)
		hsv_refuse(conn, 431);
	else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		hsv_refuse(conn, 400);
	else if (conn->phase == PHASE_BODY && conn->expects_continue)
		send_continue(conn);
}
