#include "engine.h"

#include "../support/token_text.h"

#include <stdlib.h>
#include <string.h>

static void range_free(void *data)
{
	struct eng_range *range = data;

	g_array_unref(range->inputs);
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

void eng_seq_free_kv(struct eng_engine *engine, struct eng_seq *seq)
{
	unsigned i = seq->ranges->len;

	while (i > 0) {
		struct eng_range *range = seq->ranges->pdata[--i];

		if (range->running->len)
			continue;
		engine->kv_used -= range->inputs->len;
		g_ptr_array_remove_index_fast(seq->ranges, i);
	}
}

static bool is_full(const struct eng_engine *engine)
{
	return g_hash_table_size(engine->seqs) >= (unsigned)engine->max_seqs ||
	       !eng_kv_free_blocks(engine);
}

/* Evicts idle sequences, least recently used first, until one more fits. */
static void evict(struct eng_engine *engine)
{
	GList *link = engine->seq_lru.head;

	while (link && is_full(engine)) {
		struct eng_seq *seq = link->data;
		GList *next = link->next;

		if (is_idle(seq)) {
			eng_seq_free_kv(engine, seq);
			g_hash_table_remove(engine->seqs, seq->request);
			g_queue_delete_link(&engine->seq_lru, link);
			seq_free(seq);
		}
		link = next;
	}
}

bool eng_kv_make_room(struct eng_engine *engine)
{
	evict(engine);
	return eng_kv_free_blocks(engine) > 0;
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
		engine->kv_used -= range->inputs->len;
		g_array_set_size(range->inputs, 0);
		return range;
	}
	range = g_new0(struct eng_range, 1);
	range->first = first;
	range->last = last;
	range->inputs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	range->running = g_ptr_array_new();
	g_ptr_array_add(seq->ranges, range);
	return range;
}

void eng_range_add(struct eng_engine *engine, struct eng_range *range,
		   uint64_t input)
{
	g_array_append_val(range->inputs, input);
	engine->kv_used++;
}

unsigned eng_kv_free_blocks(const struct eng_engine *engine)
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

uint64_t eng_range_output(const struct eng_range *range, unsigned position,
			  unsigned layer)
{
	uint64_t input = g_array_index(range->inputs, uint64_t, position);

	return token_layers(input, range->first, layer);
}

/* The range with the most positions of those that contain the layers. */
static struct eng_range *find_covering(struct eng_seq *seq, unsigned first,
				       unsigned last)
{
	struct eng_range *best = NULL;
	unsigned i;

	for (i = 0; seq && i < seq->ranges->len; i++) {
		struct eng_range *range = seq->ranges->pdata[i];

		if (range->first <= first && range->last >= last &&
		    (!best || range->inputs->len > best->inputs->len))
			best = range;
	}
	return best;
}

/* Input activation of a layer of the range. */
static uint64_t input_at(const struct eng_range *range, unsigned position,
			 unsigned layer)
{
	return layer == range->first
		       ? g_array_index(range->inputs, uint64_t, position)
		       : eng_range_output(range, position, layer - 1);
}

struct eng_range *eng_range_extract(struct eng_engine *engine,
				    struct eng_seq *seq, unsigned first,
				    unsigned last)
{
	struct eng_range *range = eng_range_find(seq, first, last);
	const struct eng_range *whole = find_covering(seq, first, last);
	unsigned i;

	if (range || !whole)
		return range;
	range = eng_range_reset(engine, seq, first, last);
	for (i = 0; i < whole->inputs->len; i++)
		eng_range_add(engine, range, input_at(whole, i, first));
	return range;
}

void eng_handle_boundary(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	unsigned last = (unsigned)fk_param_int(call, "last_layer", 0);
	unsigned to = (unsigned)fk_param_int(call, "to", 0);
	const struct eng_range *range =
		find_covering(eng_seq_find(engine, call->rest), last, last);
	json_t *list;
	char text[32];
	unsigned i;

	if (!range || range->inputs->len < to) {
		fk_reply_error(
			call, 404, "kv_missing",
			"no activations of this layer and these positions");
		return;
	}
	list = json_array();
	for (i = 0; i < to; i++) {
		eng_activation_format(eng_range_output(range, i, last),
				      last + 1, text);
		json_array_append_new(list, json_string(text));
	}
	fk_reply_json(call, 200, json_pack("{s:o}", "outputs", list));
}

static json_t *inputs_json(const struct eng_range *range, unsigned first)
{
	json_t *list = json_array();
	char text[32];
	unsigned i;

	for (i = 0; i < range->inputs->len; i++) {
		eng_activation_format(input_at(range, i, first), first, text);
		json_array_append_new(list, json_string(text));
	}
	return list;
}

void eng_handle_export(struct fk_call *call)
{
	struct eng_engine *engine = call->user;
	unsigned first = (unsigned)fk_param_int(call, "first_layer", 0);
	unsigned last = (unsigned)fk_param_int(call, "last_layer", 0);
	const struct eng_range *range =
		first <= last ? find_covering(eng_seq_find(engine, call->rest),
					      first, last)
			      : NULL;
	json_t *json;
	char *text;

	if (!range) {
		fk_reply_error(call, 404, "kv_missing",
			       "no KV state of these layers");
		return;
	}
	json = json_pack("{s:s,s:i,s:i,s:o}", "request", call->rest,
			 "first_layer", (int)first, "last_layer", (int)last,
			 "inputs", inputs_json(range, first));
	text = json_dumps(json, JSON_COMPACT);
	fk_reply(call, 200, "application/octet-stream", text, strlen(text));
	free(text);
	json_decref(json);
}
