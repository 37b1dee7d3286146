#ifndef WAGTAILFERRY_DAEMON_DRV_CLOCK_H
#define WAGTAILFERRY_DAEMON_DRV_CLOCK_H

#include <wagtailferry/base.h>

/*
 * Wall time without jumps: the wall time at the start plus the elapsed time,
 * including suspend.
 */
struct drv_clock {
	clk_ms wall_start;
	clk_ms boot_start;
};

void drv_clock_start(struct drv_clock *clock);
clk_ms drv_clock_now(const struct drv_clock *clock);

#endif
