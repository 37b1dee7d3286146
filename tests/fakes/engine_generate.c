#include "engine_run.h"

#include "../support/token_text.h"

#include <stdlib.h>
#include <string.h>

unsigned eng_json_uint(const json_t *json, const char *name, unsigned fallback)
{
	const json_t *value = json_object_get(json, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return fallback;
	return (unsigned)json_integer_value(value);
}

const char *eng_json_string(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static void stage_clear(void *data)
{
	struct eng_stage *stage = data;

	g_free(stage->target);
	g_free(stage->address);
	g_free(stage->kv);
	g_free(stage->kv_source);
	g_free(stage->kv_source_address);
}

static void find_source(struct eng_stage *stage, const json_t *chain)
{
	size_t i;

	for (i = 0; !stage->kv_source_address && i < json_array_size(chain);
	     i++) {
		const json_t *other = json_array_get(chain, i);

		if (!strcmp(eng_json_string(other, "target"), stage->kv_source))
			stage->kv_source_address =
				g_strdup(eng_json_string(other, "address"));
	}
}

static bool is_kv(const char *kv)
{
	return !strcmp(kv, "fresh") || !strcmp(kv, "held") ||
	       !strcmp(kv, "import") || !strcmp(kv, "rebuild");
}

/* Parses the chain; false if it does not cover the model's layers. */
static bool parse_chain(struct eng_run *run, const json_t *chain)
{
	unsigned next = 0;
	size_t i;

	for (i = 0; i < json_array_size(chain); i++) {
		const json_t *json = json_array_get(chain, i);
		const char *source = eng_json_string(json, "kv_source_address");
		struct eng_stage stage = {
			.target = g_strdup(eng_json_string(json, "target")),
			.address = g_strdup(eng_json_string(json, "address")),
			.first = eng_json_uint(json, "first_layer", 0),
			.last = eng_json_uint(json, "last_layer", 0),
			.kv = g_strdup(eng_json_string(json, "kv")),
			.kv_source =
				g_strdup(eng_json_string(json, "kv_source")),
			.kv_source_address = *source ? g_strdup(source) : NULL,
		};

		find_source(&stage, chain);
		g_array_append_val(run->chain, stage);
		if (stage.first != next || stage.last < stage.first ||
		    !is_kv(stage.kv))
			return false;
		next = stage.last + 1;
	}
	return next == (unsigned)run->engine->n_layers &&
	       eng_run_is_local(run, eng_run_stage(run, 0));
}

/* "[stop N]" in a prompt ends the generated text after N tokens. */
static unsigned parse_stop_mark(const char *prompt)
{
	const char *mark = strstr(prompt, "[stop ");

	return mark ? (unsigned)strtoul(mark + strlen("[stop "), NULL, 10)
		    : G_MAXUINT;
}

static struct eng_run *run_new(struct fk_call *call, const json_t *json)
{
	struct eng_run *run = g_new0(struct eng_run, 1);

	run->engine = call->user;
	run->refs = 1;
	run->call = fk_call_keep(call);
	run->request = g_strdup(eng_json_string(json, "request"));
	run->model = g_strdup(eng_json_string(json, "model"));
	run->prompt = g_strdup(eng_json_string(json, "prompt"));
	run->lineage = eng_json_uint(json, "lineage", 0);
	run->start = eng_json_uint(json, "start_position", 0);
	run->position = run->start;
	run->max_tokens = eng_json_uint(json, "max_tokens", 16);
	run->priority = eng_json_uint(json, "priority", 0);
	run->stop_after = parse_stop_mark(run->prompt);
	run->receipts = json_array();
	run->inputs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	run->chain = g_array_new(FALSE, TRUE, sizeof(struct eng_stage));
	g_array_set_clear_func(run->chain, stage_clear);
	return run;
}

/* Whether the delivered text consists of the tokens before start_position. */
static bool delivered_matches(const struct eng_run *run, const json_t *json)
{
	char *text = token_text(run->prompt, (unsigned)run->engine->n_layers, 0,
				run->start);
	bool same = !strcmp(text, eng_json_string(json, "delivered"));

	g_free(text);
	return same;
}

static const char *find_bad_field(struct eng_run *run, const json_t *json)
{
	if (!*run->request || !run->lineage)
		return "request or lineage missing";
	if (strcmp(run->model, run->engine->model) != 0)
		return "the engine serves another model";
	if (!parse_chain(run, json_object_get(json, "chain")))
		return "the chain must start at this engine and cover all "
		       "layers";
	if (run->start > run->max_tokens || !delivered_matches(run, json))
		return "delivered is not the text before start_position";
	return NULL;
}

/* The type of the refusal, or NULL if the run may start. */
static const char *find_refusal(struct eng_run *run, int *status)
{
	struct eng_engine *engine = run->engine;
	struct eng_seq *seq = eng_seq_find(engine, run->request);
	const struct eng_stage *head = eng_run_stage(run, 0);

	*status = 409;
	if (seq && run->lineage < seq->lineage)
		return "fenced";
	if (seq && run->lineage <= seq->cancelled)
		return "cancelled";
	if (!strcmp(head->kv, "held") &&
	    !(seq && eng_range_extract(engine, seq, head->first, head->last)))
		return "kv_missing";
	*status = 503;
	if (!seq && engine->leaving)
		return "leaving";
	if (engine->streams.waiting.length >= (unsigned)engine->queue_limit &&
	    engine->streams.running >= engine->streams.slots)
		return "overloaded";
	if (!seq && !eng_kv_make_room(engine))
		return "overloaded";
	return NULL;
}

static void on_client_gone(struct fk_call *call, void *data)
{
	(void)call;
	eng_run_end(data);
}

/* Ends an older run of the same request as fenced and queues this one. */
static void run_start(struct eng_run *run)
{
	struct eng_engine *engine = run->engine;
	struct eng_seq *seq = eng_seq_get(engine, run->request);
	struct eng_waiter *waiter;

	if (seq->run)
		eng_run_stop(seq->run, "fenced");
	seq->lineage = run->lineage;
	seq->run = eng_run_keep(run);
	run->seq = seq;
	run->call->on_gone = on_client_gone;
	run->call->data = run;
	fk_stream_start(run->call);
	fk_stream_event(run->call, "accepted",
			json_pack("{s:i}", "lineage", (int)run->lineage));
	waiter = eng_pool_acquire(&engine->streams, run->priority,
				  eng_run_begin, run);
	if (waiter)
		run->waiter = waiter;
	eng_load_changed(engine);
}

void eng_handle_generate(struct fk_call *call)
{
	json_t *json = fk_json_body(call);
	struct eng_run *run;
	const char *flaw;
	const char *refusal;
	int status;

	if (!json)
		return;
	run = run_new(call, json);
	flaw = find_bad_field(run, json);
	refusal = flaw ? NULL : find_refusal(run, &status);
	json_decref(json);
	if (flaw) {
		fk_reply_error(call, 400, "bad_request", flaw);
	} else if (refusal) {
		fk_add_header(call, "retry-after", "1");
		fk_reply_error(call, status, refusal, "not run");
	} else {
		run_start(run);
	}
	eng_run_drop(run);
}
