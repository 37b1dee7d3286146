#include "engine.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Step records kept; the oldest are removed first. */
#define RECORDS_MAX 200000

/* How often a paused call is checked for its fault. */
#define PAUSE_CHECK_MS 2

struct report {
	int64_t time_us;
	json_t *json;
};

struct cache_event {
	uint64_t seq;
	int64_t time_us;
	json_t *added;
	json_t *removed;
};

struct paused {
	struct eng_engine *engine;
	struct fk_call *call;
	uint64_t fault;
	fk_timer_cb cb;
	void *data;
};

/* Records of steps */

void eng_record_step(struct eng_engine *engine, const struct eng_step *step,
		     unsigned position, const char *kind)
{
	if (json_array_size(engine->records) >= RECORDS_MAX)
		json_array_remove(engine->records, 0);
	json_array_append_new(
		engine->records,
		json_pack("{s:s,s:i,s:i,s:i,s:i,s:s}", "request", step->request,
			  "lineage", (int)step->lineage, "position",
			  (int)position, "first_layer", (int)step->first,
			  "last_layer", (int)step->last, "kind", kind));
}

void eng_handle_records(struct fk_call *call)
{
	const struct eng_engine *engine = call->user;
	char *request = fk_param(call, "request");
	json_t *list = json_array();
	json_t *record;
	size_t i;

	json_array_foreach(engine->records, i, record)
	{
		if (!request ||
		    !strcmp(request, eng_json_string(record, "request")))
			json_array_append(list, record);
	}
	g_free(request);
	fk_reply_json(call, 200, json_pack("{s:o}", "steps", list));
}

/* Load report */

static json_t *load_json(const struct eng_engine *engine)
{
	unsigned running = engine->streams.running + engine->steps.running;
	unsigned queued =
		engine->streams.waiting.length + engine->steps.waiting.length;

	return json_pack("{s:i,s:i,s:i,s:f,s:i,s:b}", "running", (int)running,
			 "queued", (int)queued, "slots", engine->slots,
			 "step_us", engine->step_us, "kv_free_blocks",
			 (int)eng_kv_free_blocks(engine), "leaving",
			 engine->leaving);
}

void eng_load_changed(struct eng_engine *engine)
{
	int64_t now = fk_now_us();
	int64_t lag = (int64_t)engine->report_lag_ms * 1000;
	struct report *report;

	if (!lag)
		return;
	report = g_new0(struct report, 1);
	report->time_us = now;
	report->json = load_json(engine);
	g_queue_push_tail(&engine->reports, report);
	/* Keep one report older than the lag: the one that is served now. */
	while (engine->reports.length > 1) {
		const struct report *second = engine->reports.head->next->data;

		if (second->time_us > now - lag)
			break;
		report = g_queue_pop_head(&engine->reports);
		json_decref(report->json);
		g_free(report);
	}
}

void eng_handle_load(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	int64_t limit = fk_now_us() - (int64_t)engine->report_lag_ms * 1000;
	const struct report *shown = NULL;
	GList *link;

	for (link = engine->reports.head; link; link = link->next) {
		const struct report *report = link->data;

		if (shown && report->time_us > limit)
			break;
		shown = report;
	}
	fk_reply_json(call, 200,
		      shown && engine->report_lag_ms ? json_incref(shown->json)
						     : load_json(engine));
}

void eng_report_init(struct eng_engine *engine)
{
	engine->records = json_array();
	engine->orders = json_array();
	engine->loaded = json_array();
	engine->cached = g_hash_table_new(g_int64_hash, g_int64_equal);
	engine->fences = g_hash_table_new(g_str_hash, g_str_equal);
	eng_load_changed(engine);
}

/* Prefix cache */

static json_t *hash_json(uint64_t hash)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%016" PRIx64, hash);
	return json_string(text);
}

/* Adds a block or marks it as recently used; true if it was added. */
static bool cache_add_block(struct eng_engine *engine, uint64_t hash)
{
	GList *link = g_hash_table_lookup(engine->cached, &hash);
	uint64_t *entry;

	if (link) {
		g_queue_unlink(&engine->cache_lru, link);
		g_queue_push_tail_link(&engine->cache_lru, link);
		return false;
	}
	entry = g_new(uint64_t, 1);
	*entry = hash;
	g_queue_push_tail(&engine->cache_lru, entry);
	g_hash_table_insert(engine->cached, entry, engine->cache_lru.tail);
	return true;
}

static void cache_event_free(struct cache_event *event)
{
	json_decref(event->added);
	json_decref(event->removed);
	g_free(event);
}

/*
 * Evicts the least recently used blocks above the cache's capacity and logs the
 * change. Takes over added.
 */
static void append_cache_event(struct eng_engine *engine, json_t *added)
{
	struct cache_event *event = g_new0(struct cache_event, 1);

	event->seq = ++engine->cache_seq;
	event->time_us = fk_now_us();
	event->added = added;
	event->removed = json_array();
	while (engine->cache_lru.length > (unsigned)engine->cache_blocks) {
		uint64_t *entry = g_queue_pop_head(&engine->cache_lru);

		g_hash_table_remove(engine->cached, entry);
		json_array_append_new(event->removed, hash_json(*entry));
		g_free(entry);
	}
	g_queue_push_tail(&engine->cache_events, event);
	while (engine->cache_events.length > (unsigned)engine->cache_log)
		cache_event_free(g_queue_pop_head(&engine->cache_events));
}

unsigned eng_cache_prompt(struct eng_engine *engine, const char *prompt)
{
	size_t len = strlen(prompt);
	json_t *added = json_array();
	uint64_t hash = 0;
	unsigned missing = 0;
	size_t at;

	for (at = 0; at + ENG_PROMPT_BLOCK <= len; at += ENG_PROMPT_BLOCK) {
		hash = XXH3_64bits_withSeed(prompt + at, ENG_PROMPT_BLOCK,
					    hash);
		if (!cache_add_block(engine, hash))
			continue;
		missing++;
		json_array_append_new(added, hash_json(hash));
	}
	if (missing)
		append_cache_event(engine, added);
	else
		json_decref(added);
	return missing;
}

/* Drops all events but the last, so that readers who lag see a gap. */
static void drop_old_cache_events(struct eng_engine *engine)
{
	while (engine->cache_events.length > 1)
		cache_event_free(g_queue_pop_head(&engine->cache_events));
}

void eng_handle_cache_events(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	uint64_t after = (uint64_t)fk_param_int(call, "after", 0);
	int64_t limit = fk_now_us() - (int64_t)engine->cache_lag_ms * 1000;
	uint64_t first = engine->cache_seq + 1;
	uint64_t seq = 0;
	json_t *list = json_array();
	GList *link;

	if (call->fault.kind == FK_FAULT_GAP)
		drop_old_cache_events(engine);
	link = engine->cache_events.head;
	if (link)
		first = ((struct cache_event *)link->data)->seq;
	seq = first - 1;
	for (; link; link = link->next) {
		const struct cache_event *event = link->data;

		if (event->time_us > limit)
			break;
		seq = event->seq;
		if (seq > after)
			json_array_append_new(
				list, json_pack("{s:I,s:O,s:O}", "seq",
						(json_int_t)seq, "added",
						event->added, "removed",
						event->removed));
	}
	fk_reply_json(call, 200,
		      json_pack("{s:I,s:I,s:o}", "seq", (json_int_t)seq,
				"first", (json_int_t)first, "events", list));
}

/* Pauses */

static void check_pause(void *data)
{
	struct paused *paused = data;
	struct eng_engine *engine = paused->engine;

	if (paused->call->req &&
	    fk_fault_is_set(engine->server, paused->fault)) {
		fk_after(fk_loop(engine->server), PAUSE_CHECK_MS, check_pause,
			 paused);
		return;
	}
	engine->paused--;
	paused->cb(paused->data);
	fk_call_drop(paused->call);
	g_free(paused);
}

void eng_pause(struct eng_engine *engine, struct fk_call *call, fk_timer_cb cb,
	       void *data)
{
	struct paused *paused;

	if (call->fault.kind != FK_FAULT_PAUSE) {
		cb(data);
		return;
	}
	paused = g_new0(struct paused, 1);
	paused->engine = engine;
	paused->call = fk_call_keep(call);
	paused->fault = call->fault.id;
	paused->cb = cb;
	paused->data = data;
	engine->paused++;
	check_pause(paused);
}
