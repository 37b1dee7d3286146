#include <math.h>
#include <string.h>

#include "sched/lim_private.h"

/* Time between two passes over all scopes. */
#define SWEEP_INTERVAL_MS 100

/* Weight of the newest call in the mean of tokens a call. */
#define TOKEN_MEAN_WEIGHT 0.1

void lim_config_init(struct lim_config *config)
{
	memset(config, 0, sizeof(*config));
	config->answer_timeout = 400;
	config->prefetch = 200;
	config->grant_lifetime = 500;
	config->sync_interval = 5 * CLK_SECOND;
	config->takeover_wait = CLK_SECOND;
	config->idle = 30 * CLK_SECOND;
}

static bool is_unlimited(const struct wf_policy *policy)
{
	return policy->rate <= 0.0 && policy->token_rate <= 0.0 &&
	       !policy->concurrency;
}

static struct lim_scope *find_scope(struct wf_ctx *ctx,
				    struct lim_limits *limits, const char *name,
				    const struct wf_policy *policy,
				    uint64_t revision)
{
	struct lim_scope *scope = g_hash_table_lookup(limits->scopes, name);

	if (!scope) {
		scope = g_new0(struct lim_scope, 1);
		scope->name = g_strdup(name);
		g_queue_init(&scope->waiting);
		scope->fallback.filled_at = ctx->now;
		scope->arrivals_at = ctx->now;
		g_hash_table_insert(limits->scopes, scope->name, scope);
	}
	scope->terms.rules_revision = revision;
	scope->terms.rate = policy->rate;
	scope->terms.token_rate = policy->token_rate;
	scope->terms.concurrency = policy->concurrency;
	scope->last_used = ctx->now;
	return scope;
}

static void count_arrival(struct wf_ctx *ctx, struct lim_scope *scope,
			  unsigned tokens)
{
	double age = (double)(ctx->now - scope->arrivals_at);

	scope->arrivals *= exp2(-age / LIM_ARRIVAL_HALF_LIFE_MS);
	scope->arrivals += 1.0;
	scope->arrivals_at = ctx->now;
	scope->tokens_per_call +=
		(tokens - scope->tokens_per_call) * TOKEN_MEAN_WEIGHT;
}

static void add_call(struct lim_limits *limits, uint64_t call_id,
		     struct lim_scope *scope, unsigned tokens, bool admitted)
{
	struct lim_call *call = g_new0(struct lim_call, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*key = call_id;
	call->scope = scope;
	call->tokens = tokens;
	call->admitted = admitted;
	scope->open_calls++;
	g_hash_table_replace(limits->calls, key, call);
}

enum lim_verdict lim_request(struct wf_ctx *ctx, struct lim_limits *limits,
			     uint64_t call_id, const char *name,
			     const struct wf_policy *policy,
			     uint64_t rules_revision, unsigned tokens,
			     clk_ms *retry_after)
{
	struct lim_waiting *waiting;
	struct lim_scope *scope;

	if (is_unlimited(policy))
		return LIM_ADMITTED;
	scope = find_scope(ctx, limits, name, policy, rules_revision);
	count_arrival(ctx, scope, tokens);
	if (!scope->waiting.length && lim_scope_admit(scope, tokens)) {
		add_call(limits, call_id, scope, tokens, true);
		return LIM_ADMITTED;
	}
	if (ctx->now < scope->refused_until) {
		*retry_after = scope->refused_until - ctx->now;
		ctr_add(ctx->counters, "wf_limit_refused_total", 1);
		return LIM_REFUSED;
	}
	waiting = g_new0(struct lim_waiting, 1);
	waiting->call_id = call_id;
	waiting->tokens = tokens;
	g_queue_push_tail(&scope->waiting, waiting);
	add_call(limits, call_id, scope, tokens, false);
	if (!scope->demand_pending)
		lim_scope_send_demand(ctx, limits, scope, false);
	return LIM_PENDING;
}

static void withdraw(struct lim_scope *scope, uint64_t call_id)
{
	GList *item;

	for (item = scope->waiting.head; item; item = item->next) {
		struct lim_waiting *waiting = item->data;

		if (waiting->call_id != call_id)
			continue;
		g_queue_delete_link(&scope->waiting, item);
		g_free(waiting);
		return;
	}
}

void lim_done(struct wf_ctx *ctx, struct lim_limits *limits, uint64_t call_id,
	      unsigned tokens_used)
{
	struct lim_call *call = g_hash_table_lookup(limits->calls, &call_id);
	struct lim_scope *scope;

	if (!call)
		return;
	scope = call->scope;
	if (!call->admitted) {
		withdraw(scope, call_id);
	} else {
		if (scope->terms.concurrency && scope->held_slots) {
			scope->held_slots--;
			scope->slots_changed = true;
		}
		if (scope->terms.token_rate > 0.0)
			scope->returned_tokens +=
				(int64_t)call->tokens - (int64_t)tokens_used;
	}
	scope->last_used = ctx->now;
	g_hash_table_remove(limits->calls, &call_id);
	if (scope->waiting.length && !scope->demand_pending)
		lim_scope_send_demand(ctx, limits, scope, false);
}

static bool is_idle(const struct wf_ctx *ctx, const struct lim_limits *limits,
		    const struct lim_scope *scope)
{
	return !scope->open_calls && !scope->held_slots &&
	       !scope->demand_pending && !scope->calls && !scope->tokens &&
	       !scope->free_slots &&
	       ctx->now - scope->last_used >= limits->config.idle;
}

static void sweep(struct wf_ctx *ctx, struct lim_limits *limits)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *scopes = g_ptr_array_new();
	bool peers_changed = limits->swept_revision != ctx->peers_revision;
	guint i;

	limits->next_sweep = ctx->now + SWEEP_INTERVAL_MS;
	limits->swept_revision = ctx->peers_revision;
	lim_note_peers(ctx, limits);
	g_hash_table_iter_init(&iter, limits->scopes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(scopes, value);
	for (i = 0; i < scopes->len; i++) {
		struct lim_scope *scope = scopes->pdata[i];

		lim_scope_tick(ctx, limits, scope, peers_changed);
		if (is_idle(ctx, limits, scope))
			g_hash_table_remove(limits->scopes, scope->name);
	}
	g_ptr_array_unref(scopes);
	lim_owner_sweep(ctx, limits, peers_changed);
}

static void handle_demand(struct wf_ctx *ctx, struct lim_limits *limits,
			  const struct wf_peer_event *event)
{
	Wf__LimitDemand *demand;
	Wf__LimitGrant grant = WF__LIMIT_GRANT__INIT;
	uint8_t *packed;
	size_t len;

	demand = wf__limit_demand__unpack(NULL, event->body_len, event->body);
	if (!demand || !demand->terms) {
		ctr_add(ctx->counters, "wf_peer_bad_frames_total", 1);
		if (demand)
			wf__limit_demand__free_unpacked(demand, NULL);
		return;
	}
	lim_owner_handle_demand(ctx, limits, event->from, demand, &grant);
	if (!demand->sync_only) {
		len = wf__limit_grant__get_packed_size(&grant);
		packed = g_malloc(len);
		wf__limit_grant__pack(&grant, packed);
		wf_send_peer(ctx, event->from, LIM_KIND_GRANT, packed, len);
		ctr_add(ctx->counters, "wf_limit_messages_total", 1);
		ctr_add(ctx->counters, "wf_limit_bytes_total", len);
		g_free(packed);
	}
	wf__limit_demand__free_unpacked(demand, NULL);
}

static void handle_grant(struct wf_ctx *ctx, struct lim_limits *limits,
			 const struct wf_peer_event *event)
{
	Wf__LimitGrant *grant;
	struct lim_scope *scope;

	grant = wf__limit_grant__unpack(NULL, event->body_len, event->body);
	if (!grant) {
		ctr_add(ctx->counters, "wf_peer_bad_frames_total", 1);
		return;
	}
	scope = g_hash_table_lookup(limits->scopes, grant->scope);
	if (scope)
		lim_scope_handle_grant(ctx, limits, scope, grant);
	wf__limit_grant__free_unpacked(grant, NULL);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct lim_limits *limits = (struct lim_limits *)module;

	if (event->type == WF_EV_PEER) {
		if (event->peer->kind == LIM_KIND_DEMAND)
			handle_demand(ctx, limits, event->peer);
		else if (event->peer->kind == LIM_KIND_GRANT)
			handle_grant(ctx, limits, event->peer);
	}
	if (event->type == WF_EV_TICK && ctx->now >= limits->next_sweep)
		sweep(ctx, limits);
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct lim_limits *limits = (struct lim_limits *)module;

	(void)ctx;
	if (!g_hash_table_size(limits->scopes) &&
	    !g_hash_table_size(limits->owned))
		return CLK_NEVER;
	return limits->next_sweep;
}

static void call_free(gpointer data)
{
	struct lim_call *call = data;

	call->scope->open_calls--;
	g_free(call);
}

static void drop(struct wf_module *module)
{
	struct lim_limits *limits = (struct lim_limits *)module;

	g_hash_table_unref(limits->calls);
	g_hash_table_unref(limits->scopes);
	g_hash_table_unref(limits->owned);
	g_array_unref(limits->owners);
	g_array_unref(limits->former_owners);
	g_free(limits);
}

static const struct wf_module_ops lim_ops = {
	.name = "limits",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

struct lim_limits *lim_new(struct wf_ctx *ctx, const struct lim_config *config)
{
	struct lim_limits *limits = g_new0(struct lim_limits, 1);

	limits->module.ops = &lim_ops;
	limits->module.id = WF_MODULE_LIMITS;
	limits->config = *config;
	limits->peers_revision = ctx->peers_revision;
	limits->swept_revision = ctx->peers_revision;
	limits->peers_changed_at = ctx->now - config->takeover_wait;
	limits->created = ctx->now;
	limits->owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	limits->former_owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	limits->scopes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       lim_scope_free);
	limits->owned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      lim_owned_free);
	limits->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, call_free);
	return limits;
}

struct wf_module *lim_module(struct lim_limits *limits)
{
	return &limits->module;
}

size_t lim_count_scopes(const struct lim_limits *limits)
{
	return g_hash_table_size(limits->scopes) +
	       g_hash_table_size(limits->owned);
}
