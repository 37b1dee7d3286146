#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "daemon/net.h"
#include "edge/hup_private.h"

/* A reachable host accepts within a few round trips. */
#define CONNECT_TIMEOUT_MS 700
/* An unreachable peer is detected after about 3 s: the first TCP keepalive
 * probe is sent after 1 s of silence, and the connection is dropped after two
 * probes without a reply. */
#define KEEPALIVE_DELAY_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNACKED_TIMEOUT_MS 3000
/* An idle connection is closed this long before its peer may do so. */
#define KEEP_ALIVE_MARGIN_MS 900
#define SWEEP_INTERVAL_MS 1000
/* Extension of a timeout if bytes have arrived after a pause of the process. */
#define READ_GRACE_MS 20
#define MAX_IDLE_PER_ADDRESS 64
#define DEFAULT_MAX_HEAD_BYTES (256 << 10)

struct write {
	uv_write_t request;
	struct hup_conn *conn;
	GString *bytes;
};

bool hup_was_sent(enum hup_result result)
{
	return result != HUP_NOT_SENT && result != HUP_REFUSED;
}

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
	struct hup_conn *conn = handle->data;

	rsp_clear(&conn->parser);
	g_free(conn->address);
	client_unref(conn->client);
	g_free(conn);
}

static void remove_idle(struct hup_conn *conn)
{
	GQueue *queue = g_hash_table_lookup(conn->client->idle, conn->address);

	if (queue)
		g_queue_remove(queue, conn);
}

static void close_conn(struct hup_conn *conn)
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

static void add_idle(struct hup_conn *conn)
{
	GQueue *queue = g_hash_table_lookup(conn->client->idle, conn->address);

	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(conn->client->idle, g_strdup(conn->address),
				    queue);
	}
	rsp_begin(&conn->parser);
	conn->idle_since = now_ms(conn->client);
	g_queue_push_head(queue, conn);
	if (queue->length > MAX_IDLE_PER_ADDRESS)
		close_conn(g_queue_peek_tail(queue));
}

void hup_finish(struct hup_conn *conn, enum hup_result result)
{
	struct hup_exchange *exchange = conn->exchange;
	bool keep = result == HUP_COMPLETE && conn->is_reusable &&
		    !conn->pending_writes && !conn->is_closing;

	if (!exchange)
		return;
	keep = keep && !exchange->is_isolated;
	conn->exchange = NULL;
	conn->served++;
	if (keep)
		add_idle(conn);
	else
		close_conn(conn);
	exchange->ops->end(exchange->user, result);
	free_exchange(exchange);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct hup_conn *conn = handle->data;

	(void)suggested;
	*buffer = uv_buf_init(conn->client->buffer, HUP_READ_BYTES);
}

/*
 * A response without a length ends with its connection. After a reset it is
 * incomplete, even if EOF was read before the reset arrived. The kernel reports
 * a reset once, to whichever of read, write and getsockopt comes first; after
 * that the connection reads as EOF.
 */
static bool was_reset(const struct hup_conn *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

#ifdef WF_GUARD_OFF_EDGE_RESET_CHECK
	return false;
#endif
#ifndef WF_GUARD_OFF_EDGE_FAILED_WRITE
	if (conn->is_write_failed)
		return true;
#endif
	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd))
		return true;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct hup_conn *conn = stream->data;

	if (conn->is_closing || !n)
		return;
	if (!conn->exchange) {
		/* Bytes or EOF on an idle connection: it can't be reused. */
		close_conn(conn);
		return;
	}
	if (n > 0) {
		hup_parse(conn, buffer->base, (size_t)n);
		return;
	}
	if (n == UV_EOF && !was_reset(conn))
		hup_parse_end(conn);
	else
		hup_finish(conn, HUP_CONN_LOST);
}

static void on_written(uv_write_t *request, int status)
{
	struct write *write = request->data;
	struct hup_conn *conn = write->conn;

	conn->pending_writes--;
	g_string_free(write->bytes, TRUE);
	g_free(write);
	/* A target may respond and close before it has read the request, so a
	 * failed write does not end the exchange. */
	if (status)
		conn->is_write_failed = true;
}

static void write_request(struct hup_conn *conn)
{
	struct hup_exchange *exchange = conn->exchange;
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buffer;

	write->conn = conn;
	write->bytes = exchange->bytes;
	write->request.data = write;
	exchange->bytes = NULL;
	buffer = uv_buf_init(write->bytes->str, (unsigned)write->bytes->len);
	conn->pending_writes++;
	if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, &buffer, 1,
		     on_written)) {
		conn->pending_writes--;
		g_string_free(write->bytes, TRUE);
		g_free(write);
		hup_finish(conn, HUP_CONN_LOST);
	}
}

static void set_timer(struct hup_exchange *exchange, clk_ms limit);

static void on_connected(uv_connect_t *request, int status)
{
	struct hup_conn *conn = request->data;

	g_free(request);
	if (conn->is_closing || !conn->exchange)
		return;
	if (status) {
		hup_finish(conn, status == UV_ECONNREFUSED ? HUP_REFUSED
							   : HUP_NOT_SENT);
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

	/* The loop runs timers before it reads. */
	if (!exchange->is_extended && exchange->conn->is_connected &&
	    net_has_unread_bytes(&exchange->conn->tcp)) {
		exchange->is_extended = true;
		uv_timer_start(timer, on_timeout, READ_GRACE_MS, 0);
		return;
	}
	hup_finish(exchange->conn,
		   exchange->conn->is_connected ? HUP_TIMED_OUT : HUP_NOT_SENT);
}

/* Sets the time limit, counted from the start of the exchange; 0 for none. */
static void set_timer(struct hup_exchange *exchange, clk_ms limit)
{
	clk_ms elapsed = now_ms(exchange->conn->client) - exchange->started_at;

	uv_timer_stop(&exchange->timer);
	if (limit)
		uv_timer_start(&exchange->timer, on_timeout,
			       (uint64_t)MAX(limit - elapsed, 1), 0);
}

static struct hup_conn *open_conn(struct hup_client *client,
				  const char *address)
{
	struct hup_conn *conn = g_new0(struct hup_conn, 1);

	conn->client = client;
	conn->address = g_strdup(address);
	client->refs++;
	uv_tcp_init(client->loop, &conn->tcp);
	conn->tcp.data = conn;
	rsp_init(&conn->parser);
	conn->next = client->conns;
	if (client->conns)
		client->conns->prev = conn;
	client->conns = conn;
	return conn;
}

/* Also limits how long sent bytes may remain unacknowledged. */
static void set_keepalive(struct hup_conn *conn)
{
	unsigned unacked_ms = UNACKED_TIMEOUT_MS;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	uv_os_fd_t fd;

	uv_tcp_keepalive(&conn->tcp, 1, KEEPALIVE_DELAY_S);
	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd))
		return;
	if (setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
		       sizeof(interval)) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
		       sizeof(unacked_ms)))
		ctr_add(conn->client->counters,
			"wf_upstream_without_keepalive_total", 1);
}

static bool start_connect(struct hup_conn *conn)
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

static bool is_usable(const struct hup_conn *conn, clk_ms max_idle)
{
	clk_ms idle = now_ms(conn->client) - conn->idle_since;

	return idle < max_idle &&
	       idle < conn->keep_alive - KEEP_ALIVE_MARGIN_MS;
}

static bool may_carry(const struct hup_conn *conn,
		      const struct hup_request *request)
{
#ifdef WF_GUARD_OFF_EDGE_ISOLATED_ORDERS
	return true;
#endif
	return !request->is_isolated || !conn->had_unmarked;
}

static struct hup_conn *take_idle(struct hup_client *client,
				  const struct hup_request *request)
{
	GQueue *queue = g_hash_table_lookup(client->idle, request->address);
	GList *link = queue ? queue->head : NULL;
	struct hup_conn *conn;

	while (link && !may_carry(link->data, request))
		link = link->next;
	if (!link || !is_usable(link->data, request->max_idle))
		return NULL;
	conn = link->data;
	g_queue_delete_link(queue, link);
	return conn;
}

/* Reports the failure from the event loop, not from within hup_send(). */
static void on_connect_failed(uv_timer_t *timer)
{
	struct hup_exchange *exchange = timer->data;

	hup_finish(exchange->conn, HUP_NOT_SENT);
}

static void attach_exchange(struct hup_conn *conn,
			    struct hup_exchange *exchange)
{
	conn->exchange = exchange;
	conn->is_reusable = false;
	conn->is_skipping = false;
	conn->had_unmarked |= !exchange->id;
	exchange->conn = conn;
	rsp_begin(&conn->parser);
}

struct hup_exchange *hup_send(struct hup_client *client,
			      const struct hup_request *request,
			      const struct hup_ops *ops, void *user)
{
	struct hup_exchange *exchange = g_new0(struct hup_exchange, 1);
	struct hup_conn *conn = take_idle(client, request);

	exchange->ops = ops;
	exchange->user = user;
	exchange->bytes = request->bytes;
	exchange->is_head = request->is_head;
	exchange->is_isolated = request->is_isolated;
	exchange->id_header = g_strdup(request->id_header);
	exchange->id = g_strdup(request->id);
	exchange->timeout = request->timeout;
	exchange->max_body_bytes = request->max_body_bytes;
	exchange->started_at = now_ms(client);
	uv_timer_init(client->loop, &exchange->timer);
	exchange->timer.data = exchange;
	ctr_add(client->counters, "wf_upstream_requests_total", 1);
	if (conn) {
		attach_exchange(conn, exchange);
		set_timer(exchange, exchange->timeout);
		write_request(conn);
		return exchange;
	}
	conn = open_conn(client, request->address);
	attach_exchange(conn, exchange);
	if (!start_connect(conn)) {
		uv_timer_start(&exchange->timer, on_connect_failed, 0, 0);
		return exchange;
	}
	set_timer(exchange, exchange->timeout
				    ? MIN(exchange->timeout, CONNECT_TIMEOUT_MS)
				    : CONNECT_TIMEOUT_MS);
	return exchange;
}

void hup_set_ops(struct hup_exchange *exchange, const struct hup_ops *ops,
		 void *user)
{
	exchange->ops = ops;
	exchange->user = user;
}

void hup_cancel(struct hup_exchange *exchange)
{
	struct hup_conn *conn = exchange->conn;

	if (!conn->exchange)
		return;
	close_conn(conn);
	conn->exchange = NULL;
	free_exchange(exchange);
}

static void on_sweep(uv_timer_t *timer)
{
	struct hup_client *client = timer->data;
	struct hup_conn *conn = client->conns;

	while (conn) {
		struct hup_conn *next = conn->next;

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
	client->max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
	client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     queue_destroy);
	uv_timer_init(loop, &client->sweep);
	client->sweep.data = client;
	client->refs++;
	uv_timer_start(&client->sweep, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	return client;
}

void hup_set_max_head_bytes(struct hup_client *client, size_t bytes)
{
	client->max_head_bytes = bytes;
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
			hup_finish(client->conns, HUP_CONN_LOST);
		else
			close_conn(client->conns);
	}
	uv_close((uv_handle_t *)&client->sweep, on_sweep_closed);
	client_unref(client);
}
