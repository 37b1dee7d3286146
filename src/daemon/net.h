#ifndef DAEMON_NET_H
#define DAEMON_NET_H

/* net: socket, loop and HTTP helpers of the servers. */

#include <uv.h>

#include <wagtailferry/base.h>

/* Parses "IP:port" with an IPv4 address. False if the text is invalid. */
bool net_parse_address(const char *text, struct sockaddr_in *out);

/*
 * Accepts a pending connection outside of the listener's callback. Used
 * before a listener is closed, since the system then resets connections in
 * its backlog. False if none is pending or accept() fails.
 */
bool net_accept_pending(uv_tcp_t *listener, uv_os_sock_t *out);

/*
 * Makes the system ignore connection requests to a listener. Handshakes that
 * have begun still complete, so that a listener can be closed without a reset
 * of connections that nobody has accepted. Callers repeat an ignored request
 * after 1 s (RFC 6298) and are refused by then if the listener is closed.
 */
void net_ignore_new_connections(uv_tcp_t *listener);

/* Whether bytes have arrived on an open connection that the loop has not read
 * yet: it runs timers before it reads. */
bool net_has_unread_bytes(const uv_tcp_t *tcp);

/*
 * Whether the peer has closed or reset an open connection, or shut down sending
 * on it, even if there are bytes before that which have not been read.
 */
bool net_is_closed_by_peer(const uv_tcp_t *tcp);

/*
 * Blocks SIGTERM, SIGINT and SIGHUP for the rest of the process. For its exit:
 * libuv restores the default action of a signal when its handle is closed, and
 * one that comes later would end the process.
 */
void net_block_signals(void);

/* The reason phrase of an HTTP status. */
const char *net_reason_phrase(int status);

/*
 * Runs a loop until its closing handles are closed, at most for the time-out,
 * and closes the loop.
 */
void net_close_loop(uv_loop_t *loop, clk_ms timeout);

#endif
