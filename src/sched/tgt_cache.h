#ifndef SCHED_TGT_CACHE_H
#define SCHED_TGT_CACHE_H

/*
 * Prefix cache index: which targets hold the KV state of which prompt prefixes.
 */

#include "sched/tgt_table.h"

/* Most targets recorded for one prefix block. */
#define TGT_CACHE_MAX_HOLDERS 8

/* The targets that hold the longest known prefix of a prompt. */
struct tgt_holders {
	size_t n;
	size_t n_blocks; /* length of the prefix they hold */
	tbl_handle handles[TGT_CACHE_MAX_HOLDERS];
};

struct tgt_cache *tgt_cache_new(void);
void tgt_cache_drop(struct tgt_cache *cache);

/* Fills in the holders of the longest prefix that any target holds. */
void tgt_cache_find(const struct tgt_table *targets, const uint64_t *hashes,
		    size_t n, struct tgt_holders *holders);

/* Applies a cache event; a gap in seq drops all blocks of the target. */
void tgt_cache_apply(struct wf_ctx *ctx, struct tgt_table *targets,
		     const struct wf_cache_event *event);

/* Records that a target has computed a prompt and so holds its prefix. */
void tgt_cache_add_prefix(struct tgt_table *targets, tbl_handle handle,
			  const uint64_t *hashes, size_t n);

static inline bool tgt_holders_contain(const struct tgt_holders *holders,
				       tbl_handle handle)
{
	size_t i;

	for (i = 0; i < holders->n; i++)
		if (holders->handles[i] == handle)
			return true;
	return false;
}

#endif
