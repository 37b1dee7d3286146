#include <string.h>

#include "sched/run_private.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_cache.h"
#include "sched/tgt_load.h"

/* Tokens buffered while one with a lower position is missing, at most. */
#define RUN_MAX_EARLY 64
#define RUN_TOKEN_SMOOTHING 0.3
#define RUN_PREFILL_SMOOTHING 0.1

static void make_stage(const struct run_runs *runs,
		       const struct chn_stage *planned, enum wf_kv_mode kv,
		       const char *source, struct wf_stage *wire,
		       struct run_stage *stage)
{
	const struct tgt_target *target;

	target = tgt_get(runs->targets, planned->target);
	memset(wire, 0, sizeof(*wire));
	wire->target = g_strdup(target->id);
	wire->address = g_strdup(target->address);
	wire->first_layer = planned->first_layer;
	wire->last_layer = planned->last_layer;
	wire->kv = kv;
	wire->kv_source = kv == WF_KV_IMPORT ? g_strdup(source) : NULL;
	stage->target = planned->target;
	stage->load = planned->load;
	stage->us = planned->us;
}

static void charge(struct wf_ctx *ctx, struct run_runs *runs,
		   struct run_request *request)
{
	guint i;

	request->charged = true;
	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;
		struct tgt_target *target;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (target)
			tgt_charge(ctx, runs->targets, target, stage->load,
				   request->is_long);
	}
}

void run_set_chain(struct wf_ctx *ctx, struct run_runs *runs,
		   struct run_request *request, const struct chn_chain *chain)
{
	size_t i;

	run_release(runs, request);
	g_array_set_size(request->chain, 0);
	g_array_set_size(request->stages, 0);
	request->token_us = chain->token_us;
	for (i = 0; i < chain->n; i++) {
		struct wf_stage wire;
		struct run_stage stage;

		make_stage(runs, &chain->stages[i], WF_KV_FRESH, NULL, &wire,
			   &stage);
		stage.lineage = request->lineage;
		g_array_append_val(request->chain, wire);
		g_array_append_val(request->stages, stage);
	}
	charge(ctx, runs, request);
}

/* A stage may not hold its state until a token follows its rebuild. */
static void set_kept_stages(struct run_request *request, enum wf_kv_mode kv)
{
	guint i;

	for (i = 0; i < request->chain->len; i++) {
		struct wf_stage *stage;

		if (g_array_index(request->stages, struct run_stage, i)
			    .lineage == request->lineage)
			continue;
		stage = &g_array_index(request->chain, struct wf_stage, i);
		if (request->awaits_first && stage->kv == WF_KV_REBUILD)
			continue;
		stage->kv = kv;
		g_clear_pointer(&stage->kv_source, g_free);
	}
}

void run_replace_stage(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request, guint index,
		       const struct chn_chain *part, enum wf_kv_mode kv)
{
	bool held = request->next_position > 0;
	char *source = g_strdup(
		g_array_index(request->chain, struct wf_stage, index).target);
	size_t i;

	run_release(runs, request);
	request->token_us -=
		g_array_index(request->stages, struct run_stage, index).us;
	g_array_remove_index(request->chain, index);
	g_array_remove_index(request->stages, index);
	set_kept_stages(request, held ? WF_KV_HELD : WF_KV_FRESH);
	for (i = 0; i < part->n; i++) {
		struct wf_stage wire;
		struct run_stage stage;

		make_stage(runs, &part->stages[i], held ? kv : WF_KV_FRESH,
			   source, &wire, &stage);
		stage.lineage = request->lineage;
		request->token_us += stage.us;
		g_array_insert_val(request->chain, index + i, wire);
		g_array_insert_val(request->stages, index + i, stage);
	}
	g_free(source);
	charge(ctx, runs, request);
}

static void add_op(struct run_runs *runs, struct run_request *request,
		   uint64_t op)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = op;
	g_array_append_val(request->ops, op);
	g_hash_table_insert(runs->ops, key, request);
}

void run_open_stream(struct wf_ctx *ctx, struct run_runs *runs,
		     struct run_request *request)
{
	struct wf_action action = {.type = WF_ACT_STREAM_OPEN};
	const struct wf_stage *head;

	head = &g_array_index(request->chain, struct wf_stage, 0);
	request->op = wf_new_op(ctx, WF_MODULE_RUNS);
	request->accepted = false;
	request->state = RUN_STREAMING;
	request->may_have_run = true;
	request->awaits_first = true;
	request->resumed = false;
	request->health_checked_at = 0;
	g_clear_pointer(&request->end_reason, g_free);
	request->opened = ctx->now;
	request->last_event = ctx->now;
	request->last_token = ctx->now;
	request->slowness = 1;
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
	action.priority = 2 * request->policy.priority + request->is_long;
	action.delivered = g_strdup(request->delivered->str);
	wf_emit(ctx, &action);
	run_set_due(runs, request);
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

bool run_receipts_cover_layers(const struct wf_stream_event *event,
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

const char *run_find_bad_receipt(const struct run_request *request,
				 const struct wf_stream_event *event)
{
	guint i;

	for (i = 0; i < request->chain->len; i++) {
		const struct wf_stage *stage;
		const struct wf_receipt *receipt = &event->receipts[i];

		stage = &g_array_index(request->chain, struct wf_stage, i);
		if (i >= event->n_receipts ||
		    receipt->first_layer != stage->first_layer ||
		    receipt->last_layer != stage->last_layer)
			return stage->target;
	}
	return NULL;
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

static void buffer_early(struct run_request *request,
			 const struct wf_stream_event *event)
{
	struct run_early_token token = {.position = event->position,
					.text_len = event->text_len};

	if (request->early->len >= RUN_MAX_EARLY)
		return;
	token.text = g_strndup(event->text, event->text_len);
	g_array_append_val(request->early, token);
}

/* Delivers the buffered tokens that follow without a gap. */
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
	adm_record_length(runs->history, request->org, request->model,
			  request->max_tokens, request->next_position);
	run_finish(ctx, runs, request);
}

/* Records the time of a token other than the stream's first one. */
static void observe_token(struct wf_ctx *ctx, struct run_runs *runs,
			  struct run_request *request)
{
	double us = 1000.0 * (double)(ctx->now - request->last_token);
	double ratio = us / MAX(run_expected_us(runs, request), 1);
	guint i;

	if (request->observed_us <= 0)
		request->observed_us = us;
	request->observed_us +=
		RUN_TOKEN_SMOOTHING * (us - request->observed_us);
	request->slowness += RUN_TOKEN_SMOOTHING * (ratio - request->slowness);
	chn_note_inflation(runs->targets, request->model,
			   us / MAX(request->token_us, 1));
	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;
		struct tgt_target *target;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (!target)
			continue;
		tgt_observe_token_time(runs->targets, target, ratio);
		tgt_record_success(ctx, runs->targets, target);
	}
}

/* Records that the stages hold the prompt's prefix. */
static void record_prefix(struct run_runs *runs,
			  const struct run_request *request)
{
	guint i;

	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;

		stage = &g_array_index(request->stages, struct run_stage, i);
		tgt_cache_add_prefix(runs->targets, stage->target,
				     request->prefix_hashes,
				     request->n_prefix_hashes);
	}
}

/* Estimates the time of a prompt token from the request's first token. */
static void observe_first(struct wf_ctx *ctx, struct run_runs *runs,
			  struct run_request *request)
{
	double us = 1000.0 * (double)(ctx->now - request->opened);

	us = MAX(us - request->token_us, 0) / MAX(request->prompt_tokens, 1);
	if (runs->prefill_us <= 0)
		runs->prefill_us = us;
	else
		runs->prefill_us +=
			RUN_PREFILL_SMOOTHING * (us - runs->prefill_us);
	record_prefix(runs, request);
}

/* Counts a request as long once it exceeds the length of short ones. */
static void reclassify(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request)
{
	if (request->is_long || !runs->config.use_classes ||
	    request->next_position <= adm_long_threshold(runs->history))
		return;
	run_release(runs, request);
	request->is_long = true;
	charge(ctx, runs, request);
	ctr_add(ctx->counters, "wf_runs_reclassified_total", 1);
}

/* A request whose stream delivers a token again needs no new chain. */
static void stop_waiting(struct wf_ctx *ctx, struct run_runs *runs,
			 struct run_request *request, uint64_t op)
{
	if (request->state != RUN_WAITING)
		return;
	request->state = RUN_STREAMING;
	request->may_have_run = true;
	if (!request->op)
		request->op = op;
	if (!request->charged)
		charge(ctx, runs, request);
	ctr_add(ctx->counters, "wf_recoveries_total{by=\"late_token\"}", 1);
}

static void note_progress(struct wf_ctx *ctx, struct run_runs *runs,
			  struct run_request *request)
{
	if (!request->awaits_first)
		observe_token(ctx, runs, request);
	else if (!request->next_position)
		observe_first(ctx, runs, request);
	request->awaits_first = false;
	request->accepted = true;
	request->was_accepted = true;
	request->resumed = false;
	request->health_checked_at = 0;
	request->attempts = 0;
	request->recovering_since = 0;
	request->last_event = ctx->now;
	request->last_token = ctx->now;
	adm_note_work(run_queue(runs, request->model), ctx->now, 1);
	reclassify(ctx, runs, request);
}

static bool check_receipts(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request,
			   const struct wf_stream_event *event)
{
#ifndef WF_GUARD_OFF_RECEIPT_CHECK
	if (!run_receipts_cover_layers(event, request->n_layers)) {
		ctr_add(ctx->counters, "wf_receipt_violations_total", 1);
		run_recover(ctx, runs, request, ERR_PROTOCOL,
			    run_find_bad_receipt(request, event));
		return false;
	}
#else
	(void)ctx;
	(void)runs;
	(void)request;
	(void)event;
#endif
	return true;
}

/* Finish reason "length" before max_tokens means that tokens were lost. */
static bool is_complete(const struct run_request *request)
{
	if (!request->end_reason || request->early->len)
		return false;
	return strcmp(request->end_reason, "length") != 0 ||
	       request->next_position >= request->max_tokens;
}

static void handle_token(struct wf_ctx *ctx, struct run_runs *runs,
			 struct run_request *request,
			 const struct wf_stream_event *event)
{
	if (event->position < request->next_position) {
		ctr_add(ctx->counters, "wf_tokens_repeated_total", 1);
		return;
	}
	if (!check_receipts(ctx, runs, request, event))
		return;
	if (event->position > request->next_position) {
		buffer_early(request, event);
		return;
	}
	stop_waiting(ctx, runs, request, event->op);
	note_progress(ctx, runs, request);
	deliver(ctx, request, event->text, event->text_len);
	deliver_early(ctx, request);
	if (is_complete(request)) {
		finish_stream(ctx, runs, request);
		return;
	}
	run_consider_move(ctx, runs, request);
	run_set_due(runs, request);
}

static void handle_end(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request,
		       const struct wf_stream_event *event)
{
	g_free(request->end_reason);
	request->end_reason = g_strdup(event->reason ? event->reason : "stop");
	if (is_complete(request))
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
	if (event->lineage != request->lineage &&
	    event->what != WF_STREAM_FAILED) {
		ctr_add(ctx->counters, "wf_stale_lineage_total", 1);
		return;
	}
#endif
	switch (event->what) {
	case WF_STREAM_ACCEPTED:
		request->accepted = true;
		request->was_accepted = true;
		request->last_event = ctx->now;
		run_set_due(runs, request);
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
