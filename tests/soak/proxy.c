#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "daemon/net.h"
#include "soak.h"

#define DELAY_MS 120

struct link;

/* One direction of a connection. */
struct side {
	uv_tcp_t tcp;
	struct link *link;
	struct side *other;
	bool is_open;
	char buffer[16384];
};

struct link {
	struct proxy *proxy;
	struct side near;
	struct side far;
	bool is_connected;
	GString *waiting;
	unsigned handles;
	bool is_closing;
};

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char *address;
	char *upstream;
	enum proxy_mode mode;
	GHashTable *links;
	bool is_dropped;
	bool is_closed;
};

struct parcel {
	uv_write_t write;
	uv_timer_t timer;
	struct side *to;
	struct proxy *proxy;
	struct link *link;
	char *bytes;
	size_t len;
};

static void release(struct proxy *proxy)
{
	if (!proxy->is_closed || g_hash_table_size(proxy->links))
		return;
	g_hash_table_unref(proxy->links);
	g_free(proxy->address);
	g_free(proxy->upstream);
	g_free(proxy);
}

static void on_side_closed(uv_handle_t *handle)
{
	struct side *side = handle->data;
	struct link *link = side->link;
	struct proxy *proxy = link->proxy;

	if (--link->handles)
		return;
	g_hash_table_remove(proxy->links, link);
	g_string_free(link->waiting, TRUE);
	g_free(link);
	release(proxy);
}

static void close_side(struct side *side, bool reset)
{
	struct linger at_once = {.l_onoff = 1, .l_linger = 0};
	uv_os_fd_t fd;

	if (reset && !uv_fileno((uv_handle_t *)&side->tcp, &fd))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	uv_close((uv_handle_t *)&side->tcp, on_side_closed);
}

static void close_link(struct link *link, bool reset)
{
	if (link->is_closing)
		return;
	link->is_closing = true;
	close_side(&link->near, reset);
	close_side(&link->far, reset);
}

static void parcel_free(struct parcel *parcel)
{
	g_free(parcel->bytes);
	g_free(parcel);
}

static void on_written(uv_write_t *write, int status)
{
	(void)status;
	parcel_free(write->data);
}

static void write_parcel(struct parcel *parcel)
{
	uv_buf_t buffer = uv_buf_init(parcel->bytes, (unsigned)parcel->len);

	parcel->write.data = parcel;
	if (uv_write(&parcel->write, (uv_stream_t *)&parcel->to->tcp, &buffer,
		     1, on_written))
		parcel_free(parcel);
}

static void on_delay_closed(uv_handle_t *handle)
{
	struct parcel *parcel = handle->data;

	if (g_hash_table_contains(parcel->proxy->links, parcel->link) &&
	    !parcel->link->is_closing && parcel->proxy->mode != PROXY_SILENT)
		write_parcel(parcel);
	else
		parcel_free(parcel);
}

static void on_delay(uv_timer_t *timer)
{
	uv_close((uv_handle_t *)timer, on_delay_closed);
}

static void forward(struct side *to, const char *bytes, size_t len)
{
	struct parcel *parcel = g_new0(struct parcel, 1);

	parcel->to = to;
	parcel->link = to->link;
	parcel->proxy = to->link->proxy;
	parcel->bytes = g_memdup2(bytes, len);
	parcel->len = len;
	if (parcel->proxy->mode != PROXY_DELAY) {
		write_parcel(parcel);
		return;
	}
	uv_timer_init(parcel->proxy->loop, &parcel->timer);
	parcel->timer.data = parcel;
	uv_timer_start(&parcel->timer, on_delay, DELAY_MS, 0);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	struct side *side = handle->data;

	(void)size;
	*buffer = uv_buf_init(side->buffer, sizeof(side->buffer));
}

static bool passes(const struct link *link, const struct side *from)
{
	switch (link->proxy->mode) {
	case PROXY_SILENT:
		return false;
	case PROXY_ONE_WAY:
		return from == &link->near;
	default:
		return true;
	}
}

/* Only a clean end of which nothing is held back is passed on as one. */
static bool is_clean_end(const struct side *side, ssize_t n)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

	if (n != UV_EOF || side->link->proxy->mode != PROXY_PASS ||
	    uv_fileno((const uv_handle_t *)&side->tcp, &fd))
		return false;
	return !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) && !error;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buffer)
{
	struct side *side = stream->data;
	struct link *link = side->link;

	if (link->is_closing || !n)
		return;
	if (n < 0 || link->proxy->mode == PROXY_RESET) {
		close_link(link, !is_clean_end(side, n));
		return;
	}
	if (!passes(link, side))
		return;
	if (side == &link->near && !link->is_connected)
		g_string_append_len(link->waiting, buffer->base, n);
	else
		forward(side->other, buffer->base, (size_t)n);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct link *link = request->data;

	g_free(request);
	if (link->is_closing)
		return;
	if (status) {
		close_link(link, true);
		return;
	}
	link->is_connected = true;
	uv_tcp_nodelay(&link->far.tcp, 1);
	uv_read_start((uv_stream_t *)&link->far.tcp, on_alloc, on_read);
	if (link->waiting->len)
		forward(&link->far, link->waiting->str, link->waiting->len);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct link *link = g_new0(struct link, 1);
	uv_connect_t *request = g_new0(uv_connect_t, 1);
	struct sockaddr_in to;

	(void)status;
	link->proxy = proxy;
	link->waiting = g_string_new(NULL);
	link->near.link = link;
	link->far.link = link;
	link->near.other = &link->far;
	link->far.other = &link->near;
	link->handles = 2;
	g_hash_table_add(proxy->links, link);
	uv_tcp_init(proxy->loop, &link->near.tcp);
	uv_tcp_init(proxy->loop, &link->far.tcp);
	link->near.tcp.data = &link->near;
	link->far.tcp.data = &link->far;
	request->data = link;
	net_parse_address(proxy->upstream, &to);
	if (uv_accept(listener, (uv_stream_t *)&link->near.tcp) ||
	    uv_tcp_connect(request, &link->far.tcp,
			   (const struct sockaddr *)&to, on_connected)) {
		g_free(request);
		close_link(link, true);
		return;
	}
	uv_tcp_nodelay(&link->near.tcp, 1);
	uv_read_start((uv_stream_t *)&link->near.tcp, on_alloc, on_read);
	if (proxy->mode == PROXY_RESET)
		close_link(link, true);
}

struct proxy *proxy_new(uv_loop_t *loop, const char *upstream)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct sockaddr_in address;
	int size = sizeof(address);

	proxy->loop = loop;
	proxy->upstream = g_strdup(upstream);
	proxy->links = g_hash_table_new(NULL, NULL);
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

static void reset_links(struct proxy *proxy)
{
	GList *links = g_hash_table_get_keys(proxy->links);
	GList *item;

	for (item = links; item; item = item->next)
		close_link(item->data, true);
	g_list_free(links);
}

void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	proxy->mode = mode;
	if (mode == PROXY_RESET)
		reset_links(proxy);
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct proxy *proxy = handle->data;

	proxy->is_closed = true;
	release(proxy);
}

void proxy_drop(struct proxy *proxy)
{
	reset_links(proxy);
	uv_close((uv_handle_t *)&proxy->listener, on_listener_closed);
}
