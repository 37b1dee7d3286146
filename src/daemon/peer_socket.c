#include "daemon/peer_internal.h"

/* Messages received per wake-up before yielding to the loop. */
#define MAX_BATCH 128

bool peer_socket_is_readable(void *socket)
{
	int events = 0;
	size_t size = sizeof(events);

	if (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size))
		return false;
	return events & ZMQ_POLLIN;
}

static bool has_more(zmq_msg_t *part)
{
	return zmq_msg_more(part) != 0;
}

/* Discards the rest of a message with too many parts. */
static void discard_rest(void *socket)
{
	zmq_msg_t part;
	bool more = true;

	while (more) {
		zmq_msg_init(&part);
		more = zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) >= 0 &&
		       has_more(&part);
		zmq_msg_close(&part);
	}
}

size_t peer_socket_receive(void *socket, zmq_msg_t *parts, size_t max)
{
	size_t n = 0;

	while (n < max) {
		zmq_msg_init(&parts[n]);
		if (zmq_msg_recv(&parts[n], socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&parts[n]);
			return n;
		}
		n++;
		if (!has_more(&parts[n - 1]))
			return n;
	}
	discard_rest(socket);
	return max + 1;
}

static void on_resume(uv_timer_t *timer);

static void drain(struct peer_socket *watched)
{
	unsigned i;

	for (i = 0; i < MAX_BATCH && watched->socket; i++) {
		if (!peer_socket_is_readable(watched->socket))
			return;
		if (!watched->receive(watched))
			return;
	}
	if (watched->socket)
		uv_timer_start(&watched->resume, on_resume, 0, 0);
}

static void on_resume(uv_timer_t *timer)
{
	drain(timer->data);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	drain(poll->data);
}

bool peer_socket_watch(struct peer_socket *watched, uv_loop_t *loop,
		       void *socket)
{
	int fd;
	size_t size = sizeof(fd);

	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size))
		return false;
	if (uv_poll_init(loop, &watched->poll, fd))
		return false;
	uv_timer_init(loop, &watched->resume);
	watched->socket = socket;
	watched->open_handles = 2;
	watched->poll.data = watched;
	watched->resume.data = watched;
	uv_poll_start(&watched->poll, UV_READABLE, on_readable);
	/* The edge may have occurred before polling began. */
	uv_timer_start(&watched->resume, on_resume, 0, 0);
	return true;
}

static void on_closed(uv_handle_t *handle)
{
	struct peer_socket *watched = handle->data;

	if (!--watched->open_handles)
		watched->closed(watched);
}

void peer_socket_close(struct peer_socket *watched)
{
	uv_close((uv_handle_t *)&watched->poll, on_closed);
	uv_close((uv_handle_t *)&watched->resume, on_closed);
	zmq_close(watched->socket);
	watched->socket = NULL;
}
