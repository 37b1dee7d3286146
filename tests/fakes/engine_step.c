#include "engine.h"

#include "../support/token_text.h"

#include <string.h>

/* Limit of the correction: twice the resolution of timers. */
#define TIMER_ERROR_MAX_US 2000

struct eng_step *eng_step_new(struct eng_engine *engine, const char *request)
{
	struct eng_step *step = g_new0(struct eng_step, 1);

	step->engine = engine;
	step->request = g_strdup(request);
	step->joined = g_ptr_array_new();
	return step;
}

static void step_free(struct eng_step *step)
{
	g_free(step->request);
	g_free(step->kv);
	g_free(step->kv_source);
	g_free(step->kv_source_address);
	if (step->inputs)
		g_array_unref(step->inputs);
	g_ptr_array_unref(step->joined);
	g_free(step);
}

static void step_finish(struct eng_step *step)
{
	if (!step->error && !strcmp(step->kind, "resumed"))
		eng_record_step(step->engine, step, step->position, step->kind);
	step->done(step, step->data);
	step_free(step);
}

void eng_step_fail(struct eng_step *step, int status, const char *type)
{
	step->status = status;
	step->error = type;
	step_finish(step);
}

static void step_succeed(struct eng_step *step, uint64_t output,
			 const char *kind)
{
	step->status = 200;
	step->output = output;
	step->kind = kind;
	step_finish(step);
}

/* Finishes the step and the repeated requests that joined it. */
static void step_executed(void *data)
{
	struct eng_step *step = data;
	struct eng_engine *engine = step->engine;
	uint64_t output = token_layers(step->input, step->first, step->last);
	GPtrArray *joined = g_ptr_array_ref(step->joined);
	unsigned i;

	eng_seq_get(engine, step->request)->timer_error_us =
		fk_now_us() - step->due_us;
	eng_range_add(engine, step->range, step->input);
	g_ptr_array_remove_fast(step->range->running, step);
	eng_record_step(engine, step, step->position, "run");
	eng_pool_release(&engine->steps);
	eng_load_changed(engine);
	step_succeed(step, output, "run");
	for (i = 0; i < joined->len; i++)
		step_succeed(joined->pdata[i], output, "resumed");
	g_ptr_array_unref(joined);
}

/* Has a slot: starts the timer for the step time. */
static void step_execute(void *data)
{
	struct eng_step *step = data;
	struct eng_engine *engine = step->engine;
	struct eng_seq *seq = eng_seq_get(engine, step->request);
	int64_t now = fk_now_us();
	int64_t wait_ms;

	/*
	 * Timers have a resolution of 1 ms. The next step corrects the error
	 * of the last one, so that the mean is exact for any step time.
	 */
	step->due_us = now + (int64_t)(engine->step_us + step->setup_us) -
		       CLAMP(seq->timer_error_us, -TIMER_ERROR_MAX_US,
			     TIMER_ERROR_MAX_US);
	wait_ms = (step->due_us - now) / 1000;
	fk_after(fk_loop(engine->server), wait_ms > 0 ? (uint64_t)wait_ms : 0,
		 step_executed, step);
}

static struct eng_step *find_running(const struct eng_range *range,
				     unsigned position)
{
	unsigned i;

	for (i = 0; i < range->running->len; i++) {
		struct eng_step *step = range->running->pdata[i];

		if (step->position == position)
			return step;
	}
	return NULL;
}

void eng_step_run(struct eng_step *step, struct eng_range *range)
{
	unsigned n = range->inputs->len;
	struct eng_step *running;

	if (step->position < n) {
		step_succeed(
			step,
			eng_range_output(range, step->position, range->last),
			"resumed");
		return;
	}
	running = find_running(range, step->position);
	if (running) {
		g_ptr_array_add(running->joined, step);
		return;
	}
	if (step->position > n || range->running->len) {
		eng_step_fail(step, 409, "kv_missing");
		return;
	}
	step->range = range;
	g_ptr_array_add(range->running, step);
	eng_pool_acquire(&step->engine->steps, step->priority, step_execute,
			 step);
	eng_load_changed(step->engine);
}

/* Rebuilds the KV state of earlier positions from their inputs. */
static struct eng_range *rebuild(struct eng_step *step, struct eng_seq *seq)
{
	struct eng_engine *engine = step->engine;
	struct eng_range *range =
		eng_range_reset(engine, seq, step->first, step->last);
	unsigned n = step->inputs ? step->inputs->len : 0;
	unsigned i;

	for (i = 0; i < n; i++) {
		uint64_t input = g_array_index(step->inputs, uint64_t, i);

		eng_range_add(engine, range, input);
		eng_record_step(engine, step, i, "rebuilt");
	}
	step->setup_us += engine->rebuild_us * n;
	range->kv_lineage = step->lineage;
	return range;
}

static void restart(void *data)
{
	eng_step_start(data);
}

/* Sets the KV state up as the step's kv mode says, then continues the step. */
static void step_set_up_kv(struct eng_step *step, struct eng_seq *seq)
{
	struct eng_range *range = eng_range_find(seq, step->first, step->last);
	bool is_set_up = range && range->kv_lineage == step->lineage;
	bool busy = range && range->running->len;

	if (is_set_up) {
		eng_step_run(step, range);
	} else if (!strcmp(step->kv, "held")) {
		range = eng_range_extract(step->engine, seq, step->first,
					  step->last);
		if (!range) {
			eng_step_fail(step, 409, "kv_missing");
			return;
		}
		range->kv_lineage = step->lineage;
		eng_step_run(step, range);
	} else if (busy) {
		/* A step of an older lineage is still changing the state. */
		fk_after(fk_loop(step->engine->server), 1, restart, step);
	} else if (!strcmp(step->kv, "import")) {
		eng_import(step);
	} else {
		eng_step_run(step, rebuild(step, seq));
	}
}

void eng_step_start(struct eng_step *step)
{
	struct eng_engine *engine = step->engine;
	struct eng_seq *seq = eng_seq_find(engine, step->request);

	if (step->first > step->last ||
	    step->first < (unsigned)engine->first_layer ||
	    step->last > (unsigned)engine->last_layer) {
		eng_step_fail(step, 400, "bad_range");
		return;
	}
	if (!seq && engine->leaving) {
		eng_step_fail(step, 503, "leaving");
		return;
	}
	seq = eng_seq_get(engine, step->request);
	if (step->lineage < seq->lineage) {
		eng_step_fail(step, 409, "fenced");
		return;
	}
	if (step->lineage <= seq->cancelled) {
		eng_step_fail(step, 409, "cancelled");
		return;
	}
	seq->lineage = step->lineage;
	step_set_up_kv(step, seq);
}

/* Steps requested by other engines */

static void on_step_done(struct eng_step *step, void *data)
{
	struct fk_call *call = data;
	char output[32];

	if (step->error) {
		if (step->status == 503 && call->req)
			fk_add_header(call, "retry-after", "1");
		fk_reply_error(call, step->status, step->error,
			       "the step was not executed");
	} else {
		eng_activation_format(step->output, step->last + 1, output);
		fk_reply_json(call, 200,
			      json_pack("{s:s,s:{s:s,s:i,s:i,s:s}}", "output",
					output, "receipt", "target",
					step->engine->id, "first_layer",
					(int)step->first, "last_layer",
					(int)step->last, "kind", step->kind));
	}
	fk_call_drop(call);
}

static GArray *parse_inputs(const json_t *list, unsigned first)
{
	GArray *inputs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *text = json_string_value(json_array_get(list, i));
		uint64_t value;
		unsigned layer;

		if (!eng_activation_parse(text, &value, &layer) ||
		    layer != first) {
			g_array_unref(inputs);
			return NULL;
		}
		g_array_append_val(inputs, value);
	}
	return inputs;
}

static struct eng_step *parse_step(struct fk_call *call, const json_t *json)
{
	struct eng_engine *engine = call->user;
	struct eng_step *step =
		eng_step_new(engine, eng_json_string(json, "request"));
	const char *source = eng_json_string(json, "kv_source_address");
	unsigned layer;

	step->lineage = eng_json_uint(json, "lineage", 0);
	step->position = eng_json_uint(json, "position", 0);
	step->first = eng_json_uint(json, "first_layer", 0);
	step->last = eng_json_uint(json, "last_layer", 0);
	step->priority = eng_json_uint(json, "priority", 0);
	step->kv = g_strdup(eng_json_string(json, "kv"));
	step->kv_source = g_strdup(eng_json_string(json, "kv_source"));
	step->kv_source_address = *source ? g_strdup(source) : NULL;
	step->inputs =
		parse_inputs(json_object_get(json, "inputs"), step->first);
	step->done = on_step_done;
	if (*step->request && step->inputs &&
	    eng_activation_parse(eng_json_string(json, "input"), &step->input,
				 &layer) &&
	    layer == step->first)
		return step;
	step_free(step);
	return NULL;
}

void eng_handle_step(struct fk_call *call)
{
	json_t *json = fk_json_body(call);
	struct eng_step *step;

	if (!json)
		return;
	step = parse_step(call, json);
	json_decref(json);
	if (!step) {
		fk_reply_error(call, 400, "bad_request", "malformed step");
		return;
	}
	step->data = fk_call_keep(call);
	eng_pause(call->user, call, restart, step);
}
