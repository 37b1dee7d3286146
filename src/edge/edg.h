#ifndef EDGE_EDG_H
#define EDGE_EDG_H

/*
 * edg: edge proxy. Forwards callers' requests as opaque bytes to plain services
 * and along paths of engines, and orders engines to load the layers that paths
 * need. It keeps the catalog (routes and services) and the fleet (targets); a
 * platform adapter reports changes of both and sends the orders.
 */

#include <uv.h>

#include <wagtailferry/fleet.h>
#include <wagtailferry/quarantine.h>
#include <wagtailferry/schema.h>

#include "edge/hup_client.h"

struct edg_edge;
struct edg_platform;

/* Names of the HTTP header fields that the platform uses. */
struct edg_header_names {
	/* Id of the caller's attempt. */
	const char *attempt_id;
	/* Milliseconds that the sender will keep waiting. */
	const char *remaining_ms;
	/* Authentication field and the scheme before the key. */
	const char *authorization;
	const char *key_scheme;
	/* Organisation of the caller, sent to targets. */
	const char *org;
	/* Id of the only target that may run the request. */
	const char *target_id;
	/* Scheduling priority at an engine, 0 to 9. */
	const char *engine_priority;
	/* Path of engines, in the platform's notation. */
	const char *path;
	/* Prompt tokens and maximum answer tokens. */
	const char *token_counts;
	/* Expected number of answer tokens. */
	const char *length_hint;
	/* Parts of the prompt in order, "ID:TOKENS,..."; the last one belongs
	 * to the request or its session, the others are shared. */
	const char *prompt_parts;
	/* Id of the last event that the caller of a stream received. */
	const char *last_event_id;
	/* Set by a target to prove that it produced the answer itself. */
	const char *signature;
	/* Set by a target that did not run the request. */
	const char *not_run;
	/* Address of the engine that caused a refusal. */
	const char *failed_target;
	/* Set to other than 0 in all answers of a target that is leaving. */
	const char *leaving;
};

/* An engine's status report. */
struct edg_report {
	/* Start time of its process in ms since the epoch, 0 if unknown. */
	int64_t started_at;
	/* Orders accepted since the process started. */
	uint64_t orders;
	/* An order is in progress. */
	bool is_busy;
	struct flt_range holds;
	/* Slowdown factor, 1 at the expected speed. */
	double slowdown;
	/* Addresses of engines that its paths are waiting for. */
	const GPtrArray *stalled;
};

enum edg_report_result {
	EDG_REPORT_READ,
	/* No answer in time, or none that could be read. */
	EDG_REPORT_MISSING,
	/* The engine refused or closed the connection. */
	EDG_REPORT_UNREACHABLE,
};

/* Called once; report is NULL unless the result is EDG_REPORT_READ. */
typedef void (*edg_report_fn)(void *user, enum edg_report_result result,
			      const struct edg_report *report);

enum edg_order_result {
	/* Accepted, or the engine holds the layers already. */
	EDG_ORDER_TAKEN,
	/* The engine's state differs from the one that the order assumed. */
	EDG_ORDER_REFUSED,
	/* Another instance has sent an order with a higher fence. */
	EDG_ORDER_FENCED,
	/* Not executed: not sent, or not possible at the engine. */
	EDG_ORDER_FAILED,
	/* No answer: it may have been executed or may still be. */
	EDG_ORDER_UNKNOWN,
};

/* at is the address of the engine that caused a refusal, or NULL. */
typedef void (*edg_order_fn)(void *user, enum edg_order_result result,
			     const char *at);

/* Layers ordered at a target, as stored in the duty record. */
struct edg_assignment {
	char *target_id;
	struct flt_range range;
};

/*
 * The duty record in the platform's store: which instance is the leader that
 * sends orders to engines, and the orders it sent last.
 */
struct edg_duty {
	/* Revision of the record in the store, 0 if there is none. */
	int64_t revision;
	char *holder;
	/* Fencing token sent with each order; incremented when the holder
	 * changes. */
	uint64_t fence;
	/* Of struct edg_assignment: the latest orders. */
	GArray *assignments;
};

struct edg_duty *edg_duty_new(void);
struct edg_duty *edg_duty_copy(const struct edg_duty *duty);
void edg_duty_free(struct edg_duty *duty);
void edg_duty_assign(struct edg_duty *duty, const char *target_id,
		     struct flt_range range);

enum edg_duty_result {
	EDG_DUTY_OK,
	/* Another instance has written the record since it was read. */
	EDG_DUTY_CONFLICT,
	/* No answer; a write may have been applied. */
	EDG_DUTY_UNKNOWN,
};

/* duty is the current record, NULL on EDG_DUTY_UNKNOWN. Borrowed. */
typedef void (*edg_duty_fn)(void *user, enum edg_duty_result result,
			    const struct edg_duty *duty);

/* An instance as listed in the platform's store. */
struct edg_peer {
	const char *instance;
	const char *data_center;
	/* "IP:port" that receives load reports. */
	const char *address;
};

/* Called for each peer. */
typedef void (*edg_peer_fn)(void *user, const struct edg_peer *peer);

/* Operations of a platform. Each calls back once, from the event loop. */
struct edg_platform_ops {
	/* Returns the path as a header value; the caller frees it. */
	char *(*write_path)(const struct pth_path *path);
	void (*ask_report)(struct edg_platform *platform,
			   const struct flt_target *target, edg_report_fn fn,
			   void *user);
	/* The engine refuses the order unless its number of accepted orders
	 * equals accepted_orders. */
	void (*order_layers)(struct edg_platform *platform,
			     const struct flt_target *target,
			     struct flt_range range, uint64_t accepted_orders,
			     uint64_t fence, edg_order_fn fn, void *user);
	/* Moves a running request to another path with the same head; id is
	 * that of the caller's attempt. */
	void (*reroute)(struct edg_platform *platform,
			const struct flt_target *head, const char *id,
			const struct pth_path *path, edg_order_fn fn,
			void *user);
	/* Stores the address at which this instance receives peers'
	 * reports. */
	void (*announce)(struct edg_platform *platform,
			 const struct edg_peer *self);
	/* Lists all announced instances. With cheap, the list may be some
	 * seconds old. */
	void (*list_peers)(struct edg_platform *platform, bool cheap,
			   edg_peer_fn fn, void *user);
	void (*read_duty)(struct edg_platform *platform, edg_duty_fn fn,
			  void *user);
	/* Replaces the record if its revision still is duty->revision. */
	void (*write_duty)(struct edg_platform *platform,
			   const struct edg_duty *duty, edg_duty_fn fn,
			   void *user);
};

/* Base of a platform: must be the first member of its struct. */
struct edg_platform {
	const struct edg_platform_ops *ops;
};

struct edg_config {
	uv_loop_t *loop;
	/* Borrowed during edg_new(). */
	const Wf__EdgeSettings *settings;
	const struct edg_header_names *fields;
	struct edg_platform *platform;
	/* References are taken. */
	struct ctr_set *counters;
	struct log_logger *log;
	/* Called when draining is complete. */
	void (*done)(void *user);
	void *user;
};

/* Opens both listeners. Sets ERR_IO or ERR_BAD_SETTINGS. */
struct edg_edge *edg_new(const struct edg_config *config, GError **error);

/* Closes everything. The memory is released by callbacks of the loop, which
 * must keep running. */
void edg_drop(struct edg_edge *edge);

/* Clock of the edge: unaffected by steps of the wall clock, and includes time
 * in which the system was suspended. */
clk_ms edg_now(const struct edg_edge *edge);

struct hup_client *edg_client(struct edg_edge *edge);

/* Targets; the platform adds and removes them. */
struct flt_fleet *edg_fleet(struct edg_edge *edge);

/*
 * To be called with the head of each answer of a target: applies what it says
 * of itself. started_at is the target's latest_start when the request was sent.
 */
void edg_note_answer(struct edg_edge *edge, const char *target_id,
		     int64_t started_at, const struct hup_response *response);

/* Evidence on prompt parts that may crash engines. */
struct qtn_quarantine *edg_quarantine(struct edg_edge *edge);

/* To be called when the fleet is first complete and on each change. */
void edg_fleet_changed(struct edg_edge *edge);

/* To be called when the platform is ready for calls: announces this instance
 * and starts to list the others. */
void edg_start(struct edg_edge *edge);

/*
 * Installs a version of the catalog. revision is that of the store's object, or
 * 0 if unknown. A version older than the current one is ignored and logged; the
 * same version is installed again if its object has changed.
 */
void edg_set_catalog(struct edg_edge *edge, struct cat_catalog *catalog,
		     int64_t revision);

/*
 * The store's latest configuration can't be read. The catalog stays in force,
 * but isn't confirmed before a configuration can be read: it may contain keys
 * that the latest one has removed.
 */
void edg_reject_catalog(struct edg_edge *edge, const char *reason);

/* Time in ms that the next watch of the configuration may stay open. */
clk_ms edg_config_watch_time(const struct edg_edge *edge);

/* Confirms that the store held nothing later than what was last passed to
 * edg_set_catalog() or edg_reject_catalog() at the given time. */
void edg_confirm_catalog(struct edg_edge *edge, clk_ms at);

/* Applies the settings that may change while the process runs. */
void edg_apply_settings(struct edg_edge *edge,
			const Wf__EdgeSettings *settings);

/* Reports not ready to the load balancer, completes open requests, then calls
 * done. */
void edg_drain(struct edg_edge *edge);

/* Logs a state change, subject to the rate limit of the log. */
void edg_log(struct edg_edge *edge, const char *subject, const char *from,
	     const char *to, const char *detail, ...) G_GNUC_PRINTF(5, 6);

#endif
