#include <string.h>

#include "rul_private.h"

#define ARENA_BLOCK_BYTES ((size_t)64 * 1024)

void rul_arena_init(struct rul_arena *arena)
{
	arena->blocks = g_ptr_array_new_with_free_func(g_free);
	arena->next = NULL;
	arena->left = 0;
}

void rul_arena_clear(struct rul_arena *arena)
{
	g_ptr_array_unref(arena->blocks);
	memset(arena, 0, sizeof(*arena));
}

static void *take_bytes(struct rul_arena *arena, size_t size)
{
	char *result;

	if (size > arena->left) {
		size_t block = MAX(size, ARENA_BLOCK_BYTES);

		arena->next = g_malloc0(block);
		arena->left = block;
		g_ptr_array_add(arena->blocks, arena->next);
	}
	result = arena->next;
	arena->next += size;
	arena->left -= size;
	return result;
}

void *rul_arena_alloc(struct rul_arena *arena, size_t size)
{
	size_t misaligned = (uintptr_t)arena->next % sizeof(void *);

	if (misaligned && arena->left >= sizeof(void *))
		take_bytes(arena, sizeof(void *) - misaligned);
	else if (misaligned)
		arena->left = 0;
	return take_bytes(arena, size);
}

char *rul_arena_copy(struct rul_arena *arena, const char *text, size_t len)
{
	char *copy = take_bytes(arena, len + 1);

	memcpy(copy, text, len);
	copy[len] = '\0';
	return copy;
}
