#ifndef FORWARD_OUTPUT_LENGTH_H
#define FORWARD_OUTPUT_LENGTH_H

/*
 * oln: output length, the expected output of requests by their class, which is
 * organisation and route.
 *
 * Load pattern: callers state a hint for the output length that is right at the
 * median and often far off. The classes whose outputs are longer than their
 * hints fill the KV cache of engines that were taken to have room.
 */

#include <wagtailferry/base.h>

#define OLN_SLOTS 4096

/* Classes by their hash; one that collides replaces the other. All 0 at the
 * start. */
struct oln_lengths {
	/* Logarithm of the median of the outputs per hint over all classes. */
	double log_median;
	struct {
		uint64_t key;
		/* Mean of the outputs per hint, relative to the median. */
		double ratio;
	} slots[OLN_SLOTS];
};

/* The hash of a class. org is "" if there is none. */
uint64_t oln_class(const char *org, const char *route);

/*
 * Records the output of a request that ran to its end. It may be in tokens or
 * in any unit proportional to them: hints are right at the median, so outputs
 * are compared with the median of all.
 */
void oln_record(struct oln_lengths *lengths, uint64_t class, double hint,
		double output);

/* The expected output tokens of a request: from 0.25 to 4 times the hint, and
 * at most its limit. */
double oln_expect(const struct oln_lengths *lengths, uint64_t class,
		  double hint, double limit);

#endif
