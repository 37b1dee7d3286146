#ifndef EDGE_EDG_PRIVATE_H
#define EDGE_EDG_PRIVATE_H

#include <wagtailferry/sched.h>

#include "daemon/drv_clock.h"
#include "edge/edg.h"
#include "edge/evs.h"
#include "edge/hsv.h"
#include "edge/lgb.h"
#include "edge/prs.h"

struct ord_orders;

struct edg_edge {
	uv_loop_t *loop;
	struct drv_clock clock;
	char *instance;
	char *data_center;
	const struct edg_header_names *fields;
	struct edg_platform *platform;
	struct ctr_set *counters;
	struct log_logger *log;
	void (*done)(void *user);
	void *user;

	struct hsv_server *caller_server;
	struct hsv_server *operator_server;
	struct hup_client *client;
	struct hsv_limits limits;
	GRand *rand;

	struct cat_catalog *catalog;
	/* Newest time at which the catalog was known to be the newest. */
	clk_ms catalog_confirmed_at;
	clk_ms max_catalog_age;
	clk_ms engine_stall;
	struct flt_fleet *fleet;
	bool fleet_known;

	/* Service to struct rty_budget. */
	GHashTable *budgets;
	double retry_part;
	double retry_slack;

	struct ord_orders *orders;
	struct prs_peers *peers;
	char *peer_address;
	uv_timer_t peer_timer;
	unsigned peer_list_count;
	int open_timers;

	/* Requests that are not answered yet, of struct edg_request. */
	GHashTable *requests;
	bool is_draining;
	clk_ms drain_limit;
	uv_timer_t drain_timer;
	clk_ms drain_started_at;

	struct lgb_budget log_budget;
};

/* A target on which a request ran, or may have run. */
struct edg_run {
	struct flt_target *target;
	/* Tells its process from a later one. */
	int64_t born;
};

/* One attempt of a caller. */
struct edg_request {
	struct edg_edge *edge;
	struct hsv_request *http;
	struct cat_catalog *catalog;
	const struct cat_route *route;
	const struct cat_service *service;
	/* NULL on a public route without a key. */
	const struct cat_org *org;
	char *id;
	clk_ms started;
	/* When the caller or the route gives the request up. */
	clk_ms deadline;
	uv_timer_t timer;

	/* The present send. */
	struct hup_exchange *exchange;
	struct flt_target *target;
	struct pth_path *path;
	clk_ms sent_at;
	/* Targets that got the request, with references. */
	GPtrArray *tried_targets;
	/* Sends that reached a target, counted against the route's limit. */
	unsigned sends;
	/* Of struct edg_run, each target once. */
	GArray *runs;
	unsigned connect_failures;

	/* The answer of the present send. */
	int status;
	GString *headers;
	GString *body;
	bool is_signed;
	bool is_not_run;
	bool is_encoded;
	char *failed_address;

	/* Streams. */
	double prompt_tokens;
	double answer_tokens;
	struct evs_splitter splitter;
	/* The caller has the head of the answer. */
	bool is_answer_started;
	clk_ms first_event_at;
	clk_ms last_event_at;
	clk_ms longest_pause;
	/* Mean of its pauses, in ms; 0 before the first. */
	double mean_pause;
	uv_timer_t pause_timer;
	/* A new path for the running request, until its head has taken it. */
	struct pth_path *next_path;
	unsigned reroutes;
	/* Times that the present change of path was ordered. */
	unsigned reroute_orders;
	/* Of its timers and of whoever awaits an answer about it. */
	unsigned refs;
	bool is_freed;
};

/* How a send ended, for a decision on another one. */
enum edg_outcome {
	EDG_OUTCOME_ANSWERED,
	EDG_OUTCOME_NOT_SENT,
	/* With proof. */
	EDG_OUTCOME_NOT_RUN,
	EDG_OUTCOME_FAILED,
	EDG_OUTCOME_UNKNOWN,
};

/* edg.c */
/* Whether the catalog is new enough to refuse or to accept a key by it. */
bool edg_is_catalog_fresh(const struct edg_edge *edge);

/* edg_request.c */
void edg_accept_request(void *user, struct hsv_request *http);
void edg_caller_gone(void *user, struct hsv_request *http);
/* A kept request may have ended: see is_freed. */
struct edg_request *edg_request_keep(struct edg_request *request);
void edg_request_drop(struct edg_request *request);
/* Ends a request without an answer and frees it. */
void edg_request_free(struct edg_request *request);
/* Answers with an error of our own and frees the request. */
void edg_refuse(struct edg_request *request, int status, const char *type,
		const char *message);
/* The request was not run and never will be; come back after a time. */
void edg_refuse_not_run(struct edg_request *request, clk_ms retry_after,
			const char *type, const char *message);
clk_ms edg_remaining_time(const struct edg_request *request);
struct rty_budget *edg_retry_budget(struct edg_edge *edge, const char *service);

/* edg_log.c */
/* A send that did not go as it should, or the change of a path. */
G_GNUC_PRINTF(3, 4)
void edg_log_send(struct edg_request *request, const char *to,
		  const char *detail, ...);
/* The end of a request. */
void edg_log_request_end(struct edg_request *request, const char *outcome,
			 int status);

/* edg_metrics.c */
/* Counts a request that was answered or whose stream began after so long. */
void edg_record_latency(struct edg_edge *edge, bool is_stream, clk_ms took);

/* edg_forward.c */
/* Sends the request to request->target with the present path. */
void edg_send(struct edg_request *request, const struct hup_ops *ops);
/* Lets go of the present send; its target and path are released. */
void edg_release_send(struct edg_request *request);
/* Reads an answer's head into the request. */
void edg_read_response_head(struct edg_request *request,
			    const struct hup_response *response);
enum edg_outcome edg_classify_end(const struct edg_request *request,
				  enum hup_result how);
/* Whether the request may be sent once more after the outcome; takes from
 * the budget if so. */
bool edg_may_retry(struct edg_request *request, enum edg_outcome outcome);
/* Chooses a target that was not tried yet for the next send and lets go of
 * the present one. False if there is none. */
bool edg_choose_target(struct edg_request *request);
/* Records that the request ran, or may have run, at its target. */
void edg_record_run(struct edg_request *request);
/* Whether a send may have been executed. */
bool edg_may_have_run(const struct edg_request *request);
/* Targets on which it ran and that are not known to be lost since. */
unsigned edg_count_live_runs(const struct edg_request *request);
/* The final error where no answer can be given. */
void edg_fail(struct edg_request *request);
/* Answers with the whole answer of the present send and frees the request. */
void edg_deliver(struct edg_request *request);
const char *edg_outcome_name(enum edg_outcome outcome);

/* edg_plain.c */
void edg_start_plain(struct edg_request *request);

/* edg_stream.c */
void edg_start_stream(struct edg_request *request);
struct pth_query edg_path_query(const struct edg_request *request);
/* Continues the request at another head after its last event if it may be;
 * else its run is left to itself unless the head is lost. */
void edg_resume(struct edg_request *request, const char *why);

/* edg_reroute.c */
/* Lets a request whose path has lost an engine go on over another path: its
 * head changes the path, or another head continues after the last event. */
void edg_change_path(struct edg_request *request, const char *why);

/* stl.c */
/* Asks the engines of the request's path once it is silent for too long. */
void stl_watch_stream(struct edg_request *request);
/* Takes the target for lost; streams that it holds up are moved. */
void stl_mark_lost(struct edg_edge *edge, struct flt_target *target,
		   const char *why);
/* Takes a pause between two events into account. */
void stl_record_pause(struct edg_request *request, clk_ms pause);

/* ord.c */
struct ord_orders *ord_new(struct edg_edge *edge, bool is_fenced);
void ord_drop(struct ord_orders *orders);

#endif
