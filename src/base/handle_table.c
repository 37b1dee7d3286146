#include <wagtailferry/base.h>

struct tbl_slot {
	void *entry; /* NULL if free */
	uint32_t generation;
	uint32_t next_free;
};

struct tbl_table {
	size_t entry_size;
	size_t count;
	GArray *slots;
	uint32_t first_free;
};

#define NO_SLOT UINT32_MAX

struct tbl_table *tbl_new(size_t entry_size)
{
	struct tbl_table *table = g_new0(struct tbl_table, 1);

	table->entry_size = entry_size;
	table->slots = g_array_new(FALSE, TRUE, sizeof(struct tbl_slot));
	table->first_free = NO_SLOT;
	return table;
}

static struct tbl_slot *slot_at(const struct tbl_table *table, size_t index)
{
	return &g_array_index(table->slots, struct tbl_slot, index);
}

void tbl_drop(struct tbl_table *table)
{
	size_t i;

	if (!table)
		return;
	for (i = 0; i < table->slots->len; i++)
		g_free(slot_at(table, i)->entry);
	g_array_unref(table->slots);
	g_free(table);
}

static tbl_handle make_handle(uint32_t generation, size_t index)
{
	return (uint64_t)generation << 32 | (uint64_t)index;
}

tbl_handle tbl_add(struct tbl_table *table, void **entry)
{
	struct tbl_slot *slot;
	size_t index;

	if (table->first_free == NO_SLOT) {
		index = table->slots->len;
		g_array_set_size(table->slots, (guint)index + 1);
		slot = slot_at(table, index);
		slot->generation = 1;
	} else {
		index = table->first_free;
		slot = slot_at(table, index);
		table->first_free = slot->next_free;
	}
	slot->entry = g_malloc0(table->entry_size);
	table->count++;
	*entry = slot->entry;
	return make_handle(slot->generation, index);
}

static struct tbl_slot *find_slot(const struct tbl_table *table,
				  tbl_handle handle)
{
	uint32_t index = (uint32_t)handle;
	struct tbl_slot *slot;

	if (index >= table->slots->len)
		return NULL;
	slot = slot_at(table, index);
	if (!slot->entry || slot->generation != handle >> 32)
		return NULL;
	return slot;
}

void *tbl_get(const struct tbl_table *table, tbl_handle handle)
{
	struct tbl_slot *slot = find_slot(table, handle);

	return slot ? slot->entry : NULL;
}

bool tbl_remove(struct tbl_table *table, tbl_handle handle)
{
	struct tbl_slot *slot = find_slot(table, handle);

	if (!slot)
		return false;
	g_free(slot->entry);
	slot->entry = NULL;
	slot->generation++;
	slot->next_free = table->first_free;
	table->first_free = (uint32_t)handle;
	table->count--;
	return true;
}

size_t tbl_count(const struct tbl_table *table)
{
	return table->count;
}

void *tbl_next(const struct tbl_table *table, size_t *cursor,
	       tbl_handle *handle)
{
	while (*cursor < table->slots->len) {
		size_t index = (*cursor)++;
		struct tbl_slot *slot = slot_at(table, index);

		if (!slot->entry)
			continue;
		if (handle)
			*handle = make_handle(slot->generation, index);
		return slot->entry;
	}
	return NULL;
}
