#include "state/clm_private.h"

/* Pause before a completion that the owner has queued is sent again. */
#define COMPLETION_QUEUED_MS (5 * CLK_SECOND)
/* Owner timeouts before a claim that the owner has queued is sent again. */
#define QUEUED_FACTOR 2
/* Limit on the bodies and answers of all runs together, bytes. */
#define MAX_BUFFERED_BYTES (16 << 20)

void clm_run_free(struct clm_run *run)
{
	if (!run)
		return;
	g_free(run->org);
	g_free(run->key_text);
	g_free(run->operation);
	wf_policy_clear(&run->policy);
	if (run->body)
		g_bytes_unref(run->body);
	if (run->answer)
		g_bytes_unref(run->answer);
	g_array_unref(run->callers);
	clm_entry_free(run->held);
	clm_entry_free(run->completion);
	g_free(run->target);
	g_free(run);
}

struct clm_run *clm_run_find(struct clm_claims *claims, uint64_t nonce)
{
	return g_hash_table_lookup(claims->runs, &nonce);
}

clk_ms clm_run_deadline(const struct clm_run *run)
{
	clk_ms latest = 0;
	guint i;

	for (i = 0; i < run->callers->len; i++)
		latest = MAX(latest,
			     g_array_index(run->callers, struct clm_caller, i)
				     .deadline);
	return latest;
}

static clk_ms first_deadline(const struct clm_run *run)
{
	clk_ms first = CLK_NEVER;
	guint i;

	for (i = 0; i < run->callers->len; i++)
		first = clk_min(
			first, g_array_index(run->callers, struct clm_caller, i)
				       .deadline);
	return first;
}

void clm_run_schedule(struct clm_claims *claims, struct clm_run *run)
{
	clk_ms wake = first_deadline(run);

	switch (run->phase) {
	case CLM_PHASE_CLAIMING:
		wake = clk_min(wake, run->owner_deadline);
		break;
	case CLM_PHASE_DISPATCHED:
		wake = clk_min(wake, run->reply_deadline);
		break;
	case CLM_PHASE_HELD:
	case CLM_PHASE_STATUS:
		wake = clk_min(wake, run->next_poll);
		if (run->status_op)
			wake = clk_min(wake, run->status_deadline);
		break;
	case CLM_PHASE_FINISHED:
		if (!run->completion)
			wake = run->finished_at + claims->config.keep_finished;
		break;
	}
	if (run->completion)
		wake = clk_min(wake, run->completion_due);
	clm_timer_set(claims->heap, &run->timer, wake);
}

/* Includes the incarnation: ctx->rand may repeat itself after a restart. */
static uint64_t new_nonce(struct wf_ctx *ctx, struct clm_claims *claims)
{
	uint64_t parts[4] = {
		wf_hash(ctx->self, strlen(ctx->self), 0),
		ctx->incarnation,
		++claims->nonce_counter,
		g_rand_int(ctx->rand),
	};

	return wf_hash(parts, sizeof(parts), (uint64_t)ctx->now);
}

static clk_ms call_deadline(const struct wf_ctx *ctx,
			    const struct clm_config *config,
			    const struct wf_call *call)
{
	clk_ms span = call->policy.deadline;

	if (call->timeout > 0 && (span <= 0 || call->timeout < span))
		span = call->timeout;
	if (span <= 0)
		span = config->default_deadline;
	return ctx->now + MIN(span, config->max_deadline);
}

static void add_caller(const struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_run *run, const struct wf_call *call)
{
	struct clm_caller caller = {
		.call_id = call->id,
		.deadline = call_deadline(ctx, &claims->config, call),
	};
	uint64_t *id = g_new(uint64_t, 1);
	uint64_t *nonce = g_new(uint64_t, 1);

	*id = call->id;
	*nonce = run->nonce;
	g_hash_table_replace(claims->calls, id, nonce);
	g_array_append_val(run->callers, caller);
}

static bool check_key(struct wf_ctx *ctx, const struct clm_config *config,
		      const struct wf_call *call, clk_ms *time)
{
	if (!call->key) {
		wf_reply_error(ctx, call->id, ERR_KEY_REQUIRED, ERR_RUN_NOT, 0,
			       "the call needs an Idempotency-Key");
		return false;
	}
	if (!clm_key_time(call->key, time)) {
		wf_reply_error(ctx, call->id, ERR_BAD_KEY, ERR_RUN_NOT, 0,
			       "the key is neither a UUIDv7 nor "
			       "<unix ms>-<text>");
		return false;
	}
	if (*time > ctx->now + config->skew) {
		wf_reply_error(ctx, call->id, ERR_BAD_KEY, ERR_RUN_NOT, 0,
			       "the key's time is in the future");
		return false;
	}
#ifndef WF_GUARD_OFF_CLAIM_RETENTION
	if (*time < ctx->now - config->retention + config->skew) {
		wf_reply_error(ctx, call->id, ERR_KEY_EXPIRED, ERR_RUN_NOT, 0,
			       "the key is older than the retention period");
		return false;
	}
#endif
	return true;
}

static struct clm_run *new_run(struct wf_ctx *ctx, struct clm_claims *claims,
			       const struct wf_call *call,
			       const struct clm_hash *key, clk_ms time)
{
	struct clm_run *run = g_new0(struct clm_run, 1);
	const struct clm_target *target;
	uint32_t spread;

	memcpy(&spread, key->bytes + sizeof(spread), sizeof(spread));
	run->nonce = new_nonce(ctx, claims);
	run->key = *key;
	run->body_hash = clm_hash_call(call);
	run->window = (uint64_t)(time / claims->config.window);
	run->shard = GUINT32_FROM_LE(spread) % claims->config.n_shards;
	run->org = g_strdup(call->org);
	run->key_text = g_strdup(call->key);
	run->operation = g_strdup(call->name);
	run->policy = wf_policy_copy(&call->policy);
	run->body = call->body ? g_bytes_ref(call->body) : NULL;
	run->callers = g_array_new(FALSE, FALSE, sizeof(struct clm_caller));
	run->first_call = call->id;
	run->owner_deadline = CLK_NEVER;
	run->reply_deadline = CLK_NEVER;
	run->next_poll = CLK_NEVER;
	run->timer.kind = CLM_TIMER_RUN;
	run->timer.id = run->nonce;
	run->timer.queued = CLK_NEVER;
	target = clm_target_choose(ctx, claims, &call->policy, NULL);
	run->target = target ? g_strdup(target->id) : NULL;
	if (run->body)
		claims->buffered_bytes += g_bytes_get_size(run->body);
	g_hash_table_insert(claims->runs, &run->nonce, run);
	g_hash_table_replace(claims->by_key, &run->key, run);
	claims->n_active++;
	return run;
}

static void start_run(struct wf_ctx *ctx, struct clm_claims *claims,
		      const struct wf_call *call, const struct clm_hash *key,
		      clk_ms time)
{
	struct clm_run *run;

	if (ctx->draining) {
		wf_reply_error(ctx, call->id, ERR_DRAINING, ERR_RUN_NOT,
			       CLK_SECOND, "the instance is shutting down");
		return;
	}
	clm_runs_evict(claims);
	if (g_hash_table_size(claims->runs) >= claims->config.max_runs ||
	    claims->buffered_bytes > MAX_BUFFERED_BYTES) {
		wf_reply_error(ctx, call->id, ERR_OVERLOADED, ERR_RUN_NOT,
			       CLK_SECOND, "too many calls in progress");
		return;
	}
	run = new_run(ctx, claims, call, key, time);
	add_caller(ctx, claims, run, call);
#ifdef WF_GUARD_OFF_CLAIM_BEFORE_DISPATCH
	clm_run_dispatch(ctx, claims, run);
#endif
	clm_send_claim(ctx, claims, run);
	clm_run_schedule(claims, run);
}

static void reply_again(struct wf_ctx *ctx, const struct clm_run *run,
			uint64_t call_id)
{
	struct wf_action action = {.type = WF_ACT_REPLY_ANSWER};

	action.call_id = call_id;
	action.http_status = run->status;
	action.body = g_bytes_ref(run->answer);
	wf_emit(ctx, &action);
}

/* Adds the call to a run; false if it needs a run of its own. */
static bool join_run(struct wf_ctx *ctx, struct clm_claims *claims,
		     struct clm_run *run, const struct wf_call *call)
{
	struct clm_hash body = clm_hash_call(call);
	clk_ms deadline = clm_run_deadline(run);

	if (!clm_hash_equal(&run->body_hash, &body)) {
		wf_reply_error(ctx, call->id, ERR_KEY_REUSED, ERR_RUN_NOT, 0,
			       "the key was already used with a different "
			       "service, operation or body");
		return true;
	}
	if (run->phase == CLM_PHASE_FINISHED) {
		if (run->outcome != CLM_DONE || !run->answer)
			return false;
		reply_again(ctx, run, call->id);
		return true;
	}
	if (run->callers->len >= claims->config.max_callers) {
		wf_reply_error(ctx, call->id, ERR_IN_PROGRESS, ERR_RUN_UNKNOWN,
			       CLK_SECOND,
			       "too many requests with this key are waiting");
		return true;
	}
	add_caller(ctx, claims, run, call);
	if (run->phase == CLM_PHASE_CLAIMING &&
	    clm_run_deadline(run) > deadline)
		clm_send_claim(ctx, claims, run);
	clm_run_schedule(claims, run);
	return true;
}

void clm_run_call(struct wf_ctx *ctx, struct clm_claims *claims,
		  const struct wf_call *call)
{
	struct clm_hash key;
	struct clm_run *run;
	clk_ms time;

	if (!check_key(ctx, &claims->config, call, &time))
		return;
	key = clm_hash_key(call->org, call->key);
	run = g_hash_table_lookup(claims->by_key, &key);
	if (run && join_run(ctx, claims, run, call))
		return;
	start_run(ctx, claims, call, &key, time);
}

void clm_run_remove_caller(struct wf_ctx *ctx, struct clm_claims *claims,
			   uint64_t call_id)
{
	const uint64_t *nonce = g_hash_table_lookup(claims->calls, &call_id);
	struct clm_run *run = nonce ? clm_run_find(claims, *nonce) : NULL;
	guint i;

	if (!run)
		return;
	g_hash_table_remove(claims->calls, &call_id);
	for (i = 0; i < run->callers->len; i++) {
		if (g_array_index(run->callers, struct clm_caller, i).call_id ==
		    call_id)
			g_array_remove_index(run->callers, i--);
	}
	if (!run->callers->len &&
	    (run->phase == CLM_PHASE_CLAIMING || run->phase == CLM_PHASE_HELD))
		clm_run_close(ctx, claims, run, ERR_CANCELLED);
	clm_run_schedule(claims, run);
}

struct clm_entry *clm_run_to_entry(const struct wf_ctx *ctx,
				   const struct clm_run *run)
{
	struct clm_entry entry = {
		.key = run->key,
		.body = run->body_hash,
		.nonce = run->nonce,
		.instance = ctx->self,
		.incarnation = ctx->incarnation,
		.state = CLM_CLAIMED,
		.claimed_at = ctx->now,
		.target = run->target,
	};
	struct clm_entry *copy = clm_entry_copy(&entry);

	if (run->phase != CLM_PHASE_FINISHED)
		return copy;
	copy->state = run->dispatched ? run->outcome : CLM_NOT_RUN;
	if (copy->state == CLM_DONE && run->answer)
		clm_entry_set_answer(copy, run->status, run->answer, SIZE_MAX);
	else if (copy->state == CLM_DONE)
		copy->state = CLM_UNKNOWN;
	return copy;
}

static void on_claimed(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_run *run, const struct clm_entry *entry)
{
	if (!entry || entry->nonce != run->nonce ||
	    entry->incarnation != ctx->incarnation ||
	    g_strcmp0(entry->instance, ctx->self))
		return;
	clm_run_dispatch(ctx, claims, run);
}

static void on_store_down(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run, clk_ms retry_after)
{
	run->store_down = true;
	if (run->owner_deadline != CLK_NEVER)
		run->owner_deadline =
			ctx->now + retry_after + claims->config.owner_timeout;
	if (run->phase == CLM_PHASE_CLAIMING)
		clm_run_check_deadlines(ctx, claims, run,
					ctx->now + retry_after);
}

/*
 * The owner is alive, so that the claim is not written here as well: two
 * writers of an object conflict and add load to a slow store.
 */
static void on_queued(struct wf_ctx *ctx, struct clm_claims *claims,
		      struct clm_run *run)
{
	if (run->phase != CLM_PHASE_CLAIMING ||
	    run->owner_deadline == CLK_NEVER)
		return;
	run->claim_queued = true;
	run->owner_deadline =
		ctx->now + QUEUED_FACTOR * claims->config.owner_timeout;
}

/* A claim that was closed here has been stored: closes it in the store. */
static void on_late_result(struct wf_ctx *ctx, struct clm_claims *claims,
			   struct clm_run *run,
			   const struct clm_response *response)
{
	struct clm_entry *entry;

	if (run->phase != CLM_PHASE_FINISHED || run->dispatched ||
	    response->result != CLM_RESULT_CLAIMED || run->completion)
		return;
	entry = clm_run_to_entry(ctx, run);
	clm_run_store_outcome(ctx, claims, run, entry, CLM_NOT_RUN);
	clm_entry_free(entry);
}

static void handle_result(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run,
			  const struct clm_response *response)
{
	switch (response->result) {
	case CLM_RESULT_CLAIMED:
		on_claimed(ctx, claims, run, response->entry);
		break;
	case CLM_RESULT_HELD:
		if (response->entry)
			clm_run_handle_held(ctx, claims, run, response->entry);
		break;
	case CLM_RESULT_STORE_DOWN:
		on_store_down(ctx, claims, run, response->retry_after);
		break;
	case CLM_RESULT_FULL:
		if (run->phase == CLM_PHASE_CLAIMING)
			clm_run_close(ctx, claims, run, ERR_OVERLOADED);
		break;
	case CLM_RESULT_MOVED:
		run->fallback = true;
		clm_send_claim(ctx, claims, run);
		break;
	case CLM_RESULT_QUEUED:
		on_queued(ctx, claims, run);
		break;
	case CLM_RESULT_NONE:
	case CLM_RESULT_STORED:
		break;
	}
}

void clm_run_handle_response(struct wf_ctx *ctx, struct clm_claims *claims,
			     const struct clm_hash *key, uint64_t nonce,
			     const struct clm_response *response)
{
	struct clm_run *run = clm_run_find(claims, nonce);

	if (!run || !clm_hash_equal(&run->key, key))
		return;
	/* Deadlines may have passed while the instance was paused. */
	clm_run_check_deadlines(ctx, claims, run, ctx->now);
	if (run->phase == CLM_PHASE_CLAIMING || run->phase == CLM_PHASE_HELD)
		handle_result(ctx, claims, run, response);
	else
		on_late_result(ctx, claims, run, response);
	clm_run_schedule(claims, run);
}

static bool has_completion(const struct clm_run *run, uint64_t nonce)
{
	return run && run->completion && run->completion->nonce == nonce;
}

/* The run that stores the completion of the claim with that nonce. */
static struct clm_run *find_completion(struct clm_claims *claims,
				       const struct clm_hash *key,
				       uint64_t nonce)
{
	struct clm_run *run = clm_run_find(claims, nonce);

	if (!has_completion(run, nonce))
		run = g_hash_table_lookup(claims->by_key, key);
	return has_completion(run, nonce) ? run : NULL;
}

void clm_run_completion_queued(struct wf_ctx *ctx, struct clm_claims *claims,
			       const struct clm_hash *key, uint64_t nonce)
{
	struct clm_run *run = find_completion(claims, key, nonce);

	if (!run)
		return;
	run->completion_queued = true;
	run->completion_due = ctx->now + COMPLETION_QUEUED_MS;
	clm_run_schedule(claims, run);
}

void clm_run_completion_stored(struct clm_claims *claims,
			       const struct clm_hash *key, uint64_t nonce)
{
	struct clm_run *run = find_completion(claims, key, nonce);

	if (!run)
		return;
	clm_entry_free(run->completion);
	run->completion = NULL;
	claims->n_completions--;
	clm_run_schedule(claims, run);
}

static void tick_claiming(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run)
{
	if (ctx->now < run->owner_deadline)
		return;
	if (run->claim_queued) {
		run->claim_queued = false;
	} else {
		ctr_add(ctx->counters, "wf_claims_owner_timeouts_total", 1);
		run->fallback = true;
	}
	clm_send_claim(ctx, claims, run);
}

static void tick_completion(struct wf_ctx *ctx, struct clm_claims *claims,
			    struct clm_run *run)
{
	if (!run->completion || ctx->now < run->completion_due)
		return;
	if (ctx->now >= run->completion_deadline) {
		ctr_add(ctx->counters, "wf_claims_completions_lost_total", 1);
		clm_entry_free(run->completion);
		run->completion = NULL;
		claims->n_completions--;
		return;
	}
	if (!run->completion_queued)
		run->completion_fallback = !run->completion_fallback;
	run->completion_queued = false;
	run->completion_backoff = MIN(2 * run->completion_backoff, CLK_MINUTE);
	run->completion_due = ctx->now + run->completion_backoff;
	clm_send_completion(ctx, claims, run);
}

/* Treats overdue replies to calls and status queries as lost. */
static void tick_lost_replies(struct wf_ctx *ctx, struct clm_claims *claims,
			      struct clm_run *run)
{
	struct wf_status_reply unknown = {.status = WF_STATUS_UNKNOWN};
	struct wf_service_reply lost = {.sent = true, .error = ERR_TARGET_LOST};

	if (run->status_op && ctx->now >= run->status_deadline)
		clm_run_status_reply(ctx, claims, run, &unknown);
	if (run->phase == CLM_PHASE_DISPATCHED &&
	    ctx->now >= run->reply_deadline)
		clm_run_service_reply(ctx, claims, run, &lost);
}

void clm_run_tick(struct wf_ctx *ctx, struct clm_claims *claims,
		  struct clm_run *run)
{
	clm_run_check_deadlines(ctx, claims, run, ctx->now);
	tick_lost_replies(ctx, claims, run);
	if (run->phase == CLM_PHASE_CLAIMING)
		tick_claiming(ctx, claims, run);
	else if (run->phase == CLM_PHASE_HELD && ctx->now >= run->next_poll)
		clm_held_tick(ctx, claims, run);
	else if (run->phase == CLM_PHASE_STATUS && ctx->now >= run->next_poll)
		clm_run_query_status(ctx, claims, run);
	tick_completion(ctx, claims, run);
	if (run->phase == CLM_PHASE_FINISHED && !run->completion &&
	    ctx->now >= run->finished_at + claims->config.keep_finished) {
		clm_run_remove(claims, run);
		return;
	}
	clm_run_schedule(claims, run);
}
