#ifndef WAGTAILFERRY_CATALOG_H
#define WAGTAILFERRY_CATALOG_H

/*
 * cat: catalog, one version of the configuration of record with its routes,
 * services, organisations and limits. It is filled once, then immutable and
 * shared by reference counting. A request uses the version that was current
 * when it arrived until it ends.
 */

#include <wagtailferry/base.h>

/* Whether a request may be sent again when an attempt's outcome is unknown. */
enum cat_retry_policy {
	/* The request is idempotent. */
	CAT_RETRY_ALWAYS,
	/* The request must run at most once for each attempt of the caller. */
	CAT_RETRY_NEVER,
	/* Another target can resume the stream after a given event. */
	CAT_RETRY_RESUME,
};

/* A service of a route and the weight of its share of the requests. */
struct cat_share {
	char *service;
	unsigned weight;
};

struct cat_route {
	char *name;
	/* In lower case, without a port. */
	char *host;
	/* Begins and ends with a slash. */
	char *prefix;
	enum cat_retry_policy retry_policy;
	/* The response is a stream of events. */
	bool is_stream;
	/* Requests need no API key. */
	bool is_public;
	/* Deadline of a request after its arrival, 0 for the default. */
	clk_ms timeout;
	/* Service level objective for the time to the response, or to the
	 * first event of a stream. */
	clk_ms objective;
	/* Service level objective for the pause between two events, 0 for
	 * none. */
	clk_ms max_pause;
	/* 0 is the most urgent. */
	int priority;
	/* Most targets that one attempt of a caller is sent to. */
	unsigned max_attempts;
	/* Array of struct cat_share. */
	GArray *shares;
};

/* An accelerator that engines of a service run on. */
struct cat_accelerator {
	char *name;
	double memory_mb;
	/* Factor on the step times (decode), relative to the reference. */
	double pace;
	/* Factor on the other times, mainly the prefill of prompts. */
	double prefill_factor;
};

/* Model and performance figures of a model service's engines. */
struct cat_engine {
	char *model;
	unsigned layers;
	double layer_mb;
	/* KV cache size of a token in all layers. */
	double token_bytes;
	/* Concurrent requests of an engine that is the head of their paths. */
	unsigned slots;
	double step_ms;
	double step_ms_per_request;
	double step_ms_per_1k_context;
	double prefill_tokens_per_ms;
	/* Activations that an engine sends to the next one, per token, and the
	 * rate of the link that all transfers to another data centre share;
	 * 0 if unknown. */
	double activation_bytes;
	double link_bytes_per_ms;
	/* Prompt tokens read at most between two decode steps. */
	double prefill_chunk_tokens;
	/* Added prefill time for each million pairs of a token and an earlier
	 * one. */
	double prefill_ms_per_1m_pairs;
	/* Time to load all layers from an idle weight store. */
	clk_ms load_time;
	double usual_prompt_tokens;
	double usual_answer_tokens;
	/* Array of struct cat_accelerator. */
	GArray *accelerators;
};

struct cat_service {
	char *name;
	/* NULL for a plain service. */
	struct cat_engine *engine;
};

struct cat_org {
	char *name;
	/* Overrides the route's priority; -1 to use that of the route. */
	int priority;
};

/* Limits on what callers may send. */
struct cat_limits {
	size_t header_bytes;
	size_t body_bytes;
	clk_ms header_timeout;
	clk_ms idle_timeout;
};

struct cat_catalog;

/* Creates an empty version with one reference. */
struct cat_catalog *cat_new(int64_t version);
struct cat_catalog *cat_keep(struct cat_catalog *catalog);
void cat_drop(struct cat_catalog *catalog);

int64_t cat_version(const struct cat_catalog *catalog);

/* For routes that have not been passed to cat_add_route(). */
void cat_route_free(struct cat_route *route);
struct cat_route *cat_route_new(void);
struct cat_engine *cat_engine_new(void);
void cat_engine_free(struct cat_engine *engine);

/*
 * Adds a route and takes ownership of it, also on failure. Fails with
 * ERR_BAD_RULES if it has no host, no service, or no prefix that begins and
 * ends with a slash, or if another route has the same host and prefix.
 */
bool cat_add_route(struct cat_catalog *catalog, struct cat_route *route,
		   GError **error);

/* Adds a service and takes ownership of engine, which may be NULL. */
void cat_add_service(struct cat_catalog *catalog, const char *name,
		     struct cat_engine *engine);

/* Adds an organisation. The catalog owns the result. */
struct cat_org *cat_add_org(struct cat_catalog *catalog, const char *name,
			    int priority);
void cat_add_key(struct cat_catalog *catalog, const char *key,
		 struct cat_org *org);

/*
 * Makes requests for routes that are not public need an API key. That doesn't
 * follow from the organisations: with all of them removed no key is valid.
 */
void cat_require_keys(struct cat_catalog *catalog);
bool cat_needs_keys(const struct cat_catalog *catalog);

/* The limits, to be set before the catalog is shared. */
struct cat_limits *cat_limits(struct cat_catalog *catalog);

/*
 * Returns the route of the host with the longest prefix of the path, or NULL.
 * The host may have a port and be in any case; a query or fragment of the
 * path is ignored. The catalog owns the result.
 */
const struct cat_route *cat_find_route(const struct cat_catalog *catalog,
				       const char *host, const char *path);

/* Returns the organisation of an API key, or NULL. The catalog owns it. */
const struct cat_org *cat_find_org(const struct cat_catalog *catalog,
				   const char *key);

const struct cat_service *cat_find_service(const struct cat_catalog *catalog,
					   const char *name);

/* All services, as struct cat_service pointers. The catalog owns the array. */
const GPtrArray *cat_services(const struct cat_catalog *catalog);

size_t cat_route_count(const struct cat_catalog *catalog);

/* All routes, as struct cat_route pointers sorted by host and prefix, and all
 * API keys, sorted. The caller unrefs the array; the catalog owns the
 * elements. */
GPtrArray *cat_list_routes(const struct cat_catalog *catalog);
GPtrArray *cat_list_keys(const struct cat_catalog *catalog);

/* All organisations, as struct cat_org pointers. The catalog owns the array. */
const GPtrArray *cat_orgs(const struct cat_catalog *catalog);

/* Selects a service of the route by weight. draw is a random number; the
 * route owns the result. */
const char *cat_choose_service(const struct cat_route *route, uint32_t draw);

/* Returns the accelerator of that name, or NULL. The engine owns it. */
const struct cat_accelerator *
cat_find_accelerator(const struct cat_engine *engine, const char *name);

/* KV cache capacity that an accelerator has left when it holds a number of
 * layers of the model, in tokens times layers. Negative if the layers alone
 * exceed its memory. */
double cat_free_token_layers(const struct cat_engine *engine,
			     const struct cat_accelerator *accelerator,
			     unsigned held);

#endif
