#ifndef WAGTAILFERRY_SCHED_H
#define WAGTAILFERRY_SCHED_H

/*
 * tgt: target table; run: execution of model requests; bnd: bound of the
 * achievable throughput; rty: retry budget.
 *
 * Routing and execution of model requests: target table, chains, admission
 * and queues, streams with recovery. Section 4 of docs/design.md is the
 * specification, docs/scheduling.md gives the reasons and the figures.
 */

#include <wagtailferry/core.h>

/* Target table */

/* All known targets: list entries, load reports, own requests in flight. */
struct tgt_table;

struct tgt_config {
	clk_ms poll_period;  /* shortest time between polls of one target */
	clk_ms slow_start;   /* time until a new target gets its full share */
	clk_ms breaker_open; /* first time a circuit breaker stays open */
	double link_us;	     /* cost of a hop within a data centre */
	double far_link_us;  /* cost of a hop between data centres */
	bool use_breaker;
	bool use_inflation; /* avoid targets slower than their load explains */
	bool use_locality;  /* prefer targets that hold the prompt's prefix */
};

/* Fills in the defaults. */
void tgt_config_init(struct tgt_config *config);

/*
 * The module of the target table (WF_MODULE_TARGETS). It handles
 * WF_EV_INSTANCES, WF_EV_REPORT, WF_EV_CACHE, WF_EV_PEER of kinds 80-99 and
 * WF_EV_TICK. A NULL config means the defaults.
 */
struct tgt_table *tgt_new(struct wf_ctx *ctx, const struct tgt_config *config);

/* The table as a module of the core. Borrowed. */
struct wf_module *tgt_module(struct tgt_table *targets);

/* Appends all targets and their state as a JSON array. */
void tgt_write_status(const struct wf_ctx *ctx, struct tgt_table *targets,
		      GString *out);

/* A target of a plain service; the strings are borrowed from the table. */
struct tgt_pick {
	tbl_handle handle;
	const char *id;
	const char *address;
};

/*
 * Chooses a usable target of a plain service: the less loaded of two random
 * ones. data_centers limits the choice unless it is NULL; a target named in
 * avoid is taken only if there is no other. Returns false if there is none.
 */
bool tgt_pick_service(struct wf_ctx *ctx, struct tgt_table *targets,
		      const char *service, char **data_centers,
		      const tbl_handle *avoid, size_t n_avoid,
		      struct tgt_pick *out);

/* Counts a call that is sent to a picked target. */
void tgt_service_started(struct wf_ctx *ctx, struct tgt_table *targets,
			 tbl_handle handle);

/* Ends such a call; ok: the target answered (counts for its breaker). */
void tgt_service_ended(struct wf_ctx *ctx, struct tgt_table *targets,
		       tbl_handle handle, bool ok);

/* Model requests */

/* All model requests of this instance: queues and streams. */
struct run_runs;

/* When and how requests are bound to engines. */
enum adm_policy_kind {
	ADM_LATE,  /* wait at the router until engines have a free slot */
	ADM_EARLY, /* push to the queues of the least loaded engines */
	ADM_ROUND_ROBIN,
	ADM_LEAST_OUTSTANDING,
};

/*
 * The flags allow single mechanisms to be switched off in measurements; all
 * are on by default.
 */
struct run_config {
	struct tgt_table *targets; /* borrowed, must outlive the runs */
	enum adm_policy_kind policy;
	size_t queue_limit; /* most waiting requests of one model */
	clk_ms max_wait;    /* longest expected wait without a deadline */
	double retry_part;  /* retries allowed per request */
	double retry_burst; /* retries that can be saved up */
	bool use_deadlines; /* refuse what cannot meet its deadline */
	bool use_classes;   /* separate queues for short and long */
	bool use_fair_share;
	bool use_recovery; /* replace stages; if off, failures are final */
	bool use_resume;
	bool use_replacement; /* if off, only whole new chains */
	bool use_moves;	      /* replace slow stages before they fail */
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

/* The numbers of requests that wait and that have a stream. */
size_t run_n_queued(const struct run_runs *runs);
size_t run_n_streaming(const struct run_runs *runs);

/*
 * A WF_STREAM_FAILED event maps the error types of docs/interfaces.md to
 * error codes: stage_lost as ERR_TARGET_LOST, overloaded as
 * ERR_OVERLOADED, kv_missing as ERR_TARGET_REFUSED, fenced as ERR_FENCED,
 * leaving as ERR_DRAINING, a broken or refused connection to the head as
 * ERR_IO, anything else as ERR_TARGET_FAILED. failed_target is the engine
 * that the event names, otherwise NULL.
 */

/* Achievable bound (bnd: bound on the throughput) */

/* An engine's capacity and the layers that it holds. */
struct bnd_engine {
	unsigned first_layer;
	unsigned last_layer;
	unsigned site; /* number of its data centre */
	double rate;   /* tokens a second over its whole range */
};

/* A directed connection between two sites. */
struct bnd_link {
	unsigned from;
	unsigned to;
	double rate; /* tokens a second */
};

/*
 * An upper bound of the tokens a second that a set of engines can produce:
 * the smaller of two maximum flows, one of engine work over layers (an engine
 * may spread its work over its range in any way) and one of tokens over layer
 * boundaries and links. Sites without links between them exchange nothing;
 * n_links of 0 means that links do not limit. Returns 0 if layers are not
 * covered.
 */
double bnd_throughput(unsigned n_layers, const struct bnd_engine *engines,
		      size_t n_engines, const struct bnd_link *links,
		      size_t n_links);

/* Retry budget (rty: retry) */

/*
 * A token bucket that each request refills by a fraction of a retry. Retries
 * and hedged requests take from it, so that a failure of all targets cannot
 * multiply the load.
 */
struct rty_budget {
	double part;
	double burst;
	double tokens;
};

/* Starts full. part: 0.1 is 10 % of requests; burst: the bucket's size. */
void rty_init(struct rty_budget *budget, double part, double burst);

/* Counts a request. */
void rty_deposit(struct rty_budget *budget);

/* Takes one retry; false if the budget is used up. */
bool rty_withdraw(struct rty_budget *budget);

/*
 * Whether a hedged request may be sent: only for repeatable work, only one,
 * only after the p95 of the answer time, within the budget (which is charged).
 */
bool rty_try_hedge(struct rty_budget *budget, bool repeatable, unsigned sent,
		   clk_ms waited, clk_ms p95);

#endif
