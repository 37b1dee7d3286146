#include <wagtailferry/sched.h>

void rty_init(struct rty_budget *budget, double part, double burst)
{
	budget->part = part;
	budget->burst = burst;
	budget->tokens = burst;
}

void rty_deposit(struct rty_budget *budget)
{
	budget->tokens = MIN(budget->tokens + budget->part, budget->burst);
}

bool rty_withdraw(struct rty_budget *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

bool rty_try_hedge(struct rty_budget *budget, bool repeatable, unsigned sent,
		   clk_ms waited, clk_ms p95)
{
	if (!repeatable || sent > 1 || p95 <= 0 || waited < p95)
		return false;
	return rty_withdraw(budget);
}
