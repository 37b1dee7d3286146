#include "sched/run_private.h"

/* Token time over the expected one from which a slow stage is looked for. */
#define MOVE_SLOWNESS 2.5
/* Stages within this factor of the worst inflation count as equally slow. */
#define MOVE_TIE_FACTOR 1.3
#define MOVE_MIN_TOKENS_LEFT 8
#define MOVE_MAX_PER_REQUEST 3

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
 * The slowest stage; among equally slow ones, which have always run together,
 * a random one. Other requests pick other stages, after which the inflations
 * of the stages differ.
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
		if (inflation_of(runs, request, i) * MOVE_TIE_FACTOR < *worst)
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

/* A request past its expected length is taken to be half done. */
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
	       request->moves < MOVE_MAX_PER_REQUEST &&
	       request->slowness > MOVE_SLOWNESS &&
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
	run_avoid(request, target->handle);
	if (!run_plan_replacement(ctx, runs, request, index, true, &part) ||
	    !move_is_better(runs, &part, worst)) {
		request->n_avoid = n_avoid;
		return;
	}
	request->moves++;
	run_replace_and_reopen(ctx, runs, request, index, &part,
			       run_can_export(ctx, target) ? WF_KV_IMPORT
							   : WF_KV_REBUILD);
	ctr_add(ctx->counters, "wf_moves_total", 1);
}
