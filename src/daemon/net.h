#ifndef DAEMON_NET_H
#define DAEMON_NET_H

#include <uv.h>

#include <wagtailferry/base.h>

/* Reads an IPv4 address with its port. False if the text is none. */
bool net_parse_address(const char *text, struct sockaddr_in *out);

/*
 * Accepts one connection that waits at a listener outside of its callback.
 * Used before a listener is closed, since the system resets those who wait
 * then. False if none waits or the system refuses.
 */
bool net_accept_pending(uv_tcp_t *listener, uv_os_sock_t *out);

/* The reason phrase of an HTTP status. */
const char *net_reason_phrase(int status);

/* Lets a loop finish the handles that are being closed, for a time at most,
 * and closes it. */
void net_close_loop(uv_loop_t *loop, clk_ms timeout);

#endif
