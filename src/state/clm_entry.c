#include "state/clm_private.h"

/* Encoded size of all other fields with their tags and lengths, bytes. */
#define ENTRY_OVERHEAD 110

struct clm_entry *clm_entry_copy(const struct clm_entry *entry)
{
	struct clm_entry *copy = g_new(struct clm_entry, 1);

	*copy = *entry;
	copy->instance = g_strdup(entry->instance);
	copy->target = g_strdup(entry->target);
	copy->answer = entry->answer ? g_bytes_ref(entry->answer) : NULL;
	copy->packed = NULL;
	return copy;
}

void clm_entry_free(struct clm_entry *entry)
{
	if (!entry)
		return;
	g_free(entry->instance);
	g_free(entry->target);
	if (entry->answer)
		g_bytes_unref(entry->answer);
	if (entry->packed)
		g_bytes_unref(entry->packed);
	g_free(entry);
}

size_t clm_entry_size(const struct clm_entry *entry)
{
	size_t size = ENTRY_OVERHEAD;

	size += entry->instance ? strlen(entry->instance) : 0;
	size += entry->target ? strlen(entry->target) : 0;
	size += entry->answer ? g_bytes_get_size(entry->answer) : 0;
	return size;
}

void clm_entry_set_answer(struct clm_entry *entry, int status, GBytes *answer,
			  size_t max)
{
	entry->state = CLM_DONE;
	entry->status = status;
	entry->digest = clm_hash_bytes(answer);
	if (entry->answer)
		g_bytes_unref(entry->answer);
	entry->answer = NULL;
	if (!answer)
		entry->answer = g_bytes_new(NULL, 0);
	else if (g_bytes_get_size(answer) <= max)
		entry->answer = g_bytes_ref(answer);
}

static ProtobufCBinaryData hash_data(const struct clm_hash *hash)
{
	ProtobufCBinaryData data = {
		.len = CLM_HASH_SIZE,
		.data = (uint8_t *)hash->bytes,
	};

	return data;
}

void clm_entry_to_message(const struct clm_entry *entry, Wf__ClaimEntry *out)
{
	wf__claim_entry__init(out);
	out->key = hash_data(&entry->key);
	out->body = hash_data(&entry->body);
	out->nonce = entry->nonce;
	out->instance = entry->instance ? entry->instance : out->instance;
	out->incarnation = entry->incarnation;
	out->state = (Wf__ClaimState)entry->state;
	out->claimed_ms = entry->claimed_at;
	out->done_ms = entry->done_at;
	out->target = entry->target ? entry->target : out->target;
	out->status = entry->status;
	if (entry->state == CLM_DONE)
		out->digest = hash_data(&entry->digest);
	if (!entry->answer)
		return;
	out->has_answer = true;
	out->answer.data =
		(uint8_t *)g_bytes_get_data(entry->answer, &out->answer.len);
}

static bool read_hash(const ProtobufCBinaryData *data, struct clm_hash *hash)
{
	if (data->len != CLM_HASH_SIZE)
		return false;
	memcpy(hash->bytes, data->data, CLM_HASH_SIZE);
	return true;
}

struct clm_entry *clm_entry_from_message(const Wf__ClaimEntry *message)
{
	struct clm_entry entry = {0};
	struct clm_entry *copy;

	if (message->state < WF__CLAIM_STATE__CLAIM_STATE_CLAIMED ||
	    message->state > WF__CLAIM_STATE__CLAIM_STATE_UNKNOWN)
		return NULL;
	if (!read_hash(&message->key, &entry.key) ||
	    !read_hash(&message->body, &entry.body))
		return NULL;
	entry.state = (enum clm_state)message->state;
	if (entry.state == CLM_DONE &&
	    !read_hash(&message->digest, &entry.digest))
		return NULL;
	entry.nonce = message->nonce;
	entry.instance = message->instance;
	entry.incarnation = message->incarnation;
	entry.claimed_at = message->claimed_ms;
	entry.done_at = message->done_ms;
	entry.target = message->target;
	entry.status = message->status;
	copy = clm_entry_copy(&entry);
	if (message->has_answer)
		copy->answer =
			g_bytes_new(message->answer.data, message->answer.len);
	return copy;
}
