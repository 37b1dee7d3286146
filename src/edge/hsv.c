#include <http_parser.h>
#include <string.h>
#include <unistd.h>

#include "daemon/net.h"
#include "edge/hsv.h"

#define BACKLOG 1024
#define READ_BYTES 16384
#define SWEEP_INTERVAL_MS 250
/* After an answer that ends the connection, bytes still on their way are read
 * for this long, because closing with unread bytes would reset it. */
#define LINGER_MS 1000
/* Bytes of a caller's next request that are kept while one is answered. */
#define MAX_AHEAD_BYTES 65536
/* A caller that leaves so much of a stream unread is given up. */
#define MAX_UNWRITTEN_BYTES (1 << 20)
/* After the end of listening, for the first request of a connection: its first
 * packet is sent again after 1 s (RFC 6298). */
#define FIRST_REQUEST_MS 1000
/* A request's body may pause for this long. */
#define BODY_PAUSE_MS 10000

enum phase {
	/* Between requests. */
	PHASE_IDLE,
	PHASE_HEADER,
	PHASE_BODY,
	/* The owner has the request. */
	PHASE_ANSWER,
	/* The last answer is written; only the caller's end is awaited. */
	PHASE_LINGER,
};

struct hsv_conn {
	uv_tcp_t tcp;
	struct hsv_server *server;
	http_parser parser;
	struct hdr_builder builder;
	struct hsv_request request;
	GString *url;
	size_t header_bytes;
	enum phase phase;
	clk_ms phase_since;
	/* Bytes that arrived while a request was answered. */
	GString *ahead;
	/* Has brought a whole one. */
	bool has_request;
	bool is_closing;
	bool is_chunked;
	bool keeps_alive;
	bool asked_continue;
	/* The request's body counts in the server's sum. */
	size_t counted_body;
	/* Status with which the parser's callbacks refuse a request. */
	int refusal;
	struct hsv_conn *next;
	struct hsv_conn *prev;
};

struct hsv_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	bool is_listening;
	bool closes_after_answers;
	uv_timer_t sweep;
	struct hsv_limits limits;
	struct ctr_set *counters;
	const struct hsv_ops *ops;
	void *user;
	struct hsv_conn *conns;
	unsigned n_conns;
	size_t body_bytes;
	int refs;
	char buffer[READ_BYTES];
};

struct write {
	uv_write_t request;
	GString *bytes;
};

static void server_unref(struct hsv_server *server)
{
	if (--server->refs)
		return;
	ctr_drop(server->counters);
	g_free(server);
}

static void set_phase(struct hsv_conn *conn, enum phase phase)
{
	conn->phase = phase;
	conn->phase_since = (clk_ms)uv_now(conn->server->loop);
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
	g_string_free(conn->ahead, TRUE);
	server_unref(conn->server);
	g_free(conn);
}

static void uncount_body(struct hsv_conn *conn)
{
	conn->server->body_bytes -= conn->counted_body;
	conn->counted_body = 0;
}

static void close_conn(struct hsv_conn *conn)
{
	struct hsv_server *server = conn->server;

	if (conn->is_closing)
		return;
	conn->is_closing = true;
	uncount_body(conn);
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

	/* A failed write shows as an end when reading. */
	(void)status;
	g_string_free(write->bytes, TRUE);
	g_free(write);
}

/* Takes the bytes over. */
static void send_bytes(struct hsv_conn *conn, GString *bytes)
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

/* Sends the end of our side and waits for that of the caller. */
static void linger(struct hsv_conn *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	set_phase(conn, PHASE_LINGER);
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_shutdown)) {
		g_free(request);
		close_conn(conn);
	}
}

static const char *reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

static bool will_close(const struct hsv_conn *conn)
{
	return !conn->keeps_alive || conn->server->closes_after_answers;
}

static GString *start_head(struct hsv_conn *conn, int status,
			   const char *headers)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d %s\r\n", status, reason(status));
	g_string_append(out, headers);
	if (will_close(conn))
		g_string_append(out, "Connection: close\r\n");
	return out;
}

/* Refuses what is no proper request, and ends the connection. */
static void refuse(struct hsv_conn *conn, int status)
{
	char *body = g_strdup_printf(
		"{\"error\":{\"type\":\"bad_request\",\"message\":\"%s\"}}",
		reason(status));
	GString *out;

	ctr_add(conn->server->counters, "wf_edge_improper_requests_total", 1);
	conn->keeps_alive = false;
	out = start_head(conn, status, "Content-Type: application/json\r\n");
	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%s",
			       strlen(body), body);
	g_free(body);
	send_bytes(conn, out);
	linger(conn);
}

static int on_message_begin(http_parser *parser)
{
	struct hsv_conn *conn = parser->data;

	hdr_reset(&conn->request.headers);
	g_string_truncate(conn->request.body, 0);
	g_string_truncate(conn->url, 0);
	conn->header_bytes = 0;
	conn->refusal = 0;
	set_phase(conn, PHASE_HEADER);
	return 0;
}

static int refuse_from_parser(struct hsv_conn *conn, int status)
{
	conn->refusal = status;
	return -1;
}

static int count_header(struct hsv_conn *conn, size_t len)
{
	conn->header_bytes += len;
	if (conn->header_bytes > conn->server->limits.header_bytes)
		return refuse_from_parser(conn, 431);
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

	hdr_builder_name(&conn->builder, &conn->request.headers, at, len);
	return count_header(conn, len);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct hsv_conn *conn = parser->data;

	hdr_builder_value(&conn->builder, at, len);
	return count_header(conn, len);
}

/* Requests whose length two readers could understand differently. */
static bool has_doubtful_length(const struct hdr_list *headers)
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

static bool has_bad_field(const struct hdr_list *headers)
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
	    has_doubtful_length(headers) || has_bad_field(headers) ||
	    hdr_count(headers, "Host") != 1 || conn->url->str[0] != '/')
		return refuse_from_parser(conn, 400);
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > conn->server->limits.body_bytes)
		return refuse_from_parser(conn, 413);
	expect = hdr_get(headers, "Expect");
	conn->asked_continue =
		expect && !g_ascii_strcasecmp(expect, "100-continue");
	set_phase(conn, PHASE_BODY);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct hsv_conn *conn = parser->data;
	struct hsv_server *server = conn->server;

	if (conn->request.body->len + len > server->limits.body_bytes)
		return refuse_from_parser(conn, 413);
	if (server->body_bytes + len > server->limits.all_body_bytes)
		return refuse_from_parser(conn, 503);
	server->body_bytes += len;
	conn->counted_body += len;
	conn->phase_since = (clk_ms)uv_now(server->loop);
	g_string_append_len(conn->request.body, at, (gssize)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct hsv_conn *conn = parser->data;

	conn->keeps_alive = http_should_keep_alive(parser) != 0;
	conn->has_request = true;
	set_phase(conn, PHASE_ANSWER);
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

static void keep_ahead(struct hsv_conn *conn, const char *bytes, size_t len)
{
	if (conn->ahead->len + len > MAX_AHEAD_BYTES) {
		uv_read_stop((uv_stream_t *)&conn->tcp);
		return;
	}
	g_string_append_len(conn->ahead, bytes, (gssize)len);
}

static void answer_continue(struct hsv_conn *conn)
{
	conn->asked_continue = false;
	send_bytes(conn, g_string_new("HTTP/1.1 100 Continue\r\n\r\n"));
}

static void parse(struct hsv_conn *conn, const char *bytes, size_t len)
{
	size_t used;

	used = http_parser_execute(&conn->parser, &parser_settings, bytes, len);
	if (conn->phase == PHASE_ANSWER) {
		http_parser_pause(&conn->parser, 0);
		keep_ahead(conn, bytes + used, len - used);
		deliver(conn);
		return;
	}
	if (conn->refusal)
		refuse(conn, conn->refusal);
	else if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW)
		refuse(conn, 431);
	else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		refuse(conn, 400);
	else if (conn->phase == PHASE_BODY && conn->asked_continue)
		answer_continue(conn);
}

static void leave(struct hsv_conn *conn)
{
	struct hsv_server *server = conn->server;
	bool had_request = conn->phase == PHASE_ANSWER;

	close_conn(conn);
	if (had_request)
		server->ops->gone(server->user, &conn->request);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct hsv_conn *conn = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(conn->server->buffer, READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct hsv_conn *conn = stream->data;

	if (conn->is_closing || !n)
		return;
	if (n < 0) {
		leave(conn);
		return;
	}
	if (conn->phase == PHASE_LINGER)
		return;
	if (conn->phase == PHASE_ANSWER)
		keep_ahead(conn, buffer->base, (size_t)n);
	else
		parse(conn, buffer->base, (size_t)n);
}

static struct hsv_conn *new_conn(struct hsv_server *server)
{
	struct hsv_conn *conn = g_new0(struct hsv_conn, 1);

	conn->server = server;
	server->refs++;
	uv_tcp_init(server->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->request.conn = conn;
	conn->request.body = g_string_new(NULL);
	conn->url = g_string_new(NULL);
	conn->ahead = g_string_new(NULL);
	hdr_init(&conn->request.headers);
	hdr_builder_init(&conn->builder);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	conn->next = server->conns;
	if (server->conns)
		server->conns->prev = conn;
	server->conns = conn;
	server->n_conns++;
	set_phase(conn, PHASE_IDLE);
	return conn;
}

/* result: of accepting its socket. */
static void open_conn(struct hsv_conn *conn, int result)
{
	struct hsv_server *server = conn->server;

	if (result || server->n_conns > server->limits.connections) {
		ctr_add(server->counters, "wf_edge_connections_refused_total",
			1);
		close_conn(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_tcp_keepalive(&conn->tcp, 1, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct hsv_conn *conn;

	if (status)
		return;
	conn = new_conn(listener->data);
	open_conn(conn, uv_accept(listener, (uv_stream_t *)&conn->tcp));
}

static void check_time(struct hsv_conn *conn, clk_ms now)
{
	const struct hsv_limits *limits = &conn->server->limits;
	clk_ms passed = now - conn->phase_since;

	switch (conn->phase) {
	case PHASE_IDLE:
		if (passed > limits->idle_timeout)
			close_conn(conn);
		break;
	case PHASE_HEADER:
		if (passed > limits->header_timeout)
			refuse(conn, 408);
		break;
	case PHASE_BODY:
		if (passed > BODY_PAUSE_MS)
			refuse(conn, 408);
		break;
	case PHASE_LINGER:
		if (passed > LINGER_MS)
			close_conn(conn);
		break;
	case PHASE_ANSWER:
		break;
	}
}

static void on_sweep(uv_timer_t *timer)
{
	struct hsv_server *server = timer->data;
	clk_ms now = (clk_ms)uv_now(server->loop);
	struct hsv_conn *conn = server->conns;

	while (conn) {
		struct hsv_conn *next = conn->next;

		check_time(conn, now);
		conn = next;
	}
}

struct hsv_server *hsv_new(uv_loop_t *loop, const struct hsv_limits *limits,
			   struct ctr_set *counters, const struct hsv_ops *ops,
			   void *user)
{
	struct hsv_server *server = g_new0(struct hsv_server, 1);

	server->loop = loop;
	server->limits = *limits;
	server->counters = ctr_keep(counters);
	server->ops = ops;
	server->user = user;
	server->refs = 2;
	uv_timer_init(loop, &server->sweep);
	server->sweep.data = server;
	uv_timer_start(&server->sweep, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	return server;
}

static void on_handle_closed(uv_handle_t *handle)
{
	server_unref(handle->data);
}

static void stop_listening(struct hsv_server *server)
{
	if (!server->is_listening)
		return;
	server->is_listening = false;
	uv_close((uv_handle_t *)&server->listener, on_handle_closed);
}

static void accept_waiting(struct hsv_server *server)
{
	uv_os_sock_t socket;

	while (net_accept_waiting(&server->listener, &socket)) {
		struct hsv_conn *conn = new_conn(server);
		int result = uv_tcp_open(&conn->tcp, socket);

		if (result)
			close(socket);
		open_conn(conn, result);
	}
}

/* New connections have a while to send their first request. */
static bool is_awaited(const struct hsv_conn *conn)
{
	clk_ms passed = (clk_ms)uv_now(conn->server->loop) - conn->phase_since;

	return !conn->has_request && passed < FIRST_REQUEST_MS;
}

bool hsv_is_reading(const struct hsv_server *server)
{
	const struct hsv_conn *conn;

	for (conn = server->conns; conn; conn = conn->next) {
		if (conn->phase == PHASE_HEADER || conn->phase == PHASE_BODY ||
		    (conn->phase == PHASE_IDLE && is_awaited(conn)))
			return true;
	}
	return false;
}

void hsv_drop(struct hsv_server *server)
{
	if (!server)
		return;
	stop_listening(server);
	while (server->conns)
		close_conn(server->conns);
	uv_close((uv_handle_t *)&server->sweep, on_handle_closed);
	server_unref(server);
}

bool hsv_listen(struct hsv_server *server, const char *address, GError **error)
{
	struct sockaddr_in at;
	int code;

	if (!net_parse_address(address, &at)) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_SETTINGS,
			    "%s is no IP:port", address);
		return false;
	}
	uv_tcp_init(server->loop, &server->listener);
	server->listener.data = server;
	server->is_listening = true;
	server->refs++;
	code = uv_tcp_bind(&server->listener, (struct sockaddr *)&at, 0);
	if (!code)
		code = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
				 on_connection);
	if (code) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "can't listen at %s: %s",
			    address, uv_strerror(code));
		stop_listening(server);
	}
	return !code;
}

void hsv_set_limits(struct hsv_server *server, const struct hsv_limits *limits)
{
	server->limits = *limits;
}

void hsv_close_after_answers(struct hsv_server *server)
{
	server->closes_after_answers = true;
}

void hsv_stop(struct hsv_server *server)
{
	struct hsv_conn *conn;

	if (server->is_listening)
		accept_waiting(server);
	stop_listening(server);
	conn = server->conns;
	while (conn) {
		struct hsv_conn *next = conn->next;

		if (conn->phase == PHASE_IDLE && !is_awaited(conn))
			close_conn(conn);
		conn = next;
	}
}

/* The answer is written: goes on with the connection's next request. */
static void next_request(struct hsv_conn *conn)
{
	GString *ahead;

	uncount_body(conn);
	conn->is_chunked = false;
	if (will_close(conn)) {
		linger(conn);
		return;
	}
	set_phase(conn, PHASE_IDLE);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (!conn->ahead->len)
		return;
	ahead = conn->ahead;
	conn->ahead = g_string_new(NULL);
	parse(conn, ahead->str, ahead->len);
	g_string_free(ahead, TRUE);
}

void hsv_answer(struct hsv_request *request, int status, const char *headers,
		const char *body, size_t len)
{
	struct hsv_conn *conn = request->conn;
	GString *out = start_head(conn, status, headers);

	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n", len);
	if (strcmp(request->method, "HEAD") != 0)
		g_string_append_len(out, body, (gssize)len);
	send_bytes(conn, out);
	next_request(conn);
}

void hsv_begin(struct hsv_request *request, int status, const char *headers)
{
	GString *out = start_head(request->conn, status, headers);

	g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
	request->conn->is_chunked = true;
	send_bytes(request->conn, out);
}

bool hsv_add(struct hsv_request *request, const char *bytes, size_t len)
{
	struct hsv_conn *conn = request->conn;
	GString *out;

	if (!len)
		return true;
	if (uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) >
	    MAX_UNWRITTEN_BYTES) {
		close_conn(conn);
		return false;
	}
	out = g_string_sized_new(len + 16);
	g_string_printf(out, "%zx\r\n", len);
	g_string_append_len(out, bytes, (gssize)len);
	g_string_append(out, "\r\n");
	send_bytes(conn, out);
	return true;
}

void hsv_end(struct hsv_request *request)
{
	send_bytes(request->conn, g_string_new("0\r\n\r\n"));
	next_request(request->conn);
}

void hsv_abort(struct hsv_request *request)
{
	close_conn(request->conn);
}
