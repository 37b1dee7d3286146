#ifndef WAGTAILFERRY_DAEMON_DRV_CLOCK_H
#define WAGTAILFERRY_DAEMON_DRV_CLOCK_H

#include <wagtailferry/base.h>

/*
 * Wall time that never jumps: the wall time of the start plus the time that
 * passed since, sleep of the machine included.
 */
struct drv_clock {
	clk_ms wall_start;
	clk_ms boot_start;
};

void drv_clock_start(struct drv_clock *clock);
clk_ms drv_clock_now(const struct drv_clock *clock);

#endif
