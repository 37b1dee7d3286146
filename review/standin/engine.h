#ifndef REVIEW_ENGINE_H
#define REVIEW_ENGINE_H

/*
 * engine: a stand-in of a model worker. It starts empty, takes place orders,
 * reports, and runs streams as the head of a path, one event at a time. A run
 * goes on only while all engines of its path live and aren't silent.
 */

#include "review/standin/kit.h"

#define ENGINE_MODEL "daka510000"

struct engine;

/* Called when an engine makes the first token of a run. */
typedef void (*engine_run_fn)(struct engine *head, const char *id);

struct engine_model {
	int layers;
	double layer_mb;
	int kv_bytes;
	/* Cards: name, size-mb, pace, read-factor. Borrowed. */
	json_t *kinds;
	/* Length of an answer. */
	int events;
	int event_ms;
	engine_run_fn on_run;
};

/* The service's entry in the configuration. */
json_t *engine_service(const char *name, const struct engine_model *model);
/* The model must live as long as the engine. */
struct engine *engine_open(const char *id, const char *service,
			   const char *type, const struct engine_model *model);
const char *engine_id(const struct engine *engine);
/* Sends and reads nothing until it is set back, and goes on then. */
void engine_set_silent(struct engine *engine, bool is_silent);
/* Crashes for good: the connections are closed, and the entry is gone after
 * three heartbeats. */
void engine_crash(struct engine *engine);
bool engine_holds(const struct engine *engine, int from, int to);

#endif
