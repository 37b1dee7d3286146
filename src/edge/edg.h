#ifndef EDGE_EDG_H
#define EDGE_EDG_H

/*
 * The edge: forwards callers' requests as opaque bytes to plain services and
 * along paths of engines, and sees to it that engines hold the layers that
 * paths need. It knows the catalog and the fleet; a platform tells it of
 * changes of both and carries out orders.
 */

#include <uv.h>

#include <wagtailferry/fleet.h>
#include <wagtailferry/schema.h>

#include "edge/hup.h"

struct edg_edge;
struct edg_platform;

/* Names of header fields on the platform's wire. */
struct edg_header_names {
	/* Id of one attempt of a caller. */
	const char *attempt_id;
	/* Milliseconds that the sender will still wait. */
	const char *remaining_ms;
	/* Authentication field and the scheme before the key. */
	const char *authorization;
	const char *key_scheme;
	/* Organisation, for targets. */
	const char *org;
	/* Id of the only target that may run the request. */
	const char *target_id;
	/* Urgency at an engine, 0 to 9. */
	const char *engine_priority;
	/* Path of engines. */
	const char *path;
	/* Tokens of the prompt and most tokens of the answer. */
	const char *token_counts;
	/* Expected tokens of the answer. */
	const char *length_hint;
	/* Last event that the caller of a stream has. */
	const char *last_event_id;
	/* A target's proof that the answer is its own. */
	const char *signature;
	/* A target's proof that it did not run the request. */
	const char *not_run;
	/* Address of the engine that was the reason for a refusal. */
	const char *failed_target;
};

/* What an engine says of itself. */
struct edg_report {
	/* Start of its process in ms since the epoch, 0 if not stated. */
	int64_t born;
	/* Orders that it has accepted since. */
	uint64_t orders;
	/* It is carrying out an order. */
	bool is_busy;
	struct flt_range holds;
	/* How much slower it is than it should be, 1 for not at all. */
	double slowdown;
	/* Addresses of engines that its paths wait for. */
	const GPtrArray *stalled;
};

/* Called once; report is NULL if there was no answer. */
typedef void (*edg_report_fn)(void *user, const struct edg_report *report);

enum edg_order_result {
	/* Accepted, or the engine holds the layers already. */
	EDG_ORDER_TAKEN,
	/* The engine's state is another one than the order assumed. */
	EDG_ORDER_REFUSED,
	/* Another instance has given orders with a higher fence. */
	EDG_ORDER_FENCED,
	/* Not carried out: not sent, or the engine can't take it. */
	EDG_ORDER_FAILED,
	/* No answer: it may be carried out, also later. */
	EDG_ORDER_UNKNOWN,
};

/* at is the address of the engine that was the reason for a refusal, or
 * NULL. */
typedef void (*edg_order_fn)(void *user, enum edg_order_result result,
			     const char *at);

/* Layers that were ordered, as the duty's record has them. */
struct edg_assignment {
	char *target_id;
	struct flt_range range;
};

/* The record of who gives orders; lies in the platform's store. */
struct edg_duty {
	/* Revision of the record in the store, 0 if there is none. */
	int64_t revision;
	char *holder;
	/* Goes with each order; rises with each change of the holder. */
	uint64_t fence;
	/* Of struct edg_assignment: the newest orders. */
	GArray *assignments;
};

struct edg_duty *edg_duty_new(void);
struct edg_duty *edg_duty_copy(const struct edg_duty *duty);
void edg_duty_free(struct edg_duty *duty);
void edg_duty_assign(struct edg_duty *duty, const char *target_id,
		     struct flt_range range);

enum edg_duty_result {
	EDG_DUTY_OK,
	/* Somebody else wrote the record in between. */
	EDG_DUTY_CONFLICT,
	/* No answer; a write may have been carried out. */
	EDG_DUTY_UNKNOWN,
};

/* duty is the record as it is now; NULL on EDG_DUTY_UNKNOWN. Borrowed. */
typedef void (*edg_duty_fn)(void *user, enum edg_duty_result result,
			    const struct edg_duty *duty);

/* An instance as it announces itself. */
struct edg_peer {
	const char *instance;
	const char *data_center;
	/* "IP:port" for reports of load. */
	const char *address;
};

/* Called for each peer. */
typedef void (*edg_peer_fn)(void *user, const struct edg_peer *peer);

/* What the edge asks of a platform. Each call answers once, from the loop. */
struct edg_platform_ops {
	/* The path as a header value; to be freed. */
	char *(*write_path)(const struct pth_path *path);
	void (*ask_report)(struct edg_platform *platform,
			   const struct flt_target *target, edg_report_fn fn,
			   void *user);
	/* The order is void unless the engine has accepted so many orders. */
	void (*order_layers)(struct edg_platform *platform,
			     const struct flt_target *target,
			     struct flt_range range, uint64_t accepted_orders,
			     uint64_t fence, edg_order_fn fn, void *user);
	/* Lets a running request go on over another path with the same head;
	 * the id is that of the caller's attempt. */
	void (*reroute)(struct edg_platform *platform,
			const struct flt_target *head, const char *id,
			const struct pth_path *path, edg_order_fn fn,
			void *user);
	/* Writes where this instance receives peers' reports. */
	void (*announce)(struct edg_platform *platform,
			 const struct edg_peer *self);
	/* Lists all instances that have announced themselves. A cheap list
	 * may be some seconds old. */
	void (*list_peers)(struct edg_platform *platform, bool cheap,
			   edg_peer_fn fn, void *user);
	void (*read_duty)(struct edg_platform *platform, edg_duty_fn fn,
			  void *user);
	/* Replaces the record if it still has duty's revision. */
	void (*write_duty)(struct edg_platform *platform,
			   const struct edg_duty *duty, edg_duty_fn fn,
			   void *user);
};

/* First member of a platform. */
struct edg_platform {
	const struct edg_platform_ops *ops;
};

struct edg_config {
	uv_loop_t *loop;
	/* Copied where it is needed longer. */
	const Wf__EdgeSettings *settings;
	const struct edg_header_names *fields;
	struct edg_platform *platform;
	/* Kept. */
	struct ctr_set *counters;
	struct log_logger *log;
	/* Called when the drain has ended. */
	void (*done)(void *user);
	void *user;
};

/* Opens both listeners. Sets ERR_IO or ERR_BAD_SETTINGS. */
struct edg_edge *edg_new(const struct edg_config *config, GError **error);

/* Closes everything; the loop must run on to release it. */
void edg_drop(struct edg_edge *edge);

/* Time of the edge, that no step of the wall clock changes and that counts
 * suspension. */
clk_ms edg_now(const struct edg_edge *edge);

struct hup_client *edg_client(struct edg_edge *edge);

/* Targets that the platform lists; the platform puts them in. */
struct flt_fleet *edg_fleet(struct edg_edge *edge);

/* The fleet is complete for the first time, or has changed. */
void edg_fleet_changed(struct edg_edge *edge);

/* The platform can be called: instances announce themselves. */
void edg_start(struct edg_edge *edge);

/* Takes over a version of the catalog; an older one than the present is
 * dropped with a log line. */
void edg_set_catalog(struct edg_edge *edge, struct cat_catalog *catalog);

/* How long a watch of the configuration may be held, in ms. */
clk_ms edg_config_watch_time(const struct edg_edge *edge);

/* No newer version than the present one existed at that time. */
void edg_confirm_catalog(struct edg_edge *edge, clk_ms at);

/* Settings that may change while the process runs. */
void edg_apply_settings(struct edg_edge *edge,
			const Wf__EdgeSettings *settings);

/* Leaves the balancer, completes what runs, then calls done. */
void edg_drain(struct edg_edge *edge);

/* Writes a decision to the log, within its rate. */
void edg_log(struct edg_edge *edge, const char *subject, const char *from,
	     const char *to, const char *detail, ...) G_GNUC_PRINTF(5, 6);

#endif
