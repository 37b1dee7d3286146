#ifndef WF_FAKES_ENGINE_H
#define WF_FAKES_ENGINE_H

/*
 * A model engine that holds a range of layers: section 3 of
 * docs/interfaces.md. Activations and token texts follow
 * tests/support/token_text.h.
 */

#include "http_client.h"
#include "server.h"

/* Prompt bytes in one block of the prefix cache. */
#define ENG_PROMPT_BLOCK 256

/* Positions in one block of KV memory. */
#define ENG_KV_BLOCK 16

struct eng_engine;
struct eng_run;
struct eng_step;

/* Slots with a queue in order of priority, then of arrival */

struct eng_waiter;

typedef void (*eng_slot_cb)(void *data);

struct eng_pool {
	unsigned slots;
	unsigned running;
	GQueue waiting; /* of struct eng_waiter */
};

/*
 * Calls back with a slot taken, now or later. Returns the waiter, or NULL if
 * the slot was free.
 */
struct eng_waiter *eng_pool_acquire(struct eng_pool *pool, unsigned priority,
				    eng_slot_cb cb, void *data);

/* Gives a slot back and lets the next waiter have it. */
void eng_pool_release(struct eng_pool *pool);

/* Takes a waiter out of the queue. */
void eng_pool_cancel(struct eng_pool *pool, struct eng_waiter *waiter);

/* KV state */

/* The state of one request for one range of layers. */
struct eng_range {
	unsigned first;
	unsigned last;
	unsigned kv_lineage; /* lineage that set the state up last */
	GArray *inputs;	     /* uint64_t activation before first, by position */
	GPtrArray *running;  /* struct eng_step; borrowed */
};

/* What the engine knows about one request. */
struct eng_seq {
	char *request;
	unsigned lineage;	/* highest seen */
	unsigned cancelled;	/* highest lineage cancelled */
	int64_t timer_error_us; /* by how much the last step was late */
	GPtrArray *ranges;
	struct eng_run *run; /* the stream that this engine heads; borrowed */
	GList *lru;
};

struct eng_seq *eng_seq_find(struct eng_engine *engine, const char *request);

/* Finds or adds; an addition may evict an idle sequence. */
struct eng_seq *eng_seq_get(struct eng_engine *engine, const char *request);

/* Frees the KV state of a sequence but keeps its fencing. */
void eng_seq_free_kv(struct eng_engine *engine, struct eng_seq *seq);

struct eng_range *eng_range_find(struct eng_seq *seq, unsigned first,
				 unsigned last);

/* An empty state; drops what the range had. */
struct eng_range *eng_range_reset(struct eng_engine *engine,
				  struct eng_seq *seq, unsigned first,
				  unsigned last);
void eng_range_add(struct eng_engine *engine, struct eng_range *range,
		   uint64_t input);

/* The activation behind a layer of the range, of a position that it has. */
uint64_t eng_range_output(const struct eng_range *range, unsigned position,
			  unsigned layer);

/*
 * The state of exactly this range, cut out of a larger one if need be. NULL if
 * the sequence has none.
 */
struct eng_range *eng_range_extract(struct eng_engine *engine,
				    struct eng_seq *seq, unsigned first,
				    unsigned last);

/* Frees idle state if there is no free block; false if that fails. */
bool eng_kv_make_room(struct eng_engine *engine);

/* Free blocks of KV memory. */
unsigned eng_kv_free_blocks(const struct eng_engine *engine);

/* "<16 hexadecimal digits>:<next layer>" */
void eng_activation_format(uint64_t value, unsigned layer, char out[32]);
bool eng_activation_parse(const char *text, uint64_t *value, unsigned *layer);

/* Steps */

typedef void (*eng_step_cb)(struct eng_step *step, void *data);

/* One token through one range; owned by the engine once it has started. */
struct eng_step {
	struct eng_engine *engine;
	char *request;
	unsigned lineage;
	unsigned position;
	unsigned first;
	unsigned last;
	unsigned priority;
	char *kv;
	char *kv_source;	 /* engine id */
	char *kv_source_address; /* NULL: looked up in the list */
	uint64_t input;
	GArray *inputs; /* uint64_t, of the positions before; may be NULL */
	double setup_us;
	eng_step_cb done;
	void *data;
	/* result */
	const char *error; /* type, or NULL if it went well */
	int status;
	const char *kind;
	uint64_t output;
	/* in progress */
	int64_t due_us;
	struct eng_range *range;
	GPtrArray *joined; /* repeated requests for the same step */
};

struct eng_step *eng_step_new(struct eng_engine *engine, const char *request);

/* Calls done once with the result; frees the step afterwards. */
void eng_step_start(struct eng_step *step);

/* Fetches the state that kv_source exports, then goes on with the step. */
void eng_import(struct eng_step *step);

/* Goes on with a step whose range has its state. */
void eng_step_run(struct eng_step *step, struct eng_range *range);

/* Ends a step with an error type. */
void eng_step_fail(struct eng_step *step, int status, const char *type);

/* Parts of the engine */

struct eng_order {
	char *scope; /* duty or name of the order */
	uint64_t fence;
};

struct eng_engine {
	struct fk_server *server;
	struct fc_client *client;
	char *id;
	char *model;
	char *senders; /* comma-separated ids, or NULL: not checked */
	char *list_address;
	char *weights_address;
	char *role;
	int n_layers;
	int first_layer;
	int last_layer;
	int slots;
	int queue_limit;
	int stage_timeout_ms;
	int kv_blocks;
	int cache_blocks;
	int cache_log;
	int report_lag_ms;
	int cache_lag_ms;
	int max_seqs; /* sequences */
	int checks_fencing;
	int leaving;
	double step_us;
	double rebuild_us; /* a position */
	double import_us;
	double block_us; /* a prompt block that is not cached */
	GHashTable *seqs;
	GQueue seq_lru;	  /* of struct eng_seq, oldest first */
	unsigned kv_used; /* positions */
	struct eng_pool streams;
	struct eng_pool steps;
	unsigned paused;
	json_t *records;
	GQueue reports;	    /* load reports, oldest first */
	GHashTable *cached; /* hash -> GList node of cache_lru */
	GQueue cache_lru;
	GQueue cache_events;
	uint64_t cache_seq;
	GHashTable *fences; /* scope -> highest number */
	json_t *orders;
	json_t *loaded;
};

/* Notes a step that was executed or answered from memory. */
void eng_record_step(struct eng_engine *engine, const struct eng_step *step,
		     unsigned position, const char *kind);

/* Must follow each change of what the load report states. */
void eng_load_changed(struct eng_engine *engine);

/* Adds a prompt's blocks to the cache; returns how many were missing. */
unsigned eng_cache_prompt(struct eng_engine *engine, const char *prompt);

/* Calls back when the call's pause fault, if it has one, is cleared. */
void eng_pause(struct eng_engine *engine, struct fk_call *call, fk_timer_cb cb,
	       void *data);

/* Request handlers */

void eng_handle_generate(struct fk_call *call);
void eng_handle_step(struct fk_call *call);
void eng_handle_boundary(struct fk_call *call);
void eng_handle_export(struct fk_call *call);
void eng_handle_cancel(struct fk_call *call);
void eng_handle_load(struct fk_call *call);
void eng_handle_cache_events(struct fk_call *call);
void eng_handle_orders(struct fk_call *call);
void eng_handle_records(struct fk_call *call);
void eng_handle_set(struct fk_call *call);
void eng_handle_state(struct fk_call *call);

/* Ends the stream that an engine heads with an error event. */
void eng_run_stop(struct eng_run *run, const char *type);

void eng_report_init(struct eng_engine *engine);

/* Unsigned member of a JSON object, or the default. */
unsigned eng_json_uint(const json_t *json, const char *name, unsigned fallback);

/* String member of a JSON object, or "". Borrowed. */
const char *eng_json_string(const json_t *json, const char *name);

#endif
