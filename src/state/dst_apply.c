#include <string.h>

#include "state/dst_private.h"

GBytes *dst_find_chunk(void *user, const char *hash)
{
	struct dst_distribution *dst = user;
	GBytes *found = NULL;

	if (dst->fetch.chunks)
		found = g_hash_table_lookup(dst->fetch.chunks, hash);
	if (!found)
		found = g_hash_table_lookup(dst->chunks, hash);
	return found;
}

static void reject(struct wf_ctx *ctx, struct dst_distribution *dst,
		   const char *message)
{
	uint64_t revision = dst->fetch.manifest->revision;

	log_change(ctx->log, ctx->now, "rules", "fetched", "rejected",
		   "revision %" G_GUINT64_FORMAT ": %s", revision, message);
	ctr_add(ctx->counters, "wf_rules_rejected_total", 1);
	dst->rejected = MAX(dst->rejected, revision);
	dst_fetch_end(dst);
}

static struct rul_set *parse_fetched(struct dst_distribution *dst,
				     GError **error)
{
	GBytes *text =
		rul_chunk_join(dst->fetch.manifest, dst_find_chunk, dst, error);
	struct rul_set *rules;
	const char *data;
	gsize len;

	if (!text)
		return NULL;
	data = g_bytes_get_data(text, &len);
	rules = rul_set_parse(data ? data : "", len, NULL, error);
	g_bytes_unref(text);
	return rules;
}

/* Keeps the chunks of the new text and releases the others. */
static void adopt_chunks(struct dst_distribution *dst)
{
	const struct rul_manifest *manifest = dst->fetch.manifest;
	GHashTable *kept;
	guint i;

	kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_bytes_unref);
	for (i = 0; i < manifest->chunks->len; i++) {
		const char *hash;
		GBytes *data;

		hash = g_array_index(manifest->chunks, struct rul_chunk, i)
			       .hash;
		data = dst_find_chunk(dst, hash);
		g_hash_table_replace(kept, g_strdup(hash), g_bytes_ref(data));
	}
	g_hash_table_unref(dst->chunks);
	dst->chunks = kept;
}

static bool may_replace(const struct dst_distribution *dst)
{
#ifdef WF_GUARD_OFF_RULES_MONOTONIC
	return dst->fetch.manifest->revision != dst->revision;
#else
	return dst->fetch.manifest->revision > dst->revision;
#endif
}

void dst_apply(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	GError *error = NULL;
	struct rul_set *rules;

	if (!may_replace(dst)) {
		dst_fetch_end(dst);
		return;
	}
	rules = parse_fetched(dst, &error);
	if (!rules) {
		reject(ctx, dst, error->message);
		g_error_free(error);
		return;
	}
	log_change(ctx->log, ctx->now, "rules", "fetched", "in force",
		   "revision %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT,
		   dst->fetch.manifest->revision, dst->revision);
	adopt_chunks(dst);
	rul_set_drop(dst->rules);
	dst->rules = rules;
	dst->revision = dst->fetch.manifest->revision;
	if (dst->encoded)
		g_bytes_unref(dst->encoded);
	dst->encoded = g_bytes_ref(dst->fetch.encoded);
	ctr_set_gauge(ctx->counters, "wf_rules_revision",
		      (int64_t)dst->revision);
	ctr_add(ctx->counters, "wf_rules_applied_total", 1);
	dst_fetch_end(dst);
	dst_announce(ctx, dst);
}
