#ifndef WAGTAILFERRY_DAEMON_DRIVER_H
#define WAGTAILFERRY_DAEMON_DRIVER_H

/*
 * drv: driver, runs one instance on an event loop. Passes events to the core
 * with the current time, executes the core's actions and wakes the core at the
 * times that it requests.
 */

#include <uv.h>

#include <wagtailferry/core.h>
#include <wagtailferry/schema.h>

#include "daemon/drv_clock.h"

struct drv_core;

/* The interface of a core. */
struct drv_core_ops {
	void (*handle)(struct drv_core *core, clk_ms now,
		       const struct wf_event *event);
	bool (*next_action)(struct drv_core *core, struct wf_action *out);
	clk_ms (*next_wakeup)(struct drv_core *core);
	bool (*is_ready)(struct drv_core *core);
	void (*write_status)(struct drv_core *core, GString *out);
};

/* First member of a core, real or fake. */
struct drv_core {
	const struct drv_core_ops *ops;
};

struct drv_driver;

struct drv_config {
	uv_loop_t *loop;
	const Wf__Settings *settings; /* borrowed until drv_new() returns */
	struct drv_core *core;	      /* borrowed until drv_drop() */
	struct drv_clock clock;
	struct ctr_set *counters; /* kept */
	struct log_logger *log;	  /* kept */
	uint64_t incarnation;
};

/*
 * Opens all listeners and links and sends WF_EV_START to the core. Errors are
 * those of srv_new() and peer_new().
 */
struct drv_driver *drv_new(const struct drv_config *config, GError **error);

/* Closes everything. The memory is released by the loop, which must run. */
void drv_drop(struct drv_driver *driver);

/* Starts the drain: sends WF_EV_DRAIN. Later calls have no effect. */
void drv_drain(struct drv_driver *driver);

/* Whether the instance has finished and stopped the loop (WF_ACT_EXIT). */
bool drv_is_done(const struct drv_driver *driver);

/* The bound addresses as "IP:port". Borrowed. */
const char *drv_caller_address(const struct drv_driver *driver);
const char *drv_operator_address(const struct drv_driver *driver);
const char *drv_peer_address(const struct drv_driver *driver);

#endif
