#include "state/clm_private.h"

GBytes *clm_object_encode(const struct clm_object *object)
{
	guint max = g_hash_table_size(object->entries) +
		    g_hash_table_size(object->overlay);
	Wf__ClaimObject message = WF__CLAIM_OBJECT__INIT;
	Wf__ClaimEntry *entries = g_new(Wf__ClaimEntry, max + 1);
	GHashTableIter iter;
	gpointer value;
	uint8_t *data;
	size_t len;
	size_t i;

	message.entries = g_new(Wf__ClaimEntry *, max + 1);
	g_hash_table_iter_init(&iter, object->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct clm_entry *entry = value;

		if (g_hash_table_contains(object->overlay, &entry->key))
			continue;
		clm_entry_to_message(entry, &entries[message.n_entries++]);
	}
	g_hash_table_iter_init(&iter, object->overlay);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		clm_entry_to_message(value, &entries[message.n_entries++]);
	for (i = 0; i < message.n_entries; i++)
		message.entries[i] = &entries[i];
	len = wf__claim_object__get_packed_size(&message);
	data = g_malloc(len + 1);
	wf__claim_object__pack(&message, data);
	g_free(message.entries);
	g_free(entries);
	return g_bytes_new_take(data, len);
}

static void replace_entry(struct clm_object *object, struct clm_entry *entry)
{
	const struct clm_entry *old;

	old = g_hash_table_lookup(object->entries, &entry->key);
	if (old)
		object->bytes -= clm_entry_size(old);
	object->bytes += clm_entry_size(entry);
	g_hash_table_replace(object->entries, &entry->key, entry);
}

bool clm_object_decode(struct clm_object *object, GBytes *value)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(value, &len);
	Wf__ClaimObject *message;
	bool good = true;
	size_t i;

	message = wf__claim_object__unpack(NULL, len, data);
	if (!message)
		return false;
	g_hash_table_remove_all(object->entries);
	object->bytes = 0;
	for (i = 0; i < message->n_entries && good; i++) {
		struct clm_entry *entry;

		entry = clm_entry_from_message(message->entries[i]);
		good = entry;
		if (entry)
			replace_entry(object, entry);
	}
	wf__claim_object__free_unpacked(message, NULL);
	return good;
}

const struct clm_entry *clm_object_find(const struct clm_object *object,
					const struct clm_hash *key)
{
	const struct clm_entry *entry;

	entry = g_hash_table_lookup(object->overlay, key);
	return entry ? entry : g_hash_table_lookup(object->entries, key);
}

static bool same_claim(const struct clm_entry *a, const struct clm_entry *b)
{
	return a->nonce == b->nonce && a->incarnation == b->incarnation &&
	       !g_strcmp0(a->instance, b->instance);
}

static enum clm_result judge_claim(const struct clm_entry *wanted,
				   const struct clm_entry *entry)
{
	if (!entry)
		return CLM_RESULT_NONE;
	if (same_claim(wanted, entry))
		return entry->state == CLM_CLAIMED ? CLM_RESULT_CLAIMED
						   : CLM_RESULT_HELD;
	if (entry->state == CLM_NOT_RUN &&
	    clm_hash_equal(&entry->body, &wanted->body))
		return CLM_RESULT_NONE;
	return CLM_RESULT_HELD;
}

static enum clm_result judge_completion(const struct clm_entry *wanted,
					const struct clm_entry *entry)
{
	if (!entry || !same_claim(wanted, entry))
		return CLM_RESULT_STORED;
	if (entry->state == CLM_CLAIMED)
		return CLM_RESULT_NONE;
	if (entry->state == CLM_UNKNOWN && wanted->state == CLM_DONE)
		return CLM_RESULT_NONE;
	return CLM_RESULT_STORED;
}

struct clm_verdict clm_item_judge(const struct clm_item *item,
				  const struct clm_entry *entry)
{
	struct clm_verdict verdict = {.entry = entry};

	if (item->kind == CLM_ITEM_CLAIM)
		verdict.result = judge_claim(item->entry, entry);
	else
		verdict.result = judge_completion(item->entry, entry);
	return verdict;
}

/*
 * Half of the object is kept for claims, so that large answers of early
 * calls cannot keep later calls out.
 */
static void trim_answer(const struct clm_config *config,
			const struct clm_object *object,
			struct clm_entry *entry)
{
	if (!entry->answer || g_bytes_get_size(entry->answer) == 0)
		return;
	if (object->bytes + clm_entry_size(entry) <= config->max_object / 2)
		return;
	g_bytes_unref(entry->answer);
	entry->answer = NULL;
}

bool clm_object_stage(const struct clm_config *config,
		      struct clm_object *object, const struct clm_item *item)
{
	const struct clm_entry *old =
		clm_object_find(object, &item->entry->key);
	struct clm_entry *entry = clm_entry_copy(item->entry);

	if (item->kind == CLM_ITEM_CLAIM) {
		if (object->bytes + clm_entry_size(entry) >
		    config->max_object) {
			clm_entry_free(entry);
			return false;
		}
	} else {
		entry->body = old->body;
		entry->claimed_at = old->claimed_at;
		trim_answer(config, object, entry);
	}
	object->bytes += clm_entry_size(entry);
	if (old)
		object->bytes -= clm_entry_size(old);
	g_hash_table_replace(object->overlay, &entry->key, entry);
	return true;
}

void clm_object_apply(struct clm_object *object)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, object->overlay);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct clm_entry *entry = value;

		g_hash_table_iter_steal(&iter);
		g_hash_table_replace(object->entries, &entry->key, entry);
	}
}

void clm_object_unstage(struct clm_object *object)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(object->overlay);
	object->bytes = 0;
	g_hash_table_iter_init(&iter, object->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		object->bytes += clm_entry_size(value);
}
