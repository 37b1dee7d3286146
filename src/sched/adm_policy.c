#include "sched/adm.h"

/* Requests wait at the router until engines have a free place. */
static enum chn_result plan_late_binding(struct wf_ctx *ctx,
					 struct tgt_table *targets,
					 struct chn_query *query,
					 struct chn_chain *chain)
{
	query->need_room = true;
	return chn_plan(ctx, targets, query, chain);
}

/* Requests go to the queues of the least loaded engines at once. */
static enum chn_result plan_early_binding(struct wf_ctx *ctx,
					  struct tgt_table *targets,
					  struct chn_query *query,
					  struct chn_chain *chain)
{
	query->need_room = false;
	return chn_plan(ctx, targets, query, chain);
}

static enum chn_result plan_round_robin(struct wf_ctx *ctx,
					struct tgt_table *targets,
					struct chn_query *query,
					struct chn_chain *chain)
{
	query->strategy = CHN_ROUND_ROBIN;
	return plan_early_binding(ctx, targets, query, chain);
}

static enum chn_result plan_least_outstanding(struct wf_ctx *ctx,
					      struct tgt_table *targets,
					      struct chn_query *query,
					      struct chn_chain *chain)
{
	query->strategy = CHN_LEAST_OUTSTANDING;
	return plan_early_binding(ctx, targets, query, chain);
}

static const struct adm_policy policies[] = {
	[ADM_LATE] = {"late", plan_late_binding},
	[ADM_EARLY] = {"early", plan_early_binding},
	[ADM_ROUND_ROBIN] = {"round_robin", plan_round_robin},
	[ADM_LEAST_OUTSTANDING] = {"least_outstanding", plan_least_outstanding},
};

const struct adm_policy *adm_policy_of(enum adm_policy_kind kind)
{
	return &policies[kind];
}
