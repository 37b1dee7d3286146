#include <string.h>

#include "edge/log_budget.h"

/* Share of each class. An instance at the planned load completes about 13
 * requests per second, so the shares only matter under abnormal load. */
static const double class_shares[LGB_CLASSES] = {
	[LGB_STATE] = 0.3,
	[LGB_TROUBLE] = 0.45,
	[LGB_ROUTINE] = 0.2,
	[LGB_IMPROPER] = 0.05,
};

static bool is_sampled(enum lgb_class class)
{
	return class == LGB_ROUTINE || class == LGB_IMPROPER;
}

void lgb_init(struct lgb_budget *budget, unsigned lines_per_s,
	      size_t bytes_per_s)
{
	int i;

	memset(budget, 0, sizeof(*budget));
	budget->lines_per_s = lines_per_s;
	budget->bytes_per_s = bytes_per_s;
	budget->second = -1;
	for (i = 0; i < LGB_CLASSES; i++)
		budget->shares[i].sample_rate = 1;
}

static double max_lines(const struct lgb_budget *budget, enum lgb_class class)
{
	return class_shares[class] * budget->lines_per_s;
}

/* Sets the sample rates to what would have fitted the last second's lines. */
static void begin_second(struct lgb_budget *budget, int64_t second)
{
	int i;

	for (i = 0; i < LGB_CLASSES; i++) {
		struct lgb_share *share = &budget->shares[i];
		double limit = max_lines(budget, i);

		share->sample_rate = is_sampled(i) && share->requested > limit
					     ? limit / share->requested
					     : 1;
		share->lines = 0;
		share->bytes = 0;
		share->requested = 0;
		share->suppressed = 0;
	}
	budget->second = second;
}

bool lgb_take_suppressed(struct lgb_budget *budget, clk_ms now,
			 unsigned suppressed[LGB_CLASSES])
{
	bool any = false;
	int i;

	if (now / CLK_SECOND == budget->second)
		return false;
	for (i = 0; i < LGB_CLASSES; i++) {
		suppressed[i] = budget->shares[i].suppressed;
		any = any || suppressed[i];
		budget->shares[i].suppressed = 0;
	}
	return any;
}

static bool has_room(const struct lgb_budget *budget, enum lgb_class class)
{
	const struct lgb_share *share = &budget->shares[class];

	return share->lines < max_lines(budget, class) &&
	       (double)share->bytes <
		       class_shares[class] * (double)budget->bytes_per_s;
}

bool lgb_allows(struct lgb_budget *budget, clk_ms now, enum lgb_class class,
		uint64_t hash)
{
	struct lgb_share *share = &budget->shares[class];
	bool allowed;

	if (now / CLK_SECOND != budget->second)
		begin_second(budget, now / CLK_SECOND);
	share->requested++;
	allowed = (double)hash <= share->sample_rate * (double)UINT64_MAX &&
		  has_room(budget, class);
	if (allowed)
		share->lines++;
	else
		share->suppressed++;
	return allowed;
}

void lgb_count_bytes(struct lgb_budget *budget, enum lgb_class class,
		     size_t bytes)
{
	budget->shares[class].bytes += bytes;
}
