#include "sched/adm_room.h"

#include <math.h>

/* Time constant of the count of ended requests. */
#define RATE_WINDOW_MS 1500.0
/* Fraction of the capacity that returning callers are invited to; the rest
 * serves new ones. */
#define RETURN_FRACTION 0.25
/* A caller that returns sooner would mostly meet the same requests. */
#define MIN_RETURN_MS 400
/* Callers beyond the limit are spread over this last fraction of it. */
#define SPREAD_FRACTION 0.5

static double ends_at(const struct adm_room *room, clk_ms now)
{
	double passed = (double)MAX(now - room->counted_at, 0);

	return room->ends * exp(-passed / RATE_WINDOW_MS);
}

void adm_room_record_end(struct adm_room *room, clk_ms now)
{
	room->ends = ends_at(room, now) + 1;
	room->counted_at = now;
}

double adm_room_rate(const struct adm_room *room, clk_ms now)
{
	double rate = ends_at(room, now) / RATE_WINDOW_MS;

	/* Less than one request remembered tells nothing. */
	return rate * RATE_WINDOW_MS < 1 ? 0 : rate;
}

clk_ms adm_room_wait(const struct adm_room *room, clk_ms now, size_t waiting)
{
	double rate = adm_room_rate(room, now);

	return rate > 0 ? (clk_ms)((double)(waiting + 1) / rate) : CLK_NEVER;
}

clk_ms adm_room_return_after(struct adm_room *room, clk_ms now, size_t waiting,
			     clk_ms limit, double draw)
{
	double rate = RETURN_FRACTION * adm_room_rate(room, now);
	clk_ms first = now + MIN(MIN_RETURN_MS, limit);
	clk_ms at = first;

	if (rate > 0) {
		at = MAX(first, now + (clk_ms)((double)waiting / rate));
		at = MAX(at, room->last_return + (clk_ms)(1 / rate));
	}
	if (rate <= 0 || at > now + limit)
		return MAX(first - now, (clk_ms)((double)limit *
						 (1 - SPREAD_FRACTION * draw)));
	room->last_return = at;
	return at - now;
}
