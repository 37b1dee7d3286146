#ifndef WAGTAILFERRY_DAEMON_PLAT_H
#define WAGTAILFERRY_DAEMON_PLAT_H

/*
 * The platform, engines and services: executes the core's actions towards
 * them and reports what comes back as events. See docs/interfaces.md for the
 * protocols.
 */

#include <wagtailferry/core.h>

#include "daemon/cli.h"

struct plat_sink;

struct plat_sink_ops {
	/* Takes an event; what it points to is borrowed for the call. */
	void (*event)(struct plat_sink *sink, const struct wf_event *event);
};

/* First member of whatever receives the events. */
struct plat_sink {
	const struct plat_sink_ops *ops;
};

struct plat;

struct plat_ops {
	/*
	 * Starts an asynchronous action. operation is the operation of a
	 * service call and NULL otherwise. The reply event comes from the loop,
	 * or from inside this call if nothing had to be sent.
	 */
	void (*run)(struct plat *plat, const struct wf_action *action,
		    const char *operation);
	void (*drop)(struct plat *plat);
};

/* First member of an implementation. */
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

/* The implementation over HTTP. Drop it after its client. */
struct plat *plat_http_new(const struct plat_config *config);

/* Whether an action is for the platform, an engine or a service. */
bool plat_runs_action(enum wf_action_type type);

#endif
