#ifndef FORWARD_PREFILL_COST_H
#define FORWARD_PREFILL_COST_H

/*
 * pfc: prefill cost, what the prefill of a prompt costs the streams and prompts
 * on the same engine.
 *
 * Load pattern: prompts of several thousand tokens and prompts of a few hundred
 * share the engines. Each chunk of a long prompt delays the decode steps of all
 * streams on its engine, and a short prompt waits until the long ones ahead of
 * it have been prefilled. So long prompts should collect on engines with few
 * streams, and short ones should avoid the engines that prefill them.
 *
 * Costs are in ms and are compared with the time per token of a path. They are
 * small for prompts of the usual length. An engine entry that doesn't state the
 * chunk size and the prefill rate gets the cost of the backlog only. Everything
 * is computed for all layers of the model; a stage has its share of that.
 */

#include <wagtailferry/catalog.h>

/* Whether the entry states what the costs of long prompts are computed from. */
bool pfc_is_known(const struct cat_engine *engine);

/* Whether a prompt is several times as long as the usual one. */
bool pfc_is_long(const struct cat_engine *engine, double tokens);

/* Prefill time of the tokens in ms. factor is that of the accelerator. */
double pfc_read_ms(const struct cat_engine *engine, double factor,
		   double tokens);

/* The time in ms from the first chunk of the tokens to the last, with the
 * decode steps between them. token_ms is the time of one step. */
double pfc_occupied_ms(const struct cat_engine *engine, double factor,
		       double tokens, double token_ms);

/* Cost of delaying a number of streams by the chunks of a prompt beyond the
 * length from which it is long. The cost of a running request includes shorter
 * ones, and instances that weigh the streams of late reports would all choose
 * the same engine. */
double pfc_delay_cost(const struct cat_engine *engine, double factor,
		      double tokens, double streams);

/* Cost for a prompt of waiting until a backlog of backlog_ms at a stage is
 * prefilled. usual_ms is the prefill time of a usual prompt there; objective_ms
 * is that for the time to the first event, 0 if there is none. */
double pfc_wait_cost(const struct cat_engine *engine, double tokens,
		     double backlog_ms, double usual_ms, double objective_ms);

/* Cost of a long prompt on an engine that isn't prefilling long ones yet. Those
 * with a backlog as long as the prompt's own time are avoided by short prompts
 * already. */
double pfc_spread_cost(const struct cat_engine *engine, double tokens,
		       double backlog_ms, double occupied_ms);

/*
 * Cost of an engine that has spent long_share of its recent time on the prefill
 * of long prompts. Instances learn of each other's prompts later than the
 * prefill takes, so short prompts avoid where long ones usually are, and the
 * long ones of all instances prefer the same engines: rank, from 0 to 1, is the
 * engine's place in an order that all agree on. occupied_ms is the time that a
 * long prompt occupies the engine.
 */
double pfc_share_cost(const struct cat_engine *engine, double tokens,
		      double long_share, double rank, double occupied_ms);

#endif
