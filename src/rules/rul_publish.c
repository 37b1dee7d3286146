#include <string.h>

#include "rul_publish_private.h"

/*
 * Chunks and collection: a chunk that exists although the manifest does not
 * use it may be about to be deleted by a collection. It is therefore written
 * again, which gives it a new version and makes the pending delete fail. A
 * collection that starts later changes the manifest's version first, so this
 * publisher's put of the manifest fails and it starts again.
 */

/* First and longest pause before a step is tried again. */
#define PAUSE_FIRST_MS 50
#define PAUSE_LONGEST_MS 2000

/* Reading */

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
	g_clear_pointer(&publish->next_value, g_bytes_unref);
	g_ptr_array_set_size(publish->missing, 0);
	publish->chunk = 0;
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
		rul_publish_enter(ctx, publish, RUL_STEP_CHUNK);
		return;
	}
	rul_publish_end(publish, RUL_PUBLISH_REFUSED, ERR_TOO_LARGE,
			error->message);
	g_error_free(error);
}

/* Takes over a manifest as the one to build on. */
static void set_base(struct rul_publish *publish, struct rul_manifest *manifest,
		     uint64_t version)
{
	if (publish->base != manifest)
		rul_manifest_free(publish->base);
	publish->base = manifest;
	publish->base_version = version;
}

static void report_missing(struct rul_publish *publish)
{
	char *message = g_strdup_printf(
		"the store has no rules, but the edit is based on revision "
		"%" G_GUINT64_FORMAT,
		publish->base_revision);

	rul_publish_end(publish, RUL_PUBLISH_REFUSED, ERR_NOT_FOUND, message);
	g_free(message);
}

static void handle_first_absent(struct wf_ctx *ctx, struct rul_publish *publish)
{
	if (publish->base_revision == RUL_BASE_LATEST)
		publish->base_revision = 0;
	set_base(publish, NULL, WF_VERSION_ABSENT);
	if (publish->base_revision)
		report_missing(publish);
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
		handle_first_absent(ctx, publish);
		return;
	}
	if (reply->result != WF_STORE_OK) {
		rul_publish_retry(ctx, publish, RUL_STEP_READ);
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

static void give_up_unavailable(struct wf_ctx *ctx, struct rul_publish *publish)
{
	(void)ctx;
	if (publish->put_unknown)
		rul_publish_end(publish, RUL_PUBLISH_UNKNOWN,
				ERR_OUTCOME_UNKNOWN,
				"the answer to the write was lost and the "
				"store does not answer");
	else
		rul_publish_end(publish, RUL_PUBLISH_UNAVAILABLE,
				ERR_STORE_UNAVAILABLE,
				"the store does not answer");
}

/* Chunks */

static const struct rul_chunk *present_chunk(const struct rul_publish *publish)
{
	return publish->missing->pdata[publish->chunk];
}

static GBytes *present_bytes(const struct rul_publish *publish)
{
	const struct rul_chunk *chunk = present_chunk(publish);

	return g_bytes_new_from_bytes(publish->text, chunk->offset, chunk->len);
}

static void send_chunk_put(struct wf_ctx *ctx, struct rul_publish *publish,
			   uint64_t version)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];
	GBytes *bytes = present_bytes(publish);

	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s",
		   present_chunk(publish)->hash);
	rul_publish_send(ctx, publish, WF_ACT_STORE_PUT, name, version, bytes);
	g_bytes_unref(bytes);
}

static void send_chunk(struct wf_ctx *ctx, struct rul_publish *publish)
{
	if (publish->chunk == publish->missing->len)
		rul_publish_enter(ctx, publish, RUL_STEP_PUT);
	else
		send_chunk_put(ctx, publish, WF_VERSION_ABSENT);
}

static void finish_chunk(struct wf_ctx *ctx, struct rul_publish *publish)
{
	publish->outcome.n_chunks_put++;
	publish->outcome.chunk_bytes_put += present_chunk(publish)->len;
	publish->chunk++;
	rul_publish_enter(ctx, publish, RUL_STEP_CHUNK);
}

static void refuse_write(struct rul_publish *publish)
{
	rul_publish_end(publish,
			publish->put_unknown ? RUL_PUBLISH_UNKNOWN
					     : RUL_PUBLISH_REFUSED,
			ERR_TOO_LARGE, "the store refuses the write");
}

static void handle_chunk(struct wf_ctx *ctx, struct rul_publish *publish,
			 const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK)
		finish_chunk(ctx, publish);
	else if (reply->result == WF_STORE_CONFLICT)
		rul_publish_enter(ctx, publish, RUL_STEP_TOUCH_GET);
	else if (reply->result == WF_STORE_REFUSED)
		refuse_write(publish);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_CHUNK);
}

static void send_touch_get(struct wf_ctx *ctx, struct rul_publish *publish)
{
	char name[sizeof(RUL_CHUNK_KIND) + RUL_HASH_LEN];

	g_snprintf(name, sizeof(name), RUL_CHUNK_KIND "/%s",
		   present_chunk(publish)->hash);
	rul_publish_send(ctx, publish, WF_ACT_STORE_GET, name, 0, NULL);
}

static void handle_touch_get(struct wf_ctx *ctx, struct rul_publish *publish,
			     const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK) {
		publish->touch_version = reply->version;
		rul_publish_enter(ctx, publish, RUL_STEP_TOUCH_PUT);
	} else if (reply->result == WF_STORE_NOT_FOUND)
		rul_publish_retry(ctx, publish, RUL_STEP_CHUNK);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_TOUCH_GET);
}

static void send_touch_put(struct wf_ctx *ctx, struct rul_publish *publish)
{
	send_chunk_put(ctx, publish, publish->touch_version);
}

/* Whatever happened to the chunk, reading it again tells. */
static void handle_touch_put(struct wf_ctx *ctx, struct rul_publish *publish,
			     const struct wf_store_reply *reply)
{
	if (reply->result == WF_STORE_OK)
		finish_chunk(ctx, publish);
	else if (reply->result == WF_STORE_REFUSED)
		refuse_write(publish);
	else
		rul_publish_retry(ctx, publish, RUL_STEP_TOUCH_GET);
}

/* The manifest */

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
		refuse_write(publish);
		return;
	case WF_STORE_UNAVAILABLE:
		rul_publish_retry(ctx, publish, RUL_STEP_PUT);
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
		rul_publish_retry(ctx, publish, RUL_STEP_PUT);
		return;
#endif
	case WF_STORE_NOT_FOUND:
		break;
	}
	rul_publish_enter(ctx, publish, RUL_STEP_SETTLE);
}

/*
 * Whether the recent revisions tell who published the one after the base.
 * If they do and it was not this publisher, its own put was not executed and
 * never will be, because its condition names a version that is gone.
 */
static bool covers_next(const struct rul_publish *publish,
			const struct rul_manifest *manifest)
{
	const struct rul_recent *oldest;

	oldest = &g_array_index(manifest->recent, struct rul_recent, 0);
	return oldest->revision <= publish->base_revision + 1;
}

static void settle_with(struct wf_ctx *ctx, struct rul_publish *publish,
			struct rul_manifest *manifest, uint64_t version)
{
	const struct rul_recent *own;

	own = rul_manifest_find_nonce(manifest, publish->author.nonce);
	if (own) {
		publish->other = manifest;
		rul_publish_accept(ctx, publish, manifest, own->revision);
		return;
	}
	if (version == publish->base_version) {
		/* Not executed yet; the same write again is harmless. */
		rul_manifest_free(manifest);
		rul_publish_retry(ctx, publish, RUL_STEP_PUT);
		return;
	}
	if (manifest->revision == publish->base_revision) {
		/* A collection wrote it; the put failed for good. */
		publish->put_unknown = false;
		set_base(publish, manifest, version);
		prepare(ctx, publish);
		return;
	}
	publish->other = manifest;
	if (publish->put_unknown && !covers_next(publish, manifest))
		rul_publish_end(publish, RUL_PUBLISH_UNKNOWN,
				ERR_OUTCOME_UNKNOWN,
				"the answer to the write was lost and the "
				"manifest no longer tells who published");
	else
		rul_publish_conflict(ctx, publish);
}

static void handle_settle(struct wf_ctx *ctx, struct rul_publish *publish,
			  const struct wf_store_reply *reply)
{
	struct rul_manifest *manifest;

	if (reply->result == WF_STORE_NOT_FOUND &&
	    publish->base_version == WF_VERSION_ABSENT) {
		rul_publish_retry(ctx, publish, RUL_STEP_PUT);
		return;
	}
	if (reply->result != WF_STORE_OK) {
		rul_publish_retry(ctx, publish, RUL_STEP_SETTLE);
		return;
	}
	manifest = decode_reply(publish, reply);
	if (manifest)
		settle_with(ctx, publish, manifest, reply->version);
}

void rul_publish_accept(struct wf_ctx *ctx, struct rul_publish *publish,
			struct rul_manifest *manifest, uint64_t revision)
{
	publish->accepted = manifest;
	publish->attempts = 0;
	publish->outcome.revision = revision;
	rul_publish_enter(ctx, publish, RUL_STEP_AUDIT_LIST);
}

/* The machine */

static void send_nothing(struct wf_ctx *ctx, struct rul_publish *publish)
{
	(void)ctx;
	(void)publish;
}

static void handle_nothing(struct wf_ctx *ctx, struct rul_publish *publish,
			   const struct wf_store_reply *reply)
{
	(void)ctx;
	(void)publish;
	(void)reply;
}

static const struct rul_step_ops step_read = {send_read, handle_read,
					      give_up_unavailable};
static const struct rul_step_ops step_chunk = {send_chunk, handle_chunk,
					       give_up_unavailable};
static const struct rul_step_ops step_touch_get = {
	send_touch_get, handle_touch_get, give_up_unavailable};
static const struct rul_step_ops step_touch_put = {
	send_touch_put, handle_touch_put, give_up_unavailable};
static const struct rul_step_ops step_put = {send_put, handle_put,
					     give_up_unavailable};
static const struct rul_step_ops step_settle = {send_read, handle_settle,
						give_up_unavailable};
static const struct rul_step_ops step_done = {send_nothing, handle_nothing,
					      send_nothing};

static const struct rul_step_ops *const steps[RUL_N_STEPS] = {
	[RUL_STEP_READ] = &step_read,
	[RUL_STEP_CHUNK] = &step_chunk,
	[RUL_STEP_TOUCH_GET] = &step_touch_get,
	[RUL_STEP_TOUCH_PUT] = &step_touch_put,
	[RUL_STEP_PUT] = &step_put,
	[RUL_STEP_SETTLE] = &step_settle,
	[RUL_STEP_FETCH] = &rul_step_fetch,
	[RUL_STEP_AUDIT_LIST] = &rul_step_audit_list,
	[RUL_STEP_AUDIT_GET] = &rul_step_audit_get,
	[RUL_STEP_AUDIT_PUT] = &rul_step_audit_put,
	[RUL_STEP_DONE] = &step_done,
};

void rul_publish_enter(struct wf_ctx *ctx, struct rul_publish *publish,
		       enum rul_step step)
{
	/* The steps that settle a failed write are no success. */
	if (step == RUL_STEP_CHUNK || step == RUL_STEP_PUT ||
	    step == RUL_STEP_FETCH)
		publish->attempts = 0;
	publish->step = step;
	publish->wakeup = CLK_NEVER;
	steps[step]->send(ctx, publish);
}

void rul_publish_retry(struct wf_ctx *ctx, struct rul_publish *publish,
		       enum rul_step step)
{
	clk_ms pause = PAUSE_LONGEST_MS;

	publish->attempts++;
	if (publish->attempts >= RUL_PUBLISH_ATTEMPTS) {
		steps[publish->step]->give_up(ctx, publish);
		return;
	}
	if (publish->attempts < 6)
		pause = MIN(pause, PAUSE_FIRST_MS << publish->attempts);
	/* Publishers that failed together do not retry together. */
	pause = pause / 2 + g_rand_int_range(ctx->rand, 0, (int)pause / 2 + 1);
	publish->step = step;
	publish->wakeup = ctx->now + pause;
}

void rul_publish_end(struct rul_publish *publish,
		     enum rul_publish_result result, enum err_code error,
		     const char *message)
{
	publish->step = RUL_STEP_DONE;
	publish->op = 0;
	publish->wakeup = CLK_NEVER;
	publish->outcome.result = result;
	publish->outcome.error = error;
	g_free(publish->message);
	publish->message = g_strdup(message);
	publish->outcome.message = publish->message;
}

void rul_publish_send(struct wf_ctx *ctx, struct rul_publish *publish,
		      enum wf_action_type type, const char *name,
		      uint64_t version, GBytes *body)
{
	struct wf_action action = {.type = type};

	publish->op = wf_new_op(ctx, WF_MODULE_RULES);
	action.op = publish->op;
	action.name = g_strdup(name);
	action.version = version;
	action.timeout = publish->timeout;
	action.body = body ? g_bytes_ref(body) : NULL;
	wf_emit(ctx, &action);
}

struct rul_publish *rul_publish_new(const struct rul_publish_config *config,
				    GPtrArray *problems, GError **error)
{
	struct rul_set *set;
	struct rul_publish *publish;

	set = rul_set_parse(config->text, config->len, problems, error);
	if (!set)
		return NULL;
	rul_set_drop(set);
	publish = g_new0(struct rul_publish, 1);
	publish->wakeup = CLK_NEVER;
	publish->timeout = config->timeout;
	publish->text = g_bytes_new(config->text, config->len);
	publish->base_revision = config->base_revision;
	publish->author_name = g_strdup(config->author.name);
	publish->requested_by = g_strdup(config->author.requested_by);
	publish->note = g_strdup(config->author.note);
	publish->author = config->author;
	publish->author.name = publish->author_name;
	publish->author.requested_by = publish->requested_by;
	publish->author.note = publish->note;
	publish->missing = g_ptr_array_new();
	publish->to_fetch = g_ptr_array_new();
	publish->fetched = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	return publish;
}

static void clear_bytes(GBytes **bytes)
{
	g_clear_pointer(bytes, g_bytes_unref);
}

void rul_publish_drop(struct rul_publish *publish)
{
	if (!publish)
		return;
	clear_bytes(&publish->text);
	clear_bytes(&publish->next_value);
	clear_bytes(&publish->base_text);
	clear_bytes(&publish->other_text);
	clear_bytes(&publish->segment_value);
	rul_manifest_free(publish->base);
	rul_manifest_free(publish->next);
	rul_manifest_free(publish->other);
	rul_audit_free(publish->segment);
	g_ptr_array_unref(publish->missing);
	g_ptr_array_unref(publish->to_fetch);
	g_hash_table_unref(publish->fetched);
	if (publish->changes)
		g_array_unref(publish->changes);
	g_free(publish->author_name);
	g_free(publish->requested_by);
	g_free(publish->note);
	g_free(publish->message);
	g_free(publish);
}

void rul_publish_start(struct wf_ctx *ctx, struct rul_publish *publish)
{
	rul_publish_enter(ctx, publish, RUL_STEP_READ);
}

bool rul_publish_handle(struct wf_ctx *ctx, struct rul_publish *publish,
			const struct wf_store_reply *reply)
{
	if (!publish->op || reply->op != publish->op)
		return false;
	publish->op = 0;
	steps[publish->step]->handle(ctx, publish, reply);
	return true;
}

void rul_publish_tick(struct wf_ctx *ctx, struct rul_publish *publish)
{
	if (ctx->now < publish->wakeup)
		return;
	publish->wakeup = CLK_NEVER;
	steps[publish->step]->send(ctx, publish);
}

clk_ms rul_publish_next_wakeup(const struct rul_publish *publish)
{
	return publish->wakeup;
}

const struct rul_publish_outcome *
rul_publish_outcome(const struct rul_publish *publish)
{
	return &publish->outcome;
}
