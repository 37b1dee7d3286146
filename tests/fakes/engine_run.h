#ifndef WF_FAKES_ENGINE_RUN_H
#define WF_FAKES_ENGINE_RUN_H

/* A stream whose head is this engine: internal interface of the engine fake. */

#include "engine.h"

/* One stage of a chain. */
struct eng_stage {
	char *target;
	char *address;
	unsigned first;
	unsigned last;
	char *kv;
	char *kv_source;
	char *kv_source_address;
	bool started;
};

struct eng_run {
	struct eng_engine *engine;
	struct eng_seq *seq; /* NULL once the stream has ended */
	char *request;
	struct fk_call *call; /* kept */
	int refs;
	GArray *chain; /* of struct eng_stage */
	char *model;
	char *prompt;
	unsigned lineage;
	unsigned start;
	unsigned position;
	unsigned max_tokens;
	unsigned stop_after;
	unsigned priority;
	double setup_us;
	struct eng_waiter *waiter;
	bool has_slot;
	unsigned stage; /* index in chain */
	uint64_t value;
	json_t *receipts;
	GArray *inputs; /* of the stage being set up */
	bool has_inputs;
};

struct eng_run *eng_run_keep(struct eng_run *run);
void eng_run_drop(struct eng_run *run);

struct eng_stage *eng_run_stage(struct eng_run *run, unsigned index);

/* Whether the stage is served by this engine. */
bool eng_run_is_local(const struct eng_run *run, const struct eng_stage *stage);

/* Starts generation once a slot is free; data is the run. */
void eng_run_begin(void *data);

/* Detaches the run from its sequence and releases its slot. */
void eng_run_end(struct eng_run *run);

/* Ends the stream with an error event. */
void eng_run_fail(struct eng_run *run, const char *type, const char *target);

/* Starts the step of the current token at the current stage. */
void eng_run_start_stage(struct eng_run *run);

/* Takes the result of the current stage; continues with the next one. */
void eng_run_stage_done(struct eng_run *run, uint64_t output, const char *kind);

#endif
