#ifndef EDGE_EDG_PRIVATE_H
#define EDGE_EDG_PRIVATE_H

#include <wagtailferry/quarantine.h>
#include <wagtailferry/sched.h>

#include "daemon/drv_clock.h"
#include "edge/edg.h"
#include "edge/event_splitter.h"
#include "edge/hsv_server.h"
#include "edge/log_budget.h"
#include "edge/prs_reports.h"
#include "edge/trn_turns.h"
#include "forward/output_length.h"
#include "forward/recovery.h"
#include "sched/adm_room.h"
#include "sched/adm_turn.h"

/* Estimated tokens per event, for the context length of a stream. */
#define EDG_TOKENS_PER_EVENT 4

struct ord_orders;
struct tko_takeover;

/* The last search for a new stream that found no capacity. Holds for streams of
 * as many tokens or more until one ends, or for a moment. */
struct edg_full {
	char *service;
	double tokens;
	clk_ms until;
};

/* Upper bounds in the latency histograms, the last one infinite. */
#define EDG_LATENCY_BUCKETS 10

/* A histogram in seconds: the names of its counters, and the time in ms that is
 * not in the sum yet, which counts whole seconds. */
struct edg_histogram {
	const char *buckets[EDG_LATENCY_BUCKETS];
	const char *sum;
	const char *count;
	clk_ms rest;
};

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
	/* Of the store's object from which it was read. */
	int64_t catalog_revision;
	/* The store has a later configuration that can't be read. */
	bool is_catalog_rejected;
	/* Last time at which the catalog was confirmed to be the latest. */
	clk_ms catalog_confirmed_at;
	/* Keys are checked against a catalog confirmed within this time. */
	clk_ms max_catalog_age;
	clk_ms engine_stall;
	struct flt_fleet *fleet;
	bool fleet_known;

	/* Service name to struct rty_budget. */
	GHashTable *budgets;
	/* Limits on the answers of targets: of one, of one event, and bytes
	 * buffered for all requests together. */
	size_t max_answer_bytes;
	size_t max_event_bytes;
	size_t max_buffered_bytes;
	size_t buffered_bytes;
	double retry_part;
	double retry_slack;

	struct ord_orders *orders;
	struct prs_peers *peers;
	char *peer_address;
	uv_timer_t peer_timer;
	unsigned peer_list_count;
	int open_handles;

	/* Set of open struct edg_request. */
	GHashTable *requests;
	/* Streams that wait for capacity, and when it becomes free. */
	struct adm_turns *waiting;
	struct adm_room room;
	struct edg_full full;
	struct oln_lengths output_lengths;
	uv_timer_t wait_timer;
	/* Measure the turns of the loop. */
	struct trn_turns turns;
	uv_prepare_t turn_end;
	uv_check_t turn_timers;
	/* New requests that were started in this turn, those left for the next
	 * ones in order of arrival, and the handle that starts them. */
	unsigned started_in_turn;
	GQueue held;
	uv_idle_t held_starter;
	/* Moves of streams off lost engines, and the next round of them. */
	struct rcv_moves moves;
	uv_timer_t move_timer;
	bool is_draining;
	clk_ms drain_limit;
	uv_timer_t drain_timer;
	clk_ms drain_started_at;

	/* Prompt parts that may crash engines. */
	struct qtn_quarantine *quarantine;
	/* Target to the pending struct cut_inquiry. */
	GHashTable *cut_inquiries;
	/* Ends the requests with a part that was quarantined. */
	uv_timer_t quarantine_timer;

	struct lgb_budget log_budget;
	/* Of streams of model services, with short and with long prompts. */
	struct edg_histogram first_events[2];
	struct edg_histogram pauses[2];
};

/* A target on which a request ran, or may have run. */
struct edg_run {
	struct flt_target *target;
	/* Start time of its process; a restarted target has a later one. */
	int64_t started_at;
};

/* One attempt by a caller. */
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
	/* Earlier of the caller's deadline and the route's time limit. */
	clk_ms deadline;
	uv_timer_t timer;

	/* In the edge's queue of held requests. */
	GList held_link;
	bool is_held;

	/* The current send. */
	struct hup_exchange *exchange;
	struct flt_target *target;
	struct pth_path *path;
	clk_ms sent_at;
	/* The target's latest_start at that time. */
	int64_t sent_to_start;
	/* Targets to which the request was sent; holds references. */
	GPtrArray *tried_targets;
	/* Sends that may have reached a target; the route limits them. */
	unsigned sends;
	/* Of struct edg_run, one per target. */
	GArray *runs;
	unsigned connect_failures;

	/* The answer to the current send. */
	int status;
	GString *headers;
	GString *body;
	/* Bytes of this answer that the edge counts as buffered. */
	size_t buffered;
	bool is_signed;
	bool is_not_run;
	bool is_encoded;
	/* It begins the stream, or continues it. */
	bool is_stream;
	char *failed_address;

	/* Streams. */
	/* Its place among the waiting streams. */
	struct adm_waiter waiter;
	double prompt_tokens;
	/* Expected output, the most that the caller allows, and its hint; 0 if
	 * there is none. */
	double answer_tokens;
	double max_answer_tokens;
	double hint_tokens;
	struct evs_splitter splitter;
	/* Events, and those that are progress, before the current send. */
	unsigned events_before_send;
	unsigned progress_before_send;
	/* Keys of its prompt parts. */
	uint64_t *parts;
	unsigned n_parts;
	/* The only request with a suspected part. */
	bool is_probe;
	/* Runs whose connection was lost: all of them, and those since the last
	 * event. */
	unsigned lost_runs;
	unsigned cut_runs;
	/* The response head was sent to the caller. */
	bool is_answer_started;
	/* Content type of that response, or NULL. */
	char *stream_type;
	clk_ms first_event_at;
	clk_ms last_event_at;
	clk_ms longest_pause;
	/* Moving average of the pauses between events in ms; 0 before the
	 * first. */
	double mean_pause;
	uv_timer_t pause_timer;
	/* A new path for the running request that its head has not yet
	 * accepted. */
	struct pth_path *next_path;
	unsigned reroutes;
	/* Its move off lost engines: their layers, whether the head is one of
	 * them, and the reason for the log. */
	struct rcv_stream move;
	double lost_layers;
	bool is_head_lost;
	const char *move_reason;
	/* An order had no answer; its head may carry it out late. */
	bool has_unknown_order;
	/* When edg_restart_without_lost() may next look for a path. */
	clk_ms next_restart_at;
	/* Orders sent for the current change of path. */
	unsigned reroute_orders;
	/* Sent to another head as well, because the current one is silent. */
	struct tko_takeover *takeover;
	/* Held by its timers and by pending calls that concern it. */
	unsigned refs;
	bool is_freed;
};

/* How a send ended; decides whether it may be retried. */
enum edg_outcome {
	EDG_OUTCOME_ANSWERED,
	EDG_OUTCOME_NOT_SENT,
	/* Declared by the target. */
	EDG_OUTCOME_NOT_RUN,
	EDG_OUTCOME_FAILED,
	EDG_OUTCOME_UNKNOWN,
};

/* edg.c */
/* Whether the catalog is recent enough to accept or refuse keys by it. */
bool edg_is_catalog_fresh(const struct edg_edge *edge);
/* Whether the instance is stopping and takes no new connections. */
bool edg_is_closing(const struct edg_edge *edge);
/* Whether the time of a stop in which open requests may end is over. */
bool edg_is_drain_over(const struct edg_edge *edge);

/* edg_request.c */
void edg_accept_request(void *user, struct hsv_request *http);
/* Checks a new request, and sends it or refuses it. */
void edg_start_request(struct edg_request *request);
void edg_caller_gone(void *user, struct hsv_request *http);
/* Takes a reference. The request may end meanwhile: check is_freed. */
struct edg_request *edg_request_keep(struct edg_request *request);
void edg_request_drop(struct edg_request *request);
/* Ends a request without an answer and frees it. */
void edg_request_free(struct edg_request *request);
/* Answers with an error generated by the edge and frees the request. */
void edg_refuse(struct edg_request *request, int status, const char *type,
		const char *message);
/* Answers 503: the request was not and will not be run; the caller may retry
 * after retry_after ms. */
void edg_refuse_not_run(struct edg_request *request, clk_ms retry_after,
			const char *type, const char *message);
/* Answers, before the answer has started, that the instance is stopping. */
void edg_refuse_stopping(struct edg_request *request);
/* Closes the connection, counts the answer as cut and frees the request;
 * outcome is for the log. */
void edg_cut_answer(struct edg_request *request, const char *outcome);
clk_ms edg_remaining_time(const struct edg_request *request);
struct rty_budget *edg_retry_budget(struct edg_edge *edge, const char *service);

/* edg_log.c */
/* Logs a failed send or a change of path. */
G_GNUC_PRINTF(3, 4)
void edg_log_send(struct edg_request *request, const char *to,
		  const char *detail, ...);
/* Counts an answer that the edge ends before it is complete, by whether its
 * target was still running it. */
void edg_count_cut_answer(struct edg_request *request, bool is_running);
/* Logs and counts the end of a request. */
void edg_log_request_end(struct edg_request *request, const char *outcome,
			 int status);

/* edg_notice.c */
/* Time in ms for which all of the service's targets that could run the request
 * want none; 0 if that is not the reason why it can't be sent. */
clk_ms edg_closed_time(const struct edg_request *request);
/* Time in ms after which a refused caller is to return: at least the one given,
 * and not before the end of the closed time. */
clk_ms edg_return_time(const struct edg_request *request, clk_ms least);

/* edg_turns.c */
/* Starts the measurement of the loop's turns. */
void edg_watch_turns(struct edg_edge *edge);
/* From now on the time of this turn counts for the class. Returns the class
 * until now, which the caller restores. */
enum trn_class edg_count_time_as(struct edg_edge *edge, enum trn_class class);
/* Starts a new request, or holds it until a later turn if this one has started
 * enough. In between the loop reads what has arrived, such as callers' closes.
 */
void edg_start_in_turn(struct edg_request *request);
/* Removes the request from the held ones if it is one of them. */
void edg_stop_holding(struct edg_request *request);
/* Longest turn in ms since the last call. */
clk_ms edg_take_longest_turn(struct edg_edge *edge);
/* pth_find() for the edge's fleet; its time counts as that of a search. */
enum pth_result edg_find_path(struct edg_edge *edge,
			      const struct pth_query *query,
			      struct pth_path **out);

/* edg_metrics.c */
/* Adds the time to the answer, or to the first event of a stream, to the
 * latency histogram. */
void edg_record_latency(struct edg_edge *edge, bool is_stream, clk_ms took);
void edg_init_histograms(struct edg_edge *edge);
/* Add the time to the first event, or between two events, to the histograms by
 * the length of the prompt. */
void edg_record_first_event(struct edg_request *request, clk_ms took);
void edg_record_pause(struct edg_request *request, clk_ms pause);

/* edg_forward.c */
/* Sends the request to request->target along request->path. */
void edg_send(struct edg_request *request, const struct hup_ops *ops);
/*
 * Sends the request to a target along path, which is NULL for a plain service,
 * without making it the current send.
 */
struct hup_exchange *edg_open_send(struct edg_request *request,
				   struct flt_target *target,
				   const struct pth_path *path,
				   const struct hup_ops *ops, void *user);
/* Discards the answer to the last send. */
void edg_reset_answer(struct edg_request *request);
/* Counts the events from here on as those of the current send. */
void edg_start_run(struct edg_request *request);
/* Whether the response declares that its request was not run. */
bool edg_declares_not_run(const struct edg_edge *edge,
			  const struct hup_response *response);
/* Cancels the current send and releases its target and path. */
void edg_release_send(struct edg_request *request);
/* Scheduling priority at engines, 0 to 9; 0 is the most urgent. */
int edg_priority(const struct edg_request *request);
/* Updates the number of buffered bytes of the answer. Returns false if the
 * answer must end because there are too many. */
bool edg_count_buffered(struct edg_request *request);
/* Stores the response head in the request. */
void edg_read_response_head(struct edg_request *request,
			    const struct hup_response *response);
enum edg_outcome edg_classify_end(const struct edg_request *request,
				  enum hup_result how);
/* Whether the request may be sent again after the outcome. A retry takes one
 * token from the retry budget. */
bool edg_may_retry(struct edg_request *request, enum edg_outcome outcome);
/* Releases the current send and chooses a target that was not tried yet.
 * Returns false if there is none. */
bool edg_choose_target(struct edg_request *request);
/* Records that the request ran, or may have run, at a target. */
void edg_record_run(struct edg_request *request, struct flt_target *target);
/* Whether any target may have run the request. */
bool edg_may_have_run(const struct edg_request *request);
/* Number of targets on which it may still be running: those that have not ended
 * or restarted since. A silent one may go on. */
unsigned edg_count_live_runs(const struct edg_request *request);
/* Answers with an error when no further send is possible. */
void edg_fail(struct edg_request *request);
/* Passes the buffered answer to the caller and frees the request. */
void edg_deliver(struct edg_request *request);
const char *edg_outcome_name(enum edg_outcome outcome);

/* edg_plain.c */
void edg_start_plain(struct edg_request *request);

/* edg_stream.c */
void edg_start_stream(struct edg_request *request);
struct pth_query edg_path_query(const struct edg_request *request);
/* Reserves a path with free capacity for a stream that has none; returns
 * false if there is none. edg_send_stream() then sends it. */
bool edg_reserve_path(struct edg_request *request);
void edg_send_stream(struct edg_request *request);
/* Ends the current send and sends the request on that path, which it takes
 * over. */
void edg_resend_on(struct edg_request *request, struct pth_path *path);
/* Sends the request to another head too if a retry is allowed and a path is
 * found. Its present run goes on until the other head answers. Returns false if
 * it isn't sent. */
bool edg_resume(struct edg_request *request, const char *why);
/* Whether the response begins the stream, or continues it. */
bool edg_is_stream_head(const struct edg_request *request,
			const struct hup_response *response);
/* Begins the caller's answer, or continues it, with the current send. */
void edg_begin_stream(struct edg_request *request,
		      const struct hup_response *response);
/* Takes over the callbacks of the current send. */
void edg_bind_stream(struct edg_request *request);
/* Whether the request may run at another head besides its present one. Takes
 * one token from the retry budget. */
bool edg_may_run_elsewhere(struct edg_request *request);

/* edg_wait.c */
/* Lets a stream that was not run wait for capacity, or refuses it. tokens is
 * its expected length. */
void edg_wait_for_room(struct edg_request *request, double tokens);
/* Removes the request from the waiting streams if it is one of them. */
void edg_stop_waiting(struct edg_request *request);
/* A stream has released its path. */
void edg_room_freed(struct edg_edge *edge);
/*
 * Whether a search for a new stream of the service and of that many tokens has
 * just found no capacity. In a crowd each refused stream would otherwise cost
 * searches in all data centres.
 */
bool edg_is_known_full(const struct edg_edge *edge, const char *service,
		       double tokens);
void edg_note_full(struct edg_edge *edge, const char *service, double tokens);
/* Tries waiting streams, in order, and sends those for which there is
 * capacity. */
void edg_serve_waiting(struct edg_edge *edge);
/* Whether a new stream may be tried although others wait. */
bool edg_may_go_at_once(const struct edg_request *request);
/* Sets the gauges of waiting streams. */
void edg_report_waiting(struct edg_edge *edge);

/* edg_quarantine.c */
void edg_open_quarantine(struct edg_edge *edge);
void edg_close_quarantine(struct edg_edge *edge);
void edg_read_parts(struct edg_request *request);
/* Whether the request may be sent in view of its prompt parts; ends it if
 * not. */
bool edg_check_parts(struct edg_request *request);
/* The current run had n more events. */
void edg_parts_had_events(struct edg_request *request, unsigned n);
/* The answer was whole. */
void edg_parts_were_whole(struct edg_request *request);
/* The current send has ended. If its connection was lost or refused, finds out
 * whether its head crashed. */
void edg_question_head(struct edg_request *request, enum hup_result how);
/* The same for a takeover without an answer, sent at sent_at to a process of
 * the target that started at started_at. */
void edg_question_target(struct edg_request *request, struct flt_target *target,
			 int64_t started_at, clk_ms sent_at,
			 enum hup_result how);
/* Whether engines may have crashed on a part of the request's prompt. */
bool edg_has_suspected_part(const struct edg_request *request);
/* The request is no longer running. */
void edg_end_probe(struct edg_request *request);
/* Ends the requests with parts that were quarantined since the last call. */
void edg_apply_quarantine(struct edg_edge *edge);

/* edg_reroute.c */
/* Moves a request whose path has lost an engine to another path: its head
 * changes the path, or another head continues after the last event. Returns
 * false if neither can be started. */
bool edg_change_path(struct edg_request *request, const char *why);
/* Estimated tokens of the prompt and of the output so far. */
double edg_tokens_so_far(const struct edg_request *request);
/* Ends a silent run that waits for an engine which was found to be lost more
 * than once, and sends the request again on a path without lost engines, if
 * there is one and a retry is allowed. The head may be the same. */
void edg_restart_without_lost(struct edg_request *request);

/* edg_moves.c */
void edg_open_moves(struct edg_edge *edge);
/*
 * An engine of the request's path, or of its takeover's, is lost. The request
 * waits for a move, which edg_start_moves() begins when there is budget; false
 * if a change of its path is in progress. why must outlive the request.
 */
bool edg_need_move(struct edg_request *request, const struct flt_target *lost,
		   const char *why);
/* Begins moves of waiting streams within the budget. */
void edg_start_moves(struct edg_edge *edge);
/* The same in the next turn of the loop: a move has ended or capacity has
 * become free. */
void edg_schedule_moves(struct edg_edge *edge);
/* A move is being ordered that prefills so many layers. */
void edg_move_started(struct edg_request *request, double layers);
/* The move was not possible: it is tried again later. The result is for the
 * metric. */
void edg_move_refused(struct edg_request *request, const char *result);
/* The stream needs no move any more; result is of one in progress. */
void edg_move_ended(struct edg_request *request, const char *result);
/* The stream goes on. To be called before a takeover is dropped. */
void edg_move_had_event(struct edg_request *request);

/* stream_takeover.c */
/* Sends the request to another head, in place of a present takeover. Returns
 * false if it can't be sent; a present takeover then goes on. */
bool tko_start(struct edg_request *request);
/* Cancels the takeover if there is one. */
void tko_drop(struct edg_request *request, const char *why);
/* The current run has ended: makes the takeover the current send. Returns false
 * if there is none. */
bool tko_promote(struct edg_request *request);
/* Path of the takeover, NULL if there is none, and when it was sent. */
const struct pth_path *tko_path(const struct edg_request *request);
clk_ms tko_sent_at(const struct edg_request *request);

/* stall_detection.c */
/* Starts the timer that queries the engines of the request's path when no event
 * arrives for too long. */
void stl_watch_stream(struct edg_request *request);
/* Time of the request's last event or, if that was later, of its send. */
clk_ms stl_silent_since(const struct edg_request *request);
/*
 * Marks the target as lost and moves the streams that it stalls. has_ended
 * tells that its process is gone; otherwise it may only be silent, and what ran
 * there may go on.
 */
void stl_mark_lost(struct edg_edge *edge, struct flt_target *target,
		   bool has_ended, const char *why);
/* Updates the mean pause with the time between two events. */
void stl_record_pause(struct edg_request *request, clk_ms pause);

/* engine_orders.c */
struct ord_orders *ord_new(struct edg_edge *edge, bool is_fenced);
void ord_drop(struct ord_orders *orders);

#endif
