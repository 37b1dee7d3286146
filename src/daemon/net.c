#define _GNU_SOURCE

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
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

bool net_accept_pending(uv_tcp_t *listener, uv_os_sock_t *out)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)listener, &fd))
		return false;
	*out = accept(fd, NULL, NULL);
	return *out >= 0;
}

/* The byte of a TCP header that holds its flags. */
#define TCP_FLAGS_OFFSET 13

void net_ignore_new_connections(uv_tcp_t *listener)
{
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {G_N_ELEMENTS(drop_syn), drop_syn};
	uv_os_fd_t fd;

	if (!uv_fileno((uv_handle_t *)listener, &fd))
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			   sizeof(program));
}

bool net_has_unread_bytes(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	return !uv_fileno((const uv_handle_t *)tcp, &fd) &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool net_is_closed_by_peer(const uv_tcp_t *tcp)
{
	/* Unlike recv() with MSG_PEEK, it sees a FIN behind unread bytes and
	 * leaves the error of a reset to the next read. */
	struct pollfd socket = {.events = POLLRDHUP};

	return !uv_fileno((const uv_handle_t *)tcp, &socket.fd) &&
	       poll(&socket, 1, 0) > 0;
}

void net_block_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, NULL);
}

const char *net_reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 408:
		return "Request Timeout";
	case 409:
		return "Conflict";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
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
		return status < 400 ? "OK" : "Error";
	}
}

static void on_close_timeout(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

void net_close_loop(uv_loop_t *loop, clk_ms timeout)
{
	uv_timer_t timer;

	uv_timer_init(loop, &timer);
	uv_timer_start(&timer, on_close_timeout, (uint64_t)timeout, 0);
	uv_unref((uv_handle_t *)&timer);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	uv_loop_close(loop);
}
