#include <string.h>

#include "sched/run_private.h"

void run_avoid(struct run_request *request, tbl_handle handle)
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

bool run_can_export(const struct wf_ctx *ctx, const struct tgt_target *target)
{
	return target && target->listed && target->reachable &&
	       target->breaker == TGT_BREAKER_CLOSED &&
	       ctx->now - target->reported_at <= RUN_REPORT_MAX_AGE_MS;
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

bool run_plan_replacement(struct wf_ctx *ctx, struct run_runs *runs,
			  struct run_request *request, int index,
			  bool need_room, struct chn_chain *part)
{
	const struct wf_stage *stage;
	struct chn_query query;

	stage = &g_array_index(request->chain, struct wf_stage, (guint)index);
	run_fill_query(request, &query);
	query.need_room = need_room;
	return chn_plan_range(ctx, runs->targets, &query, stage->first_layer,
			      stage->last_layer,
			      neighbour_data_center(runs, request, index),
			      part) == CHN_FOUND;
}

/* Kept engines fence lower lineages; a replaced head needs a cancel. */
void run_replace_and_reopen(struct wf_ctx *ctx, struct run_runs *runs,
			    struct run_request *request, int index,
			    const struct chn_chain *part, enum wf_kv_mode kv)
{
	if (index == 0)
		run_cancel_stream(ctx, request);
	request->lineage++;
	run_replace_stage(ctx, runs, request, (guint)index, part, kv);
	run_open_stream(ctx, runs, request);
}
