#include <math.h>

#include "sched/lim_private.h"

/* A bucket holds what its rate yields in this time, and at least one. */
#define BURST_SECONDS 1.0

void lim_bucket_refill(struct lim_bucket *bucket, double rate, clk_ms now)
{
	double seconds = (double)(now - bucket->filled_at) / CLK_SECOND;
	double capacity = fmax(1.0, rate * BURST_SECONDS);

	if (now <= bucket->filled_at)
		return;
	bucket->filled_at = now;
	bucket->level = fmin(capacity, bucket->level + seconds * rate);
}

uint64_t lim_bucket_take(struct lim_bucket *bucket, uint64_t n)
{
	uint64_t available;

	if (bucket->level < 1.0)
		return 0;
	available = (uint64_t)bucket->level;
	if (n > available)
		n = available;
	bucket->level -= (double)n;
	return n;
}

clk_ms lim_bucket_wait(const struct lim_bucket *bucket, double rate)
{
	if (bucket->level >= 1.0 || rate <= 0.0)
		return 1;
	return (clk_ms)ceil((1.0 - bucket->level) / rate * CLK_SECOND);
}
