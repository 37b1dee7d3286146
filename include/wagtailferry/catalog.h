#ifndef WAGTAILFERRY_CATALOG_H
#define WAGTAILFERRY_CATALOG_H

/*
 * The catalog: one immutable version of the configuration of record, with
 * its routes, services, organisations and limits. It is filled once, then
 * shared by reference count. Requests keep the version they began with.
 */

#include <wagtailferry/base.h>

/* What a route permits when an attempt's outcome is not known. */
enum cat_retry_policy {
	/* The request may run any number of times. */
	CAT_RETRY_ALWAYS,
	/* At most once for each attempt of the caller. */
	CAT_RETRY_NEVER,
	/* A stream that another target continues after a given event. */
	CAT_RETRY_RESUME,
};

/* A service of a route and its part of the route's requests. */
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
	/* The answer is a stream of events. */
	bool is_stream;
	/* Needs no key. */
	bool is_public;
	/* Longest time that a request may be kept waiting, 0 for no limit. */
	clk_ms timeout;
	/* Time to the answer, or to the first event, for full credit. */
	clk_ms objective;
	/* Longest pause between two events for full credit, 0 for none. */
	clk_ms max_pause;
	/* 0 is the most urgent. */
	int priority;
	/* Targets that one attempt of a caller may be sent to. */
	unsigned max_attempts;
	/* Of struct cat_share. */
	GArray *shares;
};

/* An accelerator that engines of a service run on. */
struct cat_accelerator {
	char *name;
	double memory_mb;
	/* Factor on the engine's times for a step and its context. */
	double pace;
	/* Factor on the engine's other times. */
	double read_factor;
};

/* What is known of a model service's engines. */
struct cat_engine {
	char *model;
	unsigned layers;
	double layer_mb;
	/* Memory for a token in all layers. */
	double token_bytes;
	/* Requests that an engine takes at once as the head of a path. */
	unsigned slots;
	double step_ms;
	double step_ms_per_request;
	double step_ms_per_1k_context;
	double read_tokens_per_ms;
	/* Time to load all layers on an unloaded weight store. */
	clk_ms load_time;
	double usual_prompt_tokens;
	double usual_answer_tokens;
	/* Of struct cat_accelerator. */
	GArray *accelerators;
};

struct cat_service {
	char *name;
	/* NULL for a plain service. */
	struct cat_engine *engine;
};

struct cat_org {
	char *name;
	/* Goes before the route's priority; -1 if the organisation has none. */
	int priority;
};

/* Bounds on what callers may send. */
struct cat_limits {
	size_t header_bytes;
	size_t body_bytes;
	clk_ms header_timeout;
	clk_ms idle_timeout;
};

struct cat_catalog;

/* An empty version with one reference. */
struct cat_catalog *cat_new(int64_t version);
struct cat_catalog *cat_keep(struct cat_catalog *catalog);
void cat_drop(struct cat_catalog *catalog);

int64_t cat_version(const struct cat_catalog *catalog);

/* Frees a route that no catalog has taken. */
void cat_route_free(struct cat_route *route);
struct cat_route *cat_route_new(void);
struct cat_engine *cat_engine_new(void);
void cat_engine_free(struct cat_engine *engine);

/*
 * Adds a route and takes it over. ERR_BAD_RULES if it has no host, no prefix
 * between slashes or no service, or if host and prefix are taken.
 */
bool cat_add_route(struct cat_catalog *catalog, struct cat_route *route,
		   GError **error);

/* Adds a service; takes engine over (may be NULL). */
void cat_add_service(struct cat_catalog *catalog, const char *name,
		     struct cat_engine *engine);

/* Adds an organisation; the result is borrowed, for cat_add_key(). */
struct cat_org *cat_add_org(struct cat_catalog *catalog, const char *name,
			    int priority);
void cat_add_key(struct cat_catalog *catalog, const char *key,
		 struct cat_org *org);

/* Requests need a key unless their route is public. */
bool cat_needs_keys(const struct cat_catalog *catalog);

/* The bounds, to be set before the catalog is shared. */
struct cat_limits *cat_limits(struct cat_catalog *catalog);

/*
 * The route of a host with the longest prefix that begins the path; NULL if
 * there is none. The host may have a port and be in any case; the path may
 * have a query. Borrowed.
 */
const struct cat_route *cat_find_route(const struct cat_catalog *catalog,
				       const char *host, const char *path);

/* The organisation that holds a key, or NULL. Borrowed. */
const struct cat_org *cat_find_org(const struct cat_catalog *catalog,
				   const char *key);

const struct cat_service *cat_find_service(const struct cat_catalog *catalog,
					   const char *name);

/* All services, of struct cat_service pointers. Borrowed. */
const GPtrArray *cat_services(const struct cat_catalog *catalog);

size_t cat_route_count(const struct cat_catalog *catalog);

/* A service of the route by weight; draw is any number. Borrowed. */
const char *cat_choose_service(const struct cat_route *route, uint32_t draw);

/* The engine's accelerator of a name, or NULL. Borrowed. */
const struct cat_accelerator *
cat_find_accelerator(const struct cat_engine *engine, const char *name);

/* Tokens times layers that an accelerator has memory for beside so many
 * layers of the model; negative where these alone are too much. */
double cat_free_token_layers(const struct cat_engine *engine,
			     const struct cat_accelerator *accelerator,
			     unsigned held);

#endif
