#ifndef WAGTAILFERRY_LIMITS_H
#define WAGTAILFERRY_LIMITS_H

/*
 * lim: limits that hold over all router instances together. Each scope (the
 * calls of an organisation to one model or service) has one owner among the
 * live instances, which keeps the token buckets and the count of calls in
 * progress.
 * The others ask it for grants, in batches that follow their demand, so that a
 * scope without traffic costs nothing and no instance knows all scopes.
 */

#include <wagtailferry/core.h>

enum lim_kind {
	LIM_KIND_DEMAND = 60,
	LIM_KIND_GRANT,
};

enum lim_verdict {
	LIM_ADMITTED,
	LIM_PENDING, /* the decision comes through decided() */
	LIM_REFUSED,
};

struct lim_config {
	clk_ms answer_timeout; /* wait for the owner, then the fallback */
	clk_ms prefetch;       /* span whose demand is requested in advance */
	clk_ms grant_lifetime; /* then unused calls and tokens are returned */
	clk_ms sync_interval;  /* of the count of held slots */
	clk_ms takeover_wait;  /* before a new owner grants slots */
	clk_ms idle;	       /* after which a scope's state is dropped */
	/* The decision about a call that was LIM_PENDING. */
	void (*decided)(struct wf_ctx *ctx, void *user, uint64_t call_id,
			bool admitted, clk_ms retry_after);
	/* Number of listed instances that seem dead; NULL: 0. */
	unsigned (*count_dead)(void *user);
	void *user;
};

/* Defaults for every field but the callbacks. */
void lim_config_init(struct lim_config *config);

struct lim_limits;

struct lim_limits *lim_new(struct wf_ctx *ctx, const struct lim_config *config);

/* The module interface. Takes TICK, PEER (kinds 60-79) and DRAIN. */
struct wf_module *lim_module(struct lim_limits *limits);

/*
 * Asks whether a call may start. All calls of one scope must be under the
 * same rule; the policy of the newest revision applies. tokens is the estimate
 * that is charged now. LIM_REFUSED sets *retry_after. An admitted call must be
 * ended by lim_done().
 */
enum lim_verdict lim_request(struct wf_ctx *ctx, struct lim_limits *limits,
			     uint64_t call_id, const char *scope,
			     const struct wf_policy *policy,
			     uint64_t rules_revision, unsigned tokens,
			     clk_ms *retry_after);

/* Ends an admitted call, or withdraws a pending one. */
void lim_done(struct wf_ctx *ctx, struct lim_limits *limits, uint64_t call_id,
	      unsigned tokens_used);

/* The number of scopes with state here, as requester and as owner. */
size_t lim_count_scopes(const struct lim_limits *limits);

#endif
