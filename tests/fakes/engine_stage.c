#include "engine_run.h"

#include "../support/token_text.h"

#include <stdlib.h>
#include <string.h>

static void on_local_step(struct eng_step *step, void *data)
{
	struct eng_run *run = data;

	if (run->seq && step->error)
		eng_run_fail(run, step->error, run->engine->id);
	else if (run->seq)
		eng_run_stage_done(run, step->output, step->kind);
	eng_run_drop(run);
}

static const char *stage_kv_mode(const struct eng_stage *stage)
{
	return stage->started ? "held" : stage->kv;
}

static void step_locally(struct eng_run *run, const struct eng_stage *stage)
{
	struct eng_step *step = eng_step_new(run->engine, run->request);

	step->lineage = run->lineage;
	step->position = run->position;
	step->first = stage->first;
	step->last = stage->last;
	step->priority = run->priority;
	step->kv = g_strdup(stage_kv_mode(stage));
	step->kv_source = g_strdup(stage->kv_source);
	step->kv_source_address = g_strdup(stage->kv_source_address);
	step->input = run->value;
	step->inputs = run->inputs;
	step->setup_us = stage->started ? 0 : run->setup_us;
	step->done = on_local_step;
	step->data = eng_run_keep(run);
	run->inputs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	eng_step_start(step);
}

static json_t *inputs_json(const struct eng_run *run, unsigned layer)
{
	json_t *list = json_array();
	char text[32];
	unsigned i;

	for (i = 0; i < run->inputs->len; i++) {
		eng_activation_format(g_array_index(run->inputs, uint64_t, i),
				      layer, text);
		json_array_append_new(list, json_string(text));
	}
	return list;
}

/* The error type in a response's body, or the fallback. */
static char *error_type(const struct fc_result *result, const char *fallback)
{
	json_t *json = json_loadb(result->body, result->len, 0, NULL);
	const char *type = json_string_value(
		json_object_get(json_object_get(json, "error"), "type"));
	char *copy = g_strdup(type ? type : fallback);

	json_decref(json);
	return copy;
}

static bool is_stage_error(const char *type)
{
	return !strcmp(type, "fenced") || !strcmp(type, "kv_missing") ||
	       !strcmp(type, "leaving") || !strcmp(type, "overloaded") ||
	       !strcmp(type, "cancelled");
}

static void remote_failed(struct eng_run *run, const struct fc_result *result)
{
	const struct eng_stage *stage = eng_run_stage(run, run->stage);
	char *type = result->status ? error_type(result, "stage_lost")
				    : g_strdup("stage_lost");

	eng_run_fail(run, is_stage_error(type) ? type : "stage_lost",
		     stage->target);
	g_free(type);
}

static void on_remote_step(const struct fc_result *result, void *data)
{
	struct eng_run *run = data;
	json_t *json;
	uint64_t output;
	unsigned layer;

	if (!run->seq) {
		eng_run_drop(run);
		return;
	}
	json = result->status == 200
		       ? json_loadb(result->body, result->len, 0, NULL)
		       : NULL;
	if (eng_activation_parse(eng_json_string(json, "output"), &output,
				 &layer) &&
	    layer == eng_run_stage(run, run->stage)->last + 1)
		eng_run_stage_done(
			run, output,
			eng_json_string(json_object_get(json, "receipt"),
					"kind"));
	else
		remote_failed(run, result);
	json_decref(json);
	eng_run_drop(run);
}

static void send_to(struct eng_run *run, const struct eng_stage *stage,
		    const char *method, const char *path, const char *body,
		    fc_done_cb on_done)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	char *url = g_strdup_printf("http://%s%s", stage->address, path);
	const struct fc_options options = {
		.method = method,
		.url = url,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.headers = headers,
		.timeout_ms = run->engine->stage_timeout_ms,
		.on_done = on_done,
		.data = eng_run_keep(run),
	};

	fc_send(run->engine->client, &options);
	g_free(url);
}

static void step_remotely(struct eng_run *run, const struct eng_stage *stage)
{
	const char *source = stage->kv_source_address;
	char input[32];
	json_t *json;
	char *body;

	eng_activation_format(run->value, stage->first, input);
	json = json_pack("{s:s,s:i,s:i,s:i,s:i,s:i,s:s,s:s,s:s,s:o}", "request",
			 run->request, "lineage", (int)run->lineage, "position",
			 (int)run->position, "first_layer", (int)stage->first,
			 "last_layer", (int)stage->last, "priority",
			 (int)run->priority, "kv", stage_kv_mode(stage),
			 "kv_source", stage->kv_source, "input", input,
			 "inputs", inputs_json(run, stage->first));
	if (source && !stage->started)
		json_object_set_new(json, "kv_source_address",
				    json_string(source));
	body = json_dumps(json, JSON_COMPACT);
	send_to(run, stage, "POST", "/v1/step", body, on_remote_step);
	free(body);
	json_decref(json);
}

/* Parses the output activations of the previous stage; false if too few. */
static bool parse_boundary(struct eng_run *run, const struct fc_result *result,
			   unsigned layer)
{
	json_t *json = json_loadb(result->body, result->len, 0, NULL);
	const json_t *list = json_object_get(json, "outputs");
	unsigned i;

	g_array_set_size(run->inputs, 0);
	for (i = 0; i < run->start; i++) {
		uint64_t value;
		unsigned at;

		if (!eng_activation_parse(
			    json_string_value(json_array_get(list, i)), &value,
			    &at) ||
		    at != layer)
			break;
		g_array_append_val(run->inputs, value);
	}
	json_decref(json);
	return i == run->start;
}

static void on_boundary(const struct fc_result *result, void *data)
{
	struct eng_run *run = data;
	const struct eng_stage *stage;

	if (!run->seq) {
		eng_run_drop(run);
		return;
	}
	stage = eng_run_stage(run, run->stage);
	if (result->status == 200 &&
	    parse_boundary(run, result, stage->first)) {
		run->has_inputs = true;
		eng_run_start_stage(run);
	} else {
		eng_run_fail(run, result->status ? "kv_missing" : "stage_lost",
			     eng_run_stage(run, run->stage - 1)->target);
	}
	eng_run_drop(run);
}

static void fetch_boundary(struct eng_run *run)
{
	const struct eng_stage *before = eng_run_stage(run, run->stage - 1);
	struct eng_stage self = *before;
	char *path = g_strdup_printf("/v1/boundary/%s?last_layer=%u&to=%u",
				     run->request, before->last, run->start);

	if (eng_run_is_local(run, before))
		self.address = (char *)fk_address(run->engine->server);
	send_to(run, &self, "GET", path, NULL, on_boundary);
	g_free(path);
}

/* Whether the stage must first compute the positions before the start. */
static bool needs_inputs(const struct eng_run *run,
			 const struct eng_stage *stage)
{
	return !run->has_inputs && !stage->started && run->start > 0 &&
	       (!strcmp(stage->kv, "fresh") || !strcmp(stage->kv, "rebuild"));
}

static void embed_inputs(struct eng_run *run)
{
	unsigned i;

	for (i = 0; i < run->start; i++) {
		uint64_t value = token_embed(run->prompt, i);

		g_array_append_val(run->inputs, value);
	}
	run->has_inputs = true;
}

void eng_run_start_stage(struct eng_run *run)
{
	const struct eng_stage *stage = eng_run_stage(run, run->stage);

	if (needs_inputs(run, stage)) {
		if (run->stage > 0) {
			fetch_boundary(run);
			return;
		}
		embed_inputs(run);
	}
	if (eng_run_is_local(run, stage))
		step_locally(run, stage);
	else
		step_remotely(run, stage);
}
