#include "engine_run.h"

#include "../support/token_text.h"

#include <string.h>

static void run_token(void *data);

struct eng_run *eng_run_keep(struct eng_run *run)
{
	run->refs++;
	return run;
}

static void run_free(void *data)
{
	struct eng_run *run = data;

	g_free(run->request);
	g_free(run->model);
	g_free(run->prompt);
	g_array_unref(run->chain);
	g_array_unref(run->inputs);
	json_decref(run->receipts);
	fk_call_drop(run->call);
	g_free(run);
}

/* Frees from the event loop: callers further up the stack still use the run. */
void eng_run_drop(struct eng_run *run)
{
	if (--run->refs == 0)
		fk_after(fk_loop(run->engine->server), 0, run_free, run);
}

struct eng_stage *eng_run_stage(struct eng_run *run, unsigned index)
{
	return &g_array_index(run->chain, struct eng_stage, index);
}

bool eng_run_is_local(const struct eng_run *run, const struct eng_stage *stage)
{
	return !strcmp(stage->target, run->engine->id);
}

void eng_run_end(struct eng_run *run)
{
	struct eng_engine *engine = run->engine;

	if (!run->seq)
		return;
	run->call->on_gone = NULL;
	run->seq->run = NULL;
	run->seq = NULL;
	if (run->waiter)
		eng_pool_cancel(&engine->streams, run->waiter);
	run->waiter = NULL;
	if (run->has_slot)
		eng_pool_release(&engine->streams);
	eng_load_changed(engine);
	eng_run_drop(run);
}

void eng_run_fail(struct eng_run *run, const char *type, const char *target)
{
	if (!run->seq)
		return;
	if (run->call->stream) {
		fk_stream_event(run->call, "error",
				json_pack("{s:i,s:s,s:s}", "lineage",
					  (int)run->lineage, "type", type,
					  "target", target));
		fk_stream_end(run->call);
	} else {
		fk_reply_error(run->call, 409, type, "the stream has ended");
	}
	eng_run_end(run);
}

void eng_run_stop(struct eng_run *run, const char *type)
{
	eng_run_fail(run, type, run->engine->id);
}

static void run_finish(struct eng_run *run, const char *reason)
{
	fk_stream_event(run->call, "end",
			json_pack("{s:i,s:s}", "lineage", (int)run->lineage,
				  "reason", reason));
	fk_stream_end(run->call);
	eng_run_end(run);
}

/* Sends the token that the last stage has computed and schedules the next. */
static void run_send_token(struct eng_run *run)
{
	char word[8];

	token_word(run->value, word);
	fk_stream_event(run->call, "token",
			json_pack("{s:i,s:i,s:s,s:O}", "lineage",
				  (int)run->lineage, "position",
				  (int)run->position, "text", word, "receipts",
				  run->receipts));
	run->position++;
	/* From the event loop: tokens answered from KV state would recurse. */
	fk_after(fk_loop(run->engine->server), 0, run_token, eng_run_keep(run));
}

void eng_run_stage_done(struct eng_run *run, uint64_t output, const char *kind)
{
	struct eng_stage *stage = eng_run_stage(run, run->stage);

	stage->started = true;
	run->value = output;
	run->has_inputs = false;
	g_array_set_size(run->inputs, 0);
	json_array_append_new(run->receipts,
			      json_pack("{s:s,s:i,s:i,s:s}", "target",
					stage->target, "first_layer",
					(int)stage->first, "last_layer",
					(int)stage->last, "kind", kind));
	if (++run->stage < run->chain->len)
		eng_run_start_stage(run);
	else
		run_send_token(run);
}

static void run_start_token(void *data)
{
	struct eng_run *run = data;

	if (run->seq) {
		run->stage = 0;
		run->value = token_embed(run->prompt, run->position);
		json_decref(run->receipts);
		run->receipts = json_array();
		eng_run_start_stage(run);
	}
	eng_run_drop(run);
}

static void run_token(void *data)
{
	struct eng_run *run = data;
	const struct fk_fault *fault = &run->call->fault;

	if (!run->seq) {
		eng_run_drop(run);
	} else if (run->position >= run->max_tokens) {
		run_finish(run, "length");
		eng_run_drop(run);
	} else if (run->position >= run->stop_after) {
		run_finish(run, "stop");
		eng_run_drop(run);
	} else if (fault->kind == FK_FAULT_PAUSE &&
		   fault->position == run->position) {
		eng_pause(run->engine, run->call, run_start_token, run);
	} else {
		run_start_token(run);
	}
}

void eng_run_begin(void *data)
{
	struct eng_run *run = data;

	run->waiter = NULL;
	run->has_slot = true;
	run->setup_us = run->start == 0 ? run->engine->block_us *
						  eng_cache_prompt(run->engine,
								   run->prompt)
					: 0;
	eng_load_changed(run->engine);
	run_token(eng_run_keep(run));
}
