#include <string.h>

#include "sched/run.h"
#include "sched/tgt_load.h"

/* Tokens kept while one before them is missing. */
#define RUN_MAX_EARLY 64

void run_set_chain(struct run_runs *runs, struct run_request *request,
		   const struct chn_chain *chain)
{
	size_t i;

	run_release(runs, request);
	g_array_set_size(request->chain, 0);
	g_array_set_size(request->stages, 0);
	request->token_us = chain->token_us;
	for (i = 0; i < chain->n; i++) {
		const struct chn_stage *planned = &chain->stages[i];
		struct tgt_target *target;
		struct run_stage stage = {.target = planned->target,
					  .load = planned->load,
					  .us = planned->us};
		struct wf_stage wire = {.first_layer = planned->first_layer,
					.last_layer = planned->last_layer,
					.kv = WF_KV_FRESH};

		target = tgt_get(runs->targets, planned->target);
		wire.target = g_strdup(target->id);
		wire.address = g_strdup(target->address);
		g_array_append_val(request->chain, wire);
		g_array_append_val(request->stages, stage);
		tgt_charge(runs->targets, target, stage.load, request->is_long);
	}
	request->charged = true;
}

static void add_op(struct run_runs *runs, struct run_request *request,
		   uint64_t op)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = op;
	g_array_append_val(request->ops, op);
	g_hash_table_insert(runs->ops, key, request);
}

void run_open(struct wf_ctx *ctx, struct run_runs *runs,
	      struct run_request *request)
{
	struct wf_action action = {.type = WF_ACT_STREAM_OPEN};
	const struct wf_stage *head;

	head = &g_array_index(request->chain, struct wf_stage, 0);
	request->op = wf_new_op(ctx, WF_MODULE_RUNS);
	request->accepted = false;
	request->state = RUN_STREAMING;
	request->touched = true;
	request->last_event = ctx->now;
	add_op(runs, request, request->op);
	action.op = request->op;
	action.call_id = request->call_id;
	action.target = g_strdup(head->target);
	action.address = g_strdup(head->address);
	action.model = g_strdup(request->model);
	action.body = request->body ? g_bytes_ref(request->body) : NULL;
	action.chain = wf_chain_copy(request->chain);
	action.lineage = request->lineage;
	action.start_position = request->next_position;
	action.max_tokens = request->max_tokens;
	action.priority = request->policy.priority;
	action.delivered = g_strdup(request->delivered->str);
	wf_emit(ctx, &action);
}

void run_cancel_stream(struct wf_ctx *ctx, struct run_request *request)
{
	struct wf_action action = {.type = WF_ACT_STREAM_CANCEL};
	const struct wf_stage *head;

	if (!request->op || !request->chain->len)
		return;
	head = &g_array_index(request->chain, struct wf_stage, 0);
	action.op = request->op;
	action.call_id = request->call_id;
	action.target = g_strdup(head->target);
	action.address = g_strdup(head->address);
	action.lineage = request->lineage;
	request->op = 0;
	wf_emit(ctx, &action);
}

void run_start(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request)
{
	struct chn_query query = {.model = request->model};
	struct chn_chain chain;

	query.data_centers = request->policy.data_centers;
	query.prefix_hashes = request->prefix_hashes;
	query.n_prefix_hashes = request->n_prefix_hashes;
	if (chn_plan(ctx, runs->targets, &query, &chain) != CHN_FOUND) {
		run_fail(ctx, runs, request, ERR_NO_TARGET,
			 "no usable engines cover the model");
		return;
	}
	request->n_layers = chn_n_layers(runs->targets, request->model);
	request->lineage++;
	run_set_chain(runs, request, &chain);
	run_open(ctx, runs, request);
}

bool run_receipts_are_whole(const struct wf_stream_event *event,
			    unsigned n_layers)
{
	unsigned next = 0;
	size_t i;

	for (i = 0; i < event->n_receipts; i++) {
		const struct wf_receipt *receipt = &event->receipts[i];

		if (receipt->first_layer != next ||
		    receipt->last_layer < receipt->first_layer ||
		    receipt->last_layer >= n_layers)
			return false;
		next = receipt->last_layer + 1;
	}
	return next == n_layers;
}

static void deliver(struct wf_ctx *ctx, struct run_request *request,
		    const char *text, size_t len)
{
	struct wf_action action = {.type = WF_ACT_REPLY_TOKEN};

	action.call_id = request->call_id;
	action.text = g_strndup(text, len);
	action.position = request->next_position;
	action.lineage = request->lineage;
	g_string_append_len(request->delivered, text, (gssize)len);
	request->next_position++;
	wf_emit(ctx, &action);
}

static void keep_early(struct run_request *request,
		       const struct wf_stream_event *event)
{
	struct run_early_token token = {.position = event->position,
					.text_len = event->text_len};

	if (request->early->len >= RUN_MAX_EARLY)
		return;
	token.text = g_strndup(event->text, event->text_len);
	g_array_append_val(request->early, token);
}

/* Delivers kept tokens that are next by now. */
static void deliver_early(struct wf_ctx *ctx, struct run_request *request)
{
	guint i = 0;

	while (i < request->early->len) {
		struct run_early_token *token;

		token = &g_array_index(request->early, struct run_early_token,
				       i);
		if (token->position > request->next_position) {
			i++;
			continue;
		}
		if (token->position == request->next_position)
			deliver(ctx, request, token->text, token->text_len);
		g_array_remove_index_fast(request->early, i);
		i = 0;
	}
}

static void finish_stream(struct wf_ctx *ctx, struct run_runs *runs,
			  struct run_request *request)
{
	struct wf_action action = {.type = WF_ACT_REPLY_END};

	action.call_id = request->call_id;
	action.text = g_strdup(request->end_reason);
	wf_emit(ctx, &action);
	ctr_add(ctx->counters, "wf_runs_completed_total", 1);
	run_finish(ctx, runs, request);
}

static void handle_token(struct wf_ctx *ctx, struct run_runs *runs,
			 struct run_request *request,
			 const struct wf_stream_event *event)
{
	if (event->position < request->next_position) {
		ctr_add(ctx->counters, "wf_tokens_repeated_total", 1);
		return;
	}
#ifndef WF_GUARD_OFF_RECEIPT_CHECK
	if (!run_receipts_are_whole(event, request->n_layers)) {
		ctr_add(ctx->counters, "wf_receipt_violations_total", 1);
		run_recover(ctx, runs, request, ERR_PROTOCOL, NULL);
		return;
	}
#endif
	if (event->position > request->next_position) {
		keep_early(request, event);
		return;
	}
	request->accepted = true;
	request->last_event = ctx->now;
	deliver(ctx, request, event->text, event->text_len);
	deliver_early(ctx, request);
	if (request->end_reason && !request->early->len)
		finish_stream(ctx, runs, request);
}

static void handle_end(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request,
		       const struct wf_stream_event *event)
{
	g_free(request->end_reason);
	request->end_reason = g_strdup(event->reason ? event->reason : "stop");
	if (!request->early->len)
		finish_stream(ctx, runs, request);
}

void run_handle_stream(struct wf_ctx *ctx, struct run_runs *runs,
		       const struct wf_stream_event *event)
{
	struct run_request *request;

	request = g_hash_table_lookup(runs->ops, &event->op);
	if (!request)
		return;
#ifndef WF_GUARD_OFF_STALE_LINEAGE
	if (event->lineage != request->lineage) {
		ctr_add(ctx->counters, "wf_stale_lineage_total", 1);
		return;
	}
#endif
	switch (event->what) {
	case WF_STREAM_ACCEPTED:
		request->accepted = true;
		request->last_event = ctx->now;
		break;
	case WF_STREAM_TOKEN:
		handle_token(ctx, runs, request, event);
		break;
	case WF_STREAM_END:
		handle_end(ctx, runs, request, event);
		break;
	case WF_STREAM_FAILED:
		if (event->op == request->op)
			run_recover(ctx, runs, request, event->error,
				    event->failed_target);
		break;
	}
}
