#include <math.h>

#include "sched/chn_model.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_load.h"

/* Other instances are taken to act as this one, up to this many of them. */
#define TGT_HERD_LIMIT 8
#define TGT_HERD_PART 0.5
/* Least part of the slots that a new or recovered target gets. */
#define TGT_LEAST_SHARE 0.1
/* Long requests may use at most this part of a target's places. */
#define TGT_LONG_SHARE 0.6
/* Limits of the steps admitted at once for each slot. */
#define TGT_WINDOW_MIN 0.8
#define TGT_WINDOW_MAX 3.0
#define TGT_WINDOW_STEP 0.01
/* Observed over expected time of a token that narrows the window. */
#define TGT_WAIT_HIGH 2.0
#define TGT_WAIT_LOW 1.6
#define TGT_INFLATION_SMOOTHING 0.05

/*
 * The reported load of others lags. What this instance added since then is
 * taken as an estimate of what each other one added.
 */
double tgt_load(const struct wf_ctx *ctx, const struct tgt_targets *targets,
		const struct tgt_target *target)
{
	double others = ctx->peers->len ? ctx->peers->len - 1.0 : 0;
	double foreign;

	(void)targets;
	others = MIN(others, TGT_HERD_LIMIT) * TGT_HERD_PART;
	foreign = target->foreign_load + target->started_since_report * others;
	return target->own_load + MAX(foreign, 0);
}

static double ramp(clk_ms now, clk_ms since, clk_ms span)
{
	double part;

	if (!since || now - since >= span)
		return 1;
	part = (double)(now - since) / (double)span;
	return MAX(part, TGT_LEAST_SHARE);
}

double tgt_places(const struct wf_ctx *ctx, const struct tgt_targets *targets,
		  const struct tgt_target *target)
{
	clk_ms span = targets->config.slow_start;
	double share = MIN(ramp(ctx->now, target->joined, span),
			   ramp(ctx->now, target->closed_at, span));

	return MAX(target->slots * share, 1);
}

bool tgt_has_room(const struct wf_ctx *ctx, const struct tgt_targets *targets,
		  const struct tgt_target *target, double load, bool is_long)
{
	double limit = tgt_places(ctx, targets, target) * target->window;
	double used = tgt_load(ctx, targets, target);

	if (is_long &&
	    target->own_long_load + load > MAX(TGT_LONG_SHARE * limit, load))
		return false;
	return used + load <= limit || used <= 0;
}

void tgt_charge(struct wf_ctx *ctx, struct tgt_targets *targets,
		struct tgt_target *target, double load, bool is_long)
{
	struct chn_model *model = chn_get_model(targets, target->serves);

	tgt_breaker_enter(target, ctx->now);
	target->own_requests++;
	target->own_load += load;
	target->started_since_report += load;
	if (is_long)
		target->own_long_load += load;
	if (model)
		model->own_load += load;
}

void tgt_release(struct tgt_targets *targets, struct tgt_target *target,
		 double load, bool is_long)
{
	struct chn_model *model = chn_get_model(targets, target->serves);

	tgt_breaker_leave(target);
	if (target->own_requests)
		target->own_requests--;
	target->own_load = MAX(target->own_load - load, 0);
	target->started_since_report -= load;
	if (is_long)
		target->own_long_load = MAX(target->own_long_load - load, 0);
	if (model)
		model->own_load = MAX(model->own_load - load, 0);
	if (!target->own_requests)
		target->own_load = target->own_long_load = 0;
	targets->revision++;
}

void tgt_observe(struct tgt_targets *targets, struct tgt_target *target,
		 double ratio)
{
	(void)targets;
	ratio = CLAMP(ratio, 0.5, 50);
	target->inflation +=
		TGT_INFLATION_SMOOTHING * (ratio - target->inflation);
	target->inflation = MAX(target->inflation, 1);
	if (ratio > TGT_WAIT_HIGH)
		target->window -= TGT_WINDOW_STEP;
	else if (ratio < TGT_WAIT_LOW)
		target->window += TGT_WINDOW_STEP;
	target->window = CLAMP(target->window, TGT_WINDOW_MIN, TGT_WINDOW_MAX);
}

void tgt_set_full(struct tgt_target *target)
{
	double full = target->slots * target->window;

	target->foreign_load = MAX(target->foreign_load, full);
	target->window = MAX(target->window * 0.7, TGT_WINDOW_MIN);
}
