#include <string.h>

#include "rul_private.h"

enum gc_step {
	GC_LIST,
	GC_READ,
	GC_PUT,
	GC_DELETE,
	GC_DONE,
};

struct stored_chunk {
	char hash[RUL_HASH_LEN];
	uint64_t version;
};

struct rul_gc {
	enum gc_step step;
	uint64_t op;
	clk_ms timeout;
	GArray *chunks; /* of struct stored_chunk: all, later those to delete */
	guint next;
	unsigned n_deleted;
};

struct rul_gc *rul_gc_new(clk_ms timeout)
{
	struct rul_gc *gc = g_new0(struct rul_gc, 1);

	gc->timeout = timeout;
	gc->chunks = g_array_new(FALSE, TRUE, sizeof(struct stored_chunk));
	return gc;
}

void rul_gc_drop(struct rul_gc *gc)
{
	if (!gc)
		return;
	g_array_unref(gc->chunks);
	g_free(gc);
}

static void send_action(struct wf_ctx *ctx, struct rul_gc *gc,
			enum gc_step step, enum wf_action_type type,
			const char *name, uint64_t version, GBytes *body)
{
	struct wf_action action = {.type = type};

	gc->step = step;
	gc->op = wf_new_op(ctx, WF_MODULE_RULES);
	action.op = gc->op;
	action.name = g_strdup(name);
	action.version = version;
	action.timeout = gc->timeout;
	action.body = body;
	wf_emit(ctx, &action);
}

/*
 * Lists the chunks first, with their versions: the conditional delete of a
 * chunk that was written again since then fails.
 */
void rul_gc_start(struct wf_ctx *ctx, struct rul_gc *gc)
{
	send_action(ctx, gc, GC_LIST, WF_ACT_STORE_LIST, RUL_CHUNK_KIND "/", 0,
		    NULL);
}

static void handle_list(struct wf_ctx *ctx, struct rul_gc *gc,
			const struct wf_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->n_entries; i++) {
		const char *name = reply->entries[i].name;
		const char *slash = strrchr(name, '/');
		struct stored_chunk chunk = {.version =
						     reply->entries[i].version};

		name = slash ? slash + 1 : name;
		if (strlen(name) != RUL_HASH_LEN - 1)
			continue;
		g_strlcpy(chunk.hash, name, sizeof(chunk.hash));
		g_array_append_val(gc->chunks, chunk);
	}
	send_action(ctx, gc, GC_READ, WF_ACT_STORE_GET, RUL_MANIFEST_NAME, 0,
		    NULL);
}

/* Removes the chunks from the list that a recent manifest uses. */
static void remove_used(struct rul_gc *gc, const struct rul_manifest *manifest)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < manifest->chunks->len; i++)
		g_hash_table_add(used, g_array_index(manifest->chunks,
						     struct rul_chunk, i)
					       .hash);
	for (i = 0; i < manifest->dropped->len; i++)
		g_hash_table_add(used,
				 g_array_index(manifest->dropped,
					       struct rul_dropped_chunk, i)
					 .hash);
	for (i = gc->chunks->len; i-- > 0;) {
		const struct stored_chunk *chunk;

		chunk = &g_array_index(gc->chunks, struct stored_chunk, i);
		if (g_hash_table_contains(used, chunk->hash))
			g_array_remove_index_fast(gc->chunks, i);
	}
	g_hash_table_unref(used);
}

static void handle_read(struct wf_ctx *ctx, struct rul_gc *gc,
			const struct wf_store_reply *reply)
{
	struct rul_manifest *manifest;
	GBytes *value;

	gc->step = GC_DONE;
	manifest = rul_manifest_decode(reply->value, NULL);
	if (!manifest)
		return;
	rul_expire_dropped_chunks(manifest->dropped,
				  MAX(ctx->now, manifest->time));
	remove_used(gc, manifest);
	value = rul_manifest_encode(manifest, NULL);
	rul_manifest_free(manifest);
	if (!value)
		return;
	if (!g_bytes_equal(value, reply->value) || gc->chunks->len)
		send_action(ctx, gc, GC_PUT, WF_ACT_STORE_PUT,
			    RUL_MANIFEST_NAME, reply->version, value);
	else
		g_bytes_unref(value);
}

static void delete_next(struct wf_ctx *ctx, struct rul_gc *gc)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];
	const struct stored_chunk *chunk;

	if (gc->next == gc->chunks->len) {
		gc->step = GC_DONE;
		return;
	}
	chunk = &g_array_index(gc->chunks, struct stored_chunk, gc->next);
	gc->next++;
	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s", chunk->hash);
	send_action(ctx, gc, GC_DELETE, WF_ACT_STORE_DELETE, name,
		    chunk->version, NULL);
}

bool rul_gc_handle(struct wf_ctx *ctx, struct rul_gc *gc,
		   const struct wf_store_reply *reply)
{
	bool ok = reply->result == WF_STORE_OK;

	if (!gc->op || reply->op != gc->op)
		return false;
	gc->op = 0;
	/* A failure before the deletes ends this run; the next one retries. */
	if (!ok && gc->step != GC_DELETE)
		gc->step = GC_DONE;
	switch (gc->step) {
	case GC_LIST:
		handle_list(ctx, gc, reply);
		break;
	case GC_READ:
		handle_read(ctx, gc, reply);
		break;
	case GC_DELETE:
		gc->n_deleted += ok;
		delete_next(ctx, gc);
		break;
	case GC_PUT:
		delete_next(ctx, gc);
		break;
	case GC_DONE:
		break;
	}
	return true;
}

bool rul_gc_done(const struct rul_gc *gc, unsigned *n_deleted)
{
	*n_deleted = gc->n_deleted;
	return gc->step == GC_DONE;
}
