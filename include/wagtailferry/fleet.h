#ifndef WAGTAILFERRY_FLEET_H
#define WAGTAILFERRY_FLEET_H

/*
 * flt: fleet, the targets that the platform lists and the local observations
 * of each; it selects the target for a request of a plain service.
 * pth: path, the engines that run a model request, layer by layer.
 * plc: placement, the layers that each engine should hold.
 * There is no I/O here, and the caller supplies the time.
 */

#include <wagtailferry/catalog.h>

enum flt_state {
	FLT_READY,
	FLT_DRAINING,
	/* No longer listed; may still run earlier requests. */
	FLT_REMOVED,
};

/* Layers first to end - 1 of a model; empty if first equals end. */
struct flt_range {
	unsigned first;
	unsigned end;
};

/* Load that instances put on a target. */
struct flt_load {
	/* Requests of which it is the only target or the head of the path. */
	unsigned in_flight;
	/* Requests whose path includes it. */
	unsigned on_path;
	/* KV cache in use, in tokens times layers. */
	double token_layers;
	/* Time until the prompts sent to it are prefilled, in ms. */
	double prefill_ms;
	/* Recent fraction of the time that it spends on the prefill of long
	 * prompts. */
	double long_share;
};

/*
 * A target of a service, reference-counted. The fields up to holds come from
 * the platform's list, the others from this instance.
 */
struct flt_target {
	int refs;
	char *id;
	/* Identifies it in load reports. */
	uint32_t id_hash;
	char *service;
	char *address;
	char *data_center;
	/* Name of the accelerator; NULL for a plain service. */
	char *accelerator;
	/* Concurrent requests. */
	unsigned slots;
	enum flt_state state;
	/* Start of the process, in ms since the epoch; 0 if unknown. */
	int64_t started_at;
	struct flt_range holds;
	/* When this instance first saw it draining or removed. */
	clk_ms leaving_since;
	/* It said in an answer that it is leaving. The state then stays
	 * FLT_DRAINING until it restarts, whatever the list says. */
	bool said_leaving;
	/* Latest started_at seen: an entry without it, or an outdated one,
	 * is no restart. */
	int64_t latest_start;
	/* Number of the last list sync that included it. */
	unsigned seen_generation;
	/* When it will be removed unless it is listed again; 0 while it is
	 * listed. */
	clk_ms removed_at;
	/* Local requests of which it is the only target or the head. */
	unsigned in_flight;
	/* Local requests whose path includes it. */
	unsigned on_path;
	/* KV cache that local requests use, in tokens times layers. */
	double used_token_layers;
	/* Load of the other instances, as last reported. The sum of their
	 * prefill times is that of the reports: it has shrunk since. */
	struct flt_load others;
	/* When it is expected to have finished the prefill of the local
	 * requests, in ms. */
	double prefill_until;
	/* Prefill time of the local requests' long prompts in ms, decaying, and
	 * when it was last updated. See flt_long_share(). */
	double long_work;
	clk_ms long_work_at;
	/* Moving average of the response time, in ms; 0 before the first. */
	double answer_ms;
	/* Selected before this time only if there is no other target. */
	clk_ms avoid_until;
	/* It refused for lack of memory: it has no room for new requests until
	 * full_until. The time span is doubled with each refusal after
	 * that. */
	clk_ms full_until;
	clk_ms full_span;
	/* It refused a request and wants none until closed_until: it is not
	 * selected at all. closed_since is when that began. */
	clk_ms closed_since;
	clk_ms closed_until;
	/* Treated as down until this time: its layers do not count. */
	clk_ms down_until;
	/* Its process was found to be gone; holds until this time. */
	clk_ms ended_until;
	/* Failures since the last success. */
	unsigned failures;
	/* Layers that it was last ordered to hold, and the time until which
	 * the order is assumed to be in progress. */
	struct flt_range ordered;
	clk_ms ordered_until;
	/* When it was last asked for a report because a path had stalled. */
	clk_ms report_requested_at;
	/* Factor on its step times from its last report, 0 if none, and when
	 * that expires. */
	double slowdown;
	clk_ms slow_until;
};

struct flt_fleet;

struct flt_fleet *flt_new(void);
void flt_drop(struct flt_fleet *fleet);

struct flt_target *flt_target_new(void);
struct flt_target *flt_target_keep(struct flt_target *target);
void flt_target_drop(struct flt_target *target);

/*
 * Adds or updates a target from an entry of the platform's list, and takes
 * ownership of the entry. The local observations of a known target are kept
 * unless its process has restarted.
 */
void flt_upsert(struct flt_fleet *fleet, clk_ms now, struct flt_target *entry);

/*
 * Handles a target that is no longer listed. It is kept until keep_until,
 * because entries can expire and return while the source of the list recovers
 * from an outage. A target that is marked down is removed at once.
 */
void flt_remove(struct flt_fleet *fleet, clk_ms now, const char *id,
		clk_ms keep_until);

/* Enclose the flt_upsert() calls of a complete list. Targets without a call
 * are passed to flt_remove(). */
void flt_sync_begin(struct flt_fleet *fleet);
void flt_sync_end(struct flt_fleet *fleet, clk_ms now, clk_ms keep_until);

/* Removes the targets whose keep_until has passed. What removed targets said of
 * themselves is kept for some minutes, in case they are listed again. */
void flt_expire(struct flt_fleet *fleet, clk_ms now);

/* Find a target by id or address; NULL if there is none. The fleet owns it. */
struct flt_target *flt_find(const struct flt_fleet *fleet, const char *id);
struct flt_target *flt_find_by_address(const struct flt_fleet *fleet,
				       const char *address);

/* Changes when a target is added, removed or restarted, or when its layers,
 * state or address change. */
uint64_t flt_revision(const struct flt_fleet *fleet);

/* Finds a target by the lower half of the hash of its id, wf_hash() with seed
 * 0; NULL if there is none. The fleet owns it. */
struct flt_target *flt_find_by_hash(const struct flt_fleet *fleet,
				    uint32_t hash);

/* All targets, as struct flt_target pointers. The fleet owns the array. */
const GPtrArray *flt_targets(const struct flt_fleet *fleet);

/* Whether new requests may be sent to the target. */
bool flt_is_routable(const struct flt_target *target, clk_ms now);

/*
 * The process of target id that started at started_at said in an answer that it
 * is leaving. Returns false if this is known already or the target has
 * restarted since.
 */
bool flt_mark_leaving(struct flt_fleet *fleet, clk_ms now, const char *id,
		      int64_t started_at);

/*
 * The process refused a request and wants no other for the time span. Returns
 * whether it was open before; the end is never moved to an earlier time.
 */
bool flt_mark_closed(struct flt_fleet *fleet, clk_ms now, const char *id,
		     int64_t started_at, clk_ms span);

bool flt_is_closed(const struct flt_target *target, clk_ms now);

/* Whether a request may be sent to the target in view of both: it is routable
 * and not closed. */
bool flt_may_send(const struct flt_target *target, clk_ms now);

/*
 * Time in ms until enough targets of the service are open: one, or for a model
 * of that many layers one for each layer. 0 if they are, or if layers are
 * missing anyway. layers is 0 for a plain service.
 */
clk_ms flt_closed_time(const struct flt_fleet *fleet, clk_ms now,
		       const char *service, unsigned layers);

/* Adds the prefill of a long prompt, and returns the recent fraction of the
 * time that the target spends on those of local requests. */
void flt_add_long_prefill(struct flt_target *target, clk_ms now, double ms);
double flt_long_share(const struct flt_target *target, clk_ms now);

/* Record that the target itself responded, or that it failed. */
void flt_record_response(struct flt_target *target, clk_ms now, clk_ms took);
void flt_record_failure(struct flt_target *target, clk_ms now);
/* The target does not answer: it is avoided for a few seconds, and what it
 * holds does not count. It may go on with what it runs. */
void flt_mark_down(struct flt_target *target, clk_ms now);
/* The same, and its process is gone with all that it ran. */
void flt_mark_ended(struct flt_target *target, clk_ms now);
/* Whether its process is gone, or it is not listed any more. */
bool flt_has_ended(const struct flt_target *target, clk_ms now);
/* Whether it is treated as down because it was found so at since or later. */
bool flt_was_down_since(const struct flt_target *target, clk_ms now,
			clk_ms since);
/* The target, thought to be down, has continued to work. */
void flt_mark_up(struct flt_target *target);
/* The target may lack capacity: it is avoided briefly. */
void flt_mark_full(struct flt_target *target, clk_ms now);
/* The engine refused a request for lack of memory: it is also taken to have no
 * room for new requests, longer with each refusal that follows. */
void flt_mark_no_room(struct flt_target *target, clk_ms now);

/* What is known of the other instances: how many share the fleet, this one
 * included, and the age of their load reports in ms. */
void flt_set_peers(struct flt_fleet *fleet, unsigned instances,
		   clk_ms report_age);
/* Place of this instance among those that take turns, from 0 to 1. */
void flt_set_phase(struct flt_fleet *fleet, double phase);

/*
 * Selects a target of a plain service by load and response time, with a
 * preference for data_center. The struct flt_target pointers in tried, which
 * may be NULL, are excluded. draw is a random number that breaks ties.
 * Returns NULL if there is none. The fleet owns the result.
 */
struct flt_target *flt_select_target(struct flt_fleet *fleet, clk_ms now,
				     const char *service,
				     const char *data_center,
				     const GPtrArray *tried, uint32_t draw);

/* Paths */

/* An engine of a path and the layers that it runs for the request. */
struct pth_stage {
	struct flt_target *target;
	struct flt_range range;
	/* Prefill time of the request's tokens, with the decode steps between
	 * their chunks, in ms; 0 for a stage that a reroute keeps. */
	double prefill_ms;
};

/* A path runs every layer once, in order. */
struct pth_path {
	/* Array of struct pth_stage; holds a reference to each target. */
	GArray *stages;
	/* Whether its load is counted at its targets. */
	bool is_reserved;
	/* Whether the prompt is several times as long as the usual one. */
	bool is_long;
	double tokens;
	/* Expected time per token at the present load. */
	double token_ms;
	/* What its prefill costs other requests, in ms; see pfc. */
	double delay_cost;
};

enum pth_result {
	PTH_FOUND,
	/* No engine holds some layer. */
	PTH_MISSING_LAYERS,
	/* Every path includes an engine without free capacity, or one that
	 * wants no requests for some time. */
	PTH_NO_CAPACITY,
};

/* The request that a path is needed for. */
struct pth_query {
	const struct cat_engine *engine;
	const char *service;
	/* Data centre of this instance. */
	const char *data_center;
	/* Expected final length of the request, and tokens of the prefill
	 * that precedes the next event. */
	double tokens;
	double prefill_tokens;
	/* For the time to the next event, in ms; 0 for none. */
	clk_ms objective;
	/* Path to be replaced, whose first stage is kept; NULL for a new
	 * request. */
	const struct pth_path *current;
	/* Target that the path must not include, besides all that are down;
	 * NULL if there is no such target and down ones are a last resort. */
	const struct flt_target *without;
};

/*
 * Finds the path with the lowest expected cost. It stays within one data
 * centre if one has free capacity and its engines are healthy. rand, which may
 * be NULL, spreads requests over paths of similar cost. On PTH_FOUND the caller
 * frees *out with pth_free().
 */
enum pth_result pth_find(struct flt_fleet *fleet, clk_ms now,
			 const struct pth_query *query, GRand *rand,
			 struct pth_path **out);

/* The path of a head alone, which holds the first layers: as the current path
 * of a query it keeps that head. To be freed with pth_free(). */
struct pth_path *pth_from_head(struct flt_target *head,
			       const struct cat_engine *engine);

void pth_free(struct pth_path *path);

/*
 * Adds a request to the load of the path's targets until pth_release(), and
 * the time to read its tokens to their backlog.
 */
void pth_reserve(struct pth_path *path, clk_ms now, double tokens);
void pth_release(struct pth_path *path);

/* Whether a target is an engine of the path. */
bool pth_contains(const struct pth_path *path, const struct flt_target *target);

/* The first engine, which receives the request. The path owns it. */
struct flt_target *pth_head(const struct pth_path *path);

/* Placement */

/* A target and the layers that it is to be ordered to hold. */
struct plc_change {
	struct flt_target *target;
	struct flt_range range;
};

/*
 * Plans which layers the engines of a service are to be ordered to hold. Layers
 * without an engine come first, then replicas of the layers with the least KV
 * cache capacity. An engine in use is moved only if other engines hold all of
 * its layers, or a neighbour takes them over. The plan is deterministic, so
 * all instances compute the same one from the same fleet. Returns an array of
 * struct plc_change, empty if nothing needs to change; the fleet owns the
 * targets.
 */
GArray *plc_plan(const struct flt_fleet *fleet, clk_ms now,
		 const struct cat_service *service);

/* Most layers that fit an accelerator if each comes with KV cache for a number
 * of tokens. */
unsigned plc_max_layers(const struct cat_engine *engine,
			const struct cat_accelerator *accelerator,
			double tokens);

#endif
