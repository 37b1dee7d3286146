#include <string.h>

#include "rul_publish_private.h"

/* The steps that read and write the manifest. */

static void send_read(struct wf_ctx *ctx, struct rul_publish *publish)
{
	rul_publish_send(ctx, publish, WF_ACT_STORE_GET, RUL_MANIFEST_NAME, 0,
			 NULL);
}

/* Builds the next manifest and the list of chunks to put. */
static void prepare(struct wf_ctx *ctx, struct rul_publish *publish)
{
	GError *error = NULL;
	gsize len;
	const char *text = g_bytes_get_data(publish->text, &len);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	rul_manifest_free(publish->next);
	rul_clear_bytes(&publish->next_value);
	g_ptr_array_set_size(publish->missing, 0);
	publish->chunk_index = 0;
	publish->next = rul_manifest_new(publish->base, text, len,
					 &publish->author, ctx->now);
	publish->next_value = rul_manifest_encode(publish->next, &error);
	for (i = 0; i < publish->next->chunks->len; i++) {
		struct rul_chunk *chunk;

		chunk = &g_array_index(publish->next->chunks, struct rul_chunk,
				       i);
		if (g_hash_table_add(seen, chunk->hash) &&
		    !(publish->base &&
		      rul_manifest_uses(publish->base, chunk->hash)))
			g_ptr_array_add(publish->missing, chunk);
	}
	g_hash_table_unref(seen);
	if (publish->next_value) {
		rul_publish_enter(ctx, publish, RUL_STEP_PUT_CHUNK);
		return;
	}
	rul_publish_end(publish, RUL_PUBLISH_REFUSED, ERR_TOO_LARGE,
			error->message);
	g_error_free(error);
}

/* Takes ownership of the manifest that the next one is built on. */
static void set_base(struct rul_publish *publish, struct rul_manifest *manifest,
		     uint64_t version)
{
	if (publish->base != manifest)
		rul_manifest_free(publish->base);
	publish->base = manifest;
	publish->base_version = version;
}

static void report_no_rules(struct rul_publish *publish)
{
	char *message = g_strdup_printf(
		"the store has no rules, but the edit is based on revision "
		"%" G_GUINT64_FORMAT,
		publish->base_revision);

	rul_publish_end(publish, RUL_PUBLISH_REFUSED, ERR_NOT_FOUND, message);
	g_free(message);
}

static void handle_no_manifest(struct wf_ctx *ctx, struct rul_publish *publish)
{
	if (publish->base_revision == RUL_BASE_LATEST)
		publish->base_revision = 0;
	set_base(publish, NULL, WF_VERSION_ABSENT);
	if (publish->base_revision)
		report_no_rules(publish);
	else
		prepare(ctx, publish);
}

/* Decodes the manifest of a reply; ends the sequence if it is malformed. */
static struct rul_manifest *decode_reply(struct rul_publish *publish,
					 const struct wf_store_reply *reply)
{
	GError *error = NULL;
	struct rul_manifest *manifest;

	manifest = rul_manifest_decode(reply->value, &error);
	if (manifest)
		return manifest;
	rul_publish_end(publish,
			publish->put_unknown ? RUL_PUBLISH_UNKNOWN
					     : RUL_PUBLISH_REFUSED,
			ERR_PROTOCOL, error->message);
	g_error_free(error);
	return NULL;
}

static bool has_same_text(const struct rul_publish *publish,
			  const struct rul_manifest *manifest)
{
	char hash[RUL_TEXT_HASH_LEN];
	gsize len;
	const char *text = g_bytes_get_data(publish->text, &len);

	rul_text_hash(text, len, hash);
	return !strcmp(hash, manifest->text_hash);
}

static void handle_read(struct wf_ctx *ctx, struct rul_publish *publish,
			const struct wf_store_reply *reply)
{
	struct rul_manifest *manifest;

	if (reply->result == WF_STORE_NOT_FOUND) {
		handle_no_manifest(ctx, publish);
		return;
	}
	if (reply->result != WF_STORE_OK) {
		rul_publish_retry(ctx, publish, RUL_STEP_READ_MANIFEST);
		return;
	}
	manifest = decode_reply(publish, reply);
	if (!manifest)
		return;
	if (publish->base_revision == RUL_BASE_LATEST)
		publish->base_revision = manifest->revision;
	if (manifest->revision != publish->base_revision) {
		publish->other = manifest;
		rul_publish_conflict(ctx, publish);
		return;
	}
	set_base(publish, manifest, reply->version);
	if (!has_same_text(publish, manifest)) {
		prepare(ctx, publish);
		return;
	}
	publish->outcome.revision = manifest->revision;
	rul_publish_end(publish, RUL_PUBLISH_UNCHANGED, ERR_INTERNAL, NULL);
}

/* Writing */

static void send_put(struct wf_ctx *ctx, struct rul_publish *publish)
{
	rul_publish_send(ctx, publish, WF_ACT_STORE_PUT, RUL_MANIFEST_NAME,
			 publish->base_version, publish->next_value);
}

static void accept_next(struct wf_ctx *ctx, struct rul_publish *publish)
{
	rul_publish_accept(ctx, publish, publish->next,
			   publish->next->revision);
}

static void handle_put(struct wf_ctx *ctx, struct rul_publish *publish,
		       const struct wf_store_reply *reply)
{
	switch (reply->result) {
	case WF_STORE_OK:
		accept_next(ctx, publish);
		return;
	case WF_STORE_REFUSED:
		rul_publish_refuse(publish);
		return;
	case WF_STORE_UNAVAILABLE:
		rul_publish_retry(ctx, publish, RUL_STEP_PUT_MANIFEST);
		return;
	case WF_STORE_UNKNOWN:
#ifdef WF_GUARD_OFF_PUBLISH_READBACK
		accept_next(ctx, publish);
		return;
#else
		publish->put_unknown = true;
		break;
#endif
	case WF_STORE_CONFLICT:
#ifdef WF_GUARD_OFF_PUBLISH_CONDITION
		publish->base_version = reply->version;
		rul_publish_retry(ctx, publish, RUL_STEP_PUT_MANIFEST);
		return;
#endif
	case WF_STORE_NOT_FOUND:
		break;
	}
	rul_publish_enter(ctx, publish, RUL_STEP_READ_BACK);
}

/*
 * Whether the recent revisions include the one after the base. If they do
 * and another publisher wrote it, this publisher's put was not executed and
 * never will be, because its condition names a version that is gone.
 */
static bool lists_next_revision(const struct rul_publish *publish,
				const struct rul_manifest *manifest)
{
	const struct rul_recent_revision *oldest;

	oldest =
		&g_array_index(manifest->recent, struct rul_recent_revision, 0);
	return oldest->revision <= publish->base_revision + 1;
}

static void resolve_outcome(struct wf_ctx *ctx, struct rul_publish *publish,
			    struct rul_manifest *manifest, uint64_t version)
{
	const struct rul_recent_revision *own;

	own = rul_manifest_find_nonce(manifest, publish->author.nonce);
	if (own) {
		publish->other = manifest;
		rul_publish_accept(ctx, publish, manifest, own->revision);
		return;
	}
	if (version == publish->base_version) {
		/* Not executed yet; the conditional put may be repeated. */
		rul_manifest_free(manifest);
		rul_publish_retry(ctx, publish, RUL_STEP_PUT_MANIFEST);
		return;
	}
	if (manifest->revision == publish->base_revision) {
		/* Written by a garbage collection: the put cannot succeed. */
		publish->put_unknown = false;
		set_base(publish, manifest, version);
		prepare(ctx, publish);
		return;
	}
	publish->other = manifest;
	if (publish->put_unknown && !lists_next_revision(publish, manifest))
		rul_publish_end(publish, RUL_PUBLISH_UNKNOWN,
				ERR_OUTCOME_UNKNOWN,
				"the reply to the write was lost and the "
				"manifest no longer lists that revision");
	else
		rul_publish_conflict(ctx, publish);
}

static void handle_read_back(struct wf_ctx *ctx, struct rul_publish *publish,
			     const struct wf_store_reply *reply)
{
	struct rul_manifest *manifest;

	if (reply->result == WF_STORE_NOT_FOUND &&
	    publish->base_version == WF_VERSION_ABSENT) {
		rul_publish_retry(ctx, publish, RUL_STEP_PUT_MANIFEST);
		return;
	}
	if (reply->result != WF_STORE_OK) {
		rul_publish_retry(ctx, publish, RUL_STEP_READ_BACK);
		return;
	}
	manifest = decode_reply(publish, reply);
	if (manifest)
		resolve_outcome(ctx, publish, manifest, reply->version);
}

const struct rul_step_ops rul_step_read_manifest = {send_read, handle_read,
						    rul_publish_give_up};
const struct rul_step_ops rul_step_put_manifest = {send_put, handle_put,
						   rul_publish_give_up};
const struct rul_step_ops rul_step_read_back = {send_read, handle_read_back,
						rul_publish_give_up};
