#include "sched/run_private.h"

/*
 * Recovery starts when no event has come for 8 times the expected time of a
 * token (docs/design.md, section 4).
 */
#define GAP_TOKENS 8
#define GAP_MIN_MS 200.0
#define GAP_MAX_MS 2000.0
/* The prompt may take this multiple of its expected time. */
#define GAP_PREFILL_FACTOR 3.0
/* Prompt tokens that take about as long as one output token. */
#define GAP_PROMPT_PER_TOKEN 16.0
/*
 * After more attempts than this the bound doubles each time, because slow but
 * working engines would otherwise be replaced repeatedly.
 */
#define GAP_UNSCALED_ATTEMPTS 2
/*
 * The head accepts a resumed stream at once and sends stored results or the
 * next token, so the bound is shorter.
 */
#define GAP_RESUMED_TOKENS 3
#define GAP_RESUMED_MIN_MS 150.0
/* Queued requests fail after this multiple of max_wait. */
#define QUEUED_MAX_WAIT_FACTOR 3

/*
 * Long requests have a lower priority at the engines and wait longer than their
 * place in the queue suggests.
 */
#define LONG_WAIT_FACTOR 2.0

double run_expected_us(const struct run_runs *runs,
		       const struct run_request *request)
{
	double sum = request->token_us;
	guint i;

	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;
		const struct tgt_target *target;
		double use;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (!target)
			continue;
		use = (double)(target->running + target->queued) /
		      target->slots;
		if (request->is_long)
			use *= LONG_WAIT_FACTOR;
		if (use > 1)
			sum += stage->us * (use - 1);
	}
	return sum;
}

/* Expected time until the stages have built the KV state they lack. */
static double prefill_ms(const struct run_runs *runs,
			 const struct run_request *request)
{
	double us = runs->prefill_us;
	double part = 0;
	guint i;

	if (us <= 0)
		us = request->token_us / GAP_PROMPT_PER_TOKEN;
	for (i = 0; i < request->stages->len; i++) {
		enum wf_kv_mode kv =
			g_array_index(request->chain, struct wf_stage, i).kv;

		if (kv == WF_KV_FRESH || kv == WF_KV_REBUILD)
			part += g_array_index(request->stages, struct run_stage,
					      i)
					.us;
	}
	return us * (request->prompt_tokens + request->next_position) / 1000 *
	       part / MAX(request->token_us, 1);
}

static clk_ms gap_bound(const struct run_runs *runs,
			const struct run_request *request)
{
	double expected = run_expected_us(runs, request);
	double token = MAX(expected, request->observed_us) / 1000;
	double bound = CLAMP(GAP_TOKENS * token, GAP_MIN_MS, GAP_MAX_MS);

	if (request->resumed && !request->accepted)
		bound = GAP_RESUMED_MIN_MS;
	else if (request->resumed)
		bound = CLAMP(GAP_RESUMED_TOKENS * token, GAP_RESUMED_MIN_MS,
			      GAP_MAX_MS);
	else if (request->awaits_first && request->accepted)
		bound += GAP_PREFILL_FACTOR * prefill_ms(runs, request);
	if (request->attempts > GAP_UNSCALED_ATTEMPTS)
		bound = MIN(bound * (1 << (request->attempts -
					   GAP_UNSCALED_ATTEMPTS)),
			    MAX(bound, GAP_MAX_MS));
	return (clk_ms)bound;
}

void run_set_due(struct run_runs *runs, struct run_request *request)
{
	clk_ms due = request->deadline;

	switch (request->state) {
	case RUN_QUEUED:
		due = clk_min(due,
			      request->arrival + QUEUED_MAX_WAIT_FACTOR *
							 runs->config.max_wait);
		break;
	case RUN_STREAMING:
		due = clk_min(due,
			      request->last_event + gap_bound(runs, request));
		break;
	case RUN_WAITING:
		due = clk_min(due, request->retry_at);
		break;
	}
	request->due = due;
	runs->next_due = clk_min(runs->next_due, due);
}

static void handle_due(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request)
{
	if (ctx->now >= request->deadline) {
		ctr_add(ctx->counters, "wf_runs_late_total", 1);
		run_fail(ctx, runs, request, ERR_DEADLINE, 0,
			 "the deadline has passed");
		return;
	}
	switch (request->state) {
	case RUN_QUEUED:
		run_fail(ctx, runs, request, ERR_OVERLOADED, CLK_SECOND,
			 "no engine became free in time");
		break;
	case RUN_STREAMING:
		ctr_add(ctx->counters, "wf_stream_gaps_total", 1);
		run_recover(ctx, runs, request, ERR_IO, NULL);
		break;
	case RUN_WAITING:
		run_retry(ctx, runs, request);
		break;
	}
}

static GArray *collect_due(const struct wf_ctx *ctx,
			   const struct run_runs *runs)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, runs->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run_request *request = value;

		if (request->due <= ctx->now)
			g_array_append_val(ids, request->call_id);
	}
	return ids;
}

static void find_next_due(struct run_runs *runs)
{
	GHashTableIter iter;
	gpointer value;

	runs->next_due = CLK_NEVER;
	g_hash_table_iter_init(&iter, runs->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run_request *request = value;

		runs->next_due = clk_min(runs->next_due, request->due);
	}
}

void run_handle_due(struct wf_ctx *ctx, struct run_runs *runs)
{
	GArray *ids;
	guint i;

	if (ctx->now < runs->next_due)
		return;
	ids = collect_due(ctx, runs);
	for (i = 0; i < ids->len; i++) {
		struct run_request *request;

		request = g_hash_table_lookup(runs->requests,
					      &g_array_index(ids, uint64_t, i));
		if (request && request->due <= ctx->now)
			handle_due(ctx, runs, request);
	}
	g_array_unref(ids);
	find_next_due(runs);
}
