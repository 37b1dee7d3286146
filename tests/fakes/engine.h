#ifndef WF_FAKES_ENGINE_H
#define WF_FAKES_ENGINE_H

/*
 * eng: fake of a model engine that serves a range of layers (section 3 of
 * docs/interfaces.md). Activations and token texts are computed as in
 * tests/support/token_text.h.
 */

#include "http_client.h"
#include "server.h"

/* Block size of the prefix cache, in prompt bytes. */
#define ENG_PROMPT_BLOCK 256

/* Block size of the KV memory, in positions. */
#define ENG_KV_BLOCK 16

struct eng_engine;
struct eng_run;
struct eng_step;

/* Pool of slots; waiters queue by priority, then by arrival */

struct eng_waiter;

typedef void (*eng_slot_cb)(void *data);

struct eng_pool {
	unsigned slots;
	unsigned running;
	GQueue waiting; /* of struct eng_waiter */
};

/*
 * Takes a slot and calls cb, at once (returns NULL) or as soon as one is free
 * (returns the waiter).
 */
struct eng_waiter *eng_pool_acquire(struct eng_pool *pool, unsigned priority,
				    eng_slot_cb cb, void *data);

/* Releases a slot, which passes to the next waiter. */
void eng_pool_release(struct eng_pool *pool);

/* Removes a waiter from the queue. */
void eng_pool_cancel(struct eng_pool *pool, struct eng_waiter *waiter);

/* KV state */

/* KV state of one request in one range of layers. */
struct eng_range {
	unsigned first;
	unsigned last;
	unsigned kv_lineage; /* lineage of the last set-up */
	GArray *inputs; /* uint64_t: input activation of first, by position */
	GPtrArray *running; /* struct eng_step; borrowed */
};

/* Fencing and KV state of one request. */
struct eng_seq {
	char *request;
	unsigned lineage;	/* highest seen */
	unsigned cancelled;	/* highest lineage cancelled */
	int64_t timer_error_us; /* lateness of the last step */
	GPtrArray *ranges;
	struct eng_run *run; /* stream with this engine as head; borrowed */
	GList *lru;
};

struct eng_seq *eng_seq_find(struct eng_engine *engine, const char *request);

/* Finds or adds a sequence; adding may evict idle ones. */
struct eng_seq *eng_seq_get(struct eng_engine *engine, const char *request);

/* Frees the KV state that no step uses; the fencing state is kept. */
void eng_seq_free_kv(struct eng_engine *engine, struct eng_seq *seq);

struct eng_range *eng_range_find(struct eng_seq *seq, unsigned first,
				 unsigned last);

/* Adds the range, or empties it if it exists. */
struct eng_range *eng_range_reset(struct eng_engine *engine,
				  struct eng_seq *seq, unsigned first,
				  unsigned last);
void eng_range_add(struct eng_engine *engine, struct eng_range *range,
		   uint64_t input);

/* Output activation of a layer at a position that the range holds. */
uint64_t eng_range_output(const struct eng_range *range, unsigned position,
			  unsigned layer);

/*
 * The state of exactly this range, if need be copied from a range that contains
 * it. NULL if there is none.
 */
struct eng_range *eng_range_extract(struct eng_engine *engine,
				    struct eng_seq *seq, unsigned first,
				    unsigned last);

/*
 * Evicts idle sequences if there is no free block; false if none could be
 * freed.
 */
bool eng_kv_make_room(struct eng_engine *engine);

/* Free blocks of KV memory. */
unsigned eng_kv_free_blocks(const struct eng_engine *engine);

/* "<16 hexadecimal digits>:<next layer>" */
void eng_activation_format(uint64_t value, unsigned layer, char out[32]);
bool eng_activation_parse(const char *text, uint64_t *value, unsigned *layer);

/* Steps */

typedef void (*eng_step_cb)(struct eng_step *step, void *data);

/*
 * Execution of one token in one range of layers; owned by the engine once it
 * has started.
 */
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
	char *kv_source_address; /* NULL: from the instance list */
	uint64_t input;
	GArray *inputs; /* uint64_t, of earlier positions; may be NULL */
	double setup_us;
	eng_step_cb done;
	void *data;
	/* result */
	const char *error; /* error type, or NULL */
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

/* Imports the KV state from kv_source, then continues the step. */
void eng_import(struct eng_step *step);

/*
 * Continues a step whose KV state is in place: answers it from that state,
 * joins a running step for the same position, or queues it.
 */
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
	int max_seqs; /* limit on the sequences kept */
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

/* Records a step for GET /v1/records; kind is "run", "resumed" or "rebuilt". */
void eng_record_step(struct eng_engine *engine, const struct eng_step *step,
		     unsigned position, const char *kind);

/* Call after each change of a value in the load report. */
void eng_load_changed(struct eng_engine *engine);

/* Adds a prompt's blocks to the cache; returns how many were missing. */
unsigned eng_cache_prompt(struct eng_engine *engine, const char *prompt);

/*
 * Calls cb when the call's pause fault is cleared or its client has gone; at
 * once if there is no pause.
 */
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

/* Ends a stream with an error event that names this engine. */
void eng_run_stop(struct eng_run *run, const char *type);

void eng_report_init(struct eng_engine *engine);

/* Unsigned member of a JSON object, or the default. */
unsigned eng_json_uint(const json_t *json, const char *name, unsigned fallback);

/* String member of a JSON object, or "". Borrowed. */
const char *eng_json_string(const json_t *json, const char *name);

#endif
