#include <math.h>

#include "sched/tgt_breaker.h"

#define BREAKER_THRESHOLD 3.0
/* Failures decay, so that rare ones do not add up over an hour. */
#define BREAKER_HALF_LIFE_MS 5000.0
#define BREAKER_OPEN_MAX (30 * CLK_SECOND)
/* Concurrent own requests, and successes to close, while half open. */
#define BREAKER_PROBES 1
#define BREAKER_SUCCESSES 3

bool tgt_breaker_admits(const struct tgt_target *target, clk_ms now)
{
	if (target->breaker == TGT_BREAKER_CLOSED)
		return true;
	if (target->breaker == TGT_BREAKER_OPEN && now < target->open_until)
		return false;
	return target->probes < BREAKER_PROBES;
}

/* Up to 25 % of jitter keeps instances from probing at the same time. */
static void open_breaker(struct wf_ctx *ctx, struct tgt_table *targets,
			 struct tgt_target *target)
{
	clk_ms span = target->open_span * 2;

	span = CLAMP(span, targets->config.breaker_open, BREAKER_OPEN_MAX);
	target->open_span = span;
	span += g_rand_int_range(ctx->rand, 0, (gint32)span / 4 + 1);
	target->open_until = ctx->now + span;
	log_change(ctx->log, ctx->now, target->id,
		   target->breaker == TGT_BREAKER_CLOSED ? "closed"
							 : "half open",
		   "open", NULL);
	target->breaker = TGT_BREAKER_OPEN;
	target->successes = 0;
	ctr_add(ctx->counters, "wf_breakers_opened_total", 1);
}

void tgt_record_failure(struct wf_ctx *ctx, struct tgt_table *targets,
			struct tgt_target *target, double weight)
{
	double age = (double)(ctx->now - target->failed_at);

	target->failures =
		target->failures * exp2(-age / BREAKER_HALF_LIFE_MS) + weight;
	target->failed_at = ctx->now;
	if (!targets->config.use_breaker)
		return;
	if (target->breaker == TGT_BREAKER_OPEN &&
	    ctx->now < target->open_until)
		return;
	if (target->breaker != TGT_BREAKER_CLOSED ||
	    target->failures >= BREAKER_THRESHOLD)
		open_breaker(ctx, targets, target);
}

void tgt_record_success(struct wf_ctx *ctx, struct tgt_table *targets,
			struct tgt_target *target)
{
	target->reachable = true;
	target->last_success = ctx->now;
	if (target->breaker != TGT_BREAKER_HALF_OPEN)
		return;
	if (++target->successes < BREAKER_SUCCESSES)
		return;
	log_change(ctx->log, ctx->now, target->id, "half open", "closed", NULL);
	target->breaker = TGT_BREAKER_CLOSED;
	target->failures = 0;
	target->open_span = 0;
	target->closed_at = ctx->now;
	targets->revision++;
}

void tgt_breaker_request_started(struct tgt_target *target, clk_ms now)
{
	if (target->breaker == TGT_BREAKER_OPEN && now >= target->open_until) {
		target->breaker = TGT_BREAKER_HALF_OPEN;
		target->probes = 0;
	}
	if (target->breaker == TGT_BREAKER_HALF_OPEN)
		target->probes++;
}

void tgt_breaker_request_ended(struct tgt_target *target)
{
	if (target->breaker == TGT_BREAKER_HALF_OPEN && target->probes)
		target->probes--;
}
