#include <unistd.h>

#include "daemon/net.h"
#include "edge/hsv_private.h"

#define BACKLOG 1024
#define SWEEP_INTERVAL_MS 250
/* After the last response the connection is read for up to this long before it
 * is closed: closing with unread bytes would reset it. */
#define LINGER_TIMEOUT_MS 1000
/* The same while the response has not been sent whole. */
#define UNSENT_TIMEOUT_MS 10000
/* Time for which a lower idle timeout is not applied: callers learn of it with
 * the configuration. */
#define LOWER_LIMIT_GRACE_MS 5000
/* Time for the first request of a connection once the server has stopped
 * listening: TCP retransmits a lost first packet after 1 s (RFC 6298). */
#define FIRST_REQUEST_TIMEOUT_MS 1000
/* Longest time between two reads of a request body. */
#define BODY_IDLE_TIMEOUT_MS 10000

void hsv_server_unref(struct hsv_server *server)
{
	if (--server->refs)
		return;
	ctr_drop(server->counters);
	g_free(server);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct hsv_conn *conn;

	if (status)
		return;
	conn = hsv_conn_new(listener->data);
	hsv_conn_open(conn, uv_accept(listener, (uv_stream_t *)&conn->tcp));
}

static bool has_unsent_bytes(const struct hsv_conn *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) >
	       0;
}

/* The loop runs timers before it reads, so after a pause of the process a
 * request may be waiting on a connection that looks idle. */
static void close_idle(struct hsv_conn *conn)
{
	if (net_has_unread_bytes(&conn->tcp) || has_unsent_bytes(conn)) {
		ctr_add(conn->server->counters, "wf_edge_idle_spared_total", 1);
		return;
	}
	ctr_add(conn->server->counters, "wf_edge_idle_closed_total", 1);
	hsv_conn_close(conn);
}

static void check_timeout(struct hsv_conn *conn, clk_ms now)
{
	const struct hsv_limits *limits = &conn->server->limits;
	clk_ms elapsed = now - conn->phase_since;

	switch (conn->phase) {
	case PHASE_IDLE:
		/* Callers may not know a lower limit yet. */
		if (elapsed > MAX(conn->idle_timeout, limits->idle_timeout))
			close_idle(conn);
		break;
	case PHASE_HEADER:
		if (elapsed > limits->header_timeout &&
		    !net_has_unread_bytes(&conn->tcp))
			hsv_refuse(conn, 408);
		break;
	case PHASE_BODY:
		if (elapsed > BODY_IDLE_TIMEOUT_MS &&
		    !net_has_unread_bytes(&conn->tcp))
			hsv_refuse(conn, 408);
		break;
	case PHASE_LINGER:
		if (elapsed > (has_unsent_bytes(conn) ? UNSENT_TIMEOUT_MS
						      : LINGER_TIMEOUT_MS))
			hsv_conn_close(conn);
		break;
	case PHASE_RESPONSE:
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

		check_timeout(conn, now);
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
	hsv_server_unref(handle->data);
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

	while (net_accept_pending(&server->listener, &socket)) {
		struct hsv_conn *conn = hsv_conn_new(server);
		int result = uv_tcp_open(&conn->tcp, socket);

		if (result)
			close(socket);
		hsv_conn_open(conn, result);
	}
}

static bool awaits_first_request(const struct hsv_conn *conn)
{
	clk_ms elapsed = (clk_ms)uv_now(conn->server->loop) - conn->phase_since;

	return !conn->had_request && elapsed < FIRST_REQUEST_TIMEOUT_MS;
}

bool hsv_is_reading(const struct hsv_server *server)
{
	const struct hsv_conn *conn;

	for (conn = server->conns; conn; conn = conn->next) {
		if (conn->phase == PHASE_HEADER || conn->phase == PHASE_BODY ||
		    has_unsent_bytes(conn) ||
		    (conn->phase == PHASE_IDLE &&
		     (awaits_first_request(conn) ||
		      net_has_unread_bytes(&conn->tcp))))
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
		hsv_conn_close(server->conns);
	uv_close((uv_handle_t *)&server->sweep, on_handle_closed);
	hsv_server_unref(server);
}

bool hsv_listen(struct hsv_server *server, const char *address, GError **error)
{
	struct sockaddr_in at;
	int code;

	if (!net_parse_address(address, &at)) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_SETTINGS,
			    "%s is not a valid IP:port address", address);
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
		g_set_error(error, ERR_DOMAIN, ERR_IO, "can't listen on %s: %s",
			    address, uv_strerror(code));
		stop_listening(server);
	}
	return !code;
}

void hsv_set_limits(struct hsv_server *server, const struct hsv_limits *limits)
{
	clk_ms now = (clk_ms)uv_now(server->loop);

	server->earlier_idle_timeout = hsv_promised_idle_timeout(server);
	server->earlier_limit_until = now + LOWER_LIMIT_GRACE_MS;
	server->limits = *limits;
}

clk_ms hsv_promised_idle_timeout(const struct hsv_server *server)
{
	clk_ms now = (clk_ms)uv_now(server->loop);
	clk_ms earlier = now < server->earlier_limit_until
				 ? server->earlier_idle_timeout
				 : 0;

	return MAX(server->limits.idle_timeout, earlier);
}

void hsv_close_after_responses(struct hsv_server *server)
{
	server->closes_after_responses = true;
}

void hsv_stop_accepting(struct hsv_server *server)
{
	struct hsv_conn *conn;

	if (server->is_listening)
		accept_waiting(server);
	stop_listening(server);
	conn = server->conns;
	while (conn) {
		struct hsv_conn *next = conn->next;

		if (conn->phase == PHASE_IDLE && !awaits_first_request(conn))
			close_idle(conn);
		conn = next;
	}
}
