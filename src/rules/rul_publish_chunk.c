#include <string.h>

#include "rul_publish_private.h"

/*
 * The steps that put chunks. A chunk that exists although the manifest does
 * not use it may be about to be deleted by a garbage collection. It is
 * therefore written again ("touched"), which gives it a new version and makes
 * the pending delete fail. A garbage collection that starts later changes the
 * manifest's version before it deletes, so this publisher's put of the
 * manifest fails and it puts its chunks again.
 */

static const struct rul_chunk *current_chunk(const struct rul_publish *publish)
{
	return publish->missing->pdata[publish->chunk_index];
}

static GBytes *current_bytes(const struct rul_publish *publish)
{
	const struct rul_chunk *chunk = current_chunk(publish);

	return g_bytes_new_from_bytes(publish->text, chunk->offset, chunk->len);
}

static void send_chunk_bytes(struct wf_ctx *ctx, struct rul_publish *publish,
			     uint64_t version)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];
	GBytes *bytes = current_bytes(publish);

	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s",
		   current_chunk(publish)->hash);
	rul_publish_send(ctx, publish, WF_ACT_STORE_PUT, name, version, bytes);
	g_bytes_unref(bytes);
}

static void send_put_chunk(struct wf_ctx *ctx, struct rul_publish *publish)
{
	if (publish->chunk_index == publish->missing->len)
		rul_publish_enter(ctx, publish, RUL_STEP_PUT_MANIFEST);
	else
		send_chunk_bytes(ctx, publish, WF_VERSION_ABSENT);
}

static void finish_chunk(struct wf_ctx *ctx, struct rul_publish *publish)
{
	publish->outcome.n_chunks_put++;
	publish->outcome.chunk_bytes_put += current_chunk(publish)->len;
	publish->chunk_index++;
	rul_publish_enter(ctx, publish, RUL_STEP_PUT_CHUNK);
}

static void handle_put_chunk(struct wf_ctx *ctx, struct rul_publish *publish,
			     const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK)
		finish_chunk(ctx, publish);
	else if (reply->result == WF_STORE_CONFLICT)
		rul_publish_enter(ctx, publish, RUL_STEP_TOUCH_GET);
	else if (reply->result == WF_STORE_REFUSED)
		rul_publish_refuse(publish);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_PUT_CHUNK);
}

static void send_touch_get(struct wf_ctx *ctx, struct rul_publish *publish)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];

	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s",
		   current_chunk(publish)->hash);
	rul_publish_send(ctx, publish, WF_ACT_STORE_GET, name, 0, NULL);
}

static void handle_touch_get(struct wf_ctx *ctx, struct rul_publish *publish,
			     const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK) {
		publish->touch_version = reply->version;
		rul_publish_enter(ctx, publish, RUL_STEP_TOUCH_PUT);
	} else if (reply->result == WF_STORE_NOT_FOUND)
		rul_publish_retry(ctx, publish, RUL_STEP_PUT_CHUNK);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_TOUCH_GET);
}

static void send_touch_put(struct wf_ctx *ctx, struct rul_publish *publish)
{
	send_chunk_bytes(ctx, publish, publish->touch_version);
}

/* After a failure, reads the chunk again: it may be changed or deleted. */
static void handle_touch_put(struct wf_ctx *ctx, struct rul_publish *publish,
			     const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK)
		finish_chunk(ctx, publish);
	else if (reply->result == WF_STORE_REFUSED)
		rul_publish_refuse(publish);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_TOUCH_GET);
}

const struct rul_step_ops rul_step_put_chunk = {
	send_put_chunk, handle_put_chunk, rul_publish_give_up};
const struct rul_step_ops rul_step_touch_get = {
	send_touch_get, handle_touch_get, rul_publish_give_up};
const struct rul_step_ops rul_step_touch_put = {
	send_touch_put, handle_touch_put, rul_publish_give_up};
