#include <string.h>

#include "core/core_private.h"

void core_call_free(gpointer data)
{
	struct core_call *entry = data;

	g_free((char *)entry->call.org);
	g_free((char *)entry->call.name);
	g_free((char *)entry->call.operation);
	g_free((char *)entry->call.key);
	if (entry->call.body)
		g_bytes_unref(entry->call.body);
	wf_policy_clear(&entry->call.policy);
	g_free(entry->prefix);
	g_free(entry);
}

static struct core_call *add_call(struct wf_core *core,
				  const struct wf_call *call)
{
	struct core_call *entry = g_new0(struct core_call, 1);
	uint64_t *id = g_new(uint64_t, 1);
	size_t n = call->n_prefix_hashes;

	*id = call->id;
	entry->call = *call;
	entry->call.org = g_strdup(call->org);
	entry->call.name = g_strdup(call->name);
	entry->call.operation = g_strdup(call->operation);
	entry->call.key = g_strdup(call->key);
	if (call->body)
		entry->call.body = g_bytes_ref(call->body);
	entry->call.policy = wf_policy_copy(&call->policy);
	if (n)
		entry->prefix = g_memdup2(call->prefix_hashes,
					  n * sizeof(*call->prefix_hashes));
	entry->call.prefix_hashes = entry->prefix;
	entry->deadline = core->ctx->now + call->timeout;
	g_hash_table_replace(core->calls, id, entry);
	return entry;
}

static struct core_call *find_call(struct wf_core *core, uint64_t id)
{
	return g_hash_table_lookup(core->calls, &id);
}

static void dispatch(struct wf_core *core, struct core_call *entry)
{
	struct wf_event event = {.type = WF_EV_CALL};
	clk_ms left = entry->deadline - core->ctx->now;

	entry->dispatched = true;
	if (left <= 0) {
		wf_reply_error(core->ctx, entry->call.id, ERR_DEADLINE,
			       ERR_RUN_NOT, 0,
			       "the deadline passed before the call started");
		return;
	}
	entry->call.timeout = left;
	event.call = &entry->call;
	if (entry->call.kind == WF_CALL_MODEL)
		core_deliver(core, WF_MODULE_RUNS, &event);
	else
		core_deliver(core, WF_MODULE_CLAIMS, &event);
}

static void reject_rate_limited(struct wf_core *core, uint64_t id,
				clk_ms retry_after)
{
	wf_reply_error(core->ctx, id, ERR_RATE_LIMITED, ERR_RUN_NOT,
		       retry_after, "the organisation's limit is exceeded");
}

void core_handle_limit_decision(struct wf_ctx *ctx, void *user,
				uint64_t call_id, bool admitted,
				clk_ms retry_after)
{
	struct wf_core *core = user;
	struct core_call *entry = find_call(core, call_id);

	(void)ctx;
	if (!entry || entry->dispatched)
		return;
	if (admitted)
		dispatch(core, entry);
	else
		reject_rate_limited(core, call_id, retry_after);
}

/* Estimated cost of a call in tokens. */
static unsigned estimate_tokens(const struct wf_call *call)
{
	return call->prompt_tokens + call->max_tokens;
}

static bool reject_if_unavailable(struct wf_core *core,
				  const struct wf_call *call)
{
	if (core->phase >= CORE_DRAINING) {
		wf_reply_error(core->ctx, call->id, ERR_DRAINING, ERR_RUN_NOT,
			       CLK_SECOND, "this instance is shutting down");
		return true;
	}
	if (!dst_rules(core->distribution)) {
		wf_reply_error(core->ctx, call->id, ERR_NOT_READY, ERR_RUN_NOT,
			       CLK_SECOND,
			       "this instance has no rules in force yet");
		return true;
	}
	return false;
}

static bool apply_rules(struct wf_core *core, struct wf_call *call)
{
	const struct rul_set *rules = dst_rules(core->distribution);
	clk_ms deadline;

	if (!rul_set_lookup(rules, call->kind, call->org, call->name,
			    &call->policy)) {
		wf_reply_error(core->ctx, call->id, ERR_NO_RULE, ERR_RUN_NOT, 0,
			       "no rule admits \"%s\" for \"%s\" (line %u)",
			       call->name, call->org, call->policy.rule_line);
		return false;
	}
	deadline = call->policy.deadline;
	if (!call->timeout || call->timeout > deadline)
		call->timeout = deadline;
	return true;
}

/*
 * A single rule applies to each pair of organisation and name, so a scope never
 * mixes the limits of two rules.
 */
static char *limit_scope(const struct wf_call *call)
{
	return g_strdup_printf(
		"%s/%s/%s", call->org,
		call->kind == WF_CALL_MODEL ? "model" : "service", call->name);
}

void core_handle_call(struct wf_core *core, struct wf_call *call)
{
	struct core_call *entry;
	enum lim_verdict verdict;
	clk_ms retry_after = 0;
	char *scope;

	ctr_add(core->ctx->counters,
		call->kind == WF_CALL_MODEL
			? "wf_calls_total{kind=\"model\"}"
			: "wf_calls_total{kind=\"service\"}",
		1);
	if (reject_if_unavailable(core, call) || !apply_rules(core, call))
		return;
	entry = add_call(core, call);
	scope = limit_scope(call);
	verdict = lim_request(core->ctx, core->limits, call->id, scope,
			      &entry->call.policy,
			      dst_revision(core->distribution),
			      estimate_tokens(call), &retry_after);
	g_free(scope);
	switch (verdict) {
	case LIM_ADMITTED:
		dispatch(core, entry);
		break;
	case LIM_REFUSED:
		reject_rate_limited(core, call->id, retry_after);
		break;
	case LIM_PENDING:
		break;
	}
}

static void end_call(struct wf_core *core, struct core_call *entry)
{
	uint64_t id = entry->call.id;

	lim_done(core->ctx, core->limits, id,
		 entry->call.prompt_tokens + entry->tokens);
	g_hash_table_remove(core->calls, &id);
}

void core_handle_caller_gone(struct wf_core *core, uint64_t call_id)
{
	struct wf_event event = {.type = WF_EV_CALLER_GONE};
	struct core_call *entry = find_call(core, call_id);

	if (!entry)
		return;
	event.call_id = call_id;
	if (entry->dispatched && entry->call.kind == WF_CALL_MODEL)
		core_deliver(core, WF_MODULE_RUNS, &event);
	else if (entry->dispatched)
		core_deliver(core, WF_MODULE_CLAIMS, &event);
	end_call(core, entry);
}

void core_observe_action(struct wf_core *core, const struct wf_action *action)
{
	struct core_call *entry;

	switch (action->type) {
	case WF_ACT_REPLY_TOKEN:
		entry = find_call(core, action->call_id);
		if (entry)
			entry->tokens++;
		break;
	case WF_ACT_REPLY_ERROR:
		ctr_add(core->ctx->counters, "wf_call_errors_total", 1);
		/* fall through */
	case WF_ACT_REPLY_END:
	case WF_ACT_REPLY_ANSWER:
		entry = find_call(core, action->call_id);
		if (entry)
			end_call(core, entry);
		break;
	default:
		break;
	}
}
