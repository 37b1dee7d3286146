#include "state/clm_private.h"

/* Pause between status queries; doubled up to the maximum. */
#define STATUS_BACKOFF_MIN_MS 50
#define STATUS_BACKOFF_MAX_MS 1000
#define STATUS_BACKOFF_MAX_SHIFT 5
/* A reply counts as lost this long after its timeout. */
#define REPLY_GRACE_MS 2000
/* A target that was unreachable is the last choice for this long. */
#define AVOID_MS 1000

/* The target named in the claim, or another if that one is unavailable. */
static struct clm_target *pick_target(struct wf_ctx *ctx,
				      struct clm_claims *claims,
				      const struct clm_run *run)
{
	struct clm_target *target;

	target = run->target ? clm_target_find(claims, run->target) : NULL;
	if (target && target->live && !target->leaving &&
	    target->avoid_until <= ctx->now)
		return target;
	return clm_target_choose(ctx, claims, &run->policy, NULL);
}

void clm_run_dispatch(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_run *run)
{
	struct wf_action action = {.type = WF_ACT_SERVICE_CALL};
	struct clm_target *target;
	char key[CLM_TARGET_KEY_SIZE];

	if (run->dispatched || run->phase == CLM_PHASE_FINISHED)
		return;
	target = pick_target(ctx, claims, run);
	if (!target) {
		clm_run_close(ctx, claims, run, ERR_NO_TARGET);
		return;
	}
	run->dispatched = true;
	run->phase = CLM_PHASE_DISPATCHED;
	clm_entry_free(run->held);
	run->held = NULL;
	run->status_op = 0;
	run->reply_deadline =
		ctx->now + claims->config.target_timeout + REPLY_GRACE_MS;
	g_free(run->target);
	run->target = g_strdup(target->id);
	target->in_flight++;
	clm_target_key(run->org, run->key_text, key);
	run->call_op = clm_op_new(ctx, claims, CLM_OP_CALL, run->nonce)->op;
	action.op = run->call_op;
	action.call_id = run->first_call;
	action.target = g_strdup(target->id);
	action.address = g_strdup(target->address);
	action.name = g_strdup(run->operation);
	action.key = g_strdup(key);
	action.body = run->body ? g_bytes_ref(run->body) : NULL;
	action.timeout = claims->config.target_timeout;
	action.fresh_connection = true;
	ctr_add(ctx->counters, "wf_claims_dispatched_total", 1);
	wf_emit(ctx, &action);
}

void clm_run_service_reply(struct wf_ctx *ctx, struct clm_claims *claims,
			   struct clm_run *run,
			   const struct wf_service_reply *reply)
{
	struct clm_target *target;

	if (run->phase != CLM_PHASE_DISPATCHED)
		return;
	clm_target_release(claims, run->target);
	run->call_op = 0;
	if (reply->ok) {
		clm_run_answer(ctx, claims, run, reply->status, reply->body);
	} else if (!reply->sent) {
		target = clm_target_find(claims, run->target);
		if (target)
			target->avoid_until = ctx->now + AVOID_MS;
		/* Nothing was sent: the claim may be closed as not run. */
		run->dispatched = false;
		clm_run_close(ctx, claims, run, ERR_TARGET_LOST);
	} else {
		ctr_add(ctx->counters, "wf_claims_answers_lost_total", 1);
		run->phase = CLM_PHASE_STATUS;
		run->reply_deadline = ctx->now + claims->config.target_timeout;
		clm_run_query_status(ctx, claims, run);
	}
	clm_run_schedule(claims, run);
}

static clk_ms status_backoff(const struct clm_run *run)
{
	unsigned shift = MIN(run->status_polls, STATUS_BACKOFF_MAX_SHIFT);

	return MIN((clk_ms)STATUS_BACKOFF_MIN_MS << shift,
		   STATUS_BACKOFF_MAX_MS);
}

/* Ends a run whose answer could not be obtained. */
static void fail_unanswered(struct wf_ctx *ctx, struct clm_claims *claims,
			    struct clm_run *run)
{
	bool ran = run->held && run->held->state == CLM_DONE;

	clm_run_fail(ctx, claims, run,
		     ran ? ERR_TARGET_LOST : ERR_OUTCOME_UNKNOWN,
		     ran ? ERR_RUN_YES : ERR_RUN_UNKNOWN);
}

/* Sends a status query to the next target that answers such queries. */
void clm_run_query_status(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run)
{
	struct wf_action action = {.type = WF_ACT_STATUS_QUERY};
	const char *first = run->held ? run->held->target : run->target;
	struct clm_target *target;
	char key[CLM_TARGET_KEY_SIZE];

	if (run->status_op)
		return;
	target = clm_target_with_status(claims, &run->policy, first,
					run->next_status_target++);
	if (!target || (run->phase == CLM_PHASE_STATUS &&
			ctx->now >= run->reply_deadline)) {
		fail_unanswered(ctx, claims, run);
		return;
	}
	clm_target_key(run->org, run->key_text, key);
	run->status_op = clm_op_new(ctx, claims, CLM_OP_STATUS, run->nonce)->op;
	run->status_deadline =
		ctx->now + claims->config.status_timeout + REPLY_GRACE_MS;
	run->next_poll = CLK_NEVER;
	action.op = run->status_op;
	action.call_id = run->first_call;
	action.target = g_strdup(target->id);
	action.address = g_strdup(target->address);
	action.key = g_strdup(key);
	action.timeout = claims->config.status_timeout;
	ctr_add(ctx->counters, "wf_claims_status_queries_total", 1);
	wf_emit(ctx, &action);
}

/* An answer that does not match the stored digest belongs to another call. */
static bool matches_digest(const struct clm_run *run, GBytes *body)
{
	struct clm_hash digest;

	if (!run->held || run->held->state != CLM_DONE)
		return true;
	digest = clm_hash_bytes(body);
	return clm_hash_equal(&digest, &run->held->digest);
}

void clm_run_status_reply(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run,
			  const struct wf_status_reply *reply)
{
	bool holder_gone;

	if (run->phase != CLM_PHASE_STATUS && run->phase != CLM_PHASE_HELD)
		return;
	run->status_op = 0;
	run->status_polls++;
	if (reply->status == WF_STATUS_DONE &&
	    matches_digest(run, reply->body)) {
		clm_run_answer(ctx, claims, run, reply->http_status,
			       reply->body);
		clm_run_schedule(claims, run);
		return;
	}
	holder_gone = run->phase == CLM_PHASE_HELD &&
		      run->status_polls >= claims->config.status_tries &&
		      reply->status != WF_STATUS_RUNNING && run->holder_gone;
	if (holder_gone)
		fail_unanswered(ctx, claims, run);
	else
		run->next_poll = ctx->now + status_backoff(run);
	clm_run_schedule(claims, run);
}
