#include "sched/adm.h"

/* Requests wait at the router until engines have a free place. */
static enum chn_result plan_late(struct wf_ctx *ctx, struct tgt_table *targets,
				 struct chn_query *query,
				 struct chn_chain *chain)
{
	query->need_room = true;
	return chn_plan(ctx, targets, query, chain);
}

/* Requests go to the queues of the least loaded engines at once. */
static enum chn_result plan_early(struct wf_ctx *ctx, struct tgt_table *targets,
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
	query->choice = CHN_ROUND_ROBIN;
	return plan_early(ctx, targets, query, chain);
}

static enum chn_result plan_least(struct wf_ctx *ctx, struct tgt_table *targets,
				  struct chn_query *query,
				  struct chn_chain *chain)
{
	query->choice = CHN_LEAST;
	return plan_early(ctx, targets, query, chain);
}

static const struct adm_policy policies[] = {
	[ADM_LATE] = {"late", plan_late},
	[ADM_EARLY] = {"early", plan_early},
	[ADM_ROUND_ROBIN] = {"round_robin", plan_round_robin},
	[ADM_LEAST_OUTSTANDING] = {"least_outstanding", plan_least},
};

const struct adm_policy *adm_policy_of(enum adm_policy_kind kind)
{
	return &policies[kind];
}
