#ifndef SCHED_TGT_LOAD_H
#define SCHED_TGT_LOAD_H

/* Load estimates and admission of requests per target. */

#include "sched/tgt_table.h"

/*
 * A target that holds the prompt's prefix is preferred only while its load is
 * at most this multiple of the mean (plus one step).
 */
#define TGT_LOCALITY_MAX_LOAD 1.25

#define TGT_WINDOW_START 2.5

/* Estimated concurrent steps at the target, own and of other instances. */
double tgt_load(const struct wf_ctx *ctx, const struct tgt_table *targets,
		const struct tgt_target *target);

/*
 * The part of tgt_load() due to long requests. Reports do not contain it; other
 * instances are assumed to have the same mix as this one.
 */
double tgt_long_load(const struct wf_ctx *ctx, const struct tgt_table *targets,
		     const struct tgt_target *target);

/* Slots available now: fewer in slow start after joining or recovery. */
double tgt_effective_slots(const struct wf_ctx *ctx,
			   const struct tgt_table *targets,
			   const struct tgt_target *target);

/* What a request needs of a target. */
struct tgt_demand {
	double load; /* concurrent steps */
	bool is_long;
	bool restricted; /* to some data centres */
};

/* Whether a request may start at the target now. */
bool tgt_has_room(const struct wf_ctx *ctx, const struct tgt_table *targets,
		  const struct tgt_target *target,
		  const struct tgt_demand *demand);

/* Adds or removes an own request. */
void tgt_charge(struct wf_ctx *ctx, struct tgt_table *targets,
		struct tgt_target *target, double load, bool is_long);
void tgt_release(struct tgt_table *targets, struct tgt_target *target,
		 double load, bool is_long);

/* Treats a target that refused as overloaded as full until its report. */
void tgt_mark_full(struct tgt_target *target);

/* Adapts the window to the waiting steps of the last report. */
void tgt_adapt_window(struct tgt_target *target);

/* Records the ratio of the observed to the expected time of a token. */
void tgt_observe_token_time(struct tgt_table *targets,
			    struct tgt_target *target, double ratio);

#endif
