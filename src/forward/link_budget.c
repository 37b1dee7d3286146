#include "forward/link_budget.h"

#include <math.h>

/* Fraction of the links' time that instances use. At half of it a transfer
 * waits about as long as one prompt takes, well below a stream's longest
 * pause. */
#define USABLE_LINK_FRACTION 0.5
/* Time for which the links may be occupied by instances that begin together;
 * they take turns if one request of each would occupy them for longer. */
#define MAX_BURST_MS 100.0
/* Debt of an instance, in ms of its share, up to which it moves running
 * requests across data centres. */
#define MAX_MOVE_DEBT_MS 2000.0

void lnk_init(struct lnk_budget *budget, unsigned instances, double phase)
{
	*budget = (struct lnk_budget){.phase = phase};
	lnk_set_instances(budget, instances);
}

void lnk_set_instances(struct lnk_budget *budget, unsigned instances)
{
	budget->instances = instances ? instances : 1;
}

/* Time in ms for which this instance's share pays for the links' time. */
static double share_ms(const struct lnk_budget *budget, double busy_ms)
{
	return busy_ms * budget->instances / USABLE_LINK_FRACTION;
}

bool lnk_may_send(const struct lnk_budget *budget, clk_ms now, double busy_ms)
{
	double cycle = share_ms(budget, busy_ms);
	double burst = busy_ms * budget->instances;
	double turn;

#ifdef WF_GUARD_OFF_LINK_BUDGET
	return true;
#endif
	if (cycle <= 0)
		return true;
	if ((double)now < budget->paid_at)
		return false;
	turn = (double)now / cycle + budget->phase;
	return (turn - floor(turn)) * burst < MAX_BURST_MS;
}

bool lnk_may_move(const struct lnk_budget *budget, clk_ms now)
{
	return budget->paid_at - (double)now < MAX_MOVE_DEBT_MS;
}

void lnk_charge(struct lnk_budget *budget, clk_ms now, double busy_ms)
{
	budget->paid_at =
		MAX(budget->paid_at, (double)now) + share_ms(budget, busy_ms);
}
