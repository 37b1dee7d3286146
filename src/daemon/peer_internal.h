#ifndef WAGTAILFERRY_DAEMON_PEER_INTERNAL_H
#define WAGTAILFERRY_DAEMON_PEER_INTERNAL_H

/* Private to the peer links. */

#include <zmq.h>

#include "daemon/peer.h"

/*
 * A ZeroMQ socket polled by the loop. Its descriptor is edge-triggered, so each
 * wake-up receives until the socket is empty, or yields to the loop after a
 * batch and continues from a timer.
 */
struct peer_socket {
	void *socket;
	uv_poll_t poll;
	uv_timer_t resume;
	unsigned open_handles;
	/* Receives one message. False if there is none. */
	bool (*receive)(struct peer_socket *socket);
	void (*closed)(struct peer_socket *socket);
	void *user;
};

/* Polls a bound socket and takes ownership of it. False on failure. */
bool peer_socket_watch(struct peer_socket *watched, uv_loop_t *loop,
		       void *socket);

/* Closes the socket at once; calls closed() from the loop. */
void peer_socket_close(struct peer_socket *watched);

/* Whether a message can be received now. */
bool peer_socket_is_readable(void *socket);

/*
 * Receives one message of up to max parts into parts; returns the number of
 * parts, 0 if there is no message, and max + 1 if there are more parts, which
 * are discarded. The caller closes up to max parts.
 */
size_t peer_socket_receive(void *socket, zmq_msg_t *parts, size_t max);

/* Handles libzmq's authentication requests (ZAP, ZeroMQ RFC 27). */
struct peer_zap {
	struct peer_socket watched;
	GHashTable *ids; /* public key as 32 bytes (GBytes) to id, borrowed */
	struct ctr_set *counters; /* borrowed */
};

bool peer_zap_open(struct peer_zap *zap, void *context, uv_loop_t *loop);

#endif
