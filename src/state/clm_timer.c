#include "state/clm_private.h"

struct heap_item {
	clk_ms when;
	uint64_t sequence; /* keeps equal times in order of insertion */
	enum clm_timer_kind kind;
	uint64_t id;
};

struct clm_heap {
	GArray *items;
	uint64_t sequence;
	clk_ms floor; /* earliest time; after a pop: now + 1, so that ticks end
		       */
};

struct clm_heap *clm_heap_new(void)
{
	struct clm_heap *heap = g_new0(struct clm_heap, 1);

	heap->items = g_array_new(FALSE, FALSE, sizeof(struct heap_item));
	return heap;
}

void clm_heap_free(struct clm_heap *heap)
{
	g_array_unref(heap->items);
	g_free(heap);
}

static struct heap_item *item_at(const struct clm_heap *heap, guint i)
{
	return &g_array_index(heap->items, struct heap_item, i);
}

static bool before(const struct clm_heap *heap, guint a, guint b)
{
	const struct heap_item *left = item_at(heap, a);
	const struct heap_item *right = item_at(heap, b);

	if (left->when != right->when)
		return left->when < right->when;
	return left->sequence < right->sequence;
}

static void swap(struct clm_heap *heap, guint a, guint b)
{
	struct heap_item item = *item_at(heap, a);

	*item_at(heap, a) = *item_at(heap, b);
	*item_at(heap, b) = item;
}

static void sift_up(struct clm_heap *heap, guint i)
{
	while (i && before(heap, i, (i - 1) / 2)) {
		swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct clm_heap *heap, guint i)
{
	for (;;) {
		guint child = 2 * i + 1;

		if (child >= heap->items->len)
			return;
		if (child + 1 < heap->items->len &&
		    before(heap, child + 1, child))
			child++;
		if (!before(heap, child, i))
			return;
		swap(heap, i, child);
		i = child;
	}
}

void clm_timer_set(struct clm_heap *heap, struct clm_timer *timer, clk_ms when)
{
	struct heap_item item = {
		.sequence = heap->sequence,
		.kind = timer->kind,
		.id = timer->id,
	};

	when = MAX(when, heap->floor);
	item.when = when;
	timer->wake = when;
	if (when == CLK_NEVER || timer->queued <= when)
		return;
	timer->queued = when;
	heap->sequence++;
	g_array_append_val(heap->items, item);
	sift_up(heap, heap->items->len - 1);
}

clk_ms clm_heap_next(const struct clm_heap *heap)
{
	return heap->items->len ? item_at(heap, 0)->when : CLK_NEVER;
}

bool clm_heap_pop(struct clm_heap *heap, clk_ms now, enum clm_timer_kind *kind,
		  uint64_t *id)
{
	guint last;

	heap->floor = now + 1;
	if (clm_heap_next(heap) > now)
		return false;
	*kind = item_at(heap, 0)->kind;
	*id = item_at(heap, 0)->id;
	last = heap->items->len - 1;
	swap(heap, 0, last);
	g_array_set_size(heap->items, last);
	sift_down(heap, 0);
	return true;
}
