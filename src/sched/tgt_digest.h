#ifndef SCHED_TGT_DIGEST_H
#define SCHED_TGT_DIGEST_H

#include "sched/tgt.h"

/* Peer message kinds of the target table. */
enum {
	TGT_PEER_DIGEST = 80,
	TGT_PEER_LEAVING = 81,
};

/*
 * Evidence polls end within the shortest bound of a resumed stream, so that
 * their reports are there when it passes.
 */
#define TGT_HEALTH_TIMEOUT_MS 150

/* Applies a report that this instance's poll brought. */
void tgt_apply_report(struct wf_ctx *ctx, struct tgt_table *targets,
		      const struct wf_report *report);

/* Applies a message of another instance. */
void tgt_apply_peer(struct wf_ctx *ctx, struct tgt_table *targets,
		    const struct wf_peer_event *event);

/* Polls the owned targets that are due and sends the digest. */
void tgt_poll_round(struct wf_ctx *ctx, struct tgt_table *targets);

/*
 * Polls a target, owned or not, to find out whether it still answers. The
 * report comes within TGT_HEALTH_TIMEOUT_MS. Does nothing if the last such poll
 * of the target is more recent than 200 ms: its report serves all streams.
 */
void tgt_check_health(struct wf_ctx *ctx, struct tgt_target *target);

/* Spreads the news that a target leaves, as far as this is our part. */
void tgt_broadcast_leaving(struct wf_ctx *ctx, struct tgt_table *targets,
			   struct tgt_target *target, bool told_by_peer);

#endif
