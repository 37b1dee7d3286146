#include <string.h>

#include "edge/edg_private.h"

/*
 * Streams that find no capacity wait for a short time, if capacity is likely to
 * become free before the objective of their route can no longer be met.
 * Otherwise they are refused at once, with the time at which to return.
 */

/* Fraction of the objective that a stream may wait; its prefill needs the
 * rest. */
#define WAIT_FRACTION 0.5
/* Capacity that other instances release becomes visible with their reports. */
#define RETRY_INTERVAL_MS 25
/* Searches for a path in one round, each of which may fail. */
#define MAX_SEARCHES 8
/* A caller follows a Retry-After up to this fraction of its remaining time. */
#define RETURN_LIMIT_DIVISOR 3
/* A caller with less than this fraction of its route's time limit left has
 * waited before; it goes first. */
#define RETURNED_FRACTION 0.97

static bool has_returned(const struct edg_request *request)
{
	clk_ms limit = request->route->timeout;

	return limit && edg_remaining_time(request) <
				(clk_ms)(RETURNED_FRACTION * (double)limit);
}

/* Time until which the stream may wait for capacity. */
static clk_ms latest_start(const struct edg_request *request)
{
	clk_ms wait =
		(clk_ms)(WAIT_FRACTION * (double)request->route->objective);

	return MIN(request->started + wait, request->deadline);
}

static void refuse_overloaded(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	clk_ms now = edg_now(edge);
	clk_ms limit = edg_remaining_time(request) / RETURN_LIMIT_DIVISOR;
	clk_ms after =
		adm_room_return_after(&edge->room, now, edge->waiting->length,
				      MAX(limit, 0), g_rand_double(edge->rand));

	after = edg_return_time(request, after);
	ctr_add(edge->counters, "wf_edge_refused_overloaded_total", 1);
	edg_log_send(request, "refused",
		     "reason=overloaded waiting=%zu ends_per_s=%.1f "
		     "retry_after_ms=%" G_GINT64_FORMAT,
		     edge->waiting->length,
		     adm_room_rate(&edge->room, now) * CLK_SECOND, after);
	edg_refuse_not_run(request, after, "overloaded",
			   "no path of engines has free capacity");
}

static void on_wait_over(uv_timer_t *timer)
{
	struct edg_request *request = timer->data;

	if (request->is_freed || !request->item.org_queue)
		return;
	edg_stop_waiting(request);
	refuse_overloaded(request);
}

static void on_retry(uv_timer_t *timer)
{
	edg_serve_waiting(timer->data);
}

/* Also called while a request is being ended, so the work is left to the
 * timer. */
static void schedule_round(struct edg_edge *edge, clk_ms delay)
{
	if (edge->waiting->length)
		uv_timer_start(&edge->wait_timer, on_retry, (uint64_t)delay,
			       RETRY_INTERVAL_MS);
	else
		uv_timer_stop(&edge->wait_timer);
}

static bool may_wait(const struct edg_request *request)
{
	const struct edg_edge *edge = request->edge;
	clk_ms now = edg_now(edge);
	clk_ms left = latest_start(request) - now;

	return edge->waiting->length < edge->waiting->limit && left > 0 &&
	       edg_closed_time(request) <= left &&
	       adm_room_wait(&edge->room, now, edge->waiting->length) <= left;
}

void edg_wait_for_room(struct edg_request *request, double tokens)
{
	struct edg_edge *edge = request->edge;
	struct adm_item *item = &request->item;
	clk_ms now = edg_now(edge);

	if (!may_wait(request)) {
		refuse_overloaded(request);
		return;
	}
	*item = (struct adm_item){
		.owner = request,
		.org = request->org ? request->org->name : "",
		.weight = 1,
		.priority = (unsigned)edg_priority(request),
		.cost = tokens,
		.arrival = now,
		.deadline = latest_start(request),
	};
	if (has_returned(request))
		adm_put_first(edge->waiting, item);
	else
		adm_put(edge->waiting, item);
	ctr_add(edge->counters, "wf_edge_waited_total", 1);
	uv_timer_start(&request->pause_timer, on_wait_over,
		       (uint64_t)(item->deadline - now), 0);
	if (!uv_is_active((uv_handle_t *)&edge->wait_timer))
		schedule_round(edge, RETRY_INTERVAL_MS);
}

void edg_stop_waiting(struct edg_request *request)
{
	if (!request->item.org_queue)
		return;
	adm_remove(request->edge->waiting, &request->item);
	uv_timer_stop(&request->pause_timer);
	schedule_round(request->edge, RETRY_INTERVAL_MS);
}

void edg_room_freed(struct edg_edge *edge)
{
	adm_room_record_end(&edge->room, edg_now(edge));
	edge->full.until = 0;
	edg_schedule_moves(edge);
	if (edge->waiting->length)
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

void edg_serve_waiting(struct edg_edge *edge)
{
	unsigned searches;

	for (searches = 0; searches < MAX_SEARCHES; searches++) {
		struct adm_item *item = adm_peek(edge->waiting);
		struct edg_request *request;

		if (!item)
			break;
		request = item->owner;
		if (!edg_check_parts(request))
			continue;
		if (!edg_reserve_path(request))
			break;
		adm_serve(edge->waiting, item);
		uv_timer_stop(&request->pause_timer);
		edg_send_stream(request);
	}
	schedule_round(edge, RETRY_INTERVAL_MS);
}
