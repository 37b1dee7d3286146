#include <string.h>

#include "sched/run.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_load.h"

/* Attempts without a token in between before the request is given up. */
#define RUN_MAX_ATTEMPTS 10
/* Pause before the next attempt if no chain is found or retries are used up. */
#define RUN_BACKOFF 50
#define RUN_BACKOFF_MAX 1000
/* Longest time without any usable chain before the request is given up. */
#define RUN_MAX_LOST (30 * CLK_SECOND)
/* A report this old says nothing about whether an export is possible. */
#define RUN_REPORT_FRESH 2000

/* A report this much later than the poll period is missing. */
#define RUN_REPORT_LATE 100

/* Waiting steps a slot that explain a silence, and for how long at most. */
#define WAIT_QUEUE_LONG 0.5
#define WAIT_QUEUE_SHORT 2.0
#define WAIT_MAX (10 * CLK_SECOND)

static const struct wf_stage *head_of(const struct run_request *request)
{
	return &g_array_index(request->chain, struct wf_stage, 0);
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

static void avoid(struct run_request *request, tbl_handle handle)
{
	size_t i;

	for (i = 0; i < request->n_avoid; i++)
		if (request->avoid[i] == handle)
			return;
	if (request->n_avoid == RUN_MAX_AVOID) {
		memmove(request->avoid, request->avoid + 1,
			(RUN_MAX_AVOID - 1) * sizeof(tbl_handle));
		request->n_avoid--;
	}
	request->avoid[request->n_avoid++] = handle;
}

static void wait_for_chain(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request)
{
	gint32 span = RUN_BACKOFF << MIN(request->attempts, 5);

	if (ctx->now - request->lost_at >= RUN_MAX_LOST) {
		run_fail(ctx, runs, request, ERR_TARGET_LOST, CLK_SECOND,
			 "no engines are left to continue on");
		return;
	}
	span = MIN(span, RUN_BACKOFF_MAX);
	run_release(runs, request);
	request->state = RUN_WAITING;
	request->retry_at = ctx->now + span / 2 +
			    g_rand_int_range(ctx->rand, 0, MAX(span / 2, 1));
	run_set_due(runs, request);
}

/* Continues from the delivered tokens on engines that know nothing of it. */
static void start_new_chain(struct wf_ctx *ctx, struct run_runs *runs,
			    struct run_request *request)
{
	struct chn_query query;
	struct chn_chain chain;

	run_query(request, &query);
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
	run_open(ctx, runs, request);
	ctr_add(ctx->counters, "wf_recoveries_total{by=\"new_chain\"}", 1);
}

void run_retry(struct wf_ctx *ctx, struct run_runs *runs,
	       struct run_request *request)
{
	if (!request->touched) {
		run_put_back(ctx, runs, request);
		run_pull(ctx, runs, request->model);
		return;
	}
	start_new_chain(ctx, runs, request);
}

/* The same engines over a new connection; results stored there come again. */
static void resume(struct wf_ctx *ctx, struct run_runs *runs,
		   struct run_request *request)
{
	bool first = request->first;
	double slowness = request->slowness;

	request->resumed = true;
	run_open(ctx, runs, request);
	request->first = first;
	request->slowness = slowness;
	ctr_add(ctx->counters, "wf_recoveries_total{by=\"resume\"}", 1);
}

/* Whether the KV state can still be fetched from a stage that is left. */
static bool can_export(const struct wf_ctx *ctx,
		       const struct tgt_target *target)
{
	return target && target->listed && target->reachable &&
	       target->breaker == TGT_CLOSED &&
	       ctx->now - target->reported_at <= RUN_REPORT_FRESH;
}

static unsigned neighbour_data_center(const struct run_runs *runs,
				      const struct run_request *request,
				      int index)
{
	guint other = index > 0 ? (guint)index - 1 : 1;
	const struct tgt_target *target;

	if (other >= request->stages->len)
		return 0;
	target = tgt_get(
		runs->targets,
		g_array_index(request->stages, struct run_stage, other).target);
	return target ? target->data_center_number : 0;
}

static bool plan_replacement(struct wf_ctx *ctx, struct run_runs *runs,
			     struct run_request *request, int index,
			     bool need_room, struct chn_chain *part)
{
	const struct wf_stage *stage;
	struct chn_query query;

	stage = &g_array_index(request->chain, struct wf_stage, (guint)index);
	run_query(request, &query);
	query.need_room = need_room;
	return chn_plan_range(ctx, runs->targets, &query, stage->first_layer,
			      stage->last_layer,
			      neighbour_data_center(runs, request, index),
			      part) == CHN_FOUND;
}

/* A lower lineage is fenced by the engines that stay; a left head is told. */
static void leave_stage(struct wf_ctx *ctx, struct run_runs *runs,
			struct run_request *request, int index,
			const struct chn_chain *part, enum wf_kv kv)
{
	if (index == 0)
		run_cancel_stream(ctx, request);
	request->lineage++;
	run_replace_stage(ctx, runs, request, (guint)index, part, kv);
	run_open(ctx, runs, request);
}

static void replace(struct wf_ctx *ctx, struct run_runs *runs,
		    struct run_request *request, const char *id,
		    bool may_import)
{
	int index = find_stage(request, id);
	struct tgt_target *target = tgt_find(runs->targets, id);
	struct chn_chain part;
	enum wf_kv kv = WF_KV_REBUILD;

	if (target)
		avoid(request, target->handle);
	if (index < 0 || !runs->config.use_replacement ||
	    !plan_replacement(ctx, runs, request, index, false, &part)) {
		start_new_chain(ctx, runs, request);
		return;
	}
	if (may_import && can_export(ctx, target))
		kv = WF_KV_IMPORT;
	leave_stage(ctx, runs, request, index, &part, kv);
	ctr_add(ctx->counters,
		kv == WF_KV_IMPORT ? "wf_recoveries_total{by=\"import\"}"
				   : "wf_recoveries_total{by=\"rebuild\"}",
		1);
}

/* An import that found nothing to import becomes a rebuild. */
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
	run_open(ctx, runs, request);
	return true;
}

/* A refusal: nothing ran on this stream. */
static void handle_refusal(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request, const char *id)
{
	struct tgt_target *target = tgt_find(runs->targets, id);

	if (target)
		avoid(request, target->handle);
	if (request->ran) {
		replace(ctx, runs, request, id, true);
		return;
	}
	request->touched = false;
	request->op = 0;
	if (!rty_take(&runs->retries)) {
		ctr_add(ctx->counters, "wf_retries_held_back_total", 1);
		wait_for_chain(ctx, runs, request);
		return;
	}
	run_put_back(ctx, runs, request);
	run_pull(ctx, runs, request->model);
}

/* The stage that most likely does not answer, if the head does. */
static const char *find_suspect(const struct run_runs *runs,
				const struct run_request *request)
{
	const char *suspect = NULL;
	double worst = 1;
	guint i;

	for (i = 0; i < request->chain->len; i++) {
		const char *id =
			g_array_index(request->chain, struct wf_stage, i)
				.target;
		const struct tgt_target *target = tgt_find(runs->targets, id);
		double evidence;

		if (!target || !target->reachable || !target->listed)
			return id;
		evidence = target->inflation + target->failures;
		if (evidence <= worst)
			continue;
		worst = evidence;
		suspect = id;
	}
	return suspect;
}

/*
 * The only stage behind the head whose report is missing: an engine that has
 * stopped answers neither steps nor polls. NULL if there are none or several.
 */
static const char *find_unreported(const struct wf_ctx *ctx,
				   const struct run_runs *runs,
				   const struct run_request *request)
{
	clk_ms limit = runs->targets->config.poll_period + RUN_REPORT_LATE;
	const char *found = NULL;
	guint i;

	for (i = 1; i < request->stages->len; i++) {
		const struct run_stage *stage;
		const struct tgt_target *target;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (!target || ctx->now - target->reported_at <= limit)
			continue;
		if (found)
			return NULL;
		found = target->id;
	}
	return found;
}

/*
 * Whether waiting steps at a stage explain the silence: reports are fresh, no
 * evidence speaks against any stage and one has a queue. Long requests have a
 * lower priority at the engines, so a short queue is enough for them.
 */
static bool is_congested(const struct wf_ctx *ctx, const struct run_runs *runs,
			 const struct run_request *request)
{
	double least = request->is_long ? WAIT_QUEUE_LONG : WAIT_QUEUE_SHORT;
	bool queued = false;
	guint i;

	for (i = 0; i < request->stages->len; i++) {
		const struct run_stage *stage;
		const struct tgt_target *target;

		stage = &g_array_index(request->stages, struct run_stage, i);
		target = tgt_get(runs->targets, stage->target);
		if (!target || !target->reachable || !target->listed ||
		    target->breaker != TGT_CLOSED || target->failures > 0.5 ||
		    ctx->now - target->reported_at > RUN_REPORT_FRESH)
			return false;
		if (target->queued >= least * target->slots)
			queued = true;
	}
	return queued;
}

/* The head has confirmed the stream, so another look later is enough. */
static bool wait_longer(struct wf_ctx *ctx, struct run_runs *runs,
			struct run_request *request)
{
	if (!request->accepted || !is_congested(ctx, runs, request) ||
	    ctx->now - request->lost_at >= WAIT_MAX)
		return false;
	request->attempts--;
	request->last_event = ctx->now;
	run_set_due(runs, request);
	ctr_add(ctx->counters, "wf_gaps_explained_total", 1);
	return true;
}

static void handle_silence(struct wf_ctx *ctx, struct run_runs *runs,
			   struct run_request *request)
{
	const char *id = head_of(request)->target;
	struct tgt_target *target;

	if (!request->resumed && runs->config.use_resume) {
		resume(ctx, runs, request);
		return;
	}
	if (wait_longer(ctx, runs, request))
		return;
	if (request->accepted)
		id = find_unreported(ctx, runs, request);
	if (!id)
		id = find_suspect(runs, request);
	target = tgt_find(runs->targets, id);
	if (target)
		tgt_failed(ctx, runs->targets, target, TGT_EVIDENCE_SILENT);
	if (id)
		replace(ctx, runs, request, id, false);
	else
		start_new_chain(ctx, runs, request);
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
		tgt_failed(ctx, runs->targets, target, TGT_EVIDENCE_LOST);
		break;
	case ERR_OVERLOADED:
		tgt_failed(ctx, runs->targets, target, TGT_EVIDENCE_REFUSED);
		tgt_set_full(target);
		break;
	case ERR_DRAINING:
		tgt_set_leaving(ctx, runs->targets, target, false);
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
	if (!request->lost_at)
		request->lost_at = ctx->now;
	request->attempts++;
	if (!runs->config.use_recovery ||
	    request->attempts > RUN_MAX_ATTEMPTS) {
		run_fail(ctx, runs, request, error, CLK_SECOND,
			 "the engines stopped in the middle of the request");
	} else {
		if (target && error == ERR_PROTOCOL)
			avoid(request, target->handle);
		recover_by_error(ctx, runs, request, error, id);
	}
	g_free(id);
}

/* Recent tokens this much slower than expected let the chain be checked. */
#define MOVE_SLOWNESS 2.5
/* Stages within this factor of the worst inflation are equally slow. */
#define MOVE_BLAME 1.3
#define MOVE_MIN_INFLATION 1.5
#define MOVE_MIN_TOKENS_LEFT 8
#define MOVE_MAX 3

static double inflation_of(const struct run_runs *runs,
			   const struct run_request *request, guint index)
{
	const struct tgt_target *target;

	target = tgt_get(
		runs->targets,
		g_array_index(request->stages, struct run_stage, index).target);
	return target ? target->inflation : 1;
}

/*
 * The stage to blame. If several are equally slow, because they always ran
 * together, a random one of them: other requests try others, after which the
 * evidence differs.
 */
static int find_slow_stage(const struct wf_ctx *ctx,
			   const struct run_runs *runs,
			   const struct run_request *request, double *worst)
{
	int index = -1;
	gint32 alike = 0;
	guint i;

	*worst = 1;
	for (i = 0; i < request->stages->len; i++)
		*worst = MAX(*worst, inflation_of(runs, request, i));
	for (i = 0; i < request->stages->len; i++) {
		if (inflation_of(runs, request, i) * MOVE_BLAME < *worst)
			continue;
		if (!g_rand_int_range(ctx->rand, 0, ++alike))
			index = (int)i;
	}
	return index;
}

static bool move_is_better(const struct run_runs *runs,
			   const struct chn_chain *part, double worst)
{
	size_t i;

	for (i = 0; i < part->n; i++) {
		const struct tgt_target *target;

		target = tgt_get(runs->targets, part->stages[i].target);
		if (!target || target->inflation > worst / 2)
			return false;
	}
	return true;
}

/* A request beyond its expected length is expected to double once more. */
static double tokens_left(const struct run_request *request)
{
	double done = request->next_position;
	double left = request->item.cost - done;

	return MIN(left > 0 ? left : done, request->max_tokens - done);
}

static bool should_move(const struct run_runs *runs,
			const struct run_request *request)
{
	return runs->config.use_moves && runs->config.use_recovery &&
	       request->moves < MOVE_MAX && request->slowness > MOVE_SLOWNESS &&
	       tokens_left(request) > MOVE_MIN_TOKENS_LEFT;
}

void run_consider_move(struct wf_ctx *ctx, struct run_runs *runs,
		       struct run_request *request)
{
	struct chn_chain part;
	struct tgt_target *target;
	size_t n_avoid = request->n_avoid;
	double worst;
	int index;

	if (!should_move(runs, request))
		return;
	index = find_slow_stage(ctx, runs, request, &worst);
	if (index < 0)
		return;
	target = tgt_get(
		runs->targets,
		g_array_index(request->stages, struct run_stage, (guint)index)
			.target);
	avoid(request, target->handle);
	if (!plan_replacement(ctx, runs, request, index, true, &part) ||
	    !move_is_better(runs, &part, worst)) {
		request->n_avoid = n_avoid;
		return;
	}
	request->moves++;
	leave_stage(ctx, runs, request, index, &part,
		    can_export(ctx, target) ? WF_KV_IMPORT : WF_KV_REBUILD);
	ctr_add(ctx->counters, "wf_moves_total", 1);
}
