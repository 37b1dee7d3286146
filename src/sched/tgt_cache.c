#include "sched/tgt_cache.h"

/* Most blocks. Each takes about 200 bytes with its index: 6.5 MB at most. */
#define TGT_CACHE_BLOCKS 32768

struct holder {
	tbl_handle target;
	uint32_t generation;
};

struct block {
	uint64_t hash;
	struct holder holders[TGT_CACHE_MAX_HOLDERS];
	unsigned next; /* index of the holder to overwrite next */
};

/* When the cache is full, a new block replaces the oldest one. */
struct tgt_cache {
	GHashTable *blocks; /* hash to struct block, owned */
	GQueue *order;	    /* of struct block, oldest first */
};

struct tgt_cache *tgt_cache_new(void)
{
	struct tgt_cache *cache = g_new0(struct tgt_cache, 1);

	cache->blocks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	cache->order = g_queue_new();
	return cache;
}

void tgt_cache_drop(struct tgt_cache *cache)
{
	if (!cache)
		return;
	g_queue_free(cache->order);
	g_hash_table_unref(cache->blocks);
	g_free(cache);
}

static bool is_valid(const struct tgt_table *targets,
		     const struct holder *holder)
{
	const struct tgt_target *target = tgt_get(targets, holder->target);

	return target && target->cache_generation == holder->generation;
}

static void collect(const struct tgt_table *targets, const struct block *block,
		    struct tgt_holders *holders)
{
	size_t i;

	for (i = 0; i < TGT_CACHE_MAX_HOLDERS; i++)
		if (is_valid(targets, &block->holders[i]))
			holders->handles[holders->n++] =
				block->holders[i].target;
}

void tgt_cache_find(const struct tgt_table *targets, const uint64_t *hashes,
		    size_t n, struct tgt_holders *holders)
{
	holders->n = 0;
	holders->n_blocks = 0;
	while (n-- > 0) {
		const struct block *block;

		block = g_hash_table_lookup(targets->cache->blocks, &hashes[n]);
		if (!block)
			continue;
		collect(targets, block, holders);
		if (holders->n) {
			holders->n_blocks = n + 1;
			return;
		}
	}
}

static struct block *add_block(struct tgt_cache *cache, uint64_t hash)
{
	struct block *block = g_hash_table_lookup(cache->blocks, &hash);

	if (block)
		return block;
	if (cache->order->length >= TGT_CACHE_BLOCKS) {
		block = g_queue_pop_head(cache->order);
		g_hash_table_remove(cache->blocks, &block->hash);
	}
	block = g_new0(struct block, 1);
	block->hash = hash;
	g_hash_table_insert(cache->blocks, &block->hash, block);
	g_queue_push_tail(cache->order, block);
	return block;
}

static void remove_holder(struct tgt_cache *cache, uint64_t hash,
			  tbl_handle target)
{
	struct block *block = g_hash_table_lookup(cache->blocks, &hash);
	size_t i;

	for (i = 0; block && i < TGT_CACHE_MAX_HOLDERS; i++)
		if (block->holders[i].target == target)
			block->holders[i].target = 0;
}

static void add_holder(struct tgt_cache *cache, uint64_t hash,
		       const struct tgt_target *target)
{
	struct block *block = add_block(cache, hash);
	struct holder *holder;

	remove_holder(cache, hash, target->handle);
	holder = &block->holders[block->next];
	block->next = (block->next + 1) % TGT_CACHE_MAX_HOLDERS;
	holder->target = target->handle;
	holder->generation = target->cache_generation;
}

void tgt_cache_apply(struct wf_ctx *ctx, struct tgt_table *targets,
		     const struct wf_cache_event *event)
{
	struct tgt_target *target = tgt_find(targets, event->target);
	size_t i;

	if (!target)
		return;
	if (event->seq <= target->cache_seq)
		return;
	if (event->seq != target->cache_seq + 1) {
		target->cache_generation++;
		ctr_add(ctx->counters, "wf_target_cache_gaps_total", 1);
	}
	target->cache_seq = event->seq;
	for (i = 0; i < event->n_added; i++)
		add_holder(targets->cache, event->added[i], target);
	for (i = 0; i < event->n_removed; i++)
		remove_holder(targets->cache, event->removed[i],
			      target->handle);
}

void tgt_cache_add_prefix(struct tgt_table *targets, tbl_handle handle,
			  const uint64_t *hashes, size_t n)
{
	const struct tgt_target *target = tgt_get(targets, handle);
	size_t i;

	for (i = 0; target && i < n; i++)
		add_holder(targets->cache, hashes[i], target);
}
