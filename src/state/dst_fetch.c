#include <string.h>

#include "state/dst_private.h"

/* Peers tried for one revision before the store is read. */
#define PEER_TRIES 2

/* Concurrent chunk reads from the store. */
#define STORE_BATCH 8

void dst_fetch_end(struct dst_distribution *dst)
{
	struct dst_fetch *fetch = &dst->fetch;

	g_free(fetch->source);
	rul_manifest_free(fetch->manifest);
	if (fetch->encoded)
		g_bytes_unref(fetch->encoded);
	if (fetch->chunks)
		g_hash_table_unref(fetch->chunks);
	memset(fetch, 0, sizeof(*fetch));
	g_hash_table_remove_all(dst->store_ops);
}

static void request_manifest(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	if (dst->fetch.source) {
		dst->fetch.deadline = ctx->now + dst->config.peer_timeout;
		dst_send_request(ctx, dst, NULL);
	} else {
		dst->fetch.deadline = ctx->now + dst->config.store_timeout;
		dst_store_get(ctx, dst, "");
	}
}

void dst_fetch_start(struct wf_ctx *ctx, struct dst_distribution *dst,
		     const char *peer, uint64_t revision)
{
	struct dst_fetch *fetch = &dst->fetch;

	if (fetch->active) {
		fetch->wanted = MAX(fetch->wanted, revision);
		return;
	}
	fetch->active = true;
	fetch->wanted = revision;
	fetch->source = g_strdup(peer);
	fetch->chunks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_bytes_unref);
	request_manifest(ctx, dst);
}

static const char *pick_peer(struct wf_ctx *ctx, const char *excluded)
{
	guint n = ctx->peers->len;
	guint start = n ? (guint)g_rand_int_range(ctx->rand, 0, (gint)n) : 0;
	guint i;

	for (i = 0; i < n; i++) {
		const struct wf_peer *peer = ctx->peers->pdata[(start + i) % n];

		if (strcmp(peer->id, ctx->self) &&
		    (!excluded || strcmp(peer->id, excluded)))
			return peer->id;
	}
	return NULL;
}

void dst_fetch_next_source(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	struct dst_fetch *fetch = &dst->fetch;
	const char *peer = NULL;

	ctr_add(ctx->counters, "wf_rules_source_failures_total", 1);
	fetch->tries++;
	if (fetch->tries > PEER_TRIES || !fetch->source) {
		/* Nothing is left; a later announcement or poll retries. */
		if (!fetch->source) {
			dst_fetch_end(dst);
			return;
		}
	} else {
		peer = pick_peer(ctx, fetch->source);
	}
	g_free(fetch->source);
	fetch->source = g_strdup(peer);
	g_hash_table_remove_all(dst->store_ops);
	fetch->store_gets = 0;
	if (fetch->manifest)
		dst_fetch_continue(ctx, dst);
	else
		request_manifest(ctx, dst);
}

void dst_fetch_set_manifest(struct wf_ctx *ctx, struct dst_distribution *dst,
			    GBytes *value)
{
	struct dst_fetch *fetch = &dst->fetch;
	struct rul_manifest *manifest;
	GError *error = NULL;

	if (!fetch->active || fetch->manifest)
		return;
	manifest = rul_manifest_decode(value, &error);
	if (!manifest) {
		ctr_add(ctx->counters, "wf_rules_bad_manifests_total", 1);
		g_error_free(error);
		dst_fetch_next_source(ctx, dst);
		return;
	}
#ifndef WF_GUARD_OFF_RULES_MONOTONIC
	if (manifest->revision <= MAX(dst->revision, dst->rejected)) {
		bool behind = manifest->revision < fetch->wanted;

		rul_manifest_free(manifest);
		if (behind && fetch->wanted > dst->rejected)
			dst_fetch_next_source(ctx, dst);
		else
			dst_fetch_end(dst);
		return;
	}
#endif
	fetch->manifest = manifest;
	fetch->encoded = g_bytes_ref(value);
	fetch->progress = 1;
	dst_fetch_continue(ctx, dst);
}

bool dst_fetch_add_chunk(struct wf_ctx *ctx, struct dst_distribution *dst,
			 const char *hash, GBytes *data)
{
	char actual[RUL_HASH_LEN];
	gsize len;
	const void *bytes = g_bytes_get_data(data, &len);

	rul_chunk_hash(bytes ? bytes : "", len, actual);
	if (strcmp(actual, hash)) {
		ctr_add(ctx->counters, "wf_rules_bad_chunks_total", 1);
		return false;
	}
	g_hash_table_replace(dst->fetch.chunks, g_strdup(hash),
			     g_bytes_ref(data));
	dst->fetch.progress++;
	return true;
}

static void ask_store(struct wf_ctx *ctx, struct dst_distribution *dst,
		      const GPtrArray *missing)
{
	guint i;

	for (i = 0; i < missing->len && i < STORE_BATCH; i++) {
		const struct rul_chunk *chunk = missing->pdata[i];

		dst->fetch.store_gets++;
		dst_store_get(ctx, dst, chunk->hash);
	}
	dst->fetch.deadline = ctx->now + dst->config.store_timeout;
}

void dst_fetch_continue(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	struct dst_fetch *fetch = &dst->fetch;
	GPtrArray *missing;

	missing = rul_chunk_missing(fetch->manifest, dst_find_chunk, dst);
	if (!missing->len) {
		dst_apply(ctx, dst);
	} else if (!fetch->progress && fetch->source) {
		/* The peer sent none of the requested chunks. */
		fetch->progress = 1;
		dst_fetch_next_source(ctx, dst);
	} else if (!fetch->progress) {
		dst_fetch_end(dst);
	} else if (fetch->source) {
		fetch->progress = 0;
		fetch->deadline = ctx->now + dst->config.peer_timeout;
		dst_send_request(ctx, dst, missing);
	} else {
		fetch->progress = 0;
		ask_store(ctx, dst, missing);
	}
	g_ptr_array_unref(missing);
}
