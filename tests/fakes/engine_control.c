#include "engine.h"

#include <stdlib.h>
#include <string.h>

/* A load order that waits for the weight store's response. */
struct pending_order {
	struct eng_engine *engine;
	struct fk_call *call;
	char *argument;
};

void eng_handle_cancel(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	json_t *json = fk_json_body(call);
	unsigned lineage = eng_json_uint(json, "lineage", 0);
	struct eng_seq *seq;

	if (!json)
		return;
	seq = eng_seq_get(engine, eng_json_string(json, "request"));
	json_decref(json);
	seq->cancelled = MAX(seq->cancelled, lineage);
	if (seq->run && lineage >= seq->lineage)
		eng_run_stop(seq->run, "cancelled");
	fk_reply_json(call, 200, json_object());
}

/* Orders */

static void log_order(struct eng_engine *engine, const json_t *order,
		      const char *outcome)
{
	json_t *entry = json_deep_copy(order);

	json_object_set_new(entry, "outcome", json_string(outcome));
	json_array_append_new(engine->orders, entry);
}

static bool is_known_sender(const struct eng_engine *engine, const char *sender)
{
	char **ids;
	bool known;

	if (!engine->senders)
		return true;
	ids = g_strsplit(engine->senders, ",", -1);
	known = g_strv_contains((const char *const *)ids, sender);
	g_strfreev(ids);
	return known;
}

/*
 * Whether the fencing number is at least the highest one seen in its scope;
 * stores it as the highest if so. Always true without --checks-fencing.
 */
static bool check_and_store_fence(struct eng_engine *engine,
				  const json_t *order)
{
	const char *scope = eng_json_string(order, "duty");
	json_int_t value = json_integer_value(json_object_get(order, "fence"));
	uint64_t *seen;

	if (!*scope)
		scope = eng_json_string(order, "order");
	seen = g_hash_table_lookup(engine->fences, scope);
	if (!seen) {
		seen = g_new0(uint64_t, 1);
		g_hash_table_insert(engine->fences, g_strdup(scope), seen);
	}
	if (engine->checks_fencing && (uint64_t)value < *seen)
		return false;
	*seen = MAX(*seen, (uint64_t)value);
	return true;
}

static void apply_order(struct eng_engine *engine, const char *name,
			const char *argument)
{
	size_t i;
	json_t *item;

	if (!strcmp(name, "load")) {
		json_array_append_new(engine->loaded, json_string(argument));
	} else if (!strcmp(name, "unload")) {
		json_array_foreach(engine->loaded, i, item)
		{
			if (strcmp(json_string_value(item), argument) != 0)
				continue;
			json_array_remove(engine->loaded, i);
			break;
		}
	} else if (!strcmp(name, "role")) {
		g_free(engine->role);
		engine->role = g_strdup(argument);
	}
}

static void on_loaded(const struct fc_result *result, void *data)
{
	struct pending_order *order = data;

	if (result->status == 200) {
		apply_order(order->engine, "load", order->argument);
		fk_reply_json(order->call, 200, json_object());
	} else {
		fk_add_header(order->call, "retry-after", "1");
		fk_reply_error(
			order->call, 503, "overloaded",
			"the weight store refused the load or did not respond");
	}
	fk_call_drop(order->call);
	g_free(order->argument);
	g_free(order);
}

/* Requests the load from the weight store, which limits the rate of loads. */
static void load_weights(struct fk_call *call, const char *argument)
{
	struct eng_engine *engine = call->user;
	struct pending_order *order = g_new0(struct pending_order, 1);
	char *url =
		g_strdup_printf("http://%s/v1/loads", engine->weights_address);
	json_t *json = json_pack("{s:s,s:s}", "engine", engine->id, "argument",
				 argument);
	char *body = json_dumps(json, JSON_COMPACT);
	const struct fc_options options = {
		.method = "POST",
		.url = url,
		.body = body,
		.body_len = strlen(body),
		.timeout_ms = 10000,
		.on_done = on_loaded,
		.data = order,
	};

	order->engine = engine;
	order->call = fk_call_keep(call);
	order->argument = g_strdup(argument);
	fc_send(engine->client, &options);
	free(body);
	json_decref(json);
	g_free(url);
}

static void accept_order(struct fk_call *call, const json_t *order)
{
	struct eng_engine *engine = call->user;
	const char *name = eng_json_string(order, "order");
	const char *argument = eng_json_string(order, "argument");

	log_order(engine, order, "accepted");
	if (!strcmp(name, "load") && engine->weights_address) {
		load_weights(call, argument);
		return;
	}
	apply_order(engine, name, argument);
	fk_reply_json(call, 200, json_object());
}

static bool is_order(const char *name)
{
	return !strcmp(name, "load") || !strcmp(name, "unload") ||
	       !strcmp(name, "role") || !strcmp(name, "layers");
}

void eng_handle_orders(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	json_t *order = fk_json_body(call);

	if (!order)
		return;
	if (!is_order(eng_json_string(order, "order")) ||
	    !json_is_integer(json_object_get(order, "fence"))) {
		fk_reply_error(call, 400, "bad_request",
			       "unknown order, or fence is no integer");
	} else if (!is_known_sender(engine, eng_json_string(order, "sender"))) {
		log_order(engine, order, "bad_sender");
		fk_reply_error(call, 403, "bad_sender", "unknown sender");
	} else if (!check_and_store_fence(engine, order)) {
		log_order(engine, order, "fenced");
		fk_reply_error(call, 409, "fenced",
			       "a higher fencing number was seen");
	} else {
		accept_order(call, order);
	}
	json_decref(order);
}

/* Settings and state for tests (/admin) */

static void set_int(const json_t *json, const char *name, int *value)
{
	const json_t *member = json_object_get(json, name);

	if (json_is_boolean(member))
		*value = json_is_true(member);
	else if (json_is_integer(member))
		*value = (int)json_integer_value(member);
}

static void set_number(const json_t *json, const char *name, double *value)
{
	const json_t *member = json_object_get(json, name);

	if (json_is_number(member))
		*value = json_number_value(member);
}

void eng_handle_set(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	json_t *json = fk_json_body(call);
	struct eng_seq *seq;

	if (!json)
		return;
	set_number(json, "step_us", &engine->step_us);
	set_number(json, "rebuild_us", &engine->rebuild_us);
	set_number(json, "import_us", &engine->import_us);
	set_number(json, "block_us", &engine->block_us);
	set_int(json, "slots", &engine->slots);
	set_int(json, "queue_limit", &engine->queue_limit);
	set_int(json, "kv_blocks", &engine->kv_blocks);
	set_int(json, "report_lag_ms", &engine->report_lag_ms);
	set_int(json, "cache_lag_ms", &engine->cache_lag_ms);
	set_int(json, "stage_timeout_ms", &engine->stage_timeout_ms);
	set_int(json, "checks_fencing", &engine->checks_fencing);
	set_int(json, "leaving", &engine->leaving);
	engine->streams.slots = (unsigned)engine->slots;
	engine->steps.slots = (unsigned)engine->slots;
	seq = eng_seq_find(engine, eng_json_string(json, "forget"));
	if (seq)
		eng_seq_free_kv(engine, seq);
	json_decref(json);
	eng_load_changed(engine);
	fk_reply_json(call, 200, json_object());
}

void eng_handle_state(struct fk_call *call)
{
	const struct eng_engine *engine = call->user;

	fk_reply_json(
		call, 200,
		json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:O,s:O}", "id",
			  engine->id, "role", engine->role, "paused",
			  (int)engine->paused, "sequences",
			  (int)g_hash_table_size(engine->seqs),
			  "streams_running", (int)engine->streams.running,
			  "streams_queued", (int)engine->streams.waiting.length,
			  "steps_running", (int)engine->steps.running,
			  "steps_queued", (int)engine->steps.waiting.length,
			  "loaded", engine->loaded, "orders", engine->orders));
}
