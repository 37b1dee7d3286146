#ifndef SCHED_TGT_BREAKER_H
#define SCHED_TGT_BREAKER_H

#include "sched/tgt_table.h"

/*
 * Weights of failures; the breaker opens at a sum of 3. Two lost streams within
 * seconds are enough; a single one may be a fault of the link.
 */
#define TGT_FAILURE_LOST 1.5
#define TGT_FAILURE_SILENT 1.0
#define TGT_FAILURE_REFUSED 0.3

/* Whether the breaker lets a new request through. */
bool tgt_breaker_admits(const struct tgt_target *target, clk_ms now);

/* Counts a failure of the target. */
void tgt_record_failure(struct wf_ctx *ctx, struct tgt_table *targets,
			struct tgt_target *target, double weight);

/* Counts work that the target completed. */
void tgt_record_success(struct wf_ctx *ctx, struct tgt_table *targets,
			struct tgt_target *target);

/* Counts a request that starts or ends at the target. */
void tgt_breaker_request_started(struct tgt_target *target, clk_ms now);
void tgt_breaker_request_ended(struct tgt_target *target);

#endif
