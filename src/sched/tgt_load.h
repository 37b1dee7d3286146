#ifndef SCHED_TGT_LOAD_H
#define SCHED_TGT_LOAD_H

#include "sched/tgt.h"

/*
 * A target that holds the prompt's prefix is preferred only while its load is
 * at most this multiple of the mean (plus one step).
 */
#define TGT_LOCALITY_MAX_LOAD 1.25

#define TGT_WINDOW_START 2.5

/* Estimated steps at once at the target, own and of other instances. */
double tgt_load(const struct wf_ctx *ctx, const struct tgt_table *targets,
		const struct tgt_target *target);

/*
 * The part of tgt_load() that is long requests. Reports do not tell; other
 * instances are taken to have the same mix as this one.
 */
double tgt_long_load(const struct wf_ctx *ctx, const struct tgt_table *targets,
		     const struct tgt_target *target);

/* Slots that count now: fewer during slow start and half-open recovery. */
double tgt_effective_slots(const struct wf_ctx *ctx,
			   const struct tgt_table *targets,
			   const struct tgt_target *target);

/* What a request wants of a target. */
struct tgt_demand {
	double load; /* steps at once */
	bool is_long;
	bool restricted; /* to some data centres */
};

/* Whether a request may start at the target now. */
bool tgt_has_room(const struct wf_ctx *ctx, const struct tgt_table *targets,
		  const struct tgt_target *target,
		  const struct tgt_demand *demand);

/* Adds (or with a negative load removes) an own request. */
void tgt_charge(struct wf_ctx *ctx, struct tgt_table *targets,
		struct tgt_target *target, double load, bool is_long);
void tgt_release(struct tgt_table *targets, struct tgt_target *target,
		 double load, bool is_long);

/* Takes a target that refused for lack of room as full until its report. */
void tgt_mark_full(struct tgt_target *target);

/* Throttles new requests by the waiting steps of the last report. */
void tgt_adapt_window(struct tgt_target *target);

/* Notes the observed time of a token against the expected one. */
void tgt_observe_token_time(struct tgt_table *targets,
			    struct tgt_target *target, double ratio);

#endif
