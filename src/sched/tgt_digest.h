#ifndef SCHED_TGT_DIGEST_H
#define SCHED_TGT_DIGEST_H

/*
 * Load reports: polls of targets, and digests that share them among instances.
 */

#include "sched/tgt_table.h"

/* Peer message kinds of the target table. */
enum {
	TGT_PEER_DIGEST = 80,
	TGT_PEER_LEAVING = 81,
};

/*
 * Health checks end within the shortest gap bound of a resumed stream, so that
 * their results are known when it expires.
 */
#define TGT_HEALTH_TIMEOUT_MS 150

/* Applies the result of an own poll. */
void tgt_apply_report(struct wf_ctx *ctx, struct tgt_table *targets,
		      const struct wf_report *report);

/* Applies a message of another instance. */
void tgt_apply_peer(struct wf_ctx *ctx, struct tgt_table *targets,
		    const struct wf_peer_event *event);

/* Polls the owned targets that are due and sends the digest. */
void tgt_poll_round(struct wf_ctx *ctx, struct tgt_table *targets);

/*
 * Polls a target, owned or not, to find out whether it still answers. The
 * report comes within TGT_HEALTH_TIMEOUT_MS. Does nothing if the last check of
 * the target started less than 200 ms ago: its result serves all streams.
 */
void tgt_check_health(struct wf_ctx *ctx, struct tgt_target *target);

/* Tells the instances that this one has to notify of a leaving target. */
void tgt_broadcast_leaving(struct wf_ctx *ctx, struct tgt_table *targets,
			   struct tgt_target *target, bool told_by_peer);

#endif
