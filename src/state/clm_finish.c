#include "state/clm_private.h"

/* Initial pause before a completion is sent again. */
#define COMPLETION_BACKOFF_MS 1000
/* Finished runs examined per call, to bound its time. */
#define EVICT_STEPS 16
/* Retry-After of errors for calls that did not run. */
#define RETRY_AFTER_MS 1000

static void release_body(struct clm_claims *claims, struct clm_run *run)
{
	if (!run->body)
		return;
	claims->buffered_bytes -= g_bytes_get_size(run->body);
	g_bytes_unref(run->body);
	run->body = NULL;
}

static void release_answer(struct clm_claims *claims, struct clm_run *run)
{
	if (!run->answer)
		return;
	claims->buffered_bytes -= g_bytes_get_size(run->answer);
	g_bytes_unref(run->answer);
	run->answer = NULL;
}

static void finish(struct wf_ctx *ctx, struct clm_claims *claims,
		   struct clm_run *run, enum clm_state outcome)
{
	uint64_t *nonce;

	release_body(claims, run);
	run->outcome = outcome;
	clm_entry_free(run->held);
	run->held = NULL;
	run->owner_deadline = CLK_NEVER;
	run->next_poll = CLK_NEVER;
	run->status_op = 0;
	if (run->phase == CLM_PHASE_FINISHED)
		return;
	run->phase = CLM_PHASE_FINISHED;
	run->finished_at = ctx->now;
	claims->n_active--;
	nonce = g_new(uint64_t, 1);
	*nonce = run->nonce;
	g_queue_push_tail(&claims->finished, nonce);
}

static void remove_callers(struct clm_claims *claims, struct clm_run *run)
{
	guint i;

	for (i = 0; i < run->callers->len; i++)
		g_hash_table_remove(
			claims->calls,
			&g_array_index(run->callers, struct clm_caller, i)
				 .call_id);
	g_array_set_size(run->callers, 0);
}

static const char *error_text(enum err_code code, enum err_run ran)
{
	switch (code) {
	case ERR_STORE_UNAVAILABLE:
		return "no claim could be stored before the deadline; this "
		       "request was not sent";
	case ERR_DEADLINE:
		return "the deadline passed before this request was sent";
	case ERR_NO_TARGET:
		return "no live target serves the operation";
	case ERR_KEY_REUSED:
		return "the key was already used with a different service, "
		       "operation or body";
	case ERR_IN_PROGRESS:
		return "another request with this key is in progress";
	case ERR_TARGET_LOST:
		return ran == ERR_RUN_YES
			       ? "the request ran; its answer is too large "
				 "to be stored and the target does not return "
				 "it again"
			       : "the target could not be reached; nothing was "
				 "sent";
	case ERR_OVERLOADED:
		return "no capacity to store another claim";
	default:
		return "the outcome of the request is not known";
	}
}

static void reply_error(struct wf_ctx *ctx, uint64_t call_id,
			enum err_code code, enum err_run ran)
{
	clk_ms retry = ran == ERR_RUN_NOT && code != ERR_KEY_REUSED
			       ? RETRY_AFTER_MS
			       : 0;

	wf_reply_error(ctx, call_id, code, ran, retry, "%s",
		       error_text(code, ran));
}

void clm_run_reply_error(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run, enum err_code code,
			 enum err_run ran)
{
	guint i;

	for (i = 0; i < run->callers->len; i++)
		reply_error(ctx,
			    g_array_index(run->callers, struct clm_caller, i)
				    .call_id,
			    code, ran);
	remove_callers(claims, run);
}

void clm_run_store_outcome(struct wf_ctx *ctx, struct clm_claims *claims,
			   struct clm_run *run, const struct clm_entry *claim,
			   enum clm_state state)
{
	if (run->completion)
		clm_entry_free(run->completion);
	else
		claims->n_completions++;
	run->completion = clm_entry_copy(claim);
	run->completion->state = state;
	run->completion->done_at = ctx->now;
	if (state == CLM_DONE)
		clm_entry_set_answer(run->completion, run->status, run->answer,
				     claims->config.max_answer);
	run->completion_fallback = run->fallback;
	run->completion_queued = false;
	run->completion_backoff = COMPLETION_BACKOFF_MS;
	run->completion_due = ctx->now + run->completion_backoff;
	run->completion_deadline = ctx->now + claims->config.completion_limit;
	clm_send_completion(ctx, claims, run);
}

static void complete_own(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run, enum clm_state state)
{
	struct clm_entry entry = {
		.key = run->key,
		.body = run->body_hash,
		.nonce = run->nonce,
		.instance = ctx->self,
		.incarnation = ctx->incarnation,
		.target = run->target,
	};

	clm_run_store_outcome(ctx, claims, run, &entry, state);
}

void clm_run_answer(struct wf_ctx *ctx, struct clm_claims *claims,
		    struct clm_run *run, int status, GBytes *body)
{
	struct clm_entry *held = run->held;
	bool store = held ? held->state != CLM_DONE : run->dispatched;
	guint i;

	run->held = NULL;
	run->status = status;
	run->answer = body ? g_bytes_ref(body) : g_bytes_new(NULL, 0);
	claims->buffered_bytes += g_bytes_get_size(run->answer);
	for (i = 0; i < run->callers->len; i++) {
		struct wf_action action = {.type = WF_ACT_REPLY_ANSWER};

		action.call_id =
			g_array_index(run->callers, struct clm_caller, i)
				.call_id;
		action.http_status = status;
		action.body = g_bytes_ref(run->answer);
		wf_emit(ctx, &action);
	}
	remove_callers(claims, run);
	finish(ctx, claims, run, CLM_DONE);
	if (store && held)
		clm_run_store_outcome(ctx, claims, run, held, CLM_DONE);
	else if (store)
		complete_own(ctx, claims, run, CLM_DONE);
	if (g_bytes_get_size(run->answer) > claims->config.max_answer)
		release_answer(claims, run);
	clm_entry_free(held);
}

/* The run is finished before the callers learn that it did not run. */
void clm_run_close(struct wf_ctx *ctx, struct clm_claims *claims,
		   struct clm_run *run, enum err_code code)
{
	finish(ctx, claims, run, CLM_NOT_RUN);
	clm_run_reply_error(ctx, claims, run, code, ERR_RUN_NOT);
	if (run->claim_sent)
		complete_own(ctx, claims, run, CLM_NOT_RUN);
}

void clm_run_fail(struct wf_ctx *ctx, struct clm_claims *claims,
		  struct clm_run *run, enum err_code code, enum err_run ran)
{
	bool may_be_stored =
		run->claim_sent && run->held && run->held->state == CLM_CLAIMED;

	finish(ctx, claims, run, run->dispatched ? CLM_UNKNOWN : CLM_NOT_RUN);
	clm_run_reply_error(ctx, claims, run, code, ran);
	if (run->dispatched)
		complete_own(ctx, claims, run, CLM_UNKNOWN);
	else if (may_be_stored)
		complete_own(ctx, claims, run, CLM_NOT_RUN);
}

static void expire_run(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_run *run)
{
	switch (run->phase) {
	case CLM_PHASE_CLAIMING:
		clm_run_close(ctx, claims, run,
			      run->store_down ? ERR_STORE_UNAVAILABLE
					      : ERR_DEADLINE);
		break;
	case CLM_PHASE_HELD:
		if (run->held && run->held->state == CLM_DONE)
			clm_run_fail(ctx, claims, run, ERR_TARGET_LOST,
				     ERR_RUN_YES);
		else
			clm_run_fail(ctx, claims, run, ERR_IN_PROGRESS,
				     ERR_RUN_UNKNOWN);
		break;
	case CLM_PHASE_DISPATCHED:
	case CLM_PHASE_STATUS:
#ifdef WF_GUARD_OFF_NOT_RUN_PROOF
		clm_run_reply_error(ctx, claims, run, ERR_DEADLINE,
				    ERR_RUN_NOT);
#else
		clm_run_reply_error(ctx, claims, run, ERR_OUTCOME_UNKNOWN,
				    ERR_RUN_UNKNOWN);
#endif
		break;
	case CLM_PHASE_FINISHED:
		break;
	}
}

/*
 * Other callers still wait, so that the call may yet be sent: the reply must
 * not say "not run".
 */
static void expire_caller(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run, guint i)
{
	uint64_t id = g_array_index(run->callers, struct clm_caller, i).call_id;

	g_hash_table_remove(claims->calls, &id);
	g_array_remove_index(run->callers, i);
	reply_error(ctx, id, ERR_IN_PROGRESS, ERR_RUN_UNKNOWN);
}

void clm_run_check_deadlines(struct wf_ctx *ctx, struct clm_claims *claims,
			     struct clm_run *run, clk_ms until)
{
	guint i;

	if (!run->callers->len)
		return;
	if (clm_run_deadline(run) <= until) {
		expire_run(ctx, claims, run);
		return;
	}
	if (until > ctx->now)
		return;
	for (i = run->callers->len; i-- > 0;)
		if (g_array_index(run->callers, struct clm_caller, i)
			    .deadline <= until)
			expire_caller(ctx, claims, run, i);
}

void clm_run_remove(struct clm_claims *claims, struct clm_run *run)
{
	if (g_hash_table_lookup(claims->by_key, &run->key) == run)
		g_hash_table_remove(claims->by_key, &run->key);
	release_body(claims, run);
	release_answer(claims, run);
	g_hash_table_remove(claims->runs, &run->nonce);
}

/* Removes the oldest finished runs if there are too many. */
void clm_runs_evict(struct clm_claims *claims)
{
	unsigned keep = claims->config.max_runs - 1;
	guint left = MIN(claims->finished.length, EVICT_STEPS);

	while (left-- && g_hash_table_size(claims->runs) > keep) {
		uint64_t *nonce = g_queue_pop_head(&claims->finished);
		struct clm_run *run = clm_run_find(claims, *nonce);

		if (run && run->completion) {
			g_queue_push_tail(&claims->finished, nonce);
			continue;
		}
		if (run)
			clm_run_remove(claims, run);
		g_free(nonce);
	}
	/* Drops nonces of runs that were removed by their timers. */
	while (claims->finished.length) {
		uint64_t *nonce = g_queue_peek_head(&claims->finished);

		if (clm_run_find(claims, *nonce))
			break;
		g_free(g_queue_pop_head(&claims->finished));
	}
}
