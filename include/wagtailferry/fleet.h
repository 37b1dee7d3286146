#ifndef WAGTAILFERRY_FLEET_H
#define WAGTAILFERRY_FLEET_H

/*
 * The fleet: the targets that the platform lists, what this instance has seen
 * of each, and three decisions that rest on both: which target of a plain
 * service takes a request, which path of engines takes a model request, and
 * which layers each engine should hold. No I/O; the caller supplies the time.
 */

#include <wagtailferry/catalog.h>

enum flt_state {
	FLT_READY,
	FLT_DRAINING,
	/* No longer listed; may still work on earlier requests. */
	FLT_REMOVED,
};

/* Layers of a model, end exclusive; empty if first equals end. */
struct flt_range {
	unsigned first;
	unsigned end;
};

/* What instances use of a target. */
struct flt_load {
	unsigned in_flight;
	unsigned on_path;
	double token_layers;
};

/*
 * A target of a service. Fields up to holds are what the platform lists; the
 * others are what this instance knows by itself. Reference-counted.
 */
struct flt_target {
	int refs;
	char *id;
	/* Names it in load reports. */
	uint64_t id_hash;
	char *service;
	char *address;
	char *data_center;
	/* Name of its accelerator; NULL for a plain service. */
	char *accelerator;
	/* Requests at once. */
	unsigned slots;
	enum flt_state state;
	/* Start of the process, in ms since the epoch; 0 if not stated. */
	int64_t born;
	struct flt_range holds;
	/* When draining or gone was first seen here. */
	clk_ms leaving_since;
	/* Mark of the last complete list that had it. */
	unsigned seen_generation;
	/* When it is removed unless it is listed again; 0 if it is listed. */
	clk_ms removed_at;
	/* Own requests that it works on, as a head or alone. */
	unsigned in_flight;
	/* Own requests whose path runs through it. */
	unsigned on_path;
	/* Tokens of own requests times layers that they use here. */
	double used_token_layers;
	/* The same of other instances, as far as they have reported it. */
	struct flt_load others;
	/* When it has read the tokens of the own requests so far. */
	double read_until;
	/* Mean time of an answer, in ms; 0 before the first. */
	double answer_ms;
	/* Not chosen before this time if another target can be. */
	clk_ms avoid_until;
	/* Taken for lost until this time: what it holds does not count. */
	clk_ms down_until;
	/* Failures since the last success. */
	unsigned failures;
	/* Layers that it was last ordered to hold and until when that counts
	 * although the list does not show them yet. */
	struct flt_range ordered;
	clk_ms ordered_until;
	/* When it was last asked for a report because of a silent path. */
	clk_ms asked_at;
	/* Factor on its times by its last report, 0 for none, and until when
	 * that counts. */
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
 * Takes over what the platform lists of one target. Own knowledge is kept if
 * the id is known, unless it started anew.
 */
void flt_upsert(struct flt_fleet *fleet, clk_ms now, struct flt_target *entry);

/*
 * The target is no longer listed. It is kept until the given time, because
 * entries may lapse and come back while the list's source recovers.
 */
void flt_remove(struct flt_fleet *fleet, clk_ms now, const char *id,
		clk_ms keep_until);

/* Brackets a complete list: targets that were not put in between are removed
 * as by flt_remove(). */
void flt_sync_begin(struct flt_fleet *fleet);
void flt_sync_end(struct flt_fleet *fleet, clk_ms now, clk_ms keep_until);

/* Removes targets whose time has come. */
void flt_expire(struct flt_fleet *fleet, clk_ms now);

/* The target of an id or address, or NULL. Borrowed. */
struct flt_target *flt_find(const struct flt_fleet *fleet, const char *id);
struct flt_target *flt_find_by_address(const struct flt_fleet *fleet,
				       const char *address);

/* Changes whenever the platform's knowledge of a target does. */
uint64_t flt_revision(const struct flt_fleet *fleet);

/* The target whose id has a hash (wf_hash() with seed 0), or NULL. Borrowed. */
struct flt_target *flt_find_by_hash(const struct flt_fleet *fleet,
				    uint64_t hash);

/* All targets, of struct flt_target pointers. Borrowed. */
const GPtrArray *flt_targets(const struct flt_fleet *fleet);

/* Whether new requests may be sent to the target at all. */
bool flt_is_routable(const struct flt_target *target, clk_ms now);

/* Evidence: the target gave an answer of its own, or failed. */
void flt_record_response(struct flt_target *target, clk_ms now, clk_ms took);
void flt_record_failure(struct flt_target *target, clk_ms now);
/* The target is known to be down: avoid it for a span. */
void flt_mark_down(struct flt_target *target, clk_ms now);
/* The target has no room at present. */
void flt_mark_full(struct flt_target *target, clk_ms now);

/*
 * Chooses a target of a plain service: by own load and time of an answer,
 * the own data centre first among equals. tried (of struct flt_target
 * pointers, may be NULL) are not chosen. NULL if there is none. Borrowed.
 */
struct flt_target *flt_select_target(struct flt_fleet *fleet, clk_ms now,
				     const char *service,
				     const char *data_center,
				     const GPtrArray *tried, uint32_t draw);

/* Paths */

/* One engine of a path and the layers that it runs for the request. */
struct pth_stage {
	struct flt_target *target;
	struct flt_range range;
	/* Time to read the request's tokens there, in ms; 0 for a stage that
	 * a reroute keeps. */
	double read_ms;
};

/* A path runs every layer once, in order. */
struct pth_path {
	/* Of struct pth_stage, with a reference on each target. */
	GArray *stages;
	/* Whether own requests of it are counted at its targets. */
	bool is_reserved;
	double tokens;
	/* Expected time of a token at the present own load. */
	double token_ms;
};

enum pth_result {
	PTH_FOUND,
	/* Some layer is held by no engine. */
	PTH_MISSING_LAYERS,
	/* Every path has an engine without room. */
	PTH_NO_CAPACITY,
};

/* What a path is for. */
struct pth_query {
	const struct cat_engine *engine;
	const char *service;
	/* Of the instance that asks. */
	const char *data_center;
	/* Tokens that the request will have in the end, and those that are to
	 * be read before the next event. */
	double tokens;
	double read_tokens;
	/* The new path replaces this one, whose head and its layers it keeps;
	 * NULL for a new request. */
	const struct pth_path *current;
};

/*
 * Finds the path with the lowest expected cost. It stays in one data centre
 * where one has room and no doubtful engine. rand spreads requests over paths
 * of about equal cost. On PTH_FOUND *out is to be freed with pth_free().
 */
enum pth_result pth_find(struct flt_fleet *fleet, clk_ms now,
			 const struct pth_query *query, GRand *rand,
			 struct pth_path **out);

void pth_free(struct pth_path *path);

/*
 * Counts a request of the path at its targets, until pth_release(), and the
 * reading of its tokens, until that is done.
 */
void pth_reserve(struct pth_path *path, clk_ms now, double tokens);
void pth_release(struct pth_path *path);

/* Whether the path runs through a target. */
bool pth_contains(const struct pth_path *path, const struct flt_target *target);

/* The engine that gets the request. Borrowed. */
struct flt_target *pth_head(const struct pth_path *path);

/* Placement */

/* A target and the layers that it should be ordered to hold. */
struct plc_change {
	struct flt_target *target;
	struct flt_range range;
};

/*
 * Plans which engines of a service have to be ordered to hold which layers:
 * first what no engine holds, then copies of what fewest hold. Engines that
 * hold layers already are moved only if all of theirs are held twice. Every
 * instance computes the same plan from the same fleet. Returns an array of
 * struct plc_change (targets borrowed), empty if nothing is to be done.
 */
GArray *plc_plan(const struct flt_fleet *fleet, clk_ms now,
		 const struct cat_service *service);

/* Layers that an accelerator may hold beside tokens for requests. */
unsigned plc_max_layers(const struct cat_engine *engine,
			const struct cat_accelerator *accelerator,
			double tokens);

#endif
