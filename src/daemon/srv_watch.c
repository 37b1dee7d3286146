#include <unistd.h>

#include "daemon/srv_internal.h"

/*
 * h2o stops reading from an HTTP/1 connection while a request is handled, so
 * it does not notice that the caller hangs up. A duplicate of the descriptor
 * is watched for the end of the stream instead.
 */
struct srv_watch {
	uv_poll_t poll;
	struct srv_call *call;
	int fd;
};

static void on_hang_up(uv_poll_t *poll, int status, int events)
{
	struct srv_watch *watch = poll->data;

	if (!status && !(events & UV_DISCONNECT))
		return;
	uv_poll_stop(poll);
	if (watch->call)
		srv_call_cancel(watch->call, ERR_CANCELLED,
				"the caller closed the connection");
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

struct srv_watch *srv_watch_new(struct srv_call *call)
{
	h2o_conn_t *conn = call->req->conn;
	struct srv_watch *watch;
	int fd;

	fd = dup(h2o_socket_get_fd(conn->callbacks->get_socket(conn)));
	if (fd < 0)
		return NULL;
	watch = g_new0(struct srv_watch, 1);
	watch->fd = fd;
	watch->call = call;
	watch->poll.data = watch;
	if (uv_poll_init(call->server->loop, &watch->poll, fd)) {
		close(fd);
		g_free(watch);
		return NULL;
	}
	uv_poll_start(&watch->poll, UV_DISCONNECT, on_hang_up);
	return watch;
}

void srv_watch_drop(struct srv_watch *watch)
{
	if (!watch)
		return;
	watch->call = NULL;
	uv_poll_stop(&watch->poll);
	close(watch->fd);
	uv_close((uv_handle_t *)&watch->poll, on_closed);
}
