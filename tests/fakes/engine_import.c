#include "engine.h"

#include <string.h>

/* Adds the inputs of an export to a range; false if it is malformed. */
static bool import_inputs(struct eng_engine *engine, struct eng_range *range,
			  const struct fc_result *result)
{
	json_t *json = json_loadb(result->body, result->len, 0, NULL);
	const json_t *inputs = json_object_get(json, "inputs");
	bool good = json_is_array(inputs);
	size_t i;

	for (i = 0; good && i < json_array_size(inputs); i++) {
		const char *text = json_string_value(json_array_get(inputs, i));
		uint64_t value;
		unsigned layer;

		good = eng_activation_parse(text, &value, &layer) &&
		       layer == range->first;
		if (good)
			eng_range_add(engine, range, value);
	}
	json_decref(json);
	return good;
}

static void on_import(const struct fc_result *result, void *data)
{
	struct eng_step *step = data;
	struct eng_engine *engine = step->engine;
	struct eng_seq *seq = eng_seq_get(engine, step->request);
	struct eng_range *range = eng_range_find(seq, step->first, step->last);

	if (step->lineage < seq->lineage) {
		eng_step_fail(step, 409, "fenced");
		return;
	}
	if (range && range->kv_lineage == step->lineage) {
		eng_step_run(step, range);
		return;
	}
	if (result->status != 200) {
		eng_step_fail(step, 409, "kv_missing");
		return;
	}
	if (range && range->running->len) {
		eng_step_fail(step, 503, "overloaded");
		return;
	}
	range = eng_range_reset(engine, seq, step->first, step->last);
	if (!import_inputs(engine, range, result)) {
		eng_range_reset(engine, seq, step->first, step->last);
		eng_step_fail(step, 409, "kv_missing");
		return;
	}
	range->kv_lineage = step->lineage;
	step->setup_us += engine->import_us;
	eng_step_run(step, range);
}

static void fetch_export(struct eng_step *step)
{
	char *url = g_strdup_printf(
		"http://%s/v1/kv/%s?first_layer=%u&last_layer=%u",
		step->kv_source_address, step->request, step->first,
		step->last);
	const struct fc_options options = {
		.method = "GET",
		.url = url,
		.timeout_ms = step->engine->stage_timeout_ms,
		.on_done = on_import,
		.data = step,
	};

	fc_send(step->engine->client, &options);
	g_free(url);
}

/* The address of the step's kv_source in the instance list, or NULL. */
static char *find_address(const struct eng_step *step,
			  const struct fc_result *result)
{
	json_t *json = json_loadb(result->body, result->len, 0, NULL);
	const json_t *list = json_object_get(json, "instances");
	char *address = NULL;
	size_t i;

	for (i = 0; !address && i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);

		if (!strcmp(eng_json_string(entry, "id"), step->kv_source))
			address = g_strdup(eng_json_string(entry, "address"));
	}
	json_decref(json);
	return address;
}

static void on_list(const struct fc_result *result, void *data)
{
	struct eng_step *step = data;

	step->kv_source_address = find_address(step, result);
	if (step->kv_source_address)
		fetch_export(step);
	else
		eng_step_fail(step, 409, "kv_missing");
}

void eng_import(struct eng_step *step)
{
	char *url;
	struct fc_options options = {
		.method = "GET",
		.timeout_ms = step->engine->stage_timeout_ms,
		.on_done = on_list,
		.data = step,
	};

	if (step->kv_source_address) {
		fetch_export(step);
		return;
	}
	if (!step->engine->list_address) {
		eng_step_fail(step, 409, "kv_missing");
		return;
	}
	url = g_strdup_printf("http://%s/v1/instances",
			      step->engine->list_address);
	options.url = url;
	fc_send(step->engine->client, &options);
	g_free(url);
}
