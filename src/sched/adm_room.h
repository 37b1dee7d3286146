#ifndef SCHED_ADM_ROOM_H
#define SCHED_ADM_ROOM_H

/*
 * adm: estimate of when capacity becomes free, and the times at which refused
 * callers are to return.
 *
 * Load pattern: for some seconds more requests arrive than the engines can run.
 * With a constant Retry-After, all callers that were refused return together
 * into the same crest and are refused again. The requests that end tell how
 * fast capacity becomes free, and returning callers are spread over time so
 * that they need only a part of it. Each instance counts its own requests:
 * in the long run it gets back as much capacity as it releases.
 */

#include <wagtailferry/base.h>

struct adm_room {
	/* Requests that ended, decaying, as of counted_at. */
	double ends;
	clk_ms counted_at;
	/* When the last refused caller was told to return; 0 before. */
	clk_ms last_return;
};

/* A request has released its capacity. */
void adm_room_record_end(struct adm_room *room, clk_ms now);

/* Requests that end per ms; 0 if none has ended lately. */
double adm_room_rate(const struct adm_room *room, clk_ms now);

/* Expected time in ms until there is capacity for one more request after
 * those that wait; CLK_NEVER if unknown. */
clk_ms adm_room_wait(const struct adm_room *room, clk_ms now, size_t waiting);

/*
 * Time in ms after which a refused caller is to return, at most limit. draw is
 * a random number from 0 to 1: it spreads the callers for whom there is no
 * capacity within the limit over the later part of it.
 */
clk_ms adm_room_return_after(struct adm_room *room, clk_ms now, size_t waiting,
			     clk_ms limit, double draw);

#endif
