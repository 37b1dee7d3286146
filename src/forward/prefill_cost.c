#include "forward/prefill_cost.h"

#include <math.h>

/* Prompts above this multiple of the usual length are long. */
#define LONG_FACTOR 2.0
/* Cost per ms of an engine's backlog: it prefills earlier prompts first, and a
 * request waits for its slowest stage. */
#define BACKLOG_FACTOR 0.15
/* The backlog of several usual prompts comes and goes within a few steps.
 * Beyond it, the cost rises by this per ms: a short prompt should rather go to
 * an engine with more streams than wait for a long one. */
#define USUAL_BACKLOG_PROMPTS 2.0
#define LONG_BACKLOG_FACTOR 0.85
/* The same beyond this fraction of the objective for a long prompt: the short
 * ones that have no other engine must still meet theirs. */
#define OBJECTIVE_FRACTION 0.5
/* Cost per ms for which a long prompt makes another engine one that short
 * prompts avoid. */
#define SPREAD_FACTOR 0.15
/* A short prompt meets a long one with the probability of its share of the
 * time, and then waits up to the time that it occupies the engine. */
#define SHORT_SHARE_FACTOR 1.0
/* Long prompts use further engines when those they prefer spend more than this
 * share of their time on them: they would wait for each other. */
#define MAX_LONG_SHARE 0.5
#define CROWD_FACTOR 1.0
#define PAIRS_PER_UNIT 1e6

bool pfc_is_known(const struct cat_engine *engine)
{
#ifdef WF_GUARD_OFF_PREFILL_COST
	return false;
#endif
	return engine->prefill_chunk_tokens > 0 &&
	       engine->prefill_tokens_per_ms > 0 &&
	       engine->usual_prompt_tokens > 0;
}

bool pfc_is_long(const struct cat_engine *engine, double tokens)
{
	return tokens > LONG_FACTOR * engine->usual_prompt_tokens;
}

double pfc_read_ms(const struct cat_engine *engine, double factor,
		   double tokens)
{
	double pairs = tokens * tokens / 2 / PAIRS_PER_UNIT;

	if (engine->prefill_tokens_per_ms <= 0)
		return 0;
	if (!pfc_is_known(engine))
		pairs = 0;
	return factor * (tokens / engine->prefill_tokens_per_ms +
			 pairs * engine->prefill_ms_per_1m_pairs);
}

double pfc_occupied_ms(const struct cat_engine *engine, double factor,
		       double tokens, double token_ms)
{
	double read = pfc_read_ms(engine, factor, tokens);

	if (!pfc_is_known(engine))
		return read;
	return read +
	       MAX(tokens / engine->prefill_chunk_tokens - 1, 0) * token_ms;
}

double pfc_delay_cost(const struct cat_engine *engine, double factor,
		      double tokens, double streams)
{
	double exempt = LONG_FACTOR * engine->usual_prompt_tokens;

	if (!pfc_is_known(engine) || tokens <= exempt)
		return 0;
	/* The path's cost is per output token, and so is this. */
	return streams / MAX(engine->usual_answer_tokens, 1) *
	       (pfc_read_ms(engine, factor, tokens) -
		pfc_read_ms(engine, factor, exempt));
}

/* Backlog that costs 0.15 ms per ms only. */
static double cheap_backlog_ms(bool is_long, double usual_ms,
			       double objective_ms)
{
	if (!is_long)
		return USUAL_BACKLOG_PROMPTS * usual_ms;
	return objective_ms > 0 ? OBJECTIVE_FRACTION * objective_ms : INFINITY;
}

double pfc_wait_cost(const struct cat_engine *engine, double tokens,
		     double backlog_ms, double usual_ms, double objective_ms)
{
	double cost = BACKLOG_FACTOR * backlog_ms;
	bool is_long = pfc_is_long(engine, tokens);
	double excess;

	if (!pfc_is_known(engine))
		return cost;
	/* A long prompt takes its time anyway: to wait matters less to it than
	 * to the short ones that it would make wait elsewhere. */
	if (is_long)
		cost *= LONG_FACTOR * engine->usual_prompt_tokens / tokens;
	excess = backlog_ms - cheap_backlog_ms(is_long, usual_ms, objective_ms);
	return cost + LONG_BACKLOG_FACTOR * MAX(excess, 0);
}

double pfc_share_cost(const struct cat_engine *engine, double tokens,
		      double long_share, double rank, double occupied_ms)
{
#ifdef WF_GUARD_OFF_LONG_SHARE
	return 0;
#endif
	if (!pfc_is_known(engine))
		return 0;
	if (!pfc_is_long(engine, tokens))
		return SHORT_SHARE_FACTOR * long_share * occupied_ms;
	return occupied_ms *
	       (SPREAD_FACTOR * rank +
		CROWD_FACTOR * MAX(long_share - MAX_LONG_SHARE, 0));
}

double pfc_spread_cost(const struct cat_engine *engine, double tokens,
		       double backlog_ms, double occupied_ms)
{
	if (!pfc_is_known(engine) || !pfc_is_long(engine, tokens))
		return 0;
	return SPREAD_FACTOR * MAX(occupied_ms - backlog_ms, 0);
}
