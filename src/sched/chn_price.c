#include <math.h>

#include "sched/chn_model.h"
#include "sched/tgt_load.h"

/*
 * Of two targets without queue the less loaded one is preferred by this part
 * of its step time, so that load spreads before it has to wait.
 */
#define CHN_LOAD_WEIGHT 0.5

double chn_factor(const struct wf_ctx *ctx, const struct tgt_targets *targets,
		  const struct chn_model *model,
		  const struct tgt_target *target)
{
	double use = tgt_load(ctx, targets, target) /
		     tgt_places(ctx, targets, target);
	double factor = MAX(1, use) + CHN_LOAD_WEIGHT * use;

	if (targets->config.use_inflation)
		factor *= MAX(target->inflation / model->inflation, 1);
	return factor;
}

static const struct chn_boundary *boundary_at(const struct chn_model *model,
					      size_t index)
{
	return &g_array_index(model->boundaries, struct chn_boundary, index);
}

/* The least cost from a boundary to the end if the target runs there. */
static double candidate_price(const struct wf_ctx *ctx,
			      const struct tgt_targets *targets,
			      const struct chn_model *model,
			      const struct chn_boundary *boundary, size_t at,
			      const struct chn_candidate *candidate)
{
	const struct tgt_target *target = candidate->target;
	double factor = chn_factor(ctx, targets, model, target);
	double best = INFINITY;
	size_t end;

	if (!tgt_is_usable(targets, target, ctx->now))
		return INFINITY;
	for (end = at + 1; end <= candidate->next; end++) {
		const struct chn_boundary *next = boundary_at(model, end);
		double us;

		us = tgt_stage_us(target, boundary->layer, next->layer - 1);
		best = MIN(best,
			   us * factor + targets->config.link_us + next->price);
	}
	return best;
}

/*
 * A mean that leans to the low prices (power mean of exponent -4): a single
 * free target does not make a crowded boundary cheap.
 */
static double mean_price(const struct wf_ctx *ctx,
			 const struct tgt_targets *targets,
			 const struct chn_model *model, size_t at)
{
	const struct chn_boundary *boundary = boundary_at(model, at);
	double sum = 0;
	guint n = 0;
	guint i;

	for (i = 0; i < boundary->candidates->len; i++) {
		double price;

		price = candidate_price(ctx, targets, model, boundary, at,
					&g_array_index(boundary->candidates,
						       struct chn_candidate,
						       i));
		if (isinf(price))
			continue;
		sum += 1 / (price * price * price * price);
		n++;
	}
	return n ? pow(sum / n, -0.25) : boundary->to_go;
}

static void reprice(struct wf_ctx *ctx, struct tgt_targets *targets,
		    struct chn_model *model)
{
	size_t at;

	for (at = model->boundaries->len; at-- > 0;) {
		struct chn_boundary *boundary;

		boundary = &g_array_index(model->boundaries,
					  struct chn_boundary, at);
		if (boundary->layer == model->n_layers)
			boundary->price = 0;
		else
			boundary->price = mean_price(ctx, targets, model, at);
	}
}

void chn_reprice(struct wf_ctx *ctx, struct tgt_targets *targets)
{
	GHashTableIter iter;
	gpointer value;

	chn_refresh(targets);
	g_hash_table_iter_init(&iter, targets->models);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		reprice(ctx, targets, value);
}
