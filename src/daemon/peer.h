#ifndef WAGTAILFERRY_DAEMON_PEER_H
#define WAGTAILFERRY_DAEMON_PEER_H

/*
 * peer: links to the other router instances. One ROUTER socket receives, and
 * a DEALER socket per instance sends; all are encrypted and authenticated with
 * CURVE. A sender is accepted only if the settings list its public key, and
 * only with the id listed for that key.
 */

#include <uv.h>

#include <wagtailferry/core.h>

struct peer_key {
	const char *id;
	const char *public_key; /* Z85 */
};

struct peer_sink;

struct peer_sink_ops {
	/* Receives a message, which is borrowed for the call. */
	void (*message)(struct peer_sink *sink,
			const struct wf_peer_event *message);
};

/* The first member of each object that receives messages. */
struct peer_sink {
	const struct peer_sink_ops *ops;
};

struct peer_config {
	uv_loop_t *loop;
	struct peer_sink *sink;	  /* borrowed */
	struct ctr_set *counters; /* kept */
	const char *self;
	uint64_t incarnation;
	const char *address; /* "IP:port"; port 0 lets the system choose */
	const char *secret_key;
	const char *public_key;
	const struct peer_key *keys;
	size_t n_keys;
};

struct peer_links;

/* Binds the socket and starts to receive. ERR_IO if binding fails. */
struct peer_links *peer_new(const struct peer_config *config, GError **error);

/* Closes all links. The memory is released by the loop, which must run. */
void peer_drop(struct peer_links *links);

/* The bound address as "IP:port". Borrowed. */
const char *peer_address(const struct peer_links *links);

/*
 * Sends a message without blocking. Counts and drops it if the queue is full,
 * the settings list no key for the instance or its address is not known.
 * Returns whether the message was queued.
 */
bool peer_send(struct peer_links *links, const char *id, const char *address,
	       unsigned kind, const void *body, size_t len);

#endif
