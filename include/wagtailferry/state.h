#ifndef WAGTAILFERRY_STATE_H
#define WAGTAILFERRY_STATE_H

/*
 * clm, lse, dut: claims for service calls, leases and duties, which share
 * state through the object API. The modules perform no I/O; see core.h.
 */

#include <wagtailferry/core.h>

/* Claims: at-most-once execution of calls that must not be repeated */

/* Peer message kinds of the claims module. */
#define CLM_KIND_FIRST 40
#define CLM_KIND_LAST 59

/* Length of the key that a target sees: hexadecimal digits and a NUL. */
#define CLM_TARGET_KEY_SIZE 33

struct clm_config {
	clk_ms window;		    /* span of key times in one object */
	unsigned n_shards;	    /* objects per window */
	clk_ms retention;	    /* how long keys are remembered */
	clk_ms skew;		    /* largest clock difference */
	clk_ms commit_interval;	    /* least time between writes of an object */
	clk_ms completion_interval; /* longest delay of a completion */
	size_t max_answer;	    /* bytes of an answer kept in an entry */
	size_t max_object;	    /* bytes of an object */
	unsigned max_runs;	    /* calls tracked by this instance */
	unsigned max_callers;	    /* callers waiting for one key */
	unsigned max_objects;	    /* objects cached by this instance */
	size_t max_cached;	    /* bytes of the objects cached */
	unsigned max_pending;	    /* requests waiting for one object */
	clk_ms store_timeout;
	clk_ms target_timeout;
	clk_ms status_timeout;
	clk_ms owner_timeout;	 /* then the instance with the call commits */
	clk_ms default_deadline; /* of a call without one */
	clk_ms max_deadline;
	clk_ms keep_finished;	 /* finished calls are kept locally */
	clk_ms completion_limit; /* then an unstored completion is dropped */
	double retry_ratio;	 /* retries per request, repeatable calls */
	unsigned max_attempts;	 /* per repeatable call */
	unsigned status_tries;	 /* status queries when the holder is gone */
	clk_ms sweep_interval;	 /* between two steps of the sweep */
	unsigned sweep_deletes;	 /* deletes per step */
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

/* Leases: one holder of a duty at a time */

struct lse_config {
	clk_ms ttl;	       /* validity, from the sending of a renewal */
	clk_ms renew_interval; /* between renewals, less jitter */
	clk_ms pause_margin;   /* no order is sent this close to expiry */
	clk_ms fence_wait;     /* for targets that ignore fencing numbers */
	clk_ms store_timeout;
};

/* Fills in the defaults. */
void lse_config_init(struct lse_config *config);

/*
 * A lease on a duty. It belongs to one module, which passes on store replies
 * and ticks. The object is lease/<duty>; its version is the fencing number.
 */
struct lse_lease;

/* The configuration is copied. Operations belong to the module given. */
struct lse_lease *lse_new(const struct lse_config *config, const char *duty,
			  enum wf_module_id module);
void lse_free(struct lse_lease *lease);

/*
 * Renews, reads or acquires what is due. wanted says whether this instance
 * has a use for the duty; only the first two instances in rendezvous order
 * try to acquire it.
 */
void lse_tick(struct wf_ctx *ctx, struct lse_lease *lease, bool wanted);

/* Returns false if the reply is not the lease's. */
bool lse_handle_reply(struct wf_ctx *ctx, struct lse_lease *lease,
		      const struct wf_store_reply *reply);

/* When lse_tick() has to be called next. */
clk_ms lse_next_wakeup(const struct lse_lease *lease);

/*
 * Whether an order may be sent at ctx->now. Check it in the event that
 * triggers the order. A target that ignores fencing numbers gets no order
 * while a former holder may still send.
 */
bool lse_may_send(const struct wf_ctx *ctx, const struct lse_lease *lease,
		  bool checks_fencing);

/* Whether this instance considers itself the holder, even after expiry. */
bool lse_is_held(const struct lse_lease *lease);

/* The fencing number; 0 if the lease is not held. */
uint64_t lse_fence(const struct lse_lease *lease);

/* Drops the lease because a target has rejected its fencing number. */
void lse_handle_fenced(struct wf_ctx *ctx, struct lse_lease *lease);

/* Releases the lease in the store, so that a successor need not wait. */
void lse_release(struct wf_ctx *ctx, struct lse_lease *lease);

/* The holder's data in the lease object; NULL if empty. Borrowed. */
GBytes *lse_payload(const struct lse_lease *lease);

/*
 * Has a new payload written and returns its sequence number. It is stored once
 * lse_stored_seq() has reached that number while the lease is held.
 */
uint64_t lse_set_payload(struct wf_ctx *ctx, struct lse_lease *lease,
			 GBytes *payload);
uint64_t lse_stored_seq(const struct lse_lease *lease);

/* Duties: orders to targets under a lease */

/* One order for the audit trail. */
struct aud_entry {
	clk_ms time;
	const char *actor;   /* instance id */
	const char *action;  /* "order" or "order_reply" */
	const char *subject; /* target id */
	const char *detail;  /* order and argument; outcome of a reply */
	uint64_t fence;
};

/* Receives audit entries; the entry is borrowed for the call. */
struct aud_sink {
	void (*record)(struct wf_ctx *ctx, struct aud_sink *sink,
		       const struct aud_entry *entry);
};

struct dut_config {
	struct lse_config lease;
	const char *duty;	 /* name of the lease, static */
	double loads_per_minute; /* load rate of the weight store */
	clk_ms order_timeout;
	clk_ms keep_records;   /* of orders that are no longer wanted */
	unsigned max_records;  /* orders recorded in the lease */
	struct aud_sink *sink; /* borrowed; may be NULL */
};

/* Fills in the defaults. */
void dut_config_init(struct dut_config *config);

/*
 * A wanted order. All instances together send it at most once per attempt; a
 * higher attempt number has it sent again.
 */
struct dut_wanted_order {
	const char *target;
	const char *order; /* "load", "unload", "role", "layers" */
	const char *argument;
	unsigned attempt;
};

struct dut_duties;

/* A duties module, owned as that of clm_new(). */
struct dut_duties *dut_new(struct wf_ctx *ctx, const struct dut_config *config);
struct wf_module *dut_module(struct dut_duties *duties);

/* Replaces the list of wanted orders, which is copied. */
void dut_set_wanted(struct wf_ctx *ctx, struct dut_duties *duties,
		    const struct dut_wanted_order *list, size_t n);

/* Sets the load rate of the weight store; ignored unless above 0. */
void dut_set_rate(struct dut_duties *duties, double loads_per_minute);

/* Whether no order is in flight and the lease is not held. */
bool dut_is_idle(const struct dut_duties *duties);

#endif
