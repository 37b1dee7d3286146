#ifndef EDGE_LOG_BUDGET_H
#define EDGE_LOG_BUDGET_H

/*
 * lgb: log budget. Limits the log lines and bytes per second. Each class of
 * lines has its own share, so that a flood of one class does not suppress the
 * others. If routine or improper requests exceed the share of their class,
 * their lines are sampled by a hash of the request id, evenly over time.
 */

#include <wagtailferry/base.h>

enum lgb_class {
	/* State changes of the process and of what it depends on. */
	LGB_STATE,
	/* Requests that failed, were refused, retried, rerouted or late. */
	LGB_TROUBLE,
	/* Requests answered in time at the first send. */
	LGB_ROUTINE,
	/* Requests refused as invalid before a service was chosen. */
	LGB_IMPROPER,
	LGB_CLASSES,
};

struct lgb_share {
	unsigned lines;
	size_t bytes;
	/* Lines in this second, written or suppressed. */
	unsigned requested;
	unsigned suppressed;
	/* Fraction of the requests whose lines are written. */
	double sample_rate;
};

struct lgb_budget {
	unsigned lines_per_s;
	size_t bytes_per_s;
	int64_t second;
	struct lgb_share shares[LGB_CLASSES];
};

void lgb_init(struct lgb_budget *budget, unsigned lines_per_s,
	      size_t bytes_per_s);

/*
 * Whether a line may be written now. hash is that of the request id, or 0 for
 * lines that belong to no request.
 */
bool lgb_allows(struct lgb_budget *budget, clk_ms now, enum lgb_class class,
		uint64_t hash);

/* Adds the bytes of a line that was written. */
void lgb_count_bytes(struct lgb_budget *budget, enum lgb_class class,
		     size_t bytes);

/*
 * Whether lines were suppressed in a second that is over; writes their number
 * by class. Call before lgb_allows(), which starts the new second.
 */
bool lgb_take_suppressed(struct lgb_budget *budget, clk_ms now,
			 unsigned suppressed[LGB_CLASSES]);

#endif
