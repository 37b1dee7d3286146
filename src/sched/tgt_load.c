#include <math.h>

#include "sched/chn_model.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_load.h"

/*
 * Herd effect: each other instance, up to this many, is assumed to add this
 * share of the load that this one adds.
 */
#define TGT_HERD_MAX_PEERS 8
#define TGT_HERD_SHARE 1.0
/* Least share of its slots for a new or recovered target. */
#define TGT_MIN_SHARE 0.1
#define TGT_SHORT_SHARE 0.9
#define TGT_LONG_SHARE 0.9
/* Long requests leave room this long after the last short one. */
#define TGT_SHORT_RESERVE_TIME (5 * CLK_SECOND)
/*
 * Concurrent steps admitted per slot. A chain spends part of its time at each
 * stage, so keeping a slot busy takes more than one request.
 */
#define TGT_WINDOW_MIN 1.5
#define TGT_WINDOW_MAX 2.5
/* Waiting steps per slot that the window is adjusted to reach. */
#define TGT_WINDOW_QUEUE 2.0
#define TGT_WINDOW_STEP 0.05
#define TGT_INFLATION_SMOOTHING 0.05

/*
 * The reported load of other instances is out of date. The load that this
 * instance has added since the report estimates what each other one added.
 */
double tgt_load(const struct wf_ctx *ctx, const struct tgt_table *targets,
		const struct tgt_target *target)
{
	double others = ctx->peers->len ? ctx->peers->len - 1.0 : 0;
	double peer_load;

	(void)targets;
	others = MIN(others, TGT_HERD_MAX_PEERS) * TGT_HERD_SHARE;
	peer_load = target->peer_load + target->own_load_since_report * others;
	return target->own_load + MAX(peer_load, 0);
}

static double ramp(clk_ms now, clk_ms since, clk_ms span)
{
	double part;

	if (!since || now - since >= span)
		return 1;
	part = (double)(now - since) / (double)span;
	return MAX(part, TGT_MIN_SHARE);
}

double tgt_effective_slots(const struct wf_ctx *ctx,
			   const struct tgt_table *targets,
			   const struct tgt_target *target)
{
	clk_ms span = targets->config.slow_start;
	double share = MIN(ramp(ctx->now, target->joined, span),
			   ramp(ctx->now, target->closed_at, span));

	return MAX(target->slots * share, 1);
}

static struct chn_model *model_of(const struct tgt_table *targets,
				  const struct tgt_target *target)
{
	return g_hash_table_lookup(targets->models, target->serves);
}

double tgt_long_load(const struct wf_ctx *ctx, const struct tgt_table *targets,
		     const struct tgt_target *target)
{
	const struct chn_model *model = model_of(targets, target);
	double peer_load = tgt_load(ctx, targets, target) - target->own_load;

	if (!model || model->own_load <= 0)
		return target->own_long_load;
	return target->own_long_load +
	       peer_load * model->own_long_load / model->own_load;
}

/* While short requests arrive, long ones leave them a share of the slots. */
static bool long_has_room(const struct wf_ctx *ctx,
			  const struct tgt_table *targets,
			  const struct tgt_target *target, double places,
			  const struct tgt_demand *demand)
{
	const struct chn_model *model = model_of(targets, target);
	double used = tgt_long_load(ctx, targets, target);

	if (!model || ctx->now - model->last_short > TGT_SHORT_RESERVE_TIME)
		return true;
	if (!target->takes_long && !demand->restricted)
		return false;
	return used + demand->load <= TGT_LONG_SHARE * places;
}

/*
 * Engines serve short requests first, so long ones take no room from them.
 * Where long ones run, short ones get only a share of the slots, so that long
 * ones do not starve.
 */
static bool short_has_room(const struct wf_ctx *ctx,
			   const struct tgt_table *targets,
			   const struct tgt_target *target, double places,
			   double load)
{
	double used = tgt_load(ctx, targets, target);
	double long_load = tgt_long_load(ctx, targets, target);

	if (long_load > 0)
		return used - long_load + load <= TGT_SHORT_SHARE * places;
	return used + load <= places * target->window;
}

bool tgt_has_room(const struct wf_ctx *ctx, const struct tgt_table *targets,
		  const struct tgt_target *target,
		  const struct tgt_demand *demand)
{
	double places = tgt_effective_slots(ctx, targets, target);
	double limit = places * target->window;
	double used = tgt_load(ctx, targets, target);
	double load = demand->load;
	double share = limit / MAX(ctx->peers->len, 1);

	/* Idle targets accept any load; an instance always has its share. */
	if (used <= 0)
		return true;
	if (!demand->is_long)
		return short_has_room(ctx, targets, target, places, load) ||
		       target->own_load + load <= share;
	return long_has_room(ctx, targets, target, places, demand) &&
	       (used + load <= limit || target->own_load + load <= share);
}

void tgt_charge(struct wf_ctx *ctx, struct tgt_table *targets,
		struct tgt_target *target, double load, bool is_long)
{
	struct chn_model *model = chn_get_model(targets, target->serves);

	tgt_breaker_request_started(target, ctx->now);
	target->own_requests++;
	target->own_load += load;
	target->own_load_since_report += load;
	if (is_long)
		target->own_long_load += load;
	if (!model)
		return;
	model->own_load += load;
	if (is_long)
		model->own_long_load += load;
	else
		model->last_short = ctx->now;
}

void tgt_release(struct tgt_table *targets, struct tgt_target *target,
		 double load, bool is_long)
{
	struct chn_model *model = chn_get_model(targets, target->serves);

	tgt_breaker_request_ended(target);
	if (target->own_requests)
		target->own_requests--;
	target->own_load = MAX(target->own_load - load, 0);
	target->own_load_since_report -= load;
	if (is_long)
		target->own_long_load = MAX(target->own_long_load - load, 0);
	if (model)
		model->own_load = MAX(model->own_load - load, 0);
	if (model && is_long)
		model->own_long_load = MAX(model->own_long_load - load, 0);
	if (!target->own_requests)
		target->own_load = target->own_long_load = 0;
	targets->revision++;
}

void tgt_observe_token_time(struct tgt_table *targets,
			    struct tgt_target *target, double ratio)
{
	(void)targets;
	ratio = CLAMP(ratio, 0.5, 50);
	target->inflation +=
		TGT_INFLATION_SMOOTHING * (ratio - target->inflation);
	target->inflation = MAX(target->inflation, 1);
}

void tgt_adapt_window(struct tgt_target *target)
{
	double queue = (double)target->queued / target->slots;
	double change = TGT_WINDOW_STEP * (TGT_WINDOW_QUEUE - queue);

	if (target->running < target->slots)
		change = TGT_WINDOW_STEP * (TGT_WINDOW_START - target->window);
	change = CLAMP(change, -TGT_WINDOW_STEP, TGT_WINDOW_STEP);
	target->window =
		CLAMP(target->window + change, TGT_WINDOW_MIN, TGT_WINDOW_MAX);
}

void tgt_mark_full(struct tgt_target *target)
{
	double full = target->slots * target->window;

	target->peer_load = MAX(target->peer_load, full);
	target->window = MAX(target->window * 0.7, TGT_WINDOW_MIN);
}
