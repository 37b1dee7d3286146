#include <string.h>

#include "rul_private.h"

enum collect_step {
	COLLECT_LIST,
	COLLECT_READ,
	COLLECT_PUT,
	COLLECT_DELETE,
	COLLECT_DONE,
};

struct old_chunk {
	char hash[RUL_HASH_LEN];
	uint64_t version;
};

struct rul_collect {
	enum collect_step step;
	uint64_t op;
	clk_ms timeout;
	GArray *listed; /* of struct old_chunk; later those to delete */
	guint next;
	unsigned n_deleted;
};

struct rul_collect *rul_collect_new(clk_ms timeout)
{
	struct rul_collect *collect = g_new0(struct rul_collect, 1);

	collect->timeout = timeout;
	collect->listed = g_array_new(FALSE, TRUE, sizeof(struct old_chunk));
	return collect;
}

void rul_collect_drop(struct rul_collect *collect)
{
	if (!collect)
		return;
	g_array_unref(collect->listed);
	g_free(collect);
}

static void send_action(struct wf_ctx *ctx, struct rul_collect *collect,
			enum collect_step step, enum wf_action_type type,
			const char *name, uint64_t version, GBytes *body)
{
	struct wf_action action = {.type = type};

	collect->step = step;
	collect->op = wf_new_op(ctx, WF_MODULE_RULES);
	action.op = collect->op;
	action.name = g_strdup(name);
	action.version = version;
	action.timeout = collect->timeout;
	action.body = body;
	wf_emit(ctx, &action);
}

/* The chunks are listed first: a delete fails if one is written later. */
void rul_collect_start(struct wf_ctx *ctx, struct rul_collect *collect)
{
	send_action(ctx, collect, COLLECT_LIST, WF_ACT_STORE_LIST,
		    RUL_CHUNK_KIND "/", 0, NULL);
}

static void handle_list(struct wf_ctx *ctx, struct rul_collect *collect,
			const struct wf_store_reply *reply)
{
	size_t i;

	for (i = 0; i < reply->n_entries; i++) {
		const char *name = reply->entries[i].name;
		const char *slash = strrchr(name, '/');
		struct old_chunk chunk = {.version = reply->entries[i].version};

		name = slash ? slash + 1 : name;
		if (strlen(name) != RUL_HASH_LEN - 1)
			continue;
		g_strlcpy(chunk.hash, name, sizeof(chunk.hash));
		g_array_append_val(collect->listed, chunk);
	}
	send_action(ctx, collect, COLLECT_READ, WF_ACT_STORE_GET,
		    RUL_MANIFEST_NAME, 0, NULL);
}

/* Leaves those chunks in the list that no recent manifest uses. */
static void keep_unused(struct rul_collect *collect,
			const struct rul_manifest *manifest)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < manifest->chunks->len; i++)
		g_hash_table_add(used, g_array_index(manifest->chunks,
						     struct rul_chunk, i)
					       .hash);
	for (i = 0; i < manifest->dropped->len; i++)
		g_hash_table_add(used, g_array_index(manifest->dropped,
						     struct rul_dropped, i)
					       .hash);
	for (i = collect->listed->len; i-- > 0;) {
		const struct old_chunk *chunk;

		chunk = &g_array_index(collect->listed, struct old_chunk, i);
		if (g_hash_table_contains(used, chunk->hash))
			g_array_remove_index_fast(collect->listed, i);
	}
	g_hash_table_unref(used);
}

static void handle_read(struct wf_ctx *ctx, struct rul_collect *collect,
			const struct wf_store_reply *reply)
{
	struct rul_manifest *manifest;
	GBytes *value;

	collect->step = COLLECT_DONE;
	manifest = rul_manifest_decode(reply->value, NULL);
	if (!manifest)
		return;
	rul_stamp_dropped(manifest->dropped, MAX(ctx->now, manifest->time));
	keep_unused(collect, manifest);
	value = rul_manifest_encode(manifest, NULL);
	rul_manifest_free(manifest);
	if (!value)
		return;
	if (!g_bytes_equal(value, reply->value) || collect->listed->len)
		send_action(ctx, collect, COLLECT_PUT, WF_ACT_STORE_PUT,
			    RUL_MANIFEST_NAME, reply->version, value);
	else
		g_bytes_unref(value);
}

static void delete_next(struct wf_ctx *ctx, struct rul_collect *collect)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];
	const struct old_chunk *chunk;

	if (collect->next == collect->listed->len) {
		collect->step = COLLECT_DONE;
		return;
	}
	chunk = &g_array_index(collect->listed, struct old_chunk,
			       collect->next);
	collect->next++;
	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s", chunk->hash);
	send_action(ctx, collect, COLLECT_DELETE, WF_ACT_STORE_DELETE, name,
		    chunk->version, NULL);
}

bool rul_collect_handle(struct wf_ctx *ctx, struct rul_collect *collect,
			const struct wf_store_reply *reply)
{
	bool good = reply->result == WF_STORE_OK;

	if (!collect->op || reply->op != collect->op)
		return false;
	collect->op = 0;
	/* Any failure before the deletes ends it; the next one tries again. */
	if (!good && collect->step != COLLECT_DELETE)
		collect->step = COLLECT_DONE;
	switch (collect->step) {
	case COLLECT_LIST:
		handle_list(ctx, collect, reply);
		break;
	case COLLECT_READ:
		handle_read(ctx, collect, reply);
		break;
	case COLLECT_DELETE:
		collect->n_deleted += good;
		delete_next(ctx, collect);
		break;
	case COLLECT_PUT:
		delete_next(ctx, collect);
		break;
	case COLLECT_DONE:
		break;
	}
	return true;
}

bool rul_collect_done(const struct rul_collect *collect, unsigned *n_deleted)
{
	*n_deleted = collect->n_deleted;
	return collect->step == COLLECT_DONE;
}
