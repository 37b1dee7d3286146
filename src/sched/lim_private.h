#ifndef LIM_PRIVATE_H
#define LIM_PRIVATE_H

#include <wagtailferry/limits.h>

#include "schema/limits.pb-c.h"

struct lim_terms {
	uint64_t rules_revision;
	double rate;
	double token_rate;
	unsigned concurrency;
};

/* A token bucket; its level is negative while a debt is paid back. */
struct lim_bucket {
	double level;
	clk_ms filled_at;
};

/* What the owner of a scope knows of one requester. */
struct lim_holder {
	unsigned reported; /* slots held, by its last report */
	unsigned pending;  /* slots granted, but not yet confirmed */
	uint64_t pending_grant;
	uint64_t number; /* of the newest message */
	clk_ms last_heard;
};

/* A scope at its owner. */
struct lim_owned {
	struct lim_terms terms;
	struct lim_bucket calls;
	struct lim_bucket tokens;
	GHashTable *holders; /* instance id to struct lim_holder */
	unsigned slots_used;
	uint64_t next_grant;
	clk_ms taken_over_at; /* 0: not taken over */
	clk_ms last_used;
};

/* A call that waits for a grant. */
struct lim_waiting {
	uint64_t call_id;
	unsigned tokens;
};

/* A scope at an instance with demand for it. */
struct lim_scope {
	char *name;
	struct lim_terms terms;
	unsigned calls; /* granted and unused */
	uint64_t tokens;
	unsigned free_slots;
	unsigned held_slots;
	unsigned returned_calls;
	int64_t returned_tokens;
	uint64_t number;     /* of the last message to the owner */
	bool slots_changed;  /* since that message */
	GQueue waiting;	     /* of struct lim_waiting */
	bool demand_pending; /* a demand is unanswered */
	uint64_t sequence;
	uint64_t last_grant;
	clk_ms demanded_at;
	clk_ms granted_at;
	clk_ms refused_until;
	clk_ms next_sync;
	clk_ms last_used;
	double arrivals; /* decaying count, for the prefetch */
	clk_ms arrivals_at;
	double tokens_per_call;
	unsigned open_calls; /* admitted or waiting */
	char *owner;	     /* at the last demand */
	struct lim_bucket fallback;
};

/* An admitted or pending call. */
struct lim_call {
	struct lim_scope *scope;
	unsigned tokens;
	bool admitted;
};

struct lim_limits {
	struct wf_module module;
	struct lim_config config;
	GHashTable *scopes; /* name to struct lim_scope */
	GHashTable *owned;  /* name to struct lim_owned */
	GHashTable *calls;  /* call id to struct lim_call */
	uint64_t peers_revision;
	GArray *owners; /* id hashes of the instances that can own scopes */
	GArray *former_owners; /* the same before the latest changes */
	clk_ms created;
	uint64_t swept_revision; /* peers_revision at the last sweep */
	clk_ms peers_changed_at;
	clk_ms next_sweep;
};

/* Half-life of the arrival count that sets the prefetch. */
#define LIM_ARRIVAL_HALF_LIFE_MS 1000.0

/* lim_owner.c */
void lim_owned_free(gpointer data);
/* Notes a change of the live instances. */
void lim_note_peers(struct wf_ctx *ctx, struct lim_limits *limits);
/* Answers a demand in *grant; grant->scope is borrowed from the demand. */
void lim_owner_handle_demand(struct wf_ctx *ctx, struct lim_limits *limits,
			     const char *from, const Wf__LimitDemand *demand,
			     Wf__LimitGrant *grant);
/* Frees slots of lost instances; drops scopes that are idle or moved away. */
void lim_owner_sweep(struct wf_ctx *ctx, struct lim_limits *limits,
		     bool peers_changed);

/* lim_bucket.c */
void lim_bucket_refill(struct lim_bucket *bucket, double rate, clk_ms now);
/* Takes up to n; returns how many were taken. */
uint64_t lim_bucket_take(struct lim_bucket *bucket, uint64_t n);
/* Time until the bucket holds one token. */
clk_ms lim_bucket_wait(const struct lim_bucket *bucket, double rate);

/* lim_scope.c */
void lim_scope_free(gpointer data);
uint64_t lim_scope_hash(const char *name);
void lim_scope_send_demand(struct wf_ctx *ctx, struct lim_limits *limits,
			   struct lim_scope *scope, bool sync_only);
void lim_scope_handle_grant(struct wf_ctx *ctx, struct lim_limits *limits,
			    struct lim_scope *scope,
			    const Wf__LimitGrant *grant);
/* Admits one call from the grants at hand; false if they do not suffice. */
bool lim_scope_admit(struct lim_scope *scope, unsigned tokens);
void lim_scope_tick(struct wf_ctx *ctx, struct lim_limits *limits,
		    struct lim_scope *scope, bool peers_changed);

#endif
