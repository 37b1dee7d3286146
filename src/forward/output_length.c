#include "forward/output_length.h"

#include <math.h>
#include <string.h>

#include <wagtailferry/core.h>

/* Weight of the newest output. One that is far off moves the mean by at most
 * this times MAX_RATIO. */
#define RATIO_WEIGHT 0.05
/* Change of the median's logarithm with each output: a factor of 2 takes 35
 * outputs. */
#define MEDIAN_STEP 0.02
#define MIN_RATIO 0.25
#define MAX_RATIO 4.0

uint64_t oln_class(const char *org, const char *route)
{
	uint64_t key =
		wf_hash(org, strlen(org), wf_hash(route, strlen(route), 0));

	return key ? key : 1;
}

void oln_record(struct oln_lengths *lengths, uint64_t class, double hint,
		double output)
{
	double ratio;
	size_t i = class % OLN_SLOTS;

	if (hint <= 0 || output <= 0)
		return;
	ratio = output / hint / exp(lengths->log_median);
	lengths->log_median += ratio > 1 ? MEDIAN_STEP : -MEDIAN_STEP;
	ratio = CLAMP(ratio, MIN_RATIO, MAX_RATIO);
	if (lengths->slots[i].key != class) {
		lengths->slots[i].key = class;
		lengths->slots[i].ratio = 1;
	}
	lengths->slots[i].ratio +=
		RATIO_WEIGHT * (ratio - lengths->slots[i].ratio);
}

double oln_expect(const struct oln_lengths *lengths, uint64_t class,
		  double hint, double limit)
{
	size_t i = class % OLN_SLOTS;

#ifdef WF_GUARD_OFF_OUTPUT_LENGTH
	return MIN(hint, limit);
#endif
	if (lengths->slots[i].key != class)
		return MIN(hint, limit);
	return MIN(hint * lengths->slots[i].ratio, limit);
}
