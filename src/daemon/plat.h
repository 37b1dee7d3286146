#ifndef WAGTAILFERRY_DAEMON_PLAT_H
#define WAGTAILFERRY_DAEMON_PLAT_H

/*
 * plat: platform adapter. Executes the core's actions on the platform, engines
 * and services, and reports their replies as events. See docs/interfaces.md
 * for the protocols.
 */

#include <wagtailferry/core.h>

#include "daemon/cli_http.h"

struct plat_sink;

struct plat_sink_ops {
	/* Receives an event, which is borrowed for the call. */
	void (*event)(struct plat_sink *sink, const struct wf_event *event);
};

/* The first member of each object that receives events. */
struct plat_sink {
	const struct plat_sink_ops *ops;
};

struct plat;

struct plat_ops {
	/*
	 * Starts an asynchronous action. operation names the operation of a
	 * service call and is NULL for other actions. The reply event is
	 * emitted from the loop, or from inside this call if nothing is sent.
	 */
	void (*run)(struct plat *plat, const struct wf_action *action,
		    const char *operation);
	void (*drop)(struct plat *plat);
};

/* The first member of each implementation. */
struct plat {
	const struct plat_ops *ops;
};

struct plat_config {
	struct cli_client *client; /* borrowed */
	struct plat_sink *sink;	   /* borrowed */
	struct ctr_set *counters;  /* kept */
	const char *self;
	uint64_t incarnation;
	char *const *object_api; /* "IP:port" of each server */
	size_t n_object_api;
	const char *instance_list;
};

/* Creates the HTTP implementation. Drop it after its client. */
struct plat *plat_http_new(const struct plat_config *config);

/* Whether an action addresses the platform, an engine or a service. */
bool plat_runs_action(enum wf_action_type type);

#endif
