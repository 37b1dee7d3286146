#include <string.h>

#include "daemon/net.h"
#include "edge/hsv_private.h"

/* A caller that lets this many bytes queue up for sending is disconnected. */
#define MAX_WRITE_QUEUE_BYTES (1 << 20)

struct write {
	uv_write_t request;
	GString *bytes;
};

void hsv_set_phase(struct hsv_conn *conn, enum hsv_phase phase)
{
	conn->phase = phase;
	conn->phase_since = (clk_ms)uv_now(conn->server->loop);
	if (phase == PHASE_IDLE)
		conn->idle_timeout = hsv_promised_idle_timeout(conn->server);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct hsv_conn *conn = handle->data;

	hdr_builder_clear(&conn->builder);
	hdr_clear(&conn->request.headers);
	g_free(conn->request.method);
	g_free(conn->request.url);
	g_string_free(conn->request.body, TRUE);
	g_string_free(conn->url, TRUE);
	g_string_free(conn->pipelined, TRUE);
	hsv_server_unref(conn->server);
	g_free(conn);
}

static void release_body_bytes(struct hsv_conn *conn)
{
	conn->server->body_bytes -= conn->counted_body_bytes;
	conn->counted_body_bytes = 0;
}

void hsv_conn_close(struct hsv_conn *conn)
{
	struct hsv_server *server = conn->server;

	if (conn->is_closing)
		return;
	conn->is_closing = true;
	release_body_bytes(conn);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	server->n_conns--;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void on_written(uv_write_t *request, int status)
{
	struct write *write = request->data;

	/* A failed write is followed by a read error or EOF. */
	(void)status;
	g_string_free(write->bytes, TRUE);
	g_free(write);
}

void hsv_send(struct hsv_conn *conn, GString *bytes)
{
	struct write *write;
	uv_buf_t buffer;

	if (conn->is_closing) {
		g_string_free(bytes, TRUE);
		return;
	}
	write = g_new0(struct write, 1);
	write->bytes = bytes;
	write->request.data = write;
	buffer = uv_buf_init(bytes->str, (unsigned)bytes->len);
	if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
		     on_written)) {
		g_string_free(bytes, TRUE);
		g_free(write);
	}
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	(void)status;
	g_free(request);
}

/* Lingering close: shuts down sending and waits for the caller to close. */
static void linger(struct hsv_conn *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	hsv_set_phase(conn, PHASE_LINGER);
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_shutdown)) {
		g_free(request);
		hsv_conn_close(conn);
	}
}

static bool will_close(const struct hsv_conn *conn)
{
	return !conn->keeps_alive ||
	       (conn->server->closes_after_responses && !conn->pipelined->len);
}

static GString *start_response(struct hsv_conn *conn, int status,
			       const char *headers)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d %s\r\n", status,
			net_reason_phrase(status));
	g_string_append(out, headers);
	conn->announced_close = will_close(conn);
	if (conn->announced_close)
		g_string_append(out, "Connection: close\r\n");
	return out;
}

char *hsv_error_body(const char *type, const char *message)
{
	return g_strdup_printf(
		"{\"error\":{\"type\":\"%s\",\"message\":\"%s\"}}", type,
		message);
}

void hsv_refuse(struct hsv_conn *conn, int status)
{
	char *body = hsv_error_body("bad_request", net_reason_phrase(status));
	GString *out;

	ctr_add(conn->server->counters, "wf_edge_improper_requests_total", 1);
	conn->keeps_alive = false;
	out = start_response(conn, status,
			     "Content-Type: application/json\r\n");
	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%s",
			       strlen(body), body);
	g_free(body);
	hsv_send(conn, out);
	linger(conn);
}

static void on_disconnect(struct hsv_conn *conn)
{
	struct hsv_server *server = conn->server;
	bool was_responding = conn->phase == PHASE_RESPONSE;

	hsv_conn_close(conn);
	if (was_responding)
		server->ops->disconnected(server->user, &conn->request);
}

bool hsv_has_caller_left(const struct hsv_request *request)
{
#ifdef WF_GUARD_OFF_EDGE_LEFT_CALLER
	return false;
#endif
	return net_is_closed_by_peer(&request->conn->tcp);
}

bool hsv_check_caller(struct hsv_request *request)
{
	if (!hsv_has_caller_left(request))
		return true;
	on_disconnect(request->conn);
	return false;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct hsv_conn *conn = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(conn->server->buffer, HSV_READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct hsv_conn *conn = stream->data;

	if (conn->is_closing || !n)
		return;
	if (n < 0) {
		on_disconnect(conn);
		return;
	}
	if (conn->phase == PHASE_LINGER)
		return;
	if (conn->phase == PHASE_RESPONSE)
		hsv_buffer_pipelined(conn, buffer->base, (size_t)n);
	else
		hsv_parse(conn, buffer->base, (size_t)n);
}

struct hsv_conn *hsv_conn_new(struct hsv_server *server)
{
	struct hsv_conn *conn = g_new0(struct hsv_conn, 1);

	conn->server = server;
	server->refs++;
	uv_tcp_init(server->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->request.conn = conn;
	conn->request.body = g_string_new(NULL);
	conn->url = g_string_new(NULL);
	conn->pipelined = g_string_new(NULL);
	hdr_init(&conn->request.headers);
	hdr_builder_init(&conn->builder);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->next = server->conns;
	if (server->conns)
		server->conns->prev = conn;
	server->conns = conn;
	server->n_conns++;
	hsv_set_phase(conn, PHASE_IDLE);
	return conn;
}

void hsv_conn_open(struct hsv_conn *conn, int result)
{
	struct hsv_server *server = conn->server;

	if (result || server->n_conns > server->limits.connections) {
		ctr_add(server->counters, "wf_edge_connections_refused_total",
			1);
		hsv_conn_close(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_tcp_keepalive(&conn->tcp, 1, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/* Frees what the last request needed: connections are idle most of the time,
 * and a large body would be kept for each of them. */
static void release_request(struct hsv_conn *conn)
{
	release_body_bytes(conn);
	hdr_reset(&conn->request.headers);
	hdr_reset_text(&conn->request.body);
	hdr_reset_text(&conn->url);
	g_clear_pointer(&conn->request.url, g_free);
}

/* Called after a response: prepares for the next request or closes. */
static void next_request(struct hsv_conn *conn)
{
	GString *pipelined;

	release_request(conn);
	conn->is_chunked = false;
	/* A caller that was not told may send its next request. */
	if (conn->announced_close) {
		linger(conn);
		return;
	}
	hsv_set_phase(conn, PHASE_IDLE);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (!conn->pipelined->len)
		return;
	pipelined = conn->pipelined;
	conn->pipelined = g_string_new(NULL);
	hsv_parse(conn, pipelined->str, pipelined->len);
	g_string_free(pipelined, TRUE);
}

void hsv_respond(struct hsv_request *request, int status, const char *headers,
		 const char *body, size_t len)
{
	struct hsv_conn *conn = request->conn;
	GString *out = start_response(conn, status, headers);

	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n", len);
	if (strcmp(request->method, "HEAD") != 0)
		g_string_append_len(out, body, (gssize)len);
	hsv_send(conn, out);
	next_request(conn);
}

void hsv_begin_chunked(struct hsv_request *request, int status,
		       const char *headers)
{
	GString *out = start_response(request->conn, status, headers);

	g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
	request->conn->is_chunked = true;
	hsv_send(request->conn, out);
}

bool hsv_send_chunk(struct hsv_request *request, const char *bytes, size_t len)
{
	struct hsv_conn *conn = request->conn;
	GString *out;

	if (!len)
		return true;
	if (uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) >
	    MAX_WRITE_QUEUE_BYTES) {
		hsv_conn_close(conn);
		return false;
	}
	out = g_string_sized_new(len + 16);
	g_string_printf(out, "%zx\r\n", len);
	g_string_append_len(out, bytes, (gssize)len);
	g_string_append(out, "\r\n");
	hsv_send(conn, out);
	return true;
}

void hsv_end_chunked(struct hsv_request *request)
{
	hsv_send(request->conn, g_string_new("0\r\n\r\n"));
	next_request(request->conn);
}

void hsv_abort(struct hsv_request *request)
{
	hsv_conn_close(request->conn);
}
