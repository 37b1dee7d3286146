#include <string.h>

#include "sched/run_private.h"
#include "sched/tgt_load.h"

void run_config_init(struct run_config *config)
{
	memset(config, 0, sizeof(*config));
	config->policy = ADM_LATE;
	config->queue_limit = 2000;
	config->max_wait = 10 * CLK_SECOND;
	config->retry_part = 0.1;
	config->retry_burst = 20;
	config->use_deadlines = true;
	config->use_classes = true;
	config->use_fair_share = true;
	config->use_recovery = true;
	config->use_resume = true;
	config->use_replacement = true;
	config->use_moves = true;
}

static void clear_early(gpointer data)
{
	struct run_early_token *token = data;

	g_free(token->text);
}

static void request_free(gpointer data)
{
	struct run_request *request = data;

	g_free(request->org);
	g_free(request->model);
	if (request->body)
		g_bytes_unref(request->body);
	wf_policy_clear(&request->policy);
	g_free(request->prefix_hashes);
	g_array_unref(request->chain);
	g_array_unref(request->stages);
	g_array_unref(request->ops);
	g_array_unref(request->early);
	g_string_free(request->delivered, TRUE);
	g_free(request->end_reason);
	g_free(request);
}

static clk_ms deadline_of(const struct wf_ctx *ctx, const struct wf_call *call)
{
	clk_ms span = call->policy.deadline;

	if (call->timeout > 0 && (span <= 0 || call->timeout < span))
		span = call->timeout;
	return span > 0 ? ctx->now + span : CLK_NEVER;
}

static struct run_request *request_new(const struct wf_ctx *ctx,
				       const struct wf_call *call)
{
	struct run_request *request = g_new0(struct run_request, 1);

	request->call_id = call->id;
	request->org = g_strdup(call->org ? call->org : "");
	request->policy = wf_policy_copy(&call->policy);
	request->model = g_strdup(call->policy.target ? call->policy.target
						      : call->name);
	request->body = call->body ? g_bytes_ref(call->body) : NULL;
	request->prompt_tokens = call->prompt_tokens;
	request->max_tokens = MAX(call->max_tokens, 1);
	request->prefix_hashes = g_memdup2(
		call->prefix_hashes, call->n_prefix_hashes * sizeof(uint64_t));
	request->n_prefix_hashes = call->n_prefix_hashes;
	request->arrival = ctx->now;
	request->deadline = deadline_of(ctx, call);
	request->chain = wf_chain_new();
	request->stages = g_array_new(FALSE, TRUE, sizeof(struct run_stage));
	request->ops = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	request->early =
		g_array_new(FALSE, FALSE, sizeof(struct run_early_token));
	g_array_set_clear_func(request->early, clear_early);
	request->delivered = g_string_new(NULL);
	request->due = CLK_NEVER;
	return request;
}

void run_release(struct run_runs *runs, struct run_request *request)
{
	guint i;

	if (!request->charged)
		return;
	request->charged = false;
	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;
		struct tgt_target *target;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (target)
			tgt_release(runs->targets, target, stage->load,
				    request->is_long);
	}
}

void run_finish(struct wf_ctx *ctx, struct run_runs *runs,
		struct run_request *request)
{
	guint i;

	(void)ctx;
	run_release(runs, request);
	if (request->item.org_queue) {
		adm_remove(run_queue(runs, request->model), &request->item);
		runs->n_queued--;
	}
	for (i = 0; i < request->ops->len; i++)
		g_hash_table_remove(runs->ops,
				    &g_array_index(request->ops, uint64_t, i));
	g_hash_table_remove(runs->requests, &request->call_id);
}

static enum err_run run_execution_status(const struct run_request *request)
{
	if (request->was_accepted)
		return ERR_RUN_YES;
	return request->may_have_run ? ERR_RUN_UNKNOWN : ERR_RUN_NOT;
}

void run_fail(struct wf_ctx *ctx, struct run_runs *runs,
	      struct run_request *request, enum err_code code,
	      clk_ms retry_after, const char *message)
{
	wf_reply_error(ctx, request->call_id, code,
		       run_execution_status(request), retry_after, "%s",
		       message);
	ctr_add(ctx->counters, "wf_runs_failed_total", 1);
	run_cancel_stream(ctx, request);
	run_finish(ctx, runs, request);
}

static void handle_call(struct wf_ctx *ctx, struct run_runs *runs,
			const struct wf_call *call)
{
	struct run_request *request;

	if (call->kind != WF_CALL_MODEL)
		return;
	if (ctx->draining) {
		wf_reply_error(ctx, call->id, ERR_DRAINING, ERR_RUN_NOT,
			       CLK_SECOND, "the instance is shutting down");
		return;
	}
	request = request_new(ctx, call);
	g_hash_table_insert(runs->requests, &request->call_id, request);
	rty_deposit(&runs->retries);
	run_admit(ctx, runs, request);
}

static void handle_gone(struct wf_ctx *ctx, struct run_runs *runs,
			uint64_t call_id)
{
	struct run_request *request;

	request = g_hash_table_lookup(runs->requests, &call_id);
	if (!request)
		return;
	run_cancel_stream(ctx, request);
	run_finish(ctx, runs, request);
}

static void handle(struct wf_ctx *ctx, struct wf_module *module,
		   const struct wf_event *event)
{
	struct run_runs *runs = (struct run_runs *)module;

	switch (event->type) {
	case WF_EV_CALL:
		handle_call(ctx, runs, event->call);
		break;
	case WF_EV_CALLER_GONE:
		handle_gone(ctx, runs, event->call_id);
		break;
	case WF_EV_STREAM:
		run_handle_stream(ctx, runs, event->stream);
		break;
	case WF_EV_TICK:
		run_handle_due(ctx, runs);
		break;
	default:
		break;
	}
	if (runs->n_queued && runs->seen_revision != runs->targets->revision)
		run_dispatch_all(ctx, runs);
}

static clk_ms next_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct run_runs *runs = (struct run_runs *)module;

	if (runs->n_queued && runs->seen_revision != runs->targets->revision)
		return ctx->now;
	return runs->next_due;
}

static void drop(struct wf_module *module)
{
	struct run_runs *runs = (struct run_runs *)module;

	g_hash_table_unref(runs->queues);
	g_hash_table_unref(runs->ops);
	g_hash_table_unref(runs->requests);
	adm_history_drop(runs->history);
	g_free(runs);
}

static const struct wf_module_ops run_ops = {
	.name = "runs",
	.handle = handle,
	.next_wakeup = next_wakeup,
	.drop = drop,
};

struct run_runs *run_new(struct wf_ctx *ctx, const struct run_config *config)
{
	struct run_runs *runs = g_new0(struct run_runs, 1);

	(void)ctx;
	runs->module.ops = &run_ops;
	runs->module.id = WF_MODULE_RUNS;
	runs->config = *config;
	runs->targets = config->targets;
	runs->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, request_free);
	runs->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  NULL);
	runs->queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     adm_queue_drop);
	runs->policy = adm_policy_of(config->policy);
	runs->history = adm_history_new();
	rty_init(&runs->retries, config->retry_part, config->retry_burst);
	runs->next_due = CLK_NEVER;
	return runs;
}

struct wf_module *run_module(struct run_runs *runs)
{
	return &runs->module;
}

bool run_is_idle(const struct run_runs *runs)
{
	return g_hash_table_size(runs->requests) == 0;
}

size_t run_n_queued(const struct run_runs *runs)
{
	return runs->n_queued;
}

size_t run_n_streaming(const struct run_runs *runs)
{
	return g_hash_table_size(runs->requests) - runs->n_queued;
}
