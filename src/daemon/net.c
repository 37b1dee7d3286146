#include <sys/socket.h>

#include <wagtailferry/schema.h>

#include "daemon/net.h"

bool net_parse_address(const char *text, struct sockaddr_in *out)
{
	char host[INET6_ADDRSTRLEN];
	uint16_t port;

	return sch_split_address(text, host, sizeof(host), &port) &&
	       !uv_ip4_addr(host, port, out);
}

bool net_accept_waiting(uv_tcp_t *listener, uv_os_sock_t *out)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)listener, &fd))
		return false;
	*out = accept(fd, NULL, NULL);
	return *out >= 0;
}

static void on_close_limit(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

void net_finish_loop(uv_loop_t *loop, clk_ms limit)
{
	uv_timer_t timer;

	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_close_limit, (uint64_t)limit, 0);
	uv_unref((uv_handle_t *)&timer);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	uv_loop_close(loop);
}
