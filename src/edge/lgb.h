#ifndef EDGE_LGB_H
#define EDGE_LGB_H

/*
 * The log's budget of lines and bytes a second. Each class of lines has a
 * share of its own, so that a flood of one leaves the others whole. Lines of
 * requests without trouble are sample_rate by request, evenly over time, once
 * they come faster than their share.
 */

#include <wagtailferry/base.h>

enum lgb_class {
	/* What the process is, believes or has lost. */
	LGB_STATE,
	/* Requests that failed, were refused, repeated, moved or late. */
	LGB_TROUBLE,
	/* Requests that went well. */
	LGB_ROUTINE,
	/* Requests that were improper, and never accepted. */
	LGB_IMPROPER,
	LGB_CLASSES,
};

struct lgb_share {
	unsigned lines;
	size_t bytes;
	/* Lines that requested, with those that were not written. */
	unsigned requested;
	unsigned suppressed;
	/* Part of the requests whose lines are written. */
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
 * Whether a line may be written now. hash is that of its request's id, 0
 * where it has none.
 */
bool lgb_allows(struct lgb_budget *budget, clk_ms now, enum lgb_class class,
		uint64_t hash);

/* Counts the bytes of a line that was written. */
void lgb_count_bytes(struct lgb_budget *budget, enum lgb_class class,
		     size_t bytes);

/*
 * Whether a second has passed in which lines were suppressed; writes how many
 * of each class. To be requested before lgb_allows(), which begins the second.
 */
bool lgb_take_suppressed(struct lgb_budget *budget, clk_ms now,
			 unsigned suppressed[LGB_CLASSES]);

#endif
