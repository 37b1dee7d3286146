#ifndef WAGTAILFERRY_SCHED_H
#define WAGTAILFERRY_SCHED_H

/*
 * Routing and execution of model requests: target table, chains, admission
 * and queues, streams with recovery. Section 4 of docs/design.md is the
 * specification, docs/scheduling.md gives the reasons and the figures.
 */

#include <wagtailferry/core.h>

/* Target table */

/* All targets this instance knows: list, reports, own requests in flight. */
struct tgt_targets;

struct tgt_config {
	clk_ms poll_period;  /* shortest time between polls of one target */
	clk_ms slow_start;   /* time until a new target gets its full share */
	clk_ms breaker_open; /* first time a circuit breaker stays open */
	double link_us;	     /* cost of a hop within a data centre */
	double far_link_us;  /* cost of a hop between data centres */
	bool use_breaker;
	bool use_inflation; /* avoid targets whose observed steps are slow */
	bool use_locality;  /* prefer targets that hold the prompt's prefix */
};

/* Fills in the defaults. */
void tgt_config_init(struct tgt_config *config);

/*
 * The module of the target table (WF_MODULE_TARGETS). It handles
 * WF_EV_INSTANCES, WF_EV_REPORT, WF_EV_CACHE, WF_EV_PEER of kinds 80-99 and
 * WF_EV_TICK. A NULL config means the defaults.
 */
struct tgt_targets *tgt_new(struct wf_ctx *ctx,
			    const struct tgt_config *config);

/* The table as a module of the core. Borrowed. */
struct wf_module *tgt_module(struct tgt_targets *targets);

/* Model requests */

/* All model requests of this instance: queues and streams. */
struct run_runs;

struct run_config {
	struct tgt_targets *targets; /* borrowed, must outlive the runs */
};

/* Fills in the defaults; targets stays NULL. */
void run_config_init(struct run_config *config);

/*
 * The module that executes model requests (WF_MODULE_RUNS). It handles
 * WF_EV_CALL of kind WF_CALL_MODEL, WF_EV_CALLER_GONE, WF_EV_STREAM of its
 * operations, WF_EV_DRAIN and WF_EV_TICK. Broadcast events must reach the
 * target table first.
 */
struct run_runs *run_new(struct wf_ctx *ctx, const struct run_config *config);

/* The runs as a module of the core. Borrowed. */
struct wf_module *run_module(struct run_runs *runs);

/* Whether no request is queued or in flight. */
bool run_is_idle(const struct run_runs *runs);

#endif
