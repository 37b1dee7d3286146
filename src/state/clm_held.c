#include "state/clm_private.h"

/* Pause between polls of a claim's holder; doubled POLL_MAX_SHIFT times. */
#define POLL_MIN_MS 20
#define POLL_MAX_SHIFT 4
/* Polls without an outcome after which targets are queried as well. */
#define SILENT_POLLS 4
/* Every n-th poll reads the store instead. */
#define STORE_POLL_PERIOD 4

static bool is_self(const struct wf_ctx *ctx, const struct clm_entry *entry)
{
	return !g_strcmp0(entry->instance, ctx->self) &&
	       entry->incarnation == ctx->incarnation;
}

/* Whether the instance that made the claim may still complete it. */
static bool holder_is_alive(const struct wf_ctx *ctx, struct clm_claims *claims,
			    const struct clm_entry *entry)
{
	const struct wf_peer *peer;

	if (is_self(ctx, entry))
		return clm_run_find(claims, entry->nonce);
	peer = wf_find_peer(ctx, entry->instance);
	return peer && peer->life != WF_LIFE_DEAD &&
	       peer->incarnation == entry->incarnation;
}

/* Whether only a status query can still tell more than the entry does. */
static bool is_final(const struct wf_ctx *ctx, struct clm_claims *claims,
		     const struct clm_entry *entry)
{
	if (entry->state == CLM_CLAIMED)
		return !holder_is_alive(ctx, claims, entry);
	return entry->state != CLM_NOT_RUN;
}

/* Records the claim that holds the key and starts to poll it. */
static void record_holding_claim(struct wf_ctx *ctx, struct clm_claims *claims,
				 struct clm_run *run,
				 const struct clm_entry *entry)
{
	struct clm_entry *copy = clm_entry_copy(entry);

	clm_entry_free(run->held);
	run->held = copy;
	run->holder_gone = is_final(ctx, claims, entry);
	if (run->phase == CLM_PHASE_CLAIMING) {
		run->phase = CLM_PHASE_HELD;
		run->owner_deadline = CLK_NEVER;
		run->next_poll = ctx->now;
		ctr_add(ctx->counters, "wf_claims_held_total", 1);
	}
}

/* Claims again after a new read: a holder may have closed its claim. */
static void retry_claim(struct wf_ctx *ctx, struct clm_claims *claims,
			struct clm_run *run)
{
	run->refresh = true;
	run->fallback |= run->polls > STORE_POLL_PERIOD;
	clm_send_claim(ctx, claims, run);
	run->owner_deadline = CLK_NEVER;
}

void clm_run_handle_held(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run, const struct clm_entry *entry)
{
	if (!clm_hash_equal(&entry->body, &run->body_hash)) {
		clm_run_fail(ctx, claims, run, ERR_KEY_REUSED, ERR_RUN_NOT);
		return;
	}
	if (entry->state == CLM_DONE && entry->answer) {
		clm_entry_free(run->held);
		run->held = clm_entry_copy(entry);
		clm_run_answer(ctx, claims, run, entry->status, entry->answer);
		return;
	}
#ifdef WF_GUARD_OFF_CLAIM_OWN_ONLY
	if (entry->state == CLM_CLAIMED &&
	    !holder_is_alive(ctx, claims, entry)) {
		clm_run_dispatch(ctx, claims, run);
		return;
	}
#endif
	record_holding_claim(ctx, claims, run, entry);
	if (entry->state == CLM_NOT_RUN && run->next_poll > ctx->now)
		run->next_poll = ctx->now + POLL_MIN_MS;
}

/* The key is held by another run of this instance. */
static void query_own_run(struct wf_ctx *ctx, struct clm_claims *claims,
			  struct clm_run *run)
{
	struct clm_run *other = clm_run_find(claims, run->held->nonce);
	struct clm_entry *entry;

	if (!other)
		return;
	entry = clm_run_to_entry(ctx, other);
	if (entry->state == CLM_NOT_RUN && !other->completion) {
		clm_run_store_outcome(ctx, claims, other, entry, CLM_NOT_RUN);
		clm_run_schedule(claims, other);
	}
	clm_run_handle_held(ctx, claims, run, entry);
	clm_entry_free(entry);
}

static void query_holder(struct wf_ctx *ctx, struct clm_claims *claims,
			 struct clm_run *run)
{
	if (is_self(ctx, run->held))
		query_own_run(ctx, claims, run);
	else
		clm_send_query(ctx, run);
}

/* Looks for the outcome of the claim held, at its holder or in the store. */
static void poll_claim(struct wf_ctx *ctx, struct clm_claims *claims,
		       struct clm_run *run, unsigned polls)
{
	bool read_store = polls % STORE_POLL_PERIOD == STORE_POLL_PERIOD - 1;
	enum clm_state state = run->held->state;

	if (state == CLM_NOT_RUN || read_store ||
	    (!polls && run->holder_gone && state == CLM_CLAIMED))
		retry_claim(ctx, claims, run);
	else if (state == CLM_CLAIMED && !run->holder_gone)
		query_holder(ctx, claims, run);
}

void clm_held_tick(struct wf_ctx *ctx, struct clm_claims *claims,
		   struct clm_run *run)
{
	unsigned polls = run->polls++;
	unsigned shift = MIN(polls, POLL_MAX_SHIFT);

	run->next_poll = ctx->now + ((clk_ms)POLL_MIN_MS << shift);
	run->holder_gone = is_final(ctx, claims, run->held);
	poll_claim(ctx, claims, run, polls);
	if (run->phase != CLM_PHASE_HELD || run->held->state == CLM_NOT_RUN)
		return;
	if (run->holder_gone && (polls || run->held->state != CLM_CLAIMED))
		clm_run_query_status(ctx, claims, run);
	else if (polls >= SILENT_POLLS &&
		 clm_target_with_status(claims, &run->policy, NULL, 0))
		clm_run_query_status(ctx, claims, run);
}
