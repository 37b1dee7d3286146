#ifndef CLAIMS_CHECK_H
#define CLAIMS_CHECK_H

/*
 * Invariants of service calls, checked from the records of a sim: targets'
 * runs and callers' answers.
 */

#include "sim.h"

/* How long after its deadline a caller may get its answer, ms. */
#define CLAIMS_ANSWER_BOUND_MS 100

/*
 * Returns NULL if all invariants hold, otherwise a description of the first
 * violation, to be freed with g_free(). Call it at the end of a history.
 */
char *claims_check(const struct sim *sim);

/* The number of runs of a caller's key at all targets. */
unsigned claims_runs_of(const struct sim *sim, const char *org,
			const char *key);

/* A factory for sim_config.make; user is a struct clm_config. */
struct wf_module *claims_make(struct wf_ctx *ctx, void *user);

#endif
