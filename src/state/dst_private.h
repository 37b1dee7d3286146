#ifndef DST_PRIVATE_H
#define DST_PRIVATE_H

#include <wagtailferry/distribution.h>

#include "schema/distribution.pb-c.h"

/* The fetch of a new revision. */
struct dst_fetch {
	bool active;
	uint64_t wanted; /* highest revision that a source has stated */
	char *source;	 /* current peer, NULL: the store */
	unsigned tries;
	uint64_t sequence;   /* of the request to the peer */
	unsigned store_gets; /* chunk reads in flight */
	unsigned progress;   /* chunks received since the last request */
	clk_ms deadline;
	struct rul_manifest *manifest; /* NULL until received */
	GBytes *encoded;
	GHashTable *chunks; /* hash to GBytes, new ones only */
};

struct dst_distribution {
	struct wf_module module;
	struct dst_config config;
	uint64_t revision;
	struct rul_set *rules;
	GBytes *encoded;    /* manifest in force, as stored */
	GHashTable *chunks; /* hash to GBytes, of the text in force */
	uint64_t rejected;  /* highest revision that cannot be applied */
	struct dst_fetch fetch;
	uint64_t next_sequence;
	GHashTable *store_ops; /* op to chunk hash, "" for the manifest */
	uint64_t watch_op;
	uint64_t watch_after;
	uint64_t poll_op;
	uint64_t store_version; /* of the manifest object last read */
	clk_ms next_watch;
	clk_ms next_poll;
};

/* dst_fetch.c */
/* Starts to fetch from a peer, or from the store if it is NULL. */
void dst_fetch_start(struct wf_ctx *ctx, struct dst_distribution *dst,
		     const char *peer, uint64_t revision);
void dst_fetch_set_manifest(struct wf_ctx *ctx, struct dst_distribution *dst,
			    GBytes *value);
/* Adds a chunk if it matches the hash; returns whether it does. */
bool dst_fetch_add_chunk(struct wf_ctx *ctx, struct dst_distribution *dst,
			 const char *hash, GBytes *data);
/* Requests missing chunks, or applies the revision if none is missing. */
void dst_fetch_continue(struct wf_ctx *ctx, struct dst_distribution *dst);
/* Switches to another source, after a failure of the current one. */
void dst_fetch_next_source(struct wf_ctx *ctx, struct dst_distribution *dst);
void dst_fetch_end(struct dst_distribution *dst);

/* dst_apply.c */
/* Puts the fetched revision in force, or rejects it. */
void dst_apply(struct wf_ctx *ctx, struct dst_distribution *dst);
GBytes *dst_find_chunk(void *user, const char *hash);

/* dst_peer.c */
void dst_send_request(struct wf_ctx *ctx, struct dst_distribution *dst,
		      const GPtrArray *missing);
void dst_announce(struct wf_ctx *ctx, struct dst_distribution *dst);
void dst_handle_peer(struct wf_ctx *ctx, struct dst_distribution *dst,
		     const struct wf_peer_event *event);

/* dst_store.c */
void dst_store_get(struct wf_ctx *ctx, struct dst_distribution *dst,
		   const char *chunk);
void dst_store_tick(struct wf_ctx *ctx, struct dst_distribution *dst);
void dst_handle_store(struct wf_ctx *ctx, struct dst_distribution *dst,
		      const struct wf_store_reply *reply);

#endif
