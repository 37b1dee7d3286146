#ifndef WAGTAILFERRY_DAEMON_PEER_INTERNAL_H
#define WAGTAILFERRY_DAEMON_PEER_INTERNAL_H

/* Private to the peer links. */

#include <zmq.h>

#include "daemon/peer.h"

/*
 * A socket whose descriptor the loop watches. The descriptor is triggered by
 * edges only, so each wake-up receives until nothing is left, or yields to
 * the loop and goes on from a timer.
 */
struct peer_socket {
	void *socket;
	uv_poll_t poll;
	uv_timer_t resume;
	unsigned open_handles;
	/* Receives one message; false if there was none. */
	bool (*receive)(struct peer_socket *socket);
	void (*closed)(struct peer_socket *socket);
	void *user;
};

/* Watches a bound socket; takes the socket over. */
bool peer_socket_watch(struct peer_socket *watched, uv_loop_t *loop,
		       void *socket);

/* Closes the socket at once; calls closed() from the loop. */
void peer_socket_close(struct peer_socket *watched);

/* Whether a message can be received now. */
bool peer_socket_is_readable(void *socket);

/*
 * Receives one message of up to max parts into parts; returns the number of
 * parts, 0 if there was no message, and max + 1 if there were more, which are
 * discarded. The caller closes the parts up to max.
 */
size_t peer_socket_receive(void *socket, zmq_msg_t *parts, size_t max);

/* Answers requests of libzmq to authenticate a connection (RFC 27, ZAP). */
struct peer_zap {
	struct peer_socket watched;
	GHashTable *ids; /* public key as 32 bytes (GBytes) to id, borrowed */
	struct ctr_set *counters; /* borrowed */
};

bool peer_zap_open(struct peer_zap *zap, void *context, uv_loop_t *loop);

#endif
