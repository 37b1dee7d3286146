#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "daemon/net.h"
#include "soak.h"

#define DELAY_MS 120

struct conn;

/* One end of a proxied connection. */
struct endpoint {
	uv_tcp_t tcp;
	struct conn *conn;
	struct endpoint *other;
	bool is_open;
	char buffer[16384];
};

struct conn {
	struct proxy *proxy;
	struct endpoint downstream;
	struct endpoint upstream;
	bool is_connected;
	GString *buffered;
	unsigned handles;
	bool is_closing;
};

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char *address;
	char *upstream_address;
	enum proxy_mode mode;
	GHashTable *conns;
	bool is_dropped;
	bool is_closed;
};

struct segment {
	uv_write_t write;
	uv_timer_t timer;
	struct endpoint *to;
	struct proxy *proxy;
	struct conn *conn;
	char *bytes;
	size_t len;
};

static void free_if_closed(struct proxy *proxy)
{
	if (!proxy->is_closed || g_hash_table_size(proxy->conns))
		return;
	g_hash_table_unref(proxy->conns);
	g_free(proxy->address);
	g_free(proxy->upstream_address);
	g_free(proxy);
}

static void on_endpoint_closed(uv_handle_t *handle)
{
	struct endpoint *endpoint = handle->data;
	struct conn *conn = endpoint->conn;
	struct proxy *proxy = conn->proxy;

	if (--conn->handles)
		return;
	g_hash_table_remove(proxy->conns, conn);
	g_string_free(conn->buffered, TRUE);
	g_free(conn);
	free_if_closed(proxy);
}

static void close_endpoint(struct endpoint *endpoint, bool reset)
{
	struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
	uv_os_fd_t fd;

	if (reset && !uv_fileno((uv_handle_t *)&endpoint->tcp, &fd))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger,
			   sizeof(no_linger));
	uv_close((uv_handle_t *)&endpoint->tcp, on_endpoint_closed);
}

static void close_conn(struct conn *conn, bool reset)
{
	if (conn->is_closing)
		return;
	conn->is_closing = true;
	close_endpoint(&conn->downstream, reset);
	close_endpoint(&conn->upstream, reset);
}

static void segment_free(struct segment *segment)
{
	g_free(segment->bytes);
	g_free(segment);
}

static void on_written(uv_write_t *write, int status)
{
	(void)status;
	segment_free(write->data);
}

static void write_segment(struct segment *segment)
{
	uv_buf_t buffer = uv_buf_init(segment->bytes, (unsigned)segment->len);

	segment->write.data = segment;
	if (uv_write(&segment->write, (uv_stream_t *)&segment->to->tcp, &buffer,
		     1, on_written))
		segment_free(segment);
}

static void on_delay_closed(uv_handle_t *handle)
{
	struct segment *segment = handle->data;

	if (g_hash_table_contains(segment->proxy->conns, segment->conn) &&
	    !segment->conn->is_closing && segment->proxy->mode != PROXY_SILENT)
		write_segment(segment);
	else
		segment_free(segment);
}

static void on_delay(uv_timer_t *timer)
{
	uv_close((uv_handle_t *)timer, on_delay_closed);
}

static void forward(struct endpoint *to, const char *bytes, size_t len)
{
	struct segment *segment = g_new0(struct segment, 1);

	segment->to = to;
	segment->conn = to->conn;
	segment->proxy = to->conn->proxy;
	segment->bytes = g_memdup2(bytes, len);
	segment->len = len;
	if (segment->proxy->mode != PROXY_DELAY) {
		write_segment(segment);
		return;
	}
	uv_timer_init(segment->proxy->loop, &segment->timer);
	segment->timer.data = segment;
	uv_timer_start(&segment->timer, on_delay, DELAY_MS, 0);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct endpoint *endpoint = handle->data;

	(void)size;
	*buffer = uv_buf_init(endpoint->buffer, sizeof(endpoint->buffer));
}

static bool is_forwarded(const struct conn *conn, const struct endpoint *from)
{
	switch (conn->proxy->mode) {
	case PROXY_SILENT:
		return false;
	case PROXY_ONE_WAY:
		return from == &conn->downstream;
	default:
		return true;
	}
}

/*
 * Whether the end may be forwarded as a clean close: no error, and no bytes
 * that the mode could have held back.
 */
static bool is_clean_end(const struct endpoint *endpoint, ssize_t n)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

	if (n != UV_EOF || endpoint->conn->proxy->mode != PROXY_PASS ||
	    uv_fileno((const uv_handle_t *)&endpoint->tcp, &fd))
		return false;
	return !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) && !error;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct endpoint *endpoint = stream->data;
	struct conn *conn = endpoint->conn;

	if (conn->is_closing || !n)
		return;
	if (n < 0 || conn->proxy->mode == PROXY_RESET) {
		close_conn(conn, !is_clean_end(endpoint, n));
		return;
	}
	if (!is_forwarded(conn, endpoint))
		return;
	if (endpoint == &conn->downstream && !conn->is_connected)
		g_string_append_len(conn->buffered, buffer->base, n);
	else
		forward(endpoint->other, buffer->base, (size_t)n);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct conn *conn = request->data;

	g_free(request);
	if (conn->is_closing)
		return;
	if (status) {
		close_conn(conn, true);
		return;
	}
	conn->is_connected = true;
	uv_tcp_nodelay(&conn->upstream.tcp, 1);
	uv_read_start((uv_stream_t *)&conn->upstream.tcp, on_alloc, on_read);
	if (conn->buffered->len)
		forward(&conn->upstream, conn->buffered->str,
			conn->buffered->len);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct conn *conn = g_new0(struct conn, 1);
	uv_connect_t *request = g_new0(uv_connect_t, 1);
	struct sockaddr_in to;

	(void)status;
	conn->proxy = proxy;
	conn->buffered = g_string_new(NULL);
	conn->downstream.conn = conn;
	conn->upstream.conn = conn;
	conn->downstream.other = &conn->upstream;
	conn->upstream.other = &conn->downstream;
	conn->handles = 2;
	g_hash_table_add(proxy->conns, conn);
	uv_tcp_init(proxy->loop, &conn->downstream.tcp);
	uv_tcp_init(proxy->loop, &conn->upstream.tcp);
	conn->downstream.tcp.data = &conn->downstream;
	conn->upstream.tcp.data = &conn->upstream;
	request->data = conn;
	net_parse_address(proxy->upstream_address, &to);
	if (uv_accept(listener, (uv_stream_t *)&conn->downstream.tcp) ||
	    uv_tcp_connect(request, &conn->upstream.tcp,
			   (const struct sockaddr *)&to, on_connected)) {
		g_free(request);
		close_conn(conn, true);
		return;
	}
	uv_tcp_nodelay(&conn->downstream.tcp, 1);
	uv_read_start((uv_stream_t *)&conn->downstream.tcp, on_alloc, on_read);
	if (proxy->mode == PROXY_RESET)
		close_conn(conn, true);
}

struct proxy *proxy_new(uv_loop_t *loop, const char *upstream_address)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct sockaddr_in address;
	int size = sizeof(address);

	proxy->loop = loop;
	proxy->upstream_address = g_strdup(upstream_address);
	proxy->conns = g_hash_table_new(NULL, NULL);
	uv_tcp_init(loop, &proxy->listener);
	proxy->listener.data = proxy;
	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)&proxy->listener, 128, on_connection);
	uv_tcp_getsockname(&proxy->listener, (struct sockaddr *)&address,
			   &size);
	proxy->address =
		g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	return proxy;
}

const char *proxy_address(const struct proxy *proxy)
{
	return proxy->address;
}

static void reset_conns(struct proxy *proxy)
{
	GList *conns = g_hash_table_get_keys(proxy->conns);
	GList *item;

	for (item = conns; item; item = item->next)
		close_conn(item->data, true);
	g_list_free(conns);
}

void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	proxy->mode = mode;
	if (mode == PROXY_RESET)
		reset_conns(proxy);
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct proxy *proxy = handle->data;

	proxy->is_closed = true;
	free_if_closed(proxy);
}

void proxy_drop(struct proxy *proxy)
{
	reset_conns(proxy);
	uv_close((uv_handle_t *)&proxy->listener, on_listener_closed);
}
