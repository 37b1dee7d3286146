#include "state/clm_private.h"

/* Pause before a retry; as much again is added as random jitter. */
#define RETRY_MIN_MS 20
/* Cap on accumulated retries, which limits bursts of retries. */
#define MAX_RETRY_TOKENS 10.0
/* A reply counts as lost this long after its timeout. */
#define REPLY_GRACE_MS 2000
/* A target that failed is the last choice for this long. */
#define AVOID_MS 1000
#define HTTP_UNAVAILABLE 503

void clm_direct_free(struct clm_direct *direct)
{
	g_free(direct->target_key);
	g_free(direct->operation);
	wf_policy_clear(&direct->policy);
	if (direct->body)
		g_bytes_unref(direct->body);
	g_free(direct->target);
	g_free(direct);
}

static void remove_direct(struct clm_claims *claims, struct clm_direct *direct)
{
	if (direct->op)
		clm_target_release(claims, direct->target);
	if (direct->body)
		claims->buffered_bytes -= g_bytes_get_size(direct->body);
	g_hash_table_remove(claims->direct_calls, &direct->caller.call_id);
	g_hash_table_remove(claims->direct, &direct->id);
}

static void fail(struct wf_ctx *ctx, struct clm_claims *claims,
		 struct clm_direct *direct, enum err_code code)
{
	enum err_run ran = direct->any_sent ? ERR_RUN_UNKNOWN : ERR_RUN_NOT;

	wf_reply_error(ctx, direct->caller.call_id, code, ran, CLK_SECOND,
		       "no answer from %s after %u attempts",
		       direct->policy.target ? direct->policy.target : "",
		       direct->attempts);
	remove_direct(claims, direct);
}

static void schedule(struct clm_claims *claims, struct clm_direct *direct)
{
	clk_ms wake = direct->caller.deadline;

	wake = clk_min(wake,
		       direct->op ? direct->op_deadline : direct->retry_at);
	clm_timer_set(claims->heap, &direct->timer, wake);
}

/* Returns false if no target is live; the call is then removed. */
static bool send_attempt(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_direct *direct)
{
	struct wf_action action = {.type = WF_ACT_SERVICE_CALL};
	struct clm_target *target;

	target =
		clm_target_choose(ctx, claims, &direct->policy, direct->target);
	if (!target) {
		fail(ctx, claims, direct, ERR_NO_TARGET);
		return false;
	}
	g_free(direct->target);
	direct->target = g_strdup(target->id);
	direct->attempts++;
	target->in_flight++;
	direct->op = clm_op_new(ctx, claims, CLM_OP_DIRECT, direct->id)->op;
	action.op = direct->op;
	action.call_id = direct->caller.call_id;
	action.target = g_strdup(target->id);
	action.address = g_strdup(target->address);
	action.name = g_strdup(direct->operation);
	action.key = g_strdup(direct->target_key);
	action.body = direct->body ? g_bytes_ref(direct->body) : NULL;
	action.timeout = MIN(claims->config.target_timeout,
			     direct->caller.deadline - ctx->now);
	direct->op_deadline = ctx->now + action.timeout + REPLY_GRACE_MS;
	wf_emit(ctx, &action);
	schedule(claims, direct);
	return true;
}

static struct clm_direct *new_direct(struct wf_ctx *ctx,
				     struct clm_claims *claims,
				     const struct wf_call *call)
{
	struct clm_direct *direct = g_new0(struct clm_direct, 1);
	clk_ms span = call->policy.deadline;

	if (call->timeout > 0 && (span <= 0 || call->timeout < span))
		span = call->timeout;
	if (span <= 0)
		span = claims->config.default_deadline;
	direct->id = ++claims->next_id;
	direct->caller.call_id = call->id;
	direct->caller.deadline =
		ctx->now + MIN(span, claims->config.max_deadline);
	if (call->key) {
		direct->target_key = g_malloc(CLM_TARGET_KEY_SIZE);
		clm_target_key(call->org, call->key, direct->target_key);
	}
	direct->operation = g_strdup(call->name);
	direct->policy = wf_policy_copy(&call->policy);
	direct->body = call->body ? g_bytes_ref(call->body) : NULL;
	direct->timer.kind = CLM_TIMER_DIRECT;
	direct->timer.id = direct->id;
	direct->timer.queued = CLK_NEVER;
	if (direct->body)
		claims->buffered_bytes += g_bytes_get_size(direct->body);
	g_hash_table_insert(claims->direct, &direct->id, direct);
	g_hash_table_replace(claims->direct_calls, &direct->caller.call_id,
			     direct);
	return direct;
}

void clm_direct_call(struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct wf_call *call)
{
	if (ctx->draining) {
		wf_reply_error(ctx, call->id, ERR_DRAINING, ERR_RUN_NOT,
			       CLK_SECOND, "the instance is shutting down");
		return;
	}
	if (g_hash_table_size(claims->direct) >= claims->config.max_runs) {
		wf_reply_error(ctx, call->id, ERR_OVERLOADED, ERR_RUN_NOT,
			       CLK_SECOND, "too many calls in progress");
		return;
	}
	claims->retry_tokens =
		MIN(claims->retry_tokens + claims->config.retry_ratio,
		    MAX_RETRY_TOKENS);
	send_attempt(ctx, claims, new_direct(ctx, claims, call));
}

static bool may_retry(const struct wf_ctx *ctx, const struct clm_claims *claims,
		      const struct clm_direct *direct, clk_ms pause)
{
	return direct->attempts < claims->config.max_attempts &&
	       claims->retry_tokens >= 1 &&
	       ctx->now + pause < direct->caller.deadline;
}

void clm_direct_tick(struct wf_ctx *ctx, struct clm_claims *claims,
		     struct clm_direct *direct)
{
	struct wf_service_reply lost = {.sent = true, .error = ERR_TARGET_LOST};

	if (ctx->now >= direct->caller.deadline) {
		/* The target may still execute an attempt in flight. */
		direct->any_sent |= direct->op != 0;
		fail(ctx, claims, direct, ERR_DEADLINE);
	} else if (direct->op && ctx->now >= direct->op_deadline) {
		clm_direct_reply(ctx, claims, direct, &lost);
	} else if (!direct->op && ctx->now >= direct->retry_at) {
		send_attempt(ctx, claims, direct);
	} else {
		schedule(claims, direct);
	}
}

static void answer(struct wf_ctx *ctx, struct clm_claims *claims,
		   struct clm_direct *direct,
		   const struct wf_service_reply *reply)
{
	struct wf_action action = {.type = WF_ACT_REPLY_ANSWER};

	action.call_id = direct->caller.call_id;
	action.http_status = reply->status;
	action.body = reply->body ? g_bytes_ref(reply->body) : NULL;
	wf_emit(ctx, &action);
	remove_direct(claims, direct);
}

void clm_direct_reply(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_direct *direct,
		      const struct wf_service_reply *reply)
{
	bool succeeded = reply->ok && reply->status != HTTP_UNAVAILABLE;
	clk_ms pause =
		RETRY_MIN_MS + g_rand_int_range(ctx->rand, 0, RETRY_MIN_MS);
	struct clm_target *target;

	clm_target_release(claims, direct->target);
	direct->op = 0;
	direct->any_sent |= reply->ok || reply->sent;
	direct->last_error = reply->ok ? ERR_TARGET_REFUSED : reply->error;
	if (ctx->now >= direct->caller.deadline) {
		fail(ctx, claims, direct, ERR_DEADLINE);
		return;
	}
	if (!succeeded && may_retry(ctx, claims, direct, pause)) {
		target = clm_target_find(claims, direct->target);
		if (target)
			target->avoid_until = ctx->now + AVOID_MS;
		claims->retry_tokens -= 1;
		direct->retry_at = ctx->now + pause;
		ctr_add(ctx->counters, "wf_service_retries_total", 1);
		schedule(claims, direct);
	} else if (reply->ok) {
		answer(ctx, claims, direct, reply);
	} else {
		fail(ctx, claims, direct, ERR_TARGET_LOST);
	}
}

void clm_direct_cancel(struct clm_claims *claims, uint64_t call_id)
{
	struct clm_direct *direct;

	direct = g_hash_table_lookup(claims->direct_calls, &call_id);
	if (direct)
		remove_direct(claims, direct);
}
