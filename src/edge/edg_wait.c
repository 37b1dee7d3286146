#include <string.h>

#include "edge/edg_private.h"

/*
 * Streams that find no capacity wait for a short time, if capacity is likely to
 * become free before the objective of their route can no longer be met.
 * Otherwise they are refused at once, with the time at which to return.
 */

/* Capacity that other instances release becomes visible with their reports. */
#define RETRY_INTERVAL_MS 25
/* Searches for a path in one round, each of which may fail. */
#define MAX_SEARCHES 8
/* A regular round may run this much before its interval has passed. */
#define ROUND_TOLERANCE_MS 5
/* A caller follows a Retry-After up to this fraction of its remaining time. */
#define RETURN_LIMIT_DIVISOR 3
/* A caller with less than this fraction of its route's time limit left has
 * waited before. */
#define RETURNED_FRACTION 0.97
/* Levels of route priority within one priority of organisations. */
#define ROUTE_LEVELS 3

/* Time that the caller has lost in earlier attempts; 0 if this seems to be the
 * first. */
static clk_ms lost_time(const struct edg_request *request)
{
	clk_ms limit = request->route->timeout;
	clk_ms stated = request->deadline - request->started;

	if (!limit || stated >= (clk_ms)(RETURNED_FRACTION * (double)limit))
		return 0;
	return limit - stated;
}

/*
 * Urgency among waiting streams: the organisation's priority if it has one
 * decides, then the route's, since all organisations may have the same.
 */
static int urgency_of(const struct edg_request *request)
{
	int route = CLAMP(request->route->priority, 0, ROUTE_LEVELS - 1);

	return MIN(ROUTE_LEVELS * edg_priority(request) + route,
		   ADM_TURN_N_URGENCIES - 1);
}

/* Counts a refusal of that urgency, 0 to 9. */
static void count_refusal(struct edg_edge *edge, unsigned urgency)
{
	char name[64];

	g_snprintf(name, sizeof(name),
		   "wf_edge_refused_overloaded_total{urgency=\"%u\"}", urgency);
	ctr_add(edge->counters, g_intern_string(name), 1);
}

void edg_report_waiting(struct edg_edge *edge)
{
	char name[64];
	unsigned i;

	for (i = 0; i < ADM_TURN_N_URGENCIES; i++) {
		g_snprintf(name, sizeof(name),
			   "wf_edge_waiting{urgency=\"%u\"}", i);
		ctr_set_gauge(
			edge->counters, g_intern_string(name),
			(int64_t)adm_turn_count_urgency(edge->waiting, i));
	}
}

static void refuse_overloaded(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	clk_ms now = edg_now(edge);
	clk_ms limit = edg_remaining_time(request) / RETURN_LIMIT_DIVISOR;
	clk_ms after = adm_room_return_after(
		&edge->room, now, adm_turn_count(edge->waiting), MAX(limit, 0),
		g_rand_double(edge->rand));

	after = edg_return_time(request, after);
	count_refusal(edge, (unsigned)urgency_of(request));
	edg_log_send(request, "refused",
		     "reason=overloaded urgency=%d waiting=%zu "
		     "ends_per_s=%.1f "
		     "retry_after_ms=%" G_GINT64_FORMAT,
		     urgency_of(request), adm_turn_count(edge->waiting),
		     adm_room_rate(&edge->room, now) * CLK_SECOND, after);
	edg_refuse_not_run(request, after, "overloaded",
			   "no path of engines has free capacity");
}

static void on_wait_over(uv_timer_t *timer)
{
	struct edg_request *request = timer->data;

	if (request->is_freed || !adm_turn_is_waiting(&request->waiter))
		return;
	edg_stop_waiting(request);
	refuse_overloaded(request);
}

static void on_retry(uv_timer_t *timer)
{
	edg_serve_waiting(timer->data);
}

/*
 * Schedules a round after the delay in ms, or leaves an earlier one in place:
 * requests that stop waiting must not put off the others. Also called while a
 * request is being ended, so the work is left to the timer.
 */
static void schedule_round(struct edg_edge *edge, clk_ms delay)
{
	uv_timer_t *timer = &edge->wait_timer;

	if (!adm_turn_count(edge->waiting))
		uv_timer_stop(timer);
	else if (!uv_is_active((uv_handle_t *)timer) ||
		 uv_timer_get_due_in(timer) > (uint64_t)delay)
		uv_timer_start(timer, on_retry, (uint64_t)delay,
			       RETRY_INTERVAL_MS);
}

static void set_times(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct adm_turn_times times = {
		.started = request->started,
		.lost = lost_time(request),
		.objective = request->route->objective,
		.deadline = request->deadline,
	};

	adm_turn_set_times(edge->waiting, &edge->room, edg_now(edge), &times,
			   &request->waiter);
}

bool edg_may_go_at_once(const struct edg_request *request)
{
	return adm_turn_may_go(request->edge->waiting, request->service->name,
			       (unsigned)urgency_of(request));
}

static void start_waiting(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct adm_waiter *waiter = &request->waiter;
	struct adm_waiter *victim =
		adm_turn_victim(edge->waiting, waiter->urgency);
	bool is_behind_larger =
		adm_turn_is_behind_larger(edge->waiting, waiter);

	adm_turn_put(edge->waiting, waiter);
	ctr_add(edge->counters, "wf_edge_waited_total", 1);
	uv_timer_start(&request->pause_timer, on_wait_over,
		       (uint64_t)MAX(waiter->wait_until - edg_now(edge), 0), 0);
	/* A stream that finds only larger ones before it is tried at once. */
	schedule_round(edge, is_behind_larger ? 0 : RETRY_INTERVAL_MS);
	if (victim) {
		edg_stop_waiting(victim->owner);
		refuse_overloaded(victim->owner);
	}
}

void edg_wait_for_room(struct edg_request *request, double tokens)
{
	struct edg_edge *edge = request->edge;
	struct adm_waiter *waiter = &request->waiter;

	*waiter = (struct adm_waiter){
		.owner = request,
		.service = request->service->name,
		.org = request->org ? request->org->name : "",
		.urgency = (unsigned)urgency_of(request),
		.tokens = tokens,
	};
	set_times(request);
	if (adm_turn_may_wait(edge->waiting, &edge->room, edg_now(edge),
			      edg_closed_time(request), waiter))
		start_waiting(request);
	else
		refuse_overloaded(request);
}

void edg_stop_waiting(struct edg_request *request)
{
	if (!adm_turn_is_waiting(&request->waiter))
		return;
	adm_turn_remove(request->edge->waiting, &request->waiter);
	uv_timer_stop(&request->pause_timer);
	schedule_round(request->edge, RETRY_INTERVAL_MS);
}

void edg_room_freed(struct edg_edge *edge)
{
	adm_room_record_end(&edge->room, edg_now(edge));
	edge->full.until = 0;
	edg_schedule_moves(edge);
	if (adm_turn_count(edge->waiting))
		schedule_round(edge, 0);
}

bool edg_is_known_full(const struct edg_edge *edge, const char *service,
		       double tokens)
{
	const struct edg_full *full = &edge->full;

#ifdef WF_GUARD_OFF_EDGE_KNOWN_FULL
	return false;
#endif
	return edg_now(edge) < full->until && tokens >= full->tokens &&
	       !strcmp(service, full->service);
}

void edg_note_full(struct edg_edge *edge, const char *service, double tokens)
{
	struct edg_full *full = &edge->full;

	if (g_strcmp0(full->service, service) != 0) {
		g_free(full->service);
		full->service = g_strdup(service);
	}
	full->tokens = tokens;
	full->until = edg_now(edge) + RETRY_INTERVAL_MS;
}

/* Sizes for which a search has just failed are not searched for again, also if
 * the round was brought forward by a new stream. */
static void begin_round(struct edg_edge *edge)
{
	const struct edg_full *full = &edge->full;
	clk_ms now = edg_now(edge);

	adm_turn_begin(edge->waiting, now);
	if (full->service && now + ROUND_TOLERANCE_MS < full->until)
		adm_turn_rule_out(edge->waiting, full->service, full->tokens);
}

void edg_serve_waiting(struct edg_edge *edge)
{
	unsigned searches;

	begin_round(edge);
	for (searches = 0; searches < MAX_SEARCHES; searches++) {
		struct adm_waiter *waiter = adm_turn_next(edge->waiting);
		struct edg_request *request;

		if (!waiter)
			break;
		request = waiter->owner;
		if (!hsv_check_caller(request->http) ||
		    !edg_check_parts(request))
			continue;
		if (!edg_reserve_path(request)) {
			adm_turn_rule_out(edge->waiting, waiter->service,
					  waiter->tokens);
			continue;
		}
		adm_turn_serve(edge->waiting, waiter);
		uv_timer_stop(&request->pause_timer);
		edg_send_stream(request);
	}
	schedule_round(edge, RETRY_INTERVAL_MS);
}
