#include <string.h>

#include "state/dst_private.h"

/* Separates the choice of watchers from other uses of rendezvous hashing. */
#define WATCH_HASH UINT64_C(0x72756c6573)

/* Wait after a failed watch, plus as much at random. */
#define WATCH_RETRY_MS CLK_SECOND

void dst_store_get(struct wf_ctx *ctx, struct dst_distribution *dst,
		   const char *chunk)
{
	struct wf_action action = {.type = WF_ACT_STORE_GET};
	uint64_t *op = g_new(uint64_t, 1);

	*op = wf_new_op(ctx, WF_MODULE_RULES);
	action.op = *op;
	action.timeout = dst->config.store_timeout;
	if (*chunk)
		action.name = g_strdup_printf("%s/%s", RUL_CHUNK_KIND, chunk);
	else
		action.name = g_strdup(RUL_MANIFEST_NAME);
	g_hash_table_insert(dst->store_ops, op, g_strdup(chunk));
	ctr_add(ctx->counters, "wf_rules_store_reads_total", 1);
	wf_emit(ctx, &action);
}

static bool is_watcher(struct wf_ctx *ctx, const struct dst_distribution *dst)
{
	unsigned rank;

	for (rank = 0; rank < dst->config.watchers; rank++) {
		const struct wf_peer *peer;

		peer = wf_owner_of(ctx, WATCH_HASH, ctx->data_center, rank);
		if (!peer)
			return false;
		if (!strcmp(peer->id, ctx->self))
			return true;
	}
	return false;
}

static void start_watch(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	struct wf_action action = {.type = WF_ACT_STORE_WATCH};

	dst->watch_op = wf_new_op(ctx, WF_MODULE_RULES);
	action.op = dst->watch_op;
	action.name = g_strdup(RUL_MANIFEST_NAME);
	action.version = dst->watch_after;
	action.timeout = dst->config.watch_timeout;
	ctr_add(ctx->counters, "wf_rules_store_watches_total", 1);
	wf_emit(ctx, &action);
}

static void start_poll(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	struct wf_action action = {.type = WF_ACT_STORE_LIST};
	clk_ms interval =
		dst->config.poll_interval +
		dst->config.poll_interval_per_peer * (clk_ms)ctx->peers->len;

	dst->next_poll = ctx->now + interval / 2 +
			 g_rand_int_range(ctx->rand, 0, (gint32)interval + 1);
	dst->poll_op = wf_new_op(ctx, WF_MODULE_RULES);
	action.op = dst->poll_op;
	action.name = g_strdup(RUL_MANIFEST_NAME);
	action.timeout = dst->config.store_timeout;
	ctr_add(ctx->counters, "wf_rules_store_reads_total", 1);
	wf_emit(ctx, &action);
}

void dst_store_tick(struct wf_ctx *ctx, struct dst_distribution *dst)
{
	if (ctx->now >= dst->next_watch && !dst->watch_op) {
		if (is_watcher(ctx, dst))
			start_watch(ctx, dst);
		else
			dst->next_watch = ctx->now + WATCH_RETRY_MS;
	}
	if (ctx->now >= dst->next_poll)
		start_poll(ctx, dst);
}

/* Reads the manifest if a list or watch reply states a newer version. */
static void check_versions(struct wf_ctx *ctx, struct dst_distribution *dst,
			   const struct wf_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->n_entries; i++)
		if (reply->entries[i].version > dst->store_version)
			dst_fetch_start(ctx, dst, NULL, 0);
}

static void handle_watch_reply(struct wf_ctx *ctx, struct dst_distribution *dst,
			       const struct wf_store_reply *reply)
{
	dst->watch_op = 0;
	if (reply->result != WF_STORE_OK) {
		dst->next_watch =
			ctx->now + WATCH_RETRY_MS +
			g_rand_int_range(ctx->rand, 0, WATCH_RETRY_MS);
		return;
	}
	dst->next_watch = ctx->now;
	dst->watch_after = MAX(dst->watch_after, reply->version);
	check_versions(ctx, dst, reply);
}

static void handle_chunk_reply(struct wf_ctx *ctx, struct dst_distribution *dst,
			       const char *hash,
			       const struct wf_store_reply *reply)
{
	struct dst_fetch *fetch = &dst->fetch;

	if (!fetch->manifest || fetch->source || !fetch->store_gets)
		return;
	fetch->store_gets--;
	if (reply->result == WF_STORE_OK && reply->value)
		dst_fetch_add_chunk(ctx, dst, hash, reply->value);
	if (!fetch->store_gets)
		dst_fetch_continue(ctx, dst);
}

static void handle_manifest_reply(struct wf_ctx *ctx,
				  struct dst_distribution *dst,
				  const struct wf_store_reply *reply)
{
	if (dst->fetch.source)
		return;
	if (reply->result != WF_STORE_OK || !reply->value) {
		dst_fetch_next_source(ctx, dst);
		return;
	}
	dst->store_version = MAX(dst->store_version, reply->version);
	dst_fetch_set_manifest(ctx, dst, reply->value);
}

void dst_handle_store(struct wf_ctx *ctx, struct dst_distribution *dst,
		      const struct wf_store_reply *reply)
{
	gpointer op = NULL;
	gpointer chunk = NULL;

	if (reply->op == dst->watch_op) {
		handle_watch_reply(ctx, dst, reply);
		return;
	}
	if (reply->op == dst->poll_op) {
		dst->poll_op = 0;
		if (reply->result == WF_STORE_OK)
			check_versions(ctx, dst, reply);
		return;
	}
	if (!g_hash_table_steal_extended(dst->store_ops, &reply->op, &op,
					 &chunk))
		return;
	if (*(const char *)chunk)
		handle_chunk_reply(ctx, dst, chunk, reply);
	else
		handle_manifest_reply(ctx, dst, reply);
	g_free(op);
	g_free(chunk);
}
