#ifndef WAGTAILFERRY_DISTRIBUTION_H
#define WAGTAILFERRY_DISTRIBUTION_H

/*
 * dst: distribution of the rules to all instances. A few instances of each
 * data centre watch the manifest in the store; the others learn of a new
 * revision from peers and fetch from them only the chunks that changed. The
 * revision in force never decreases.
 */

#include <wagtailferry/core.h>
#include <wagtailferry/rules.h>

enum dst_kind {
	DST_KIND_ANNOUNCE = 20,
	DST_KIND_REQUEST,
	DST_KIND_RESPONSE,
};

struct dst_config {
	unsigned watchers; /* instances of a data centre that watch the store */
	clk_ms watch_timeout;
	clk_ms store_timeout;
	clk_ms peer_timeout;
	clk_ms poll_interval; /* between polls of the manifest's version */
	clk_ms poll_interval_per_peer; /* added for each instance */
	unsigned fanout;	       /* peers notified of a new revision */
};

/* Defaults for every field. */
void dst_config_init(struct dst_config *config);

struct dst_distribution;

/* A NULL config means the defaults. */
struct dst_distribution *dst_new(struct wf_ctx *ctx,
				 const struct dst_config *config);

/* The module; takes START, TICK, STORE_REPLY and PEER (kinds 20-39). */
struct wf_module *dst_module(struct dst_distribution *distribution);

/* The revision in force, 0 before the first. */
uint64_t dst_revision(const struct dst_distribution *distribution);

/* The rules in force, NULL before the first. Borrowed until the next event. */
const struct rul_set *dst_rules(const struct dst_distribution *distribution);

/* Fetches the revision that a peer states if it is newer. */
void dst_handle_revision(struct wf_ctx *ctx,
			 struct dst_distribution *distribution,
			 const char *peer, uint64_t revision);

#endif
