#include <time.h>

#include "daemon/drv_clock.h"

#define NS_PER_MS 1000000

static clk_ms read_clock(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (clk_ms)now.tv_sec * CLK_SECOND + now.tv_nsec / NS_PER_MS;
}

void drv_clock_start(struct drv_clock *clock)
{
	clock->wall_start = read_clock(CLOCK_REALTIME);
	clock->boot_start = read_clock(CLOCK_BOOTTIME);
}

clk_ms drv_clock_now(const struct drv_clock *clock)
{
	return clock->wall_start + read_clock(CLOCK_BOOTTIME) -
	       clock->boot_start;
}
