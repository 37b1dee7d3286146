#include "engine.h"

#include <stdlib.h>
#include <string.h>

static void range_free(void *data)
{
	struct eng_range *range = data;

	g_array_unref(range->outputs);
	g_ptr_array_unref(range->running);
	g_free(range);
}

static void seq_free(struct eng_seq *seq)
{
	g_free(seq->request);
	g_ptr_array_unref(seq->ranges);
	g_free(seq);
}

struct eng_seq *eng_seq_find(struct eng_engine *engine, const char *request)
{
	return g_hash_table_lookup(engine->seqs, request);
}

static bool is_idle(const struct eng_seq *seq)
{
	unsigned i;

	if (seq->run)
		return false;
	for (i = 0; i < seq->ranges->len; i++) {
		const struct eng_range *range = seq->ranges->pdata[i];

		if (range->running->len)
			return false;
	}
	return true;
}

void eng_seq_forget(struct eng_engine *engine, struct eng_seq *seq)
{
	unsigned i = seq->ranges->len;

	while (i > 0) {
		struct eng_range *range = seq->ranges->pdata[--i];

		if (range->running->len)
			continue;
		engine->kv_used -= range->outputs->len;
		g_ptr_array_remove_index_fast(seq->ranges, i);
	}
}

/* Removes the oldest idle sequence if there are too many. */
static void evict(struct eng_engine *engine)
{
	GList *link = engine->seq_lru.head;

	if (g_hash_table_size(engine->seqs) < (unsigned)engine->keep)
		return;
	while (link && !is_idle(link->data))
		link = link->next;
	if (link) {
		struct eng_seq *seq = link->data;

		eng_seq_forget(engine, seq);
		g_hash_table_remove(engine->seqs, seq->request);
		g_queue_delete_link(&engine->seq_lru, link);
		seq_free(seq);
	}
}

struct eng_seq *eng_seq_get(struct eng_engine *engine, const char *request)
{
	struct eng_seq *seq = eng_seq_find(engine, request);

	if (seq) {
		g_queue_unlink(&engine->seq_lru, seq->lru);
		g_queue_push_tail_link(&engine->seq_lru, seq->lru);
		return seq;
	}
	evict(engine);
	seq = g_new0(struct eng_seq, 1);
	seq->request = g_strdup(request);
	seq->ranges = g_ptr_array_new_with_free_func(range_free);
	g_hash_table_insert(engine->seqs, seq->request, seq);
	g_queue_push_tail(&engine->seq_lru, seq);
	seq->lru = engine->seq_lru.tail;
	return seq;
}

struct eng_range *eng_range_find(struct eng_seq *seq, unsigned first,
				 unsigned last)
{
	unsigned i;

	for (i = 0; seq && i < seq->ranges->len; i++) {
		struct eng_range *range = seq->ranges->pdata[i];

		if (range->first == first && range->last == last)
			return range;
	}
	return NULL;
}

struct eng_range *eng_range_reset(struct eng_engine *engine,
				  struct eng_seq *seq, unsigned first,
				  unsigned last)
{
	struct eng_range *range = eng_range_find(seq, first, last);

	if (range) {
		engine->kv_used -= range->outputs->len;
		g_array_set_size(range->outputs, 0);
		return range;
	}
	range = g_new0(struct eng_range, 1);
	range->first = first;
	range->last = last;
	range->outputs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	range->running = g_ptr_array_new();
	g_ptr_array_add(seq->ranges, range);
	return range;
}

void eng_range_add(struct eng_engine *engine, struct eng_range *range,
		   uint64_t output)
{
	g_array_append_val(range->outputs, output);
	engine->kv_used++;
}

unsigned eng_kv_free(const struct eng_engine *engine)
{
	unsigned used = (engine->kv_used + ENG_KV_BLOCK - 1) / ENG_KV_BLOCK +
			engine->cache_lru.length;

	return used < (unsigned)engine->kv_blocks
		       ? (unsigned)engine->kv_blocks - used
		       : 0;
}

void eng_activation_format(uint64_t value, unsigned layer, char out[32])
{
	g_snprintf(out, 32, "%016" PRIx64 ":%u", value, layer);
}

bool eng_activation_parse(const char *text, uint64_t *value, unsigned *layer)
{
	char *end;

	if (!text || strlen(text) < 18 || text[16] != ':')
		return false;
	*value = g_ascii_strtoull(text, &end, 16);
	if (end != text + 16)
		return false;
	*layer = (unsigned)g_ascii_strtoull(text + 17, &end, 10);
	return !*end;
}

/* The outputs of the positions 0..to-1 as a JSON array. */
static json_t *outputs_json(const struct eng_range *range, unsigned to)
{
	json_t *list = json_array();
	char text[32];
	unsigned i;

	for (i = 0; i < to && i < range->outputs->len; i++) {
		eng_activation_format(
			g_array_index(range->outputs, uint64_t, i),
			range->last + 1, text);
		json_array_append_new(list, json_string(text));
	}
	return list;
}

/* The range that ends with a layer and has the most positions. */
static struct eng_range *range_ending(struct eng_seq *seq, unsigned last)
{
	struct eng_range *best = NULL;
	unsigned i;

	for (i = 0; seq && i < seq->ranges->len; i++) {
		struct eng_range *range = seq->ranges->pdata[i];

		if (range->last == last &&
		    (!best || range->outputs->len > best->outputs->len))
			best = range;
	}
	return best;
}

void eng_handle_boundary(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	unsigned last = (unsigned)fk_param_int(call, "last_layer", 0);
	unsigned to = (unsigned)fk_param_int(call, "to", 0);
	const struct eng_range *range =
		range_ending(eng_seq_find(engine, call->rest), last);

	if (!range || range->outputs->len < to)
		fk_reply_error(call, 404, "kv_missing", "no such activations");
	else
		fk_reply_json(
			call, 200,
			json_pack("{s:o}", "outputs", outputs_json(range, to)));
}

void eng_handle_export(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	unsigned first = (unsigned)fk_param_int(call, "first_layer", 0);
	unsigned last = (unsigned)fk_param_int(call, "last_layer", 0);
	const struct eng_range *range =
		eng_range_find(eng_seq_find(engine, call->rest), first, last);
	json_t *json;
	char *text;

	if (!range) {
		fk_reply_error(call, 404, "kv_missing", "no such KV state");
		return;
	}
	json = json_pack("{s:s,s:i,s:i,s:o}", "request", call->rest,
			 "first_layer", (int)first, "last_layer", (int)last,
			 "outputs", outputs_json(range, range->outputs->len));
	text = json_dumps(json, JSON_COMPACT);
	fk_reply(call, 200, "application/octet-stream", text, strlen(text));
	free(text);
	json_decref(json);
}
