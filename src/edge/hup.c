#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/hup.h"
#include "daemon/net.h"

/* A host that answers at all accepts within a few round trips. */
#define CONNECT_TIMEOUT_MS 700
/* Silent peers are noticed after about three seconds: a probe after one
 * second, and two more without an answer. */
#define KEEPALIVE_DELAY_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNANSWERED_MS 3000
/* Used where an answer does not say how long it stays open. */
#define DEFAULT_KEEP_ALIVE_MS 4000
/* A connection is given up this long before its peer may close it. */
#define KEEP_ALIVE_MARGIN_MS 900
#define SWEEP_INTERVAL_MS 1000
#define READ_BYTES 16384
#define MAX_IDLE_PER_ADDRESS 64

struct conn {
	uv_tcp_t tcp;
	struct hup_client *client;
	char *address;
	http_parser parser;
	struct hdr_builder builder;
	struct hup_response response;
	/* NULL while idle. */
	struct hup_exchange *exchange;
	bool is_connected;
	bool is_closing;
	/* The message that is read now belongs to another request. */
	bool is_skipping;
	/* The exchange's answer is whole. */
	bool is_complete;
	bool may_keep;
	unsigned writes;
	clk_ms idle_since;
	clk_ms keep_alive;
	struct conn *next;
	struct conn *prev;
};

struct hup_exchange {
	struct conn *conn;
	const struct hup_ops *ops;
	void *user;
	GString *bytes;
	bool is_head;
	char *id_header;
	char *id;
	uv_timer_t timer;
	clk_ms timeout;
	clk_ms started;
};

struct hup_client {
	uv_loop_t *loop;
	struct ctr_set *counters;
	/* Address to GQueue of idle connections, the newest first. */
	GHashTable *idle;
	struct conn *conns;
	uv_timer_t sweep;
	/* One for the owner and one for each open handle. */
	int refs;
	bool is_closed;
	char buffer[READ_BYTES];
};

struct write {
	uv_write_t request;
	struct conn *conn;
	GString *bytes;
};

static void client_unref(struct hup_client *client)
{
	if (--client->refs)
		return;
	g_hash_table_unref(client->idle);
	ctr_drop(client->counters);
	g_free(client);
}

static clk_ms now_ms(const struct hup_client *client)
{
	return (clk_ms)uv_now(client->loop);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct conn *conn = handle->data;

	hdr_builder_clear(&conn->builder);
	hdr_clear(&conn->response.headers);
	g_free(conn->address);
	client_unref(conn->client);
	g_free(conn);
}

static void remove_idle(struct conn *conn)
{
	GQueue *queue = g_hash_table_lookup(conn->client->idle, conn->address);

	if (queue)
		g_queue_remove(queue, conn);
}

static void close_conn(struct conn *conn)
{
	struct hup_client *client = conn->client;

	if (conn->is_closing)
		return;
	conn->is_closing = true;
	if (!conn->exchange)
		remove_idle(conn);
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		client->conns = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct hup_exchange *exchange = handle->data;

	g_free(exchange->id_header);
	g_free(exchange->id);
	if (exchange->bytes)
		g_string_free(exchange->bytes, TRUE);
	g_free(exchange);
}

static void free_exchange(struct hup_exchange *exchange)
{
	uv_timer_stop(&exchange->timer);
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
}

static void park(struct conn *conn)
{
	GQueue *queue = g_hash_table_lookup(conn->client->idle, conn->address);

	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(conn->client->idle, g_strdup(conn->address),
				    queue);
	}
	conn->idle_since = now_ms(conn->client);
	g_queue_push_head(queue, conn);
	if (queue->length > MAX_IDLE_PER_ADDRESS)
		close_conn(g_queue_peek_tail(queue));
}

/* Ends the exchange; its connection is kept only if nothing speaks against. */
static void finish(struct conn *conn, enum hup_end how)
{
	struct hup_exchange *exchange = conn->exchange;
	bool keep = how == HUP_COMPLETE && conn->may_keep && !conn->writes &&
		    !conn->is_closing;

	if (!exchange)
		return;
	conn->exchange = NULL;
	if (keep)
		park(conn);
	else
		close_conn(conn);
	exchange->ops->end(exchange->user, how);
	free_exchange(exchange);
}

static struct hup_exchange *active(const struct conn *conn)
{
	return conn->is_closing ? NULL : conn->exchange;
}

static int on_message_begin(http_parser *parser)
{
	struct conn *conn = parser->data;

	hdr_reset(&conn->response.headers);
	conn->is_skipping = false;
	return active(conn) ? 0 : -1;
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	hdr_builder_name(&conn->builder, &conn->response.headers, at, len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;

	hdr_builder_value(&conn->builder, at, len);
	return 0;
}

static clk_ms stated_keep_alive(const struct hdr_list *headers)
{
	const char *value = hdr_get(headers, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;

	if (!timeout)
		return DEFAULT_KEEP_ALIVE_MS;
	return (clk_ms)strtoul(timeout + strlen("timeout="), NULL, 10) *
	       CLK_SECOND;
}

static bool is_for(const struct hup_exchange *exchange,
		   const struct hup_response *response)
{
	const char *id;

#ifdef WF_GUARD_OFF_EDGE_ANSWER_ID
	return true;
#endif
	if (!exchange->id_header)
		return true;
	id = hdr_get(&response->headers, exchange->id_header);
	return !id || !strcmp(id, exchange->id);
}

static int on_headers_complete(http_parser *parser)
{
	struct conn *conn = parser->data;
	struct hup_exchange *exchange = active(conn);

	hdr_builder_end(&conn->builder, &conn->response.headers);
	if (!exchange)
		return -1;
	conn->response.status = (int)parser->status_code;
	conn->is_skipping =
		parser->status_code < 200 || !is_for(exchange, &conn->response);
	if (conn->is_skipping) {
		if (parser->status_code >= 200)
			ctr_add(conn->client->counters,
				"wf_upstream_stale_answers_total", 1);
		return 0;
	}
	conn->keep_alive = stated_keep_alive(&conn->response.headers);
	exchange->ops->head(exchange->user, &conn->response);
	if (!active(conn))
		return -1;
	return exchange->is_head ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct conn *conn = parser->data;
	struct hup_exchange *exchange = active(conn);

	if (!exchange)
		return -1;
	if (conn->is_skipping)
		return 0;
	exchange->ops->data(exchange->user, at, len);
	return active(conn) ? 0 : -1;
}

static int on_message_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	if (!active(conn))
		return -1;
	if (conn->is_skipping)
		return 0;
	conn->is_complete = true;
	conn->may_keep = http_should_keep_alive(parser) != 0;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* Feeds bytes to the parser; len 0 tells it the end of the connection. */
static void parse(struct conn *conn, const char *bytes, size_t len)
{
	size_t used = http_parser_execute(&conn->parser, &parser_settings,
					  bytes, len);

	if (conn->is_closing || !conn->exchange)
		return;
	if (conn->is_complete) {
		if (used < len)
			conn->may_keep = false;
		http_parser_pause(&conn->parser, 0);
		finish(conn, HUP_COMPLETE);
		return;
	}
	if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		finish(conn, len ? HUP_GARBLED : HUP_BROKEN);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct conn *conn = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(conn->client->buffer, READ_BYTES);
}

/*
 * An answer without a length ends with its connection. One that was reset is
 * not whole, also where the end was read before the reset was.
 */
static bool was_reset(const struct conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

#ifdef WF_GUARD_OFF_EDGE_RESET_CHECK
	return false;
#endif
	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd))
		return true;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct conn *conn = stream->data;

	if (conn->is_closing || !n)
		return;
	if (!conn->exchange) {
		/* Bytes or an end while idle: nothing can follow here. */
		close_conn(conn);
		return;
	}
	if (n > 0) {
		parse(conn, buffer->base, (size_t)n);
		return;
	}
	if (n == UV_EOF && !was_reset(conn))
		parse(conn, "", 0);
	if (!conn->is_closing && conn->exchange)
		finish(conn, HUP_BROKEN);
}

static void on_written(uv_write_t *request, int status)
{
	struct write *write = request->data;
	struct conn *conn = write->conn;

	conn->writes--;
	g_string_free(write->bytes, TRUE);
	g_free(write);
	/* A target may answer and close before it has read the request; its
	 * answer is still to be read. */
	(void)status;
}

static void write_request(struct conn *conn)
{
	struct hup_exchange *exchange = conn->exchange;
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buffer;

	write->conn = conn;
	write->bytes = exchange->bytes;
	write->request.data = write;
	exchange->bytes = NULL;
	buffer = uv_buf_init(write->bytes->str, (unsigned)write->bytes->len);
	conn->writes++;
	if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
		     on_written)) {
		conn->writes--;
		g_string_free(write->bytes, TRUE);
		g_free(write);
		finish(conn, HUP_BROKEN);
	}
}

static void set_timer(struct hup_exchange *exchange, clk_ms limit);

static void on_connected(uv_connect_t *request, int status)
{
	struct conn *conn = request->data;

	g_free(request);
	if (conn->is_closing || !conn->exchange)
		return;
	if (status) {
		finish(conn, HUP_NOT_SENT);
		return;
	}
	conn->is_connected = true;
	ctr_add(conn->client->counters, "wf_upstream_connections_total", 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	set_timer(conn->exchange, conn->exchange->timeout);
	write_request(conn);
}

static void on_timeout(uv_timer_t *timer)
{
	struct hup_exchange *exchange = timer->data;

	finish(exchange->conn,
	       exchange->conn->is_connected ? HUP_TIMED_OUT : HUP_NOT_SENT);
}

/* Ends the exchange so long after its start; 0 for no limit. */
static void set_timer(struct hup_exchange *exchange, clk_ms limit)
{
	clk_ms passed = now_ms(exchange->conn->client) - exchange->started;

	uv_timer_stop(&exchange->timer);
	if (limit)
		uv_timer_start(&exchange->timer, on_timeout,
			       (uint64_t)MAX(limit - passed, 1), 0);
}

static struct conn *open_conn(struct hup_client *client, const char *address)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->client = client;
	conn->address = g_strdup(address);
	client->refs++;
	uv_tcp_init(client->loop, &conn->tcp);
	conn->tcp.data = conn;
	hdr_builder_init(&conn->builder);
	hdr_init(&conn->response.headers);
	conn->next = client->conns;
	if (client->conns)
		client->conns->prev = conn;
	client->conns = conn;
	return conn;
}

/* Also bounds how long sent bytes may stay unacknowledged. */
static void set_keepalive(struct conn *conn)
{
	unsigned unanswered = UNANSWERED_MS;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	uv_os_fd_t fd;

	uv_tcp_keepalive(&conn->tcp, 1, KEEPALIVE_DELAY_S);
	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd))
		return;
	if (setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
		       sizeof(interval)) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unanswered,
		       sizeof(unanswered)))
		ctr_add(conn->client->counters,
			"wf_upstream_without_keepalive_total", 1);
}

static bool start_connect(struct conn *conn)
{
	uv_connect_t *request;
	struct sockaddr_in address;

	if (!net_parse_address(conn->address, &address))
		return false;
	uv_tcp_nodelay(&conn->tcp, 1);
	request = g_new0(uv_connect_t, 1);
	request->data = conn;
	if (uv_tcp_connect(request, &conn->tcp,
			   (const struct sockaddr *)&address, on_connected)) {
		g_free(request);
		return false;
	}
	set_keepalive(conn);
	return true;
}

static bool is_usable(const struct conn *conn, clk_ms max_idle)
{
	clk_ms idle = now_ms(conn->client) - conn->idle_since;

	return idle < max_idle &&
	       idle < conn->keep_alive - KEEP_ALIVE_MARGIN_MS;
}

static struct conn *take_idle(struct hup_client *client, const char *address,
			      clk_ms max_idle)
{
	GQueue *queue = g_hash_table_lookup(client->idle, address);
	struct conn *conn = queue ? g_queue_peek_head(queue) : NULL;

	if (!conn || !is_usable(conn, max_idle))
		return NULL;
	g_queue_pop_head(queue);
	return conn;
}

/* Reports a failure from the loop, never from within hup_send(). */
static void on_failed_start(uv_timer_t *timer)
{
	struct hup_exchange *exchange = timer->data;

	finish(exchange->conn, HUP_NOT_SENT);
}

static void begin(struct conn *conn, struct hup_exchange *exchange)
{
	conn->exchange = exchange;
	conn->is_complete = false;
	conn->may_keep = false;
	conn->is_skipping = false;
	exchange->conn = conn;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
}

struct hup_exchange *hup_send(struct hup_client *client,
			      const struct hup_request *request,
			      const struct hup_ops *ops, void *user)
{
	struct hup_exchange *exchange = g_new0(struct hup_exchange, 1);
	struct conn *conn =
		take_idle(client, request->address, request->max_idle);

	exchange->ops = ops;
	exchange->user = user;
	exchange->bytes = request->bytes;
	exchange->is_head = request->is_head;
	exchange->id_header = g_strdup(request->id_header);
	exchange->id = g_strdup(request->id);
	exchange->timeout = request->timeout;
	exchange->started = now_ms(client);
	uv_timer_init(client->loop, &exchange->timer);
	exchange->timer.data = exchange;
	ctr_add(client->counters, "wf_upstream_requests_total", 1);
	if (conn) {
		begin(conn, exchange);
		set_timer(exchange, exchange->timeout);
		write_request(conn);
		return exchange;
	}
	conn = open_conn(client, request->address);
	begin(conn, exchange);
	if (!start_connect(conn)) {
		uv_timer_start(&exchange->timer, on_failed_start, 0, 0);
		return exchange;
	}
	set_timer(exchange, exchange->timeout
				    ? MIN(exchange->timeout, CONNECT_TIMEOUT_MS)
				    : CONNECT_TIMEOUT_MS);
	return exchange;
}

void hup_cancel(struct hup_exchange *exchange)
{
	struct conn *conn = exchange->conn;

	if (!conn->exchange)
		return;
	close_conn(conn);
	conn->exchange = NULL;
	free_exchange(exchange);
}

static void on_sweep(uv_timer_t *timer)
{
	struct hup_client *client = timer->data;
	struct conn *conn = client->conns;

	while (conn) {
		struct conn *next = conn->next;

		if (!conn->exchange && !is_usable(conn, CLK_NEVER))
			close_conn(conn);
		conn = next;
	}
}

static void queue_destroy(gpointer data)
{
	g_queue_free(data);
}

struct hup_client *hup_new(uv_loop_t *loop, struct ctr_set *counters)
{
	struct hup_client *client = g_new0(struct hup_client, 1);

	client->loop = loop;
	client->counters = ctr_keep(counters);
	client->refs = 1;
	client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     queue_destroy);
	uv_timer_init(loop, &client->sweep);
	client->sweep.data = client;
	client->refs++;
	uv_timer_start(&client->sweep, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	return client;
}

static void on_sweep_closed(uv_handle_t *handle)
{
	client_unref(handle->data);
}

void hup_drop(struct hup_client *client)
{
	if (!client || client->is_closed)
		return;
	client->is_closed = true;
	while (client->conns) {
		if (client->conns->exchange)
			finish(client->conns, HUP_BROKEN);
		else
			close_conn(client->conns);
	}
	uv_close((uv_handle_t *)&client->sweep, on_sweep_closed);
	client_unref(client);
}
