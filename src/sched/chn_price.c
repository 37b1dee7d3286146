#include <math.h>

#include "sched/chn_model.h"
#include "sched/tgt_load.h"

/*
 * Weight of utilisation in the load factor. Of two targets without a queue the
 * less loaded one is preferred, so that load spreads before requests wait.
 */
#define CHN_LOAD_WEIGHT 0.5

/*
 * The scarcity surcharge integrates the excess of a target's utilisation over
 * the mean of its model. Without it, queues would have to stay unequal to keep
 * load away from scarce ranges.
 */
#define CHN_SCARCITY_STEP 0.2
#define CHN_SCARCITY_MAX 4.0
#define CHN_SCARCITY_DECAY 0.9

static double use_of(const struct wf_ctx *ctx, const struct tgt_table *targets,
		     const struct tgt_target *target)
{
	return tgt_load(ctx, targets, target) /
	       tgt_effective_slots(ctx, targets, target);
}

static void update_scarcity(const struct wf_ctx *ctx,
			    const struct tgt_table *targets,
			    struct chn_model *model)
{
	double mean = 0;
	guint i;

	for (i = 0; i < model->targets->len; i++)
		mean += use_of(ctx, targets, model->targets->pdata[i]) /
			model->targets->len;
	mean = MAX(mean, 1);
	for (i = 0; i < model->targets->len; i++) {
		struct tgt_target *target = model->targets->pdata[i];
		double use = use_of(ctx, targets, target);

		if (use < 1)
			target->scarcity *= CHN_SCARCITY_DECAY;
		target->scarcity += CHN_SCARCITY_STEP * (use - mean) / mean;
		target->scarcity = CLAMP(target->scarcity, 0, CHN_SCARCITY_MAX);
	}
}

/*
 * Weight of the load of long requests in the load factor for short ones; 1
 * counts it in full. Engines serve short requests first, so the delay is at
 * most that.
 */
#define CHN_LONG_LOAD_WEIGHT 1.0

double chn_load_factor(const struct wf_ctx *ctx,
		       const struct tgt_table *targets,
		       const struct tgt_target *target, bool is_long)
{
	double use = use_of(ctx, targets, target);
	double scarcity = target->scarcity;
	double factor;

	if (!is_long && use > 0) {
		double part = tgt_long_load(ctx, targets, target) /
			      tgt_load(ctx, targets, target);

		use *= 1 - (1 - CHN_LONG_LOAD_WEIGHT) * part;
		scarcity *= 1 - part;
	}
	factor = MAX(1, use) + CHN_LOAD_WEIGHT * use;
	factor *= 1 + scarcity;

	if (targets->config.use_inflation)
		factor *= target->inflation;
	return factor;
}

static const struct chn_boundary *boundary_at(const struct chn_model *model,
					      size_t index)
{
	return &g_array_index(model->boundaries, struct chn_boundary, index);
}

/* The least cost from a boundary to the end if the target runs there. */
static double candidate_price(const struct wf_ctx *ctx,
			      const struct tgt_table *targets,
			      const struct chn_model *model,
			      const struct chn_boundary *boundary, size_t at,
			      const struct chn_candidate *candidate,
			      bool is_long)
{
	const struct tgt_target *target = candidate->target;
	double factor = chn_load_factor(ctx, targets, target, is_long);
	double best = INFINITY;
	size_t end;

	if (!tgt_is_usable(targets, target, ctx->now))
		return INFINITY;
	for (end = at + 1; end <= candidate->next; end++) {
		const struct chn_boundary *next = boundary_at(model, end);
		double us;

		us = tgt_stage_us(target, boundary->layer, next->layer - 1);
		best = MIN(best, us * factor + targets->config.link_us +
					 next->price[is_long]);
	}
	return best;
}

/* Candidates within this factor of the least price are near the best. */
#define CHN_NEAR_FACTOR 1.25
/* Least number kept, so that instances do not all choose the same target. */
#define CHN_NEAR_MIN 3

struct priced {
	double price;
	guint index;
};

static gint compare_prices(gconstpointer a, gconstpointer b)
{
	const struct priced *left = a;
	const struct priced *right = b;

	if (left->price != right->price)
		return left->price < right->price ? -1 : 1;
	return left->index < right->index ? -1 : left->index > right->index;
}

static void price_candidates(const struct wf_ctx *ctx,
			     const struct tgt_table *targets,
			     const struct chn_model *model, size_t at,
			     bool is_long, GArray *priced)
{
	const struct chn_boundary *boundary = boundary_at(model, at);
	guint i;

	g_array_set_size(priced, 0);
	for (i = 0; i < boundary->candidates->len; i++) {
		struct priced entry = {.index = i};

		entry.price =
			candidate_price(ctx, targets, model, boundary, at,
					&g_array_index(boundary->candidates,
						       struct chn_candidate, i),
					is_long);
		if (!isinf(entry.price))
			g_array_append_val(priced, entry);
	}
	g_array_sort(priced, compare_prices);
}

/* Keeps the near-best candidates, whose mean price becomes the boundary's. */
static void keep_near_best(struct chn_boundary *boundary, bool is_long,
			   const GArray *priced)
{
	double sum = 0;
	guint i;

	g_array_set_size(boundary->near_best[is_long], 0);
	for (i = 0; i < priced->len; i++) {
		const struct priced *entry;

		entry = &g_array_index(priced, struct priced, i);
		if (i >= CHN_NEAR_MIN &&
		    entry->price >
			    CHN_NEAR_FACTOR *
				    g_array_index(priced, struct priced, 0)
					    .price)
			break;
		g_array_append_val(boundary->near_best[is_long], entry->index);
		sum += entry->price;
	}
	boundary->price[is_long] = i ? sum / i : boundary->min_us_to_end;
}

static void reprice(struct wf_ctx *ctx, struct tgt_table *targets,
		    struct chn_model *model)
{
	GArray *priced = g_array_new(FALSE, FALSE, sizeof(struct priced));
	int is_long;
	size_t at;

	update_scarcity(ctx, targets, model);
	for (at = model->boundaries->len; at-- > 0;) {
		struct chn_boundary *boundary;

		boundary = &g_array_index(model->boundaries,
					  struct chn_boundary, at);
		if (boundary->layer == model->n_layers)
			continue;
		for (is_long = 0; is_long < 2; is_long++) {
			price_candidates(ctx, targets, model, at, is_long,
					 priced);
			keep_near_best(boundary, is_long, priced);
		}
	}
	g_array_unref(priced);
}

void chn_reprice(struct wf_ctx *ctx, struct tgt_table *targets)
{
	GHashTableIter iter;
	gpointer value;

	chn_refresh(targets);
	g_hash_table_iter_init(&iter, targets->models);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		reprice(ctx, targets, value);
}
