#include "state/clm_private.h"

/*
 * Encodes a message of one entry; the concatenation of such messages is one
 * with several. Entries of an object do not change, so that each is encoded
 * once and not with every write of its object.
 */
static GBytes *pack_entry(struct clm_entry *entry)
{
	Wf__ClaimObject message = WF__CLAIM_OBJECT__INIT;
	Wf__ClaimEntry *list[1];
	Wf__ClaimEntry wire;
	uint8_t *data;
	size_t len;

	if (entry->packed)
		return entry->packed;
	clm_entry_to_message(entry, &wire);
	list[0] = &wire;
	message.entries = list;
	message.n_entries = 1;
	len = wf__claim_object__get_packed_size(&message);
	data = g_malloc(len);
	wf__claim_object__pack(&message, data);
	entry->packed = g_bytes_new_take(data, len);
	return entry->packed;
}

static void append_entry(GByteArray *out, struct clm_entry *entry)
{
	gsize len;
	const guint8 *data = g_bytes_get_data(pack_entry(entry), &len);

	g_byte_array_append(out, data, (guint)len);
}

GBytes *clm_object_encode(const struct clm_object *object)
{
	GByteArray *out = g_byte_array_sized_new((guint)object->bytes);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, object->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct clm_entry *entry = value;

		if (!g_hash_table_contains(object->overlay, &entry->key))
			append_entry(out, entry);
	}
	g_hash_table_iter_init(&iter, object->overlay);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		append_entry(out, value);
	return g_byte_array_free_to_bytes(out);
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
	bool valid = true;
	size_t i;

	message = wf__claim_object__unpack(NULL, len, data);
	if (!message)
		return false;
	g_hash_table_remove_all(object->entries);
	object->bytes = 0;
	for (i = 0; i < message->n_entries && valid; i++) {
		struct clm_entry *entry;

		entry = clm_entry_from_message(message->entries[i]);
		valid = entry;
		if (entry)
			replace_entry(object, entry);
	}
	wf__claim_object__free_unpacked(message, NULL);
	return valid;
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

static enum clm_result evaluate_claim(const struct clm_entry *wanted,
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

static enum clm_result evaluate_completion(const struct clm_entry *wanted,
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

struct clm_response clm_request_evaluate(const struct clm_request *request,
					 const struct clm_entry *entry)
{
	struct clm_response response = {.entry = entry};

	if (request->kind == CLM_REQUEST_CLAIM)
		response.result = evaluate_claim(request->entry, entry);
	else
		response.result = evaluate_completion(request->entry, entry);
	return response;
}

/*
 * Drops an answer that would not fit into half of the object. The other half
 * is reserved for claims, so that large answers of early calls do not block
 * later calls.
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
		      struct clm_object *object,
		      const struct clm_request *request)
{
	const struct clm_entry *old =
		clm_object_find(object, &request->entry->key);
	struct clm_entry *entry = clm_entry_copy(request->entry);

	if (request->kind == CLM_REQUEST_CLAIM) {
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
