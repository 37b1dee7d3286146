#include <string.h>

#include "rul_publish_private.h"

/* The steps that fetch the texts of a conflict to compare them. */

static GBytes *get_fetched(void *user, const char *hash)
{
	struct rul_publish *publish = user;

	return g_hash_table_lookup(publish->fetched, hash);
}

static void report_conflict(struct rul_publish *publish)
{
	struct rul_publish_outcome *outcome = &publish->outcome;

	outcome->revision = publish->other->revision;
	outcome->other_author = publish->other->author;
	outcome->other_time = publish->other->time;
	outcome->changes = publish->changes;
	rul_publish_end(publish, RUL_PUBLISH_CONFLICT, ERR_STORE_CONFLICT,
			NULL);
}

/* Reports the conflict; without changes if they are not computed. */
static void give_up_fetch(struct wf_ctx *ctx, struct rul_publish *publish)
{
	(void)ctx;
	report_conflict(publish);
}

/* Compares the competing text with the base, or else with this one. */
static void compare(struct wf_ctx *ctx, struct rul_publish *publish)
{
	GBytes *from = publish->text;
	gsize from_len;
	gsize to_len;
	const char *from_text;
	const char *to_text;

	publish->other_text =
		rul_chunk_join(publish->other, get_fetched, publish, NULL);
	if (publish->base)
		publish->base_text = rul_chunk_join(publish->base, get_fetched,
						    publish, NULL);
	if (publish->base_text)
		from = publish->base_text;
	publish->outcome.changes_from_base = publish->base_text;
	if (publish->other_text) {
		from_text = g_bytes_get_data(from, &from_len);
		to_text = g_bytes_get_data(publish->other_text, &to_len);
		publish->changes =
			rul_diff(from_text, from_len, to_text, to_len);
	}
	give_up_fetch(ctx, publish);
}

static void send_fetch_chunk(struct wf_ctx *ctx, struct rul_publish *publish)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];
	const struct rul_chunk *chunk;

	/* Skips chunks that both texts have. */
	while (publish->fetch_index < publish->to_fetch->len) {
		chunk = publish->to_fetch->pdata[publish->fetch_index];
		if (!get_fetched(publish, chunk->hash))
			break;
		publish->fetch_index++;
	}
	if (publish->fetch_index == publish->to_fetch->len) {
		compare(ctx, publish);
		return;
	}
	chunk = publish->to_fetch->pdata[publish->fetch_index];
	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s", chunk->hash);
	rul_publish_send(ctx, publish, WF_ACT_STORE_GET, name, 0, NULL);
}

static void handle_fetch_chunk(struct wf_ctx *ctx, struct rul_publish *publish,
			       const struct wf_store_reply *reply)
{
	const struct rul_chunk *chunk;

	if (reply->result != WF_STORE_OK &&
	    reply->result != WF_STORE_NOT_FOUND) {
		rul_publish_retry(ctx, publish, RUL_STEP_FETCH_CHUNK);
		return;
	}
	chunk = publish->to_fetch->pdata[publish->fetch_index++];
	if (reply->result == WF_STORE_OK)
		g_hash_table_replace(publish->fetched, g_strdup(chunk->hash),
				     g_bytes_ref(reply->value));
	rul_publish_enter(ctx, publish, RUL_STEP_FETCH_CHUNK);
}

static void add_missing(struct rul_publish *publish,
			const struct rul_manifest *manifest)
{
	GPtrArray *missing = rul_chunk_missing(manifest, get_fetched, publish);
	guint i;

	for (i = 0; i < missing->len; i++)
		g_ptr_array_add(publish->to_fetch, missing->pdata[i]);
	g_ptr_array_unref(missing);
}

/* Chunks of the text to publish need not be read from the store. */
static void add_own_chunks(struct rul_publish *publish)
{
	gsize len;
	const char *text = g_bytes_get_data(publish->text, &len);
	GArray *chunks = rul_chunk_split(text, len);
	guint i;

	for (i = 0; i < chunks->len; i++) {
		const struct rul_chunk *chunk;

		chunk = &g_array_index(chunks, struct rul_chunk, i);
		g_hash_table_replace(publish->fetched, g_strdup(chunk->hash),
				     g_bytes_new_from_bytes(publish->text,
							    chunk->offset,
							    chunk->len));
	}
	g_array_unref(chunks);
}

void rul_publish_conflict(struct wf_ctx *ctx, struct rul_publish *publish)
{
	add_own_chunks(publish);
	add_missing(publish, publish->other);
	if (publish->base)
		add_missing(publish, publish->base);
	rul_publish_enter(ctx, publish, RUL_STEP_FETCH_CHUNK);
}

const struct rul_step_ops rul_step_fetch_chunk = {
	send_fetch_chunk, handle_fetch_chunk, give_up_fetch};
