#include <math.h>
#include <string.h>

#include "sched/lim_private.h"

/* Separates limit ownership from other uses of rendezvous hashing. */
#define LIMIT_HASH_SEED 0x6c696d6974ULL

uint64_t lim_scope_hash(const char *name)
{
	return wf_hash(name, strlen(name), LIMIT_HASH_SEED);
}

void lim_scope_free(gpointer data)
{
	struct lim_scope *scope = data;

	g_queue_clear_full(&scope->waiting, g_free);
	g_free(scope->owner);
	g_free(scope->name);
	g_free(scope);
}

bool lim_scope_admit(struct lim_scope *scope, unsigned tokens)
{
	const struct lim_terms *terms = &scope->terms;

	if (terms->concurrency && !scope->free_slots)
		return false;
	if (terms->rate > 0.0 && !scope->calls)
		return false;
	if (terms->token_rate > 0.0 && scope->tokens < tokens)
		return false;
	if (terms->concurrency) {
		scope->free_slots--;
		scope->held_slots++;
	}
	if (terms->rate > 0.0)
		scope->calls--;
	if (terms->token_rate > 0.0)
		scope->tokens -= tokens;
	return true;
}

/* Expected arrivals within the prefetch span. */
static double expected_arrivals(const struct lim_limits *limits,
				const struct lim_scope *scope, clk_ms now)
{
	double age = (double)(now - scope->arrivals_at);
	double count = scope->arrivals * exp2(-age / LIM_ARRIVAL_HALF_LIFE_MS);
	double rate = count * M_LN2 / LIM_ARRIVAL_HALF_LIFE_MS;

	return rate * (double)limits->config.prefetch;
}

static void set_wanted(struct wf_ctx *ctx, const struct lim_limits *limits,
		       const struct lim_scope *scope, Wf__LimitDemand *demand)
{
	unsigned waiting = scope->waiting.length;
	unsigned ahead = (unsigned)expected_arrivals(limits, scope, ctx->now);
	const struct lim_waiting *first;
	const GList *item;
	uint64_t tokens = 0;

	for (item = scope->waiting.head; item; item = item->next)
		tokens += ((const struct lim_waiting *)item->data)->tokens;
	if (scope->terms.concurrency)
		demand->slots = waiting;
	if (scope->terms.rate > 0.0)
		demand->calls = waiting + ahead;
	if (scope->terms.token_rate <= 0.0)
		return;
	tokens += (uint64_t)(ahead * scope->tokens_per_call);
	demand->tokens = tokens > scope->tokens ? tokens - scope->tokens : 0;
	first = scope->waiting.head ? scope->waiting.head->data : NULL;
	if (first && first->tokens > scope->tokens)
		demand->first_tokens = first->tokens - scope->tokens;
}

static void send_demand(struct wf_ctx *ctx, const char *owner,
			const Wf__LimitDemand *demand)
{
	size_t len = wf__limit_demand__get_packed_size(demand);
	uint8_t *packed = g_malloc(len);

	wf__limit_demand__pack(demand, packed);
	wf_send_peer(ctx, owner, LIM_KIND_DEMAND, packed, len);
	ctr_add(ctx->counters, "wf_limit_messages_total", 1);
	ctr_add(ctx->counters, "wf_limit_bytes_total", len);
	g_free(packed);
}

static void deliver_demand(struct wf_ctx *ctx, struct lim_limits *limits,
			   struct lim_scope *scope,
			   const Wf__LimitDemand *demand)
{
	const struct wf_peer *owner;
	Wf__LimitGrant grant = WF__LIMIT_GRANT__INIT;

	owner = wf_owner_of(ctx, lim_scope_hash(scope->name), NULL, 0);
	g_free(scope->owner);
	scope->owner = g_strdup(owner ? owner->id : ctx->self);
	if (strcmp(scope->owner, ctx->self)) {
		send_demand(ctx, scope->owner, demand);
		return;
	}
	lim_owner_handle_demand(ctx, limits, ctx->self, demand, &grant);
	if (!demand->sync_only)
		lim_scope_handle_grant(ctx, limits, scope, &grant);
}

void lim_scope_send_demand(struct wf_ctx *ctx, struct lim_limits *limits,
			   struct lim_scope *scope, bool sync_only)
{
	Wf__LimitTerms terms = WF__LIMIT_TERMS__INIT;
	Wf__LimitDemand demand = WF__LIMIT_DEMAND__INIT;

	terms.scope = scope->name;
	terms.rules_revision = scope->terms.rules_revision;
	terms.rate = scope->terms.rate;
	terms.token_rate = scope->terms.token_rate;
	terms.concurrency = scope->terms.concurrency;
	demand.terms = &terms;
	demand.returned_calls = scope->returned_calls;
	demand.returned_tokens = scope->returned_tokens;
	demand.number = ++scope->number;
	demand.held_slots = scope->held_slots + scope->free_slots;
	demand.last_grant = scope->last_grant;
	demand.sync_only = sync_only;
	scope->returned_calls = 0;
	scope->returned_tokens = 0;
	scope->slots_changed = false;
	scope->next_sync = ctx->now + limits->config.sync_interval;
	if (!sync_only) {
		set_wanted(ctx, limits, scope, &demand);
		demand.sequence = ++scope->sequence;
		scope->demand_pending = true;
		scope->demanded_at = ctx->now;
	}
	deliver_demand(ctx, limits, scope, &demand);
}

static void decide(struct wf_ctx *ctx, struct lim_limits *limits,
		   uint64_t call_id, bool admitted, clk_ms retry_after)
{
	struct lim_call *call = g_hash_table_lookup(limits->calls, &call_id);

	if (!call)
		return;
	call->admitted = admitted;
	if (!admitted) {
		g_hash_table_remove(limits->calls, &call_id);
		ctr_add(ctx->counters, "wf_limit_refused_total", 1);
	}
	limits->config.decided(ctx, limits->config.user, call_id, admitted,
			       retry_after);
}

static void admit_waiting(struct wf_ctx *ctx, struct lim_limits *limits,
			  struct lim_scope *scope)
{
	while (scope->waiting.length) {
		struct lim_waiting *first = g_queue_peek_head(&scope->waiting);
		uint64_t call_id = first->call_id;

		if (!lim_scope_admit(scope, first->tokens))
			return;
		g_free(g_queue_pop_head(&scope->waiting));
		decide(ctx, limits, call_id, true, 0);
	}
}

static void refuse_waiting(struct wf_ctx *ctx, struct lim_limits *limits,
			   struct lim_scope *scope, clk_ms retry_after)
{
	while (scope->waiting.length) {
		struct lim_waiting *first = g_queue_pop_head(&scope->waiting);
		uint64_t call_id = first->call_id;

		g_free(first);
		decide(ctx, limits, call_id, false, retry_after);
	}
}

void lim_scope_handle_grant(struct wf_ctx *ctx, struct lim_limits *limits,
			    struct lim_scope *scope,
			    const Wf__LimitGrant *grant)
{
	unsigned waiting = scope->waiting.length;

	scope->last_grant = MAX(scope->last_grant, grant->grant);
	if (grant->sequence != scope->sequence || !scope->demand_pending) {
		/* Too late: the owner no longer counts these slots as held. */
		scope->returned_calls += grant->calls;
		scope->returned_tokens += (int64_t)grant->tokens;
		return;
	}
	scope->calls += grant->calls;
	scope->tokens += grant->tokens;
	scope->free_slots += grant->slots;
	scope->granted_at = ctx->now;
	scope->demand_pending = false;
	admit_waiting(ctx, limits, scope);
	if (!scope->waiting.length)
		return;
	if (grant->retry_after_ms) {
		scope->refused_until = ctx->now + grant->retry_after_ms;
		refuse_waiting(ctx, limits, scope, grant->retry_after_ms);
	} else if (scope->waiting.length < waiting) {
		lim_scope_send_demand(ctx, limits, scope, false);
	} else {
		refuse_waiting(ctx, limits, scope, limits->config.prefetch);
	}
}

/*
 * Without an answer from the owner, each instance admits an equal share of the
 * limits locally, so that all instances together stay within them.
 */
static void use_fallback(struct wf_ctx *ctx, struct lim_limits *limits,
			 struct lim_scope *scope)
{
	double part = 1.0 / (double)MAX(1u, ctx->peers->len);
	Wf__LimitGrant grant = WF__LIMIT_GRANT__INIT;
	double rate = scope->terms.rate * part;

	ctr_add(ctx->counters, "wf_limit_fallbacks_total", 1);
	lim_bucket_refill(&scope->fallback, rate, ctx->now);
	grant.sequence = scope->sequence;
	grant.retry_after_ms = (uint32_t)limits->config.answer_timeout;
	if (scope->terms.rate > 0.0)
		grant.calls = (uint32_t)lim_bucket_take(&scope->fallback,
							scope->waiting.length);
	else
		grant.calls = scope->waiting.length;
	grant.slots = (unsigned)(scope->terms.concurrency * part);
	if (grant.slots > scope->held_slots)
		grant.slots -= scope->held_slots;
	else
		grant.slots = 0;
	grant.slots = MIN(grant.slots, scope->waiting.length);
	grant.tokens = (uint64_t)(scope->terms.token_rate * part);
	lim_scope_handle_grant(ctx, limits, scope, &grant);
}

static void return_unused(struct wf_ctx *ctx, struct lim_limits *limits,
			  struct lim_scope *scope)
{
	if (ctx->now - scope->granted_at < limits->config.grant_lifetime)
		return;
	scope->returned_calls += scope->calls;
	scope->returned_tokens += (int64_t)scope->tokens;
	scope->calls = 0;
	scope->tokens = 0;
	scope->slots_changed |= scope->free_slots > 0;
	scope->free_slots = 0;
}

/* Whether a report to the owner is due that cannot wait for a demand. */
static bool needs_sync(const struct wf_ctx *ctx, const struct lim_scope *scope)
{
	if (scope->returned_calls || scope->returned_tokens ||
	    scope->slots_changed)
		return true;
	return scope->terms.concurrency && ctx->now >= scope->next_sync;
}

static bool owner_changed(struct wf_ctx *ctx, const struct lim_scope *scope)
{
	const struct wf_peer *owner;

	owner = wf_owner_of(ctx, lim_scope_hash(scope->name), NULL, 0);
	return owner && scope->owner && strcmp(owner->id, scope->owner);
}

void lim_scope_tick(struct wf_ctx *ctx, struct lim_limits *limits,
		    struct lim_scope *scope, bool peers_changed)
{
	bool moved = peers_changed && owner_changed(ctx, scope);

	if (moved && scope->demand_pending)
		lim_scope_send_demand(ctx, limits, scope, false);
	else if (scope->demand_pending &&
		 ctx->now - scope->demanded_at >= limits->config.answer_timeout)
		use_fallback(ctx, limits, scope);
	return_unused(ctx, limits, scope);
	if (moved || needs_sync(ctx, scope))
		lim_scope_send_demand(ctx, limits, scope, true);
}
