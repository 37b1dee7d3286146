#ifndef SCHED_TGT_TABLE_H
#define SCHED_TGT_TABLE_H

/*
 * tgt: target table. It joins the instance list, load reports, own requests in
 * flight, circuit breakers and the prefix cache.
 */

#include <wagtailferry/sched.h>

#define TGT_NO_DATA_CENTER UINT_MAX

enum tgt_breaker {
	TGT_BREAKER_CLOSED,
	TGT_BREAKER_OPEN,
	TGT_BREAKER_HALF_OPEN,
};

/* One target. Entries keep their address until they are removed. */
struct tgt_target {
	tbl_handle handle;
	char *id;
	char *address;
	char *data_center;
	char *serves;
	unsigned data_center_number;
	enum wf_role role;
	uint64_t incarnation;
	bool listed;
	bool leaving; /* stays set until the next incarnation */
	clk_ms unlisted_since;
	clk_ms joined;
	unsigned n_layers;
	unsigned first_layer;
	unsigned last_layer;
	unsigned slots;
	double step_us;		/* over the held range */
	double listed_step_us;	/* step_us as given by the list */
	bool takes_long;	/* long requests even while short ones arrive */
	double planned_step_us; /* step_us when chains were last planned */
	/* own requests in flight; load is in concurrent steps */
	unsigned own_requests;
	double own_load;
	double own_long_load;
	/* last report */
	bool reachable;
	clk_ms reported_at; /* 0: never */
	double peer_load;
	double own_load_since_report;
	unsigned kv_free_blocks;
	unsigned running;
	unsigned queued;
	clk_ms next_poll;
	clk_ms health_checked_at; /* start of the last health check, 0: none */
	bool health_pending;	  /* no report since */
	bool digest_pending;	  /* report not yet in a digest */
	bool owned; /* polled by this instance, as of owner_revision */
	bool owner_known;
	uint64_t owner_revision;
	/* observations of own traffic */
	double inflation; /* token time over what load explains */
	double scarcity;  /* lasting surcharge of a target in demand */
	double window;	  /* concurrent steps admitted per slot */
	enum tgt_breaker breaker;
	double failures;
	clk_ms failed_at;
	clk_ms open_until;
	clk_ms open_span;
	clk_ms closed_at;
	unsigned probes; /* own requests while half open */
	unsigned successes;
	clk_ms last_success; /* of a token through it */
	/* prefix cache */
	uint64_t cache_seq;
	uint32_t cache_generation;
};

struct tgt_cache;

struct tgt_table {
	struct wf_module module;
	struct tgt_config config;
	struct tbl_table *table;
	GHashTable *by_id;	 /* id to entry, borrowed */
	GPtrArray *data_centers; /* names, owned; index is the number */
	GHashTable *models;	 /* name to struct chn_model, owned */
	struct tgt_cache *cache;
	uint64_t list_revision; /* of the list applied last */
	uint64_t revision;	/* raised when targets may have room */
	clk_ms next_round;
	size_t n_owned;
};

/* The number of a data centre, assigned on first use. */
unsigned tgt_data_center_number(struct tgt_table *targets, const char *name);

/* The entry of an id or NULL. Borrowed. */
struct tgt_target *tgt_find(const struct tgt_table *targets, const char *id);

/* The entry of a handle or NULL. Borrowed. */
struct tgt_target *tgt_get(const struct tgt_table *targets, tbl_handle handle);

/* Whether new requests may be sent to the target. */
bool tgt_is_usable(const struct tgt_table *targets,
		   const struct tgt_target *target, clk_ms now);

/* Time of one token over part of the held range, in microseconds. */
double tgt_stage_us(const struct tgt_target *target, unsigned first,
		    unsigned last);

/* Marks a target as leaving; tells other instances once. */
void tgt_mark_leaving(struct wf_ctx *ctx, struct tgt_table *targets,
		      struct tgt_target *target, bool told_by_peer);

#endif
