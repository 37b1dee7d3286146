#include <math.h>
#include <string.h>

#include "sched/chn.h"
#include "sched/chn_model.h"
#include "sched/tgt_cache.h"
#include "sched/tgt_load.h"

/* Most candidates examined for each sample, from a random start. */
#define CHN_MAX_SCANNED 24
/* Candidates compared for each stage: the power of two choices. */
#define CHN_SAMPLES 2
/* Chains planned, of which the best is taken, and attempts to find them. */
#define CHN_MAX_CHAINS 2
#define CHN_MAX_TRIES 4
/* Cost factor of targets whose cache holds the prompt's prefix. */
#define CHN_LOCALITY_FACTOR 0.5
/* Most ends of a stage that are compared. */
#define CHN_MAX_ENDS 6

struct planner {
	struct wf_ctx *ctx;
	struct tgt_table *targets;
	const struct chn_query *query;
	struct chn_model *model;
	struct tgt_holders holders;
	uint64_t allowed; /* bit set of data centres */
	double mean_load;
	double token_us;
	bool need_room;
};

struct choice {
	struct tgt_target *target;
	unsigned last_layer;
	size_t next;
	double us;
	double cost;  /* of the stage and the hop to it */
	double score; /* cost and price of the rest */
};

static uint64_t allowed_mask(struct tgt_table *targets, char **names)
{
	uint64_t mask = 0;

	if (!names)
		return UINT64_MAX;
	for (; *names; names++)
		mask |= UINT64_C(1)
			<< (tgt_data_center_number(targets, *names) & 63);
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
			  const struct tgt_target *target)
{
	if (!(p->allowed >> (target->data_center_number & 63) & 1))
		return false;
	if (p->query->targets &&
	    !g_strv_contains((const char *const *)p->query->targets,
			     target->id))
		return false;
	if (!tgt_is_usable(p->targets, target, p->ctx->now))
		return false;
	return !p->query->n_avoid || !is_avoided(p->query, target->handle);
}

static bool has_room(const struct planner *p, const struct tgt_target *target,
		     double us)
{
	struct tgt_demand demand = {
		.load = us / p->token_us,
		.is_long = p->query->is_long,
		.restricted = p->query->data_centers || p->query->targets,
	};

	return !p->need_room ||
	       tgt_has_room(p->ctx, p->targets, target, &demand);
}

static double hop_us(const struct tgt_config *config, unsigned from,
		     unsigned to)
{
	if (from == TGT_NO_DATA_CENTER)
		return 0;
	return from == to ? config->link_us : config->far_link_us;
}

/* What a microsecond at the target costs, less for holders of the prefix. */
static double factor_of(const struct planner *p,
			const struct tgt_target *target)
{
	double factor =
		chn_load_factor(p->ctx, p->targets, target, p->query->is_long);
	double load;

	if (!tgt_holders_contain(&p->holders, target->handle))
		return factor;
	load = tgt_load(p->ctx, p->targets, target);
	if (load > TGT_LOCALITY_MAX_LOAD * p->mean_load + 1)
		return factor;
	return factor * CHN_LOCALITY_FACTOR;
}

static struct chn_boundary *boundary_at(const struct planner *p, size_t index)
{
	return &g_array_index(p->model->boundaries, struct chn_boundary, index);
}

/*
 * Compares the boundaries in a candidate's range as ends of its stage. A stage
 * may end before the range does if other engines are cheaper from there on, so
 * that scarce ranges are not used for layers that others hold.
 */
static void evaluate_ends(const struct planner *p, size_t at,
			  struct tgt_target *target, size_t last,
			  unsigned data_center, struct choice *best)
{
	unsigned first_layer = boundary_at(p, at)->layer;
	double factor = factor_of(p, target);
	double hop = hop_us(&p->targets->config, data_center,
			    target->data_center_number);
	size_t step = 1 + (last - at - 1) / CHN_MAX_ENDS;
	size_t end;

	for (end = last; end > at; end = end > at + step ? end - step : at) {
		const struct chn_boundary *next = boundary_at(p, end);
		double us = tgt_stage_us(target, first_layer, next->layer - 1);
		double score =
			us * factor + hop + next->price[p->query->is_long];

		if (isinf(next->min_us_to_end) ||
		    (best->target && score >= best->score))
			continue;
		if (!has_room(p, target, us))
			continue;
		best->target = target;
		best->last_layer = next->layer - 1;
		best->next = end;
		best->us = us;
		best->cost = us * factor + hop;
		best->score = score;
	}
}

/* Considers one candidate; false if it cannot take the request now. */
static bool try_candidate(const struct planner *p, size_t at, guint index,
			  unsigned data_center, struct choice *best)
{
	const struct chn_boundary *boundary = boundary_at(p, at);
	const struct chn_candidate *candidate;
	double us;

	candidate = &g_array_index(boundary->candidates, struct chn_candidate,
				   index);
	if (!is_admissible(p, candidate->target))
		return false;
	us = tgt_stage_us(candidate->target, boundary->layer,
			  boundary_at(p, at + 1)->layer - 1);
	if (!has_room(p, candidate->target, us))
		return false;
	evaluate_ends(p, at, candidate->target, candidate->next, data_center,
		      best);
	return true;
}

/* Samples two candidates out of a part of a boundary's list. */
static void sample(const struct planner *p, size_t at, guint low, guint high,
		   unsigned data_center, struct choice *best)
{
	guint n = high - low;
	unsigned found = 0;
	guint start;
	guint i;

	if (!n)
		return;
	start = g_rand_int(p->ctx->rand) % n;
	for (i = 0; i < MIN(n, CHN_MAX_SCANNED) && found < CHN_SAMPLES; i++)
		found += try_candidate(p, at, low + (start + i) % n,
				       data_center, best);
}

/* Samples two candidates whose price was near the best one. */
static void sample_near_best(const struct planner *p, size_t at,
			     unsigned data_center, struct choice *best)
{
	const GArray *near = boundary_at(p, at)->near_best[p->query->is_long];
	unsigned found = 0;
	guint start;
	guint i;

	if (!near->len)
		return;
	start = g_rand_int(p->ctx->rand) % near->len;
	for (i = 0; i < MIN(near->len, CHN_MAX_SCANNED) && found < CHN_SAMPLES;
	     i++)
		found += try_candidate(
			p, at,
			g_array_index(near, guint, (start + i) % near->len),
			data_center, best);
}

static size_t find_end(const struct planner *p, unsigned layer)
{
	size_t i = 0;

	while (boundary_at(p, i)->layer < layer)
		i++;
	return i;
}

/* Considers the holders of the prompt's prefix besides the samples. */
static void sample_holders(const struct planner *p, size_t at,
			   unsigned data_center, struct choice *best)
{
	unsigned layer = boundary_at(p, at)->layer;
	size_t i;

	for (i = 0; i < p->holders.n; i++) {
		struct tgt_target *target;

		target = tgt_get(p->targets, p->holders.handles[i]);
		if (!target || target->first_layer > layer ||
		    target->last_layer < layer ||
		    strcmp(target->serves, p->model->name) != 0 ||
		    !is_admissible(p, target))
			continue;
		evaluate_ends(p, at, target,
			      find_end(p, target->last_layer + 1), data_center,
			      best);
	}
}

/* The baselines: round-robin, or least outstanding from a random start. */
static void choose_baseline(const struct planner *p, size_t at,
			    struct choice *best)
{
	struct chn_boundary *boundary = boundary_at(p, at);
	guint n = boundary->candidates->len;
	bool in_turn = p->query->strategy == CHN_ROUND_ROBIN;
	const struct chn_candidate *found = NULL;
	guint start;
	guint i;

	if (!n)
		return;
	start = in_turn ? boundary->round_robin_next++
			: g_rand_int(p->ctx->rand);
	for (i = 0; i < n && !(in_turn && found); i++) {
		const struct chn_candidate *candidate;

		candidate =
			&g_array_index(boundary->candidates,
				       struct chn_candidate, (start + i) % n);
		if (!is_admissible(p, candidate->target))
			continue;
		if (!found || candidate->target->own_requests <
				      found->target->own_requests)
			found = candidate;
	}
	if (!found)
		return;
	best->target = found->target;
	best->last_layer = found->target->last_layer;
	best->next = found->next;
	best->us =
		tgt_stage_us(found->target, boundary->layer, best->last_layer);
}

static void choose(const struct planner *p, size_t at, unsigned data_center,
		   struct choice *best)
{
	const struct chn_boundary *boundary = boundary_at(p, at);
	unsigned near = data_center;

	memset(best, 0, sizeof(*best));
	if (p->query->strategy != CHN_TWO_CHOICES) {
		choose_baseline(p, at, best);
		return;
	}
	if (near == TGT_NO_DATA_CENTER)
		near = 0; /* the local one */
	if (near + 1 < boundary->n_starts)
		sample(p, at, boundary->starts[near],
		       boundary->starts[near + 1], data_center, best);
	sample_near_best(p, at, data_center, best);
	if (!best->target)
		sample(p, at, 0, boundary->candidates->len, data_center, best);
	sample_holders(p, at, data_center, best);
}

/* A target chosen twice in a row runs one longer stage. */
static void add_stage(struct chn_chain *chain, const struct choice *choice,
		      unsigned first, unsigned last)
{
	struct chn_stage *stage;

	if (chain->n &&
	    chain->stages[chain->n - 1].target == choice->target->handle) {
		stage = &chain->stages[chain->n - 1];
		stage->last_layer = last;
		stage->us += choice->us;
		return;
	}
	stage = &chain->stages[chain->n++];
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

/* Builds a chain from layer 0 to the end, one choice at each boundary. */
static bool build_chain(const struct planner *p, struct chn_chain *chain)
{
	unsigned data_center = TGT_NO_DATA_CENTER;
	size_t at = 0;

	chain->n = 0;
	chain->token_us = 0;
	chain->score = 0;
	while (at + 1 < p->model->boundaries->len) {
		struct choice best;
		bool repeated;
		unsigned next;

		choose(p, at, data_center, &best);
		if (!best.target || chain->n == CHN_MAX_STAGES)
			return false;
		next = best.target->data_center_number;
		repeated = chain->n && chain->stages[chain->n - 1].target ==
					       best.target->handle;
		add_stage(chain, &best, boundary_at(p, at)->layer,
			  best.last_layer);
		chain->token_us += best.us;
		if (!repeated)
			chain->token_us +=
				hop_us(&p->targets->config, data_center, next);
		chain->score += best.cost;
		data_center = next;
		at = best.next;
	}
	set_loads(chain);
	return true;
}

static bool build_best_chain(const struct planner *p, struct chn_chain *chain)
{
	struct chn_chain other;
	unsigned found = 0;
	unsigned tries;

	unsigned wanted =
		p->query->strategy == CHN_TWO_CHOICES ? CHN_MAX_CHAINS : 1;

	for (tries = 0; tries < CHN_MAX_TRIES && found < wanted; tries++) {
		if (!build_chain(p, found ? &other : chain))
			continue;
		if (found && other.score < chain->score)
			*chain = other;
		found++;
	}
	return found > 0;
}

static bool start_planner(struct planner *p, struct wf_ctx *ctx,
			  struct tgt_table *targets,
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

/* For the mean token time of chains, which relates stage times to load. */
#define CHN_TOKEN_SMOOTHING 0.02

enum chn_result chn_plan(struct wf_ctx *ctx, struct tgt_table *targets,
			 const struct chn_query *query, struct chn_chain *chain)
{
	struct planner p;

	if (!start_planner(&p, ctx, targets, query))
		return CHN_NO_CHAIN;
	if (build_best_chain(&p, chain)) {
		p.model->token_us += CHN_TOKEN_SMOOTHING *
				     (chain->token_us - p.model->token_us);
		return CHN_FOUND;
	}
	if (!p.need_room)
		return CHN_NO_CHAIN;
	p.need_room = false;
	return build_best_chain(&p, chain) ? CHN_NO_ROOM : CHN_NO_CHAIN;
}

/* The target that covers most of a range from its start, then the cheapest. */
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
		if (!is_admissible(p, target) || !has_room(p, target, us))
			continue;
		score = us * factor_of(p, target) +
			hop_us(&p->targets->config, data_center,
			       target->data_center_number);
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

static bool build_range_chain(const struct planner *p, unsigned first,
			      unsigned last, unsigned data_center,
			      struct chn_chain *chain)
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

enum chn_result chn_plan_range(struct wf_ctx *ctx, struct tgt_table *targets,
			       const struct chn_query *query, unsigned first,
			       unsigned last, unsigned data_center,
			       struct chn_chain *chain)
{
	struct planner p;

	if (!start_planner(&p, ctx, targets, query))
		return CHN_NO_CHAIN;
	if (build_range_chain(&p, first, last, data_center, chain))
		return CHN_FOUND;
	if (!p.need_room)
		return CHN_NO_CHAIN;
	p.need_room = false;
	return build_range_chain(&p, first, last, data_center, chain)
		       ? CHN_NO_ROOM
		       : CHN_NO_CHAIN;
}
