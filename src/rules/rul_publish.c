#include <string.h>

#include "rul_publish_private.h"

/* Bounds of the exponential backoff between attempts at a step. */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 2000

void rul_publish_give_up(struct wf_ctx *ctx, struct rul_publish *publish)
{
	(void)ctx;
	if (publish->put_unknown)
		rul_publish_end(publish, RUL_PUBLISH_UNKNOWN,
				ERR_OUTCOME_UNKNOWN,
				"the reply to the write was lost and the "
				"store does not answer");
	else
		rul_publish_end(publish, RUL_PUBLISH_UNAVAILABLE,
				ERR_STORE_UNAVAILABLE,
				"the store does not answer");
}

void rul_publish_refuse(struct rul_publish *publish)
{
	rul_publish_end(publish,
			publish->put_unknown ? RUL_PUBLISH_UNKNOWN
					     : RUL_PUBLISH_REFUSED,
			ERR_TOO_LARGE, "the store refuses the write");
}

void rul_publish_accept(struct wf_ctx *ctx, struct rul_publish *publish,
			struct rul_manifest *manifest, uint64_t revision)
{
	publish->accepted = manifest;
	publish->attempts = 0;
	publish->outcome.revision = revision;
	rul_publish_enter(ctx, publish, RUL_STEP_AUDIT_LIST);
}

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

static const struct rul_step_ops step_done = {send_nothing, handle_nothing,
					      send_nothing};

static const struct rul_step_ops *const steps[RUL_N_STEPS] = {
	[RUL_STEP_READ_MANIFEST] = &rul_step_read_manifest,
	[RUL_STEP_PUT_CHUNK] = &rul_step_put_chunk,
	[RUL_STEP_TOUCH_GET] = &rul_step_touch_get,
	[RUL_STEP_TOUCH_PUT] = &rul_step_touch_put,
	[RUL_STEP_PUT_MANIFEST] = &rul_step_put_manifest,
	[RUL_STEP_READ_BACK] = &rul_step_read_back,
	[RUL_STEP_FETCH_CHUNK] = &rul_step_fetch_chunk,
	[RUL_STEP_AUDIT_LIST] = &rul_step_audit_list,
	[RUL_STEP_AUDIT_GET] = &rul_step_audit_get,
	[RUL_STEP_AUDIT_PUT] = &rul_step_audit_put,
	[RUL_STEP_DONE] = &step_done,
};

void rul_publish_enter(struct wf_ctx *ctx, struct rul_publish *publish,
		       enum rul_publish_step step)
{
	/* Reading back after a failed write does not count as success. */
	if (step == RUL_STEP_PUT_CHUNK || step == RUL_STEP_PUT_MANIFEST ||
	    step == RUL_STEP_FETCH_CHUNK)
		publish->attempts = 0;
	publish->step = step;
	publish->wakeup = CLK_NEVER;
	steps[step]->send(ctx, publish);
}

void rul_publish_retry(struct wf_ctx *ctx, struct rul_publish *publish,
		       enum rul_publish_step step)
{
	clk_ms pause = BACKOFF_MAX_MS;

	publish->attempts++;
	if (publish->attempts >= RUL_PUBLISH_ATTEMPTS) {
		steps[publish->step]->give_up(ctx, publish);
		return;
	}
	if (publish->attempts < 6)
		pause = MIN(pause, BACKOFF_MIN_MS << publish->attempts);
	/* Jitter, so that publishers that failed together retry apart. */
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

void rul_publish_drop(struct rul_publish *publish)
{
	if (!publish)
		return;
	rul_clear_bytes(&publish->text);
	rul_clear_bytes(&publish->next_value);
	rul_clear_bytes(&publish->base_text);
	rul_clear_bytes(&publish->other_text);
	rul_clear_bytes(&publish->segment_value);
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
	rul_publish_enter(ctx, publish, RUL_STEP_READ_MANIFEST);
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
