#include <string.h>

#include "sched/run_private.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_digest.h"
#include "sched/tgt_load.h"

/* Attempts without a new token before the request fails. */
#define RUN_MAX_ATTEMPTS 10
/* Pause before the next attempt without a chain or a retry left. */
#define RUN_BACKOFF_MS 50
#define RUN_BACKOFF_MAX_MS 1000
/* Longest time without a usable chain before the request fails. */
#define RUN_MAX_OUTAGE (30 * CLK_SECOND)
/* Waiting steps per slot that explain a stall, and the longest wait. */
#define CONGESTED_LONG 0.5
#define CONGESTED_SHORT 2.0
#define CONGESTED_MAX_WAIT (10 * CLK_SECOND)
/* Longest wait for the results of health checks. */
#define HEALTH_WAIT_MS (TGT_HEALTH_TIMEOUT_MS + 50)
/* Gap bound, in expected tokens, of other streams through a failed stage. */
#define SHORTENED_GAP_TOKENS 3

static const struct wf_stage *head_of(const struct run_request *request)
{
	return &g_array_index(request->chain, struct wf_stage, 0);
}

static struct tgt_target *stage_target(const struct run_runs *runs,
				       const struct run_request *request,
				       guint index)
{
	const struct run_stage *stage;

	stage = &g_array_index(request->stages, struct run_stage, index);
	return tgt_get(runs->targets, stage->target);
}

static int find_stage(const struct run_request *request, const char *id)
{
	guint i;

	for (i = 0; id && i < request->chain->len; i++)
		if (!strcmp(g_array_index(request->chain, struct wf_stage, i)
				    .target,
			    id))
			return (int)i;
	return -1;
}

static void wait_for_chain(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request)
{
	gint32 span = RUN_BACKOFF_MS << MIN(request->attempts, 5);

	if (ctx->now - request->recovering_since >= RUN_MAX_OUTAGE) {
		run_fail(ctx, runs, request, ERR_TARGET_LOST, CLK_SECOND,
			 "no engine is available to continue the request");
		return;
	}
	span = MIN(span, RUN_BACKOFF_MAX_MS);
	run_release(runs, request);
	request->state = RUN_WAITING;
	request->retry_at = ctx->now + span / 2 +
			    g_rand_int_range(ctx->rand, 0, MAX(span / 2, 1));
	run_set_due(runs, request);
}

/* Continues after the delivered tokens on engines without KV state. */
static void start_new_chain(struct wf_ctx *ctx, struct run_runs *runs,
			    struct run_request *request)
{
	struct chn_query query;
	struct chn_chain chain;

	run_fill_query(request, &query);
	if (chn_plan(ctx, runs->targets, &query, &chain) != CHN_FOUND) {
		query.n_avoid = 0;
		if (chn_plan(ctx, runs->targets, &query, &chain) != CHN_FOUND) {
			wait_for_chain(ctx, runs, request);
			return;
		}
	}
	run_cancel_stream(ctx, request);
	request->lineage++;
	run_set_chain(ctx, runs, request, &chain);
	run_open_stream(ctx, runs, request);
	ctr_add(ctx->counters, "wf_recoveries_total{by=\"new_chain\"}", 1);
}

void run_retry(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request)
{
	if (!request->may_have_run) {
		run_requeue(ctx, runs, request);
		run_dispatch(ctx, runs, request->model);
		return;
	}
	start_new_chain(ctx, runs, request);
}

/* Reopens the stream to the same engines, which resend stored results. */
static void resume(struct wf_ctx *ctx, struct run_runs *runs,
		   struct run_request *request)
{
	bool first = request->awaits_first;
	double slowness = request->slowness;
	clk_ms last_token = request->last_token;
	clk_ms health_checked_at = request->health_checked_at;

	run_open_stream(ctx, runs, request);
	request->resumed = true;
	request->last_token = last_token;
	request->health_checked_at = health_checked_at;
	request->awaits_first = first;
	request->slowness = slowness;
	run_set_due(runs, request);
	ctr_add(ctx->counters, "wf_recoveries_total{by=\"resume\"}", 1);
}

static void replace(struct wf_ctx *ctx, struct run_runs *runs,
		    struct run_request *request, const char *id,
		    bool may_import)
{
	int index = find_stage(request, id);
	struct tgt_target *target = tgt_find(runs->targets, id);
	struct chn_chain part;
	enum wf_kv_mode kv = WF_KV_REBUILD;

	if (target)
		run_avoid(request, target->handle);
	if (index < 0 || !runs->config.use_replacement ||
	    !run_plan_replacement(ctx, runs, request, index, false, &part)) {
		start_new_chain(ctx, runs, request);
		return;
	}
	if (may_import && run_can_export(ctx, target))
		kv = WF_KV_IMPORT;
	run_replace_and_reopen(ctx, runs, request, index, &part, kv);
	ctr_add(ctx->counters,
		kv == WF_KV_IMPORT ? "wf_recoveries_total{by=\"import\"}"
				   : "wf_recoveries_total{by=\"rebuild\"}",
		1);
}

/* Turns imports into rebuilds if the source no longer has the KV state. */
static bool rebuild_imports(struct wf_ctx *ctx, struct run_runs *runs,
			    struct run_request *request)
{
	bool found = false;
	guint i;

	for (i = 0; i < request->chain->len; i++) {
		struct wf_stage *stage;

		stage = &g_array_index(request->chain, struct wf_stage, i);
		if (stage->kv != WF_KV_IMPORT)
			continue;
		stage->kv = WF_KV_REBUILD;
		g_clear_pointer(&stage->kv_source, g_free);
		found = true;
	}
	if (!found)
		return false;
	request->lineage++;
	run_open_stream(ctx, runs, request);
	return true;
}

/* No engine ran a step of a refused stream. */
static void handle_refusal(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request, const char *id)
{
	struct tgt_target *target = tgt_find(runs->targets, id);

	if (target)
		run_avoid(request, target->handle);
	if (request->was_accepted) {
		replace(ctx, runs, request, id, true);
		return;
	}
	request->may_have_run = false;
	request->op = 0;
	if (!rty_withdraw(&runs->retries)) {
		ctr_add(ctx->counters, "wf_retries_held_back_total", 1);
		wait_for_chain(ctx, runs, request);
		return;
	}
	run_requeue(ctx, runs, request);
	run_dispatch(ctx, runs, request->model);
}

/*
 * The stages that may have stalled the stream while the head answers: those
 * known as unreachable, otherwise all after the head that have completed no
 * token of any request since the stall, not counting one then in flight.
 */
static GPtrArray *find_suspects(const struct run_runs *runs,
				const struct run_request *request)
{
	GPtrArray *suspects = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *lost = g_ptr_array_new_with_free_func(g_free);
	clk_ms token = (clk_ms)(run_expected_us(runs, request) / 1000);
	guint i;

	for (i = 0; i < request->chain->len; i++) {
		const char *id =
			g_array_index(request->chain, struct wf_stage, i)
				.target;
		const struct tgt_target *target = tgt_find(runs->targets, id);

		if (!target || !target->reachable || !target->listed)
			g_ptr_array_add(lost, g_strdup(id));
		else if (i &&
			 target->last_success <= request->last_token + token)
			g_ptr_array_add(suspects, g_strdup(id));
	}
	if (!lost->len) {
		g_ptr_array_unref(lost);
		return suspects;
	}
	g_ptr_array_unref(suspects);
	return lost;
}

/*
 * Whether queueing explains the stalled stream: all stages have recent reports
 * and no recent failures, and one has a queue. Long requests have a lower
 * priority at the engines, so a short queue is enough for them.
 */
static bool is_congested(const struct wf_ctx *ctx, const struct run_runs *runs,
			 const struct run_request *request)
{
	double least = request->is_long ? CONGESTED_LONG : CONGESTED_SHORT;
	bool queued = false;
	guint i;

	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;
		const struct tgt_target *target;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (!target || !target->reachable || !target->listed ||
		    target->breaker != TGT_BREAKER_CLOSED ||
		    target->failures > 0.5 ||
		    ctx->now - target->reported_at > RUN_REPORT_MAX_AGE_MS)
			return false;
		if (target->queued >= least * target->slots)
			queued = true;
	}
	return queued;
}

/* The head has accepted the stream, so checking again later is enough. */
static bool extend_wait(struct wf_ctx *ctx, struct run_runs *runs,
			struct run_request *request)
{
	if (!request->accepted || !is_congested(ctx, runs, request) ||
	    ctx->now - request->recovering_since >= CONGESTED_MAX_WAIT)
		return false;
	request->attempts--;
	request->last_event = ctx->now;
	request->health_checked_at = 0;
	run_set_due(runs, request);
	ctr_add(ctx->counters, "wf_gaps_explained_total", 1);
	return true;
}

static bool uses_stage(const struct run_request *request, const char *id)
{
	return find_stage(request, id) >= 0;
}

/*
 * Ends the gap bound of other streams through a stage that does not answer, if
 * they have had no event for SHORTENED_GAP_TOKENS either.
 */
static void shorten_gap_bounds(struct wf_ctx *ctx, struct run_runs *runs,
			       const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, runs->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run_request *other = value;
		double quiet = 1000.0 * (double)(ctx->now - other->last_event);

		if (other->state != RUN_STREAMING || !uses_stage(other, id) ||
		    quiet < SHORTENED_GAP_TOKENS * run_expected_us(runs, other))
			continue;
		other->resumed = true;
		other->due = ctx->now;
		runs->next_due = clk_min(runs->next_due, ctx->now);
	}
}

/* Replaces stages in one lineage; false if one cannot be replaced. */
static bool replace_all(struct wf_ctx *ctx, struct run_runs *runs,
			struct run_request *request, const GPtrArray *ids)
{
	unsigned lineage = request->lineage;
	guint i;

	for (i = 0; i < ids->len; i++) {
		struct tgt_target *target;

		target = tgt_find(runs->targets, ids->pdata[i]);
		if (target)
			run_avoid(request, target->handle);
	}
	for (i = 0; i < ids->len; i++) {
		int index = find_stage(request, ids->pdata[i]);
		struct chn_chain part;

		if (index < 0 || !run_plan_replacement(ctx, runs, request,
						       index, false, &part))
			return false;
		if (!index)
			run_cancel_stream(ctx, request);
		request->lineage = lineage + 1;
		run_replace_stage(ctx, runs, request, (guint)index, &part,
				  WF_KV_REBUILD);
	}
	if (request->lineage == lineage)
		return false;
	run_open_stream(ctx, runs, request);
	ctr_add(ctx->counters, "wf_recoveries_total{by=\"rebuild\"}", 1);
	return true;
}

static void replace_silent(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request)
{
	GPtrArray *ids;
	guint i;

	if (request->accepted) {
		ids = find_suspects(runs, request);
	} else {
		ids = g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(ids, g_strdup(head_of(request)->target));
	}
	for (i = 0; i < ids->len; i++) {
		struct tgt_target *target;

		target = tgt_find(runs->targets, ids->pdata[i]);
		if (target)
			tgt_record_failure(ctx, runs->targets, target,
					   TGT_FAILURE_SILENT / ids->len);
	}
	if (ids->len == 1)
		shorten_gap_bounds(ctx, runs, ids->pdata[0]);
	if (!runs->config.use_replacement ||
	    !replace_all(ctx, runs, request, ids))
		start_new_chain(ctx, runs, request);
	g_ptr_array_unref(ids);
}

/* Starts health checks of all engines of the chain. */
static void check_stage_health(struct wf_ctx *ctx, struct run_runs *runs,
			       struct run_request *request)
{
	guint i;

	request->health_checked_at = ctx->now;
	for (i = 0; i < request->stages->len; i++) {
		struct tgt_target *target;

		target = stage_target(runs, request, i);
		if (target)
			tgt_check_health(ctx, target);
	}
}

/* One stage known as unreachable makes further reports unnecessary. */
static bool health_is_pending(const struct run_runs *runs,
			      const struct run_request *request)
{
	bool pending = false;
	guint i;

	for (i = 0; i < request->stages->len; i++) {
		const struct tgt_target *target;

		target = stage_target(runs, request, i);
		if (target && !target->reachable)
			return false;
		if (target && target->health_pending)
			pending = true;
	}
	return pending;
}

/*
 * Waits for the reports, without which stages that still answer would be
 * replaced as well. If the head has not accepted the stream, the head itself
 * is the suspect and no report is needed.
 */
static bool wait_for_health(struct wf_ctx *ctx, struct run_runs *runs,
			    struct run_request *request)
{
	clk_ms until = request->health_checked_at + HEALTH_WAIT_MS;

	if (!request->accepted || ctx->now >= until ||
	    !health_is_pending(runs, request))
		return false;
	request->attempts--;
	request->due = clk_min(until, request->deadline);
	runs->next_due = clk_min(runs->next_due, request->due);
	return true;
}

static void handle_silence(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request)
{
	if (!request->health_checked_at)
		check_stage_health(ctx, runs, request);
	if (!request->resumed && runs->config.use_resume) {
		resume(ctx, runs, request);
		return;
	}
	if (wait_for_health(ctx, runs, request))
		return;
	if (!extend_wait(ctx, runs, request))
		replace_silent(ctx, runs, request);
}

static void note_failure(struct wf_ctx *ctx, struct run_runs *runs,
			 enum err_code error, const char *id)
{
	struct tgt_target *target = tgt_find(runs->targets, id);

	if (!target)
		return;
	switch (error) {
	case ERR_TARGET_LOST:
	case ERR_TARGET_FAILED:
	case ERR_IO:
		tgt_record_failure(ctx, runs->targets, target,
				   TGT_FAILURE_LOST);
		break;
	case ERR_OVERLOADED:
		tgt_record_failure(ctx, runs->targets, target,
				   TGT_FAILURE_REFUSED);
		tgt_mark_full(target);
		break;
	case ERR_DRAINING:
		tgt_mark_leaving(ctx, runs->targets, target, false);
		break;
	default:
		break;
	}
}

static void recover_by_error(struct wf_ctx *ctx, struct run_runs *runs,
			     struct run_request *request, enum err_code error,
			     const char *id)
{
	switch (error) {
	case ERR_OVERLOADED:
	case ERR_DRAINING:
		handle_refusal(ctx, runs, request,
			       id ? id : head_of(request)->target);
		break;
	case ERR_TARGET_REFUSED:
		if (!rebuild_imports(ctx, runs, request))
			start_new_chain(ctx, runs, request);
		break;
	case ERR_IO:
		if (id && strcmp(id, head_of(request)->target) != 0)
			replace(ctx, runs, request, id, false);
		else
			handle_silence(ctx, runs, request);
		break;
	case ERR_TARGET_LOST:
	case ERR_TARGET_FAILED:
		if (id)
			replace(ctx, runs, request, id, false);
		else
			handle_silence(ctx, runs, request);
		break;
	default:
		start_new_chain(ctx, runs, request);
		break;
	}
}

void run_recover(struct wf_ctx *ctx, struct run_runs *runs,
		 struct run_request *request, enum err_code error,
		 const char *failed_target)
{
	char *id = g_strdup(failed_target);
	struct tgt_target *target = tgt_find(runs->targets, id);

	note_failure(ctx, runs, error, id);
	if (!request->recovering_since)
		request->recovering_since = ctx->now;
	request->attempts++;
	if (!runs->config.use_recovery ||
	    request->attempts > RUN_MAX_ATTEMPTS) {
		run_fail(ctx, runs, request, error, CLK_SECOND,
			 "the engines failed while the request was running");
	} else {
		if (target && error == ERR_PROTOCOL)
			run_avoid(request, target->handle);
		recover_by_error(ctx, runs, request, error, id);
	}
	g_free(id);
}
