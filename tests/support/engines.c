#include "engines.h"

#include "token_text.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPTIONS_MAX 16

bool sup_start_engine(struct sup_engine *engine, unsigned number,
		      unsigned first, unsigned last, const char *const *options)
{
	char first_text[16];
	char last_text[16];
	const char *args[8 + OPTIONS_MAX] = {"--id",	      engine->id,
					     "--first-layer", first_text,
					     "--last-layer",  last_text};
	int i;

	memset(engine, 0, sizeof(*engine));
	g_snprintf(engine->id, sizeof(engine->id), "engine-%u", number);
	g_snprintf(first_text, sizeof(first_text), "%u", first);
	g_snprintf(last_text, sizeof(last_text), "%u", last);
	engine->first = first;
	engine->last = last;
	for (i = 0; options && options[i] && i < OPTIONS_MAX; i++)
		args[6 + i] = options[i];
	if (!sup_start_fake(&engine->child, "engine", args))
		return false;
	g_strlcpy(engine->address, engine->child.address,
		  sizeof(engine->address));
	return true;
}

char *sup_expected_text(const char *prompt, unsigned from, unsigned to)
{
	return token_text(prompt, SUP_LAYERS, from, to);
}

static json_t *stage_json(const struct sup_stage *stage)
{
	json_t *json = json_pack(
		"{s:s,s:s,s:i,s:i,s:s,s:s}", "target", stage->engine->id,
		"address", stage->engine->address, "first_layer",
		(int)stage->engine->first, "last_layer",
		(int)stage->engine->last, "kv", stage->kv ? stage->kv : "fresh",
		"kv_source", stage->source ? stage->source->id : "");

	if (stage->source)
		json_object_set_new(json, "kv_source_address",
				    json_string(stage->source->address));
	return json;
}

char *sup_generate_body(const struct sup_generate *generate)
{
	char *expected =
		sup_expected_text(generate->prompt, 0, generate->start);
	const char *delivered =
		generate->delivered ? generate->delivered : expected;
	unsigned lineage = generate->lineage ? generate->lineage : 1;
	unsigned max = generate->max_tokens ? generate->max_tokens : 16;
	json_t *chain = json_array();
	json_t *json;
	char *text;
	char *copy;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(generate->stages); i++)
		if (generate->stages[i].engine)
			json_array_append_new(chain,
					      stage_json(&generate->stages[i]));
	json = json_pack("{s:s,s:i,s:s,s:s,s:i,s:i,s:i,s:s,s:o}", "request",
			 generate->request, "lineage", (int)lineage, "model",
			 "swan-70b", "prompt", generate->prompt, "max_tokens",
			 (int)max, "priority", (int)generate->priority,
			 "start_position", (int)generate->start, "delivered",
			 delivered, "chain", chain);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	g_free(expected);
	copy = g_strdup(text);
	free(text);
	return copy;
}

struct sup_request *sup_send_generate(const struct sup_generate *generate)
{
	char *body = sup_generate_body(generate);
	const struct sup_query query = {
		.address = generate->stages[0].engine->address,
		.path = "/v1/generate",
		.body = body,
	};
	struct sup_request *request = sup_send(&query);

	g_free(body);
	return request;
}

GPtrArray *sup_run_generate(const struct sup_generate *generate, int *status)
{
	struct sup_answer answer;
	GPtrArray *events;

	sup_finish(sup_send_generate(generate), &answer);
	*status = answer.complete ? answer.status : 0;
	events = sup_events(answer.body->str);
	sup_answer_clear(&answer);
	return events;
}

static bool covers(const json_t *receipts)
{
	json_int_t next = 0;
	size_t i;

	for (i = 0; i < json_array_size(receipts); i++) {
		const json_t *receipt = json_array_get(receipts, i);

		if (sup_json_int(receipt, "first_layer") != next)
			return false;
		next = sup_json_int(receipt, "last_layer") + 1;
	}
	return next == SUP_LAYERS;
}

bool sup_receipts_cover(const GPtrArray *events, unsigned start)
{
	json_int_t next = start;
	unsigned i;

	for (i = 0; i < events->len; i++) {
		const struct sup_event *event = events->pdata[i];

		if (strcmp(event->name, "token") != 0)
			continue;
		if (sup_json_int(event->json, "position") != next++ ||
		    !covers(json_object_get(event->json, "receipts")))
			return false;
	}
	return true;
}

unsigned sup_count_steps(const struct sup_engine *engine, const char *request,
			 int position, const char *kind)
{
	char *path = g_strdup_printf("/v1/records?request=%s", request);
	json_t *json = sup_get_json(engine->address, path);
	unsigned n = 0;
	json_t *step;
	size_t i;

	json_array_foreach(json_object_get(json, "steps"), i, step)
	{
		const char *found =
			json_string_value(json_object_get(step, "kind"));

		if (position >= 0 && sup_json_int(step, "position") != position)
			continue;
		n += !kind || (found && !strcmp(found, kind));
	}
	json_decref(json);
	g_free(path);
	return n;
}
