#ifndef FORWARD_UNSEEN_LOAD_H
#define FORWARD_UNSEEN_LOAD_H

/*
 * uns: load that other instances have put on engines since their last reports.
 *
 * Load pattern: the traffic jumps. Until reports arrive, all instances reserve
 * the same free memory, and engines refuse what was sent to them too much. The
 * callers of all instances behave alike, so the others are taken to have
 * reserved as much as this instance.
 */

#include <wagtailferry/base.h>

#define UNS_SAMPLES 32

struct uns_load {
	/* Own reservations, a ring of samples in the order of time. */
	struct {
		clk_ms at;
		double used;
	} samples[UNS_SAMPLES];
	unsigned next;
	unsigned count;
	unsigned instances;
	/* Age of the others' reports. */
	clk_ms report_age;
};

void uns_init(struct uns_load *load);

/* The number of instances, this one included, and the age in ms that their
 * reports have when they are used. */
void uns_set_peers(struct uns_load *load, unsigned instances,
		   clk_ms report_age);

/*
 * Records what this instance has reserved. Returns what the others are expected
 * to have reserved since their reports, in the same unit; never negative.
 */
double uns_update(struct uns_load *load, clk_ms now, double used);

#endif
