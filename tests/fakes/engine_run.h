#ifndef WF_FAKES_ENGINE_RUN_H
#define WF_FAKES_ENGINE_RUN_H

/* A stream that this engine heads; shared by the parts that drive it. */

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
	GArray *inputs; /* for the stage that is set up now */
	bool has_inputs;
};

struct eng_run *eng_run_keep(struct eng_run *run);
void eng_run_drop(struct eng_run *run);

struct eng_stage *eng_run_stage(struct eng_run *run, unsigned index);

/* Whether this engine is the stage itself. */
bool eng_run_is_local(const struct eng_run *run, const struct eng_stage *stage);

/* Starts the tokens, once a slot is free; data is the run. */
void eng_run_begin(void *data);

/* Takes the run off its sequence and gives its slot back. */
void eng_run_end(struct eng_run *run);

/* Ends the stream with an error event. */
void eng_run_fail(struct eng_run *run, const char *type, const char *target);

/* Sends the present token's step to the present stage. */
void eng_run_start_stage(struct eng_run *run);

/* Takes the result of the present stage and goes on. */
void eng_run_stage_done(struct eng_run *run, uint64_t output, const char *kind);

#endif
