#include <string.h>

#include "rul_private.h"

#define INDEX_FIRST_SLOTS 64U

static uint32_t hash_key(enum wf_call_kind call, const char *org,
			 const char *name)
{
	uint64_t hash = (uint64_t)call + 1;

	/* "any" is a reserved name, so no name has the hash of NULL. */
	hash = wf_hash(org ? org : "any", org ? strlen(org) : 3, hash);
	hash = wf_hash(name ? name : "any", name ? strlen(name) : 3, hash);
	return (uint32_t)(hash ^ hash >> 32);
}

static bool same_name(const char *a, const char *b)
{
	if (!a || !b)
		return a == b;
	return !strcmp(a, b);
}

const struct rul_index_entry *rul_index_find(const struct rul_index *index,
					     enum wf_call_kind call,
					     const char *org, const char *name)
{
	uint32_t hash = hash_key(call, org, name);
	uint32_t slot;

	if (!index->n_slots)
		return NULL;
	for (slot = hash & (index->n_slots - 1); index->slots[slot];
	     slot = (slot + 1) & (index->n_slots - 1)) {
		const struct rul_index_entry *entry;

		entry = &index->entries[index->slots[slot] - 1];
		if (entry->hash == hash && entry->call == call &&
		    same_name(entry->org, org) && same_name(entry->name, name))
			return entry;
	}
	return NULL;
}

static void put_slot(struct rul_index *index, uint32_t number)
{
	uint32_t mask = index->n_slots - 1;
	uint32_t slot = index->entries[number].hash & mask;

	while (index->slots[slot])
		slot = (slot + 1) & mask;
	index->slots[slot] = number + 1;
}

/* Doubles the table; keeps it at most half full. */
static void grow_slots(struct rul_index *index)
{
	uint32_t i;

	index->n_slots = MAX(index->n_slots * 2, INDEX_FIRST_SLOTS);
	g_free(index->slots);
	index->slots = g_new0(uint32_t, index->n_slots);
	for (i = 0; i < index->n; i++)
		put_slot(index, i);
}

void rul_index_add(struct rul_index *index, enum wf_call_kind call,
		   const char *org, const char *name, uint32_t line)
{
	struct rul_index_entry *entry;

	if (index->n == index->capacity) {
		index->capacity = MAX(index->capacity * 3 / 2, 64U);
		index->entries = g_renew(struct rul_index_entry, index->entries,
					 index->capacity);
	}
	entry = &index->entries[index->n];
	entry->org = org;
	entry->name = name;
	entry->hash = hash_key(call, org, name);
	entry->line = line;
	entry->call = call;
	index->n++;
	if (index->n * 2 > index->n_slots)
		grow_slots(index);
	else
		put_slot(index, index->n - 1);
}

void rul_index_clear(struct rul_index *index)
{
	g_free(index->entries);
	g_free(index->slots);
	memset(index, 0, sizeof(*index));
}
