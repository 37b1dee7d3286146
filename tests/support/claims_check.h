#ifndef CLAIMS_CHECK_H
#define CLAIMS_CHECK_H

/*
 * claims: invariants of service calls, checked from the simulator's records
 * of runs at targets and answers to callers.
 */

#include "sim.h"

/* A caller gets its answer at most this long after its deadline, ms. */
#define CLAIMS_ANSWER_BOUND_MS 100

/*
 * Returns NULL if all invariants hold, otherwise a description of the first
 * violation, to be freed with g_free(). Call it at the end of a
 * simulation.
 */
char *claims_check(const struct sim *sim);

/* How often a caller's key was run, over all targets. */
unsigned claims_runs_of(const struct sim *sim, const char *org,
			const char *key);

/* A factory for sim_config.make; user is a struct clm_config. */
struct wf_module *claims_make(struct wf_ctx *ctx, void *user);

#endif
