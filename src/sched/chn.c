#include <math.h>
#include <string.h>

#include "sched/chn.h"
#include "sched/chn_model.h"
#include "sched/tgt_cache.h"
#include "sched/tgt_load.h"

/* Candidates looked at from a random start, at most, for each sample. */
#define CHN_SCAN 24
/* The two random choices. */
#define CHN_SAMPLES 2
/* Chains planned of which the best is taken, and tries if none is found. */
#define CHN_CHAINS 2
#define CHN_TRIES 4
/*
 * Of two targets without queue the less loaded one is preferred by this part
 * of its step time, so that load spreads before it has to wait.
 */
#define CHN_LOAD_WEIGHT 0.5
/* Preference for a holder of the prompt's prefix, in parts of a step. */
#define CHN_LOCALITY_WEIGHT 1.0

struct planner {
	struct wf_ctx *ctx;
	struct tgt_targets *targets;
	const struct chn_query *query;
	struct chn_model *model;
	struct tgt_holders holders;
	uint64_t allowed; /* data centres, a bit each */
	double mean_load;
	double token_us;
	bool need_room;
};

struct choice {
	struct tgt_target *target;
	unsigned last_layer;
	size_t next;
	double us;
	double score;
};

static uint64_t allowed_mask(struct tgt_targets *targets, char **names)
{
	uint64_t mask = 0;

	if (!names)
		return UINT64_MAX;
	for (; *names; names++)
		mask |= UINT64_C(1) << (tgt_data_center(targets, *names) & 63);
	return mask;
}

static bool is_avoided(const struct chn_query *query, tbl_handle handle)
{
	size_t i;

	for (i = 0; i < query->n_avoid; i++)
		if (query->avoid[i] == handle)
			return true;
	return false;
}

static bool is_admissible(const struct planner *p,
			  const struct tgt_target *target, double load)
{
	if (!(p->allowed >> (target->data_center_number & 63) & 1))
		return false;
	if (!tgt_is_usable(p->targets, target, p->ctx->now))
		return false;
	if (p->query->n_avoid && is_avoided(p->query, target->handle))
		return false;
	return !p->need_room || tgt_has_room(p->ctx, p->targets, target, load,
					     p->query->is_long);
}

/* The expected time at the target, with what waits there, and the hop. */
static double score_target(const struct planner *p,
			   const struct tgt_target *target, double us,
			   unsigned data_center)
{
	const struct tgt_config *config = &p->targets->config;
	double load = tgt_load(p->ctx, p->targets, target);
	double use = load / tgt_places(p->ctx, p->targets, target);
	double score = us * MAX(1, use) + us * CHN_LOAD_WEIGHT * use;

	if (config->use_inflation)
		score *= target->inflation;
	if (tgt_holders_have(&p->holders, target->handle) &&
	    load <= TGT_LOCALITY_EXCESS * p->mean_load + 1)
		score -= us * CHN_LOCALITY_WEIGHT;
	if (data_center == TGT_NO_DATA_CENTER)
		return score;
	return score + (target->data_center_number == data_center
				? config->link_us
				: config->far_link_us);
}

static void consider(const struct planner *p,
		     const struct chn_boundary *boundary,
		     const struct chn_candidate *candidate,
		     unsigned data_center, struct choice *best)
{
	struct tgt_target *target = candidate->target;
	const struct chn_boundary *next;
	double us = tgt_stage_us(target, boundary->layer, target->last_layer);
	double score;

	next = &g_array_index(p->model->boundaries, struct chn_boundary,
			      candidate->next);
	score = score_target(p, target, us, data_center) + next->to_go;
	if (best->target && score >= best->score)
		return;
	best->target = target;
	best->last_layer = target->last_layer;
	best->next = candidate->next;
	best->us = us;
	best->score = score;
}

/* Samples two admissible candidates out of a part of a boundary's list. */
static void sample(const struct planner *p, const struct chn_boundary *boundary,
		   guint low, guint high, unsigned data_center,
		   struct choice *best)
{
	guint n = high - low;
	guint start;
	guint i;
	unsigned found = 0;

	if (!n)
		return;
	start = g_rand_int(p->ctx->rand) % n;
	for (i = 0; i < MIN(n, CHN_SCAN) && found < CHN_SAMPLES; i++) {
		const struct chn_candidate *candidate;
		double us;

		candidate = &g_array_index(boundary->candidates,
					   struct chn_candidate,
					   low + (start + i) % n);
		us = tgt_stage_us(candidate->target, boundary->layer,
				  candidate->target->last_layer);
		if (!is_admissible(p, candidate->target, us / p->token_us))
			continue;
		consider(p, boundary, candidate, data_center, best);
		found++;
	}
}

/* Considers the holders of the prompt's prefix besides the samples. */
static void sample_holders(const struct planner *p,
			   const struct chn_boundary *boundary,
			   unsigned data_center, struct choice *best)
{
	guint i;
	size_t k;

	if (!p->holders.n)
		return;
	for (i = 0; i < boundary->candidates->len; i++) {
		const struct chn_candidate *candidate;

		candidate = &g_array_index(boundary->candidates,
					   struct chn_candidate, i);
		for (k = 0; k < p->holders.n; k++) {
			double us;

			if (p->holders.handles[k] != candidate->target->handle)
				continue;
			us = tgt_stage_us(candidate->target, boundary->layer,
					  candidate->target->last_layer);
			if (is_admissible(p, candidate->target,
					  us / p->token_us))
				consider(p, boundary, candidate, data_center,
					 best);
		}
	}
}

/* The baselines: in turn, or fewest own requests, with a random start. */
static void choose_simply(const struct planner *p,
			  struct chn_boundary *boundary, struct choice *best)
{
	guint n = boundary->candidates->len;
	bool in_turn = p->query->choice == CHN_ROUND_ROBIN;
	const struct chn_candidate *found = NULL;
	guint start;
	guint i;

	if (!n)
		return;
	start = in_turn ? boundary->turn++ : g_rand_int(p->ctx->rand);
	for (i = 0; i < n && !(in_turn && found); i++) {
		const struct chn_candidate *candidate;

		candidate =
			&g_array_index(boundary->candidates,
				       struct chn_candidate, (start + i) % n);
		if (!is_admissible(p, candidate->target, 0))
			continue;
		if (!found || candidate->target->own_requests <
				      found->target->own_requests)
			found = candidate;
	}
	if (found)
		consider(p, boundary, found, TGT_NO_DATA_CENTER, best);
}

static void choose(const struct planner *p, struct chn_boundary *boundary,
		   unsigned data_center, struct choice *best)
{
	unsigned near = data_center;

	memset(best, 0, sizeof(*best));
	if (p->query->choice != CHN_BEST) {
		choose_simply(p, boundary, best);
		return;
	}
	if (near == TGT_NO_DATA_CENTER)
		near = 0; /* the own one */
	if (near + 1 < boundary->n_starts)
		sample(p, boundary, boundary->starts[near],
		       boundary->starts[near + 1], data_center, best);
	sample(p, boundary, 0, boundary->candidates->len, data_center, best);
	sample_holders(p, boundary, data_center, best);
}

static double hop_us(const struct tgt_config *config, unsigned from,
		     unsigned to)
{
	if (from == TGT_NO_DATA_CENTER)
		return 0;
	return from == to ? config->link_us : config->far_link_us;
}

static void add_stage(struct chn_chain *chain, const struct choice *choice,
		      unsigned first, unsigned last)
{
	struct chn_stage *stage = &chain->stages[chain->n++];

	stage->target = choice->target->handle;
	stage->first_layer = first;
	stage->last_layer = last;
	stage->us = choice->us;
	stage->load = 0;
}

static void set_loads(struct chn_chain *chain)
{
	size_t i;

	for (i = 0; i < chain->n; i++)
		chain->stages[i].load = chain->stages[i].us / chain->token_us;
}

/* Walks from layer 0 to the end, one choice at each boundary. */
static bool walk(const struct planner *p, struct chn_chain *chain)
{
	GArray *boundaries = p->model->boundaries;
	unsigned data_center = TGT_NO_DATA_CENTER;
	size_t at = 0;

	memset(chain, 0, offsetof(struct chn_chain, stages));
	chain->token_us = 0;
	chain->score = 0;
	while (at + 1 < boundaries->len) {
		struct chn_boundary *boundary;
		struct choice best;
		unsigned next;

		boundary = &g_array_index(boundaries, struct chn_boundary, at);
		choose(p, boundary, data_center, &best);
		if (!best.target || chain->n == CHN_MAX_STAGES)
			return false;
		next = best.target->data_center_number;
		add_stage(chain, &best, boundary->layer, best.last_layer);
		chain->token_us += best.us;
		chain->token_us +=
			hop_us(&p->targets->config, data_center, next);
		chain->score +=
			score_target(p, best.target, best.us, data_center);
		data_center = next;
		at = best.next;
	}
	set_loads(chain);
	return true;
}

static bool walk_best(const struct planner *p, struct chn_chain *chain)
{
	struct chn_chain other;
	unsigned found = 0;
	unsigned tries;

	unsigned wanted = p->query->choice == CHN_BEST ? CHN_CHAINS : 1;

	for (tries = 0; tries < CHN_TRIES && found < wanted; tries++) {
		if (!walk(p, found ? &other : chain))
			continue;
		if (found && other.score < chain->score)
			*chain = other;
		found++;
	}
	return found > 0;
}

static bool start_planner(struct planner *p, struct wf_ctx *ctx,
			  struct tgt_targets *targets,
			  const struct chn_query *query)
{
	memset(p, 0, sizeof(*p));
	p->ctx = ctx;
	p->targets = targets;
	p->query = query;
	p->need_room = query->need_room;
	p->model = chn_get_model(targets, query->model);
	if (!p->model || p->model->boundaries->len < 2)
		return false;
	p->allowed = allowed_mask(targets, query->data_centers);
	p->token_us = p->model->token_us;
	p->mean_load = p->model->n_targets
			       ? p->model->own_load / p->model->n_targets
			       : 0;
	if (targets->config.use_locality)
		tgt_cache_find(targets, query->prefix_hashes,
			       query->n_prefix_hashes, &p->holders);
	return true;
}

/* Follows the mean of the chains in use, which sets the load of a request. */
#define CHN_TOKEN_SMOOTHING 0.02

enum chn_result chn_plan(struct wf_ctx *ctx, struct tgt_targets *targets,
			 const struct chn_query *query, struct chn_chain *chain)
{
	struct planner p;

	if (!start_planner(&p, ctx, targets, query))
		return CHN_NO_CHAIN;
	if (walk_best(&p, chain)) {
		p.model->token_us += CHN_TOKEN_SMOOTHING *
				     (chain->token_us - p.model->token_us);
		return CHN_FOUND;
	}
	if (!p.need_room)
		return CHN_NO_CHAIN;
	p.need_room = false;
	return walk_best(&p, chain) ? CHN_NO_ROOM : CHN_NO_CHAIN;
}

/* The best holder of a layer: one that reaches the end, or the farthest. */
static void choose_for_range(const struct planner *p, unsigned first,
			     unsigned last, unsigned data_center,
			     struct choice *best)
{
	guint i;

	memset(best, 0, sizeof(*best));
	for (i = 0; i < p->model->targets->len; i++) {
		struct tgt_target *target = p->model->targets->pdata[i];
		unsigned end = MIN(target->last_layer, last);
		double us;
		double score;

		if (target->first_layer > first || target->last_layer < first)
			continue;
		us = tgt_stage_us(target, first, end);
		if (!is_admissible(p, target, us / p->token_us))
			continue;
		score = score_target(p, target, us, data_center);
		if (best->target &&
		    (best->last_layer > end ||
		     (best->last_layer == end && best->score <= score)))
			continue;
		best->target = target;
		best->last_layer = end;
		best->us = us;
		best->score = score;
	}
}

static bool walk_range(const struct planner *p, unsigned first, unsigned last,
		       unsigned data_center, struct chn_chain *chain)
{
	memset(chain, 0, sizeof(*chain));
	while (first <= last) {
		struct choice best;

		choose_for_range(p, first, last, data_center, &best);
		if (!best.target || chain->n == CHN_MAX_STAGES)
			return false;
		add_stage(chain, &best, first, best.last_layer);
		chain->stages[chain->n - 1].load = best.us / p->token_us;
		chain->token_us += best.us;
		chain->score += best.score;
		data_center = best.target->data_center_number;
		first = best.last_layer + 1;
	}
	return true;
}

enum chn_result chn_plan_range(struct wf_ctx *ctx, struct tgt_targets *targets,
			       const struct chn_query *query, unsigned first,
			       unsigned last, unsigned data_center,
			       struct chn_chain *chain)
{
	struct planner p;

	if (!start_planner(&p, ctx, targets, query))
		return CHN_NO_CHAIN;
	if (walk_range(&p, first, last, data_center, chain))
		return CHN_FOUND;
	if (!p.need_room)
		return CHN_NO_CHAIN;
	p.need_room = false;
	return walk_range(&p, first, last, data_center, chain) ? CHN_NO_ROOM
							       : CHN_NO_CHAIN;
}
