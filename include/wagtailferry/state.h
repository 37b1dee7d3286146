#ifndef WAGTAILFERRY_STATE_H
#define WAGTAILFERRY_STATE_H

/*
 * Shared state in the object API: claims for service calls, leases and
 * duties. The modules perform no I/O; see core.h.
 */

#include <wagtailferry/core.h>

/* Claims: at-most-once execution of calls that must not be repeated */

/* Peer message kinds of the claims module. */
#define CLM_KIND_FIRST 40
#define CLM_KIND_LAST 59

/* Length of the key that a target sees: hexadecimal digits and a NUL. */
#define CLM_TARGET_KEY_SIZE 33

struct clm_config {
	clk_ms window;		    /* key times grouped in one object */
	unsigned n_shards;	    /* objects of one window */
	clk_ms retention;	    /* how long keys are remembered */
	clk_ms skew;		    /* largest clock difference */
	clk_ms commit_interval;	    /* least time between writes of an object */
	clk_ms completion_interval; /* longest time a completion waits */
	size_t max_answer;	    /* bytes of an answer kept in an entry */
	size_t max_object;	    /* bytes of an object */
	unsigned max_runs;	    /* calls remembered by this instance */
	unsigned max_callers;	    /* callers that wait for one key */
	unsigned max_objects;	    /* objects cached by this instance */
	size_t max_cached;	    /* bytes of the objects cached */
	unsigned max_pending;	    /* items waiting at one object */
	clk_ms store_timeout;
	clk_ms target_timeout;
	clk_ms status_timeout;
	clk_ms owner_timeout;	 /* then the caller's instance commits */
	clk_ms default_deadline; /* of a call without one */
	clk_ms max_deadline;
	clk_ms keep_finished;	 /* a finished call stays known locally */
	clk_ms completion_limit; /* then an unstored completion is dropped */
	double retry_ratio;	 /* retries per request, repeatable calls */
	unsigned max_attempts;	 /* per repeatable call */
	unsigned status_tries;	 /* status queries when the holder is gone */
	clk_ms sweep_interval;	 /* between two steps of the sweep */
	unsigned sweep_deletes;	 /* deletes in one step */
};

/* Fills in the defaults. */
void clm_config_init(struct clm_config *config);

struct clm_claims;

/*
 * A claims module; struct wf_module is its first member, so that the pointer
 * casts to struct wf_module. The configuration is copied. Freed by the
 * module's drop().
 */
struct clm_claims *clm_new(struct wf_ctx *ctx, const struct clm_config *config);

/* The module behind the claims. Borrowed. */
struct wf_module *clm_module(struct clm_claims *claims);

/*
 * Whether no call is unanswered and no claim or completion waits for the
 * store. A drain is complete when it is true.
 */
bool clm_is_idle(const struct clm_claims *claims);

/*
 * The creation time in an idempotency key: a UUIDv7 or "<unix ms>-<text>".
 * Returns false if the key has neither form.
 */
bool clm_key_time(const char *key, clk_ms *time);

/*
 * The key under which a target sees a call and answers status queries: 32
 * hexadecimal digits that depend on the organisation and its key, so that
 * two organisations never share one. Writes CLM_TARGET_KEY_SIZE bytes.
 */
void clm_target_key(const char *org, const char *key, char *out);

#endif
