#ifndef FORWARD_LINK_BUDGET_H
#define FORWARD_LINK_BUDGET_H

/*
 * lnk: an instance's share of the links between data centres.
 *
 * Load pattern: the engines of each data centre are full, what room is left is
 * spread over all of them, and every instance begins to use paths that cross.
 * The activations of all tokens of such a path share a link; one prompt
 * occupies it for tens of ms. A saturated link delays every stream that
 * crosses, those of reroutes after a loss too.
 */

#include <wagtailferry/base.h>

struct lnk_budget {
	/* Instances that share the links, this one included. */
	unsigned instances;
	/* Place of this instance in the cycle of all, from 0 to 1. */
	double phase;
	/* When its share of the links has paid for all charges, in ms. */
	double paid_at;
};

void lnk_init(struct lnk_budget *budget, unsigned instances, double phase);

/* Number of instances that share the links, at least 1. */
void lnk_set_instances(struct lnk_budget *budget, unsigned instances);

/*
 * Whether a new request may occupy the links for that time in ms. Instances
 * that have spare budget at the same time take turns, so that a jump of the
 * traffic does not fill the links at once.
 */
bool lnk_may_send(const struct lnk_budget *budget, clk_ms now, double busy_ms);

/* Whether a running request may be moved to a path that crosses. */
bool lnk_may_move(const struct lnk_budget *budget, clk_ms now);

/* Counts a request that occupies the links for that time in ms. */
void lnk_charge(struct lnk_budget *budget, clk_ms now, double busy_ms);

#endif
