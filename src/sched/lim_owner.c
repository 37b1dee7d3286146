#include <string.h>

#include "sched/lim_private.h"

/* Reports that a holder may miss before its slots are freed. */
#define MAX_MISSED_SYNCS 4

void lim_owned_free(gpointer data)
{
	struct lim_owned *owned = data;

	g_hash_table_unref(owned->holders);
	g_free(owned);
}

static GArray *list_owners(const struct wf_ctx *ctx)
{
	GArray *owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	guint i;

	for (i = 0; i < ctx->peers->len; i++) {
		const struct wf_peer *peer = ctx->peers->pdata[i];

		if (wf_can_own(peer))
			g_array_append_val(owners, peer->id_hash);
	}
	return owners;
}

static bool changed_recently(const struct wf_ctx *ctx,
			     const struct lim_limits *limits)
{
	return ctx->now - limits->peers_changed_at <
	       limits->config.takeover_wait;
}

void lim_note_peers(struct wf_ctx *ctx, struct lim_limits *limits)
{
	if (limits->peers_revision == ctx->peers_revision)
		return;
	limits->peers_revision = ctx->peers_revision;
	if (changed_recently(ctx, limits)) {
		/* Keep the owners from before the first of these changes. */
		g_array_unref(limits->owners);
	} else {
		g_array_unref(limits->former_owners);
		limits->former_owners = limits->owners;
	}
	limits->owners = list_owners(ctx);
	limits->peers_changed_at = ctx->now;
}

static uint64_t find_owner(const GArray *owners, uint64_t hash)
{
	uint64_t best_weight = 0;
	uint64_t best = 0;
	guint i;

	for (i = 0; i < owners->len; i++) {
		uint64_t id_hash = g_array_index(owners, uint64_t, i);
		uint64_t weight = wf_owner_weight(id_hash, hash);

		if (weight < best_weight)
			continue;
		best_weight = weight;
		best = id_hash;
	}
	return best;
}

/* Whether another instance may have owned a scope within takeover_wait. */
static bool may_have_changed_owner(const struct wf_ctx *ctx,
				   const struct lim_limits *limits,
				   const char *scope)
{
	uint64_t hash = lim_scope_hash(scope);

	/* A new instance does not know who owned the scope before. */
	if (ctx->now - limits->created < 2 * limits->config.takeover_wait)
		return true;
	return changed_recently(ctx, limits) &&
	       find_owner(limits->owners, hash) !=
		       find_owner(limits->former_owners, hash);
}

/*
 * After a change of ownership the buckets start with one token: the former
 * owner may have granted a full burst just before.
 */
static struct lim_owned *add_owned(struct wf_ctx *ctx,
				   struct lim_limits *limits, const char *scope)
{
	struct lim_owned *owned = g_new0(struct lim_owned, 1);

	owned->holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (may_have_changed_owner(ctx, limits, scope)) {
		owned->calls.filled_at = ctx->now;
		owned->calls.level = 1.0;
		owned->tokens.filled_at = ctx->now;
		owned->tokens.level = 1.0;
		owned->taken_over_at = ctx->now;
	}
	g_hash_table_insert(limits->owned, g_strdup(scope), owned);
	return owned;
}

/* The terms of the highest rules revision apply. */
static void update_terms(struct lim_owned *owned, const Wf__LimitTerms *terms)
{
	if (terms->rules_revision < owned->terms.rules_revision)
		return;
	owned->terms.rules_revision = terms->rules_revision;
	owned->terms.rate = terms->rate;
	owned->terms.token_rate = terms->token_rate;
	owned->terms.concurrency = terms->concurrency;
}

/*
 * If several listed instances seem dead, this may be one side of a network
 * partition, whose other side has an owner of its own. Each side then grants
 * the share of the limit that corresponds to its live instances.
 */
static double reachable_share(const struct wf_ctx *ctx,
			      const struct lim_limits *limits)
{
	unsigned dead = 0;

	if (limits->config.count_dead)
		dead = limits->config.count_dead(limits->config.user);
	if (dead < 2)
		return 1.0;
	return (double)ctx->peers->len / (double)(ctx->peers->len + dead);
}

static struct lim_holder *find_holder(struct lim_owned *owned,
				      const char *instance)
{
	struct lim_holder *holder =
		g_hash_table_lookup(owned->holders, instance);

	if (!holder) {
		holder = g_new0(struct lim_holder, 1);
		g_hash_table_insert(owned->holders, g_strdup(instance), holder);
	}
	return holder;
}

static void set_slots(struct lim_owned *owned, struct lim_holder *holder,
		      unsigned reported, unsigned pending)
{
	owned->slots_used -= holder->reported + holder->pending;
	holder->reported = reported;
	holder->pending = pending;
	owned->slots_used += reported + pending;
}

/*
 * The slots that a requester reports replace the owner's count, so that a lost
 * message leaks no slot. Granted slots count until the requester confirms the
 * grant; a new demand means that it ignores an earlier grant.
 */
static void update_holder(struct wf_ctx *ctx, struct lim_owned *owned,
			  struct lim_holder *holder,
			  const Wf__LimitDemand *demand)
{
	unsigned pending = holder->pending;

	if (demand->number <= holder->number)
		return;
	holder->number = demand->number;
	holder->last_heard = ctx->now;
	if (!demand->sync_only || demand->last_grant >= holder->pending_grant)
		pending = 0;
	set_slots(owned, holder, demand->held_slots, pending);
}

static unsigned grant_slots(struct wf_ctx *ctx, struct lim_limits *limits,
			    struct lim_owned *owned, struct lim_holder *holder,
			    unsigned wanted)
{
	unsigned limit = owned->terms.concurrency;
	unsigned room;

	if (!limit)
		return wanted;
	if (ctx->now - owned->taken_over_at < limits->config.takeover_wait)
		return 0;
	limit = MAX(1, (unsigned)(limit * reachable_share(ctx, limits)));
	room = limit > owned->slots_used ? limit - owned->slots_used : 0;
	wanted = MIN(wanted, room);
	set_slots(owned, holder, holder->reported, wanted);
	return wanted;
}

static void fill_buckets(struct wf_ctx *ctx, struct lim_limits *limits,
			 struct lim_owned *owned)
{
	double share = reachable_share(ctx, limits);

	lim_bucket_refill(&owned->calls, owned->terms.rate * share, ctx->now);
	lim_bucket_refill(&owned->tokens, owned->terms.token_rate * share,
			  ctx->now);
}

static void refund_unused(struct lim_owned *owned,
			  const Wf__LimitDemand *demand)
{
	owned->calls.level += demand->returned_calls;
	owned->tokens.level += (double)demand->returned_tokens;
}

static uint32_t take_calls(struct lim_owned *owned,
			   const Wf__LimitDemand *demand)
{
	if (owned->terms.rate <= 0.0)
		return demand->calls;
	return (uint32_t)lim_bucket_take(&owned->calls, demand->calls);
}

static uint64_t take_tokens(struct lim_owned *owned,
			    const Wf__LimitDemand *demand)
{
	struct lim_bucket *bucket = &owned->tokens;
	uint64_t available;

	if (owned->terms.token_rate <= 0.0)
		return demand->tokens;
	if (bucket->level < 1.0)
		return 0;
	available = MAX((uint64_t)bucket->level, demand->first_tokens);
	available = MIN(available, demand->tokens);
	bucket->level -= (double)available;
	return available;
}

static void set_retry(const struct lim_limits *limits,
		      const struct lim_owned *owned,
		      const Wf__LimitDemand *demand, Wf__LimitGrant *grant)
{
	clk_ms wait = 0;

	if (grant->calls < demand->calls)
		wait = lim_bucket_wait(&owned->calls, owned->terms.rate);
	if (grant->tokens < demand->tokens)
		wait = MAX(wait, lim_bucket_wait(&owned->tokens,
						 owned->terms.token_rate));
	if (grant->slots < demand->slots)
		wait = MAX(wait, limits->config.prefetch);
	grant->retry_after_ms = (uint32_t)CLAMP(wait, 0, CLK_MINUTE);
}

void lim_owner_handle_demand(struct wf_ctx *ctx, struct lim_limits *limits,
			     const char *from, const Wf__LimitDemand *demand,
			     Wf__LimitGrant *grant)
{
	const char *scope = demand->terms->scope;
	struct lim_owned *owned = g_hash_table_lookup(limits->owned, scope);
	struct lim_holder *holder;

	lim_note_peers(ctx, limits);
	if (!owned)
		owned = add_owned(ctx, limits, scope);
	holder = find_holder(owned, from);
	owned->last_used = ctx->now;
	update_terms(owned, demand->terms);
	fill_buckets(ctx, limits, owned);
	refund_unused(owned, demand);
	update_holder(ctx, owned, holder, demand);
	grant->scope = demand->terms->scope;
	grant->sequence = demand->sequence;
	if (demand->sync_only)
		return;
	grant->slots = grant_slots(ctx, limits, owned, holder, demand->slots);
	grant->calls = take_calls(owned, demand);
	grant->tokens = take_tokens(owned, demand);
	/* Grant numbers keep increasing when the owner changes. */
	owned->next_grant = MAX(owned->next_grant, demand->last_grant) + 1;
	grant->grant = owned->next_grant;
	holder->pending_grant = grant->grant;
	set_retry(limits, owned, demand, grant);
}

/* Frees the slots of instances that are gone or have stopped reporting. */
static void drop_lost_holders(struct wf_ctx *ctx, struct lim_owned *owned,
			      clk_ms silence)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, owned->holders);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct lim_holder *holder = value;

		if (wf_find_peer(ctx, id) &&
		    ctx->now - holder->last_heard < silence)
			continue;
		set_slots(owned, holder, 0, 0);
		g_hash_table_iter_remove(&iter);
	}
}

void lim_owner_sweep(struct wf_ctx *ctx, struct lim_limits *limits,
		     bool peers_changed)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->owned);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct lim_owned *owned = value;

		drop_lost_holders(ctx, owned,
				  MAX_MISSED_SYNCS *
					  limits->config.sync_interval);
		if ((!owned->slots_used &&
		     ctx->now - owned->last_used >= limits->config.idle) ||
		    (peers_changed &&
		     !wf_owns(ctx, lim_scope_hash(name), NULL)))
			g_hash_table_iter_remove(&iter);
	}
}
