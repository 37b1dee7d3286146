#include <string.h>

#include "edge/edg_private.h"

/*
 * stl: detection of stalled paths. If an engine is lost, its paths stall at
 * once, but their streams only fail seconds later. When streams of a head stop
 * delivering events, all engines of the path are queried for a report. An
 * engine whose query fails, or that a report names as stalled, is marked as
 * lost; one whose report is late is avoided for a while. Requests on
 * such engines are moved to another path.
 */

/* A stream is silent after this multiple of its mean pause between events. */
#define SILENCE_FACTOR 2.2
#define MIN_SILENCE_MS 110
/* Weight of the latest pause in the moving average. */
#define PAUSE_WEIGHT 0.2
/* The engines are queried if several streams of a head are silent at once, and
 * at least this fraction of them, or if one is silent for LONG_SILENCE_MS. */
#define MIN_SILENT_STREAMS 2
#define MIN_SILENT_FRACTION 0.4
#define LONG_SILENCE_MS 250
/* A run that waits for a lost engine is given up after this time, before its
 * caller leaves; callers wait for about two seconds. */
#define RESTART_SILENCE_MS 1250
/* Minimum time between two queries of an engine. */
#define QUERY_INTERVAL_MS 1000
/* A report after this time is late. An engine answers within a few ms; lost
 * packets are retransmitted only after about 200 ms. */
#define REPORT_DELAY_MS 80
/* The engines of a takeover that has not answered after this time are queried
 * too; most objectives for the first event are around it. */
#define TAKEOVER_DELAY_MS 600
/* Time for which a reported slowdown is used unless a new report comes. */
#define SLOWDOWN_VALID_MS 3000
#define MIN_SLOWDOWN 1.5

struct inquiry {
	struct edg_edge *edge;
	struct flt_target *target;
	uv_timer_t timer;
	bool is_answered;
};

clk_ms stl_silent_since(const struct edg_request *request)
{
	return MAX(request->last_event_at, request->sent_at);
}

static clk_ms silence(const struct edg_request *request, clk_ms now)
{
	return now - stl_silent_since(request);
}

static clk_ms silence_threshold(const struct edg_request *request)
{
	return MAX((clk_ms)(request->mean_pause * SILENCE_FACTOR),
		   MIN_SILENCE_MS);
}

static bool is_silent(const struct edg_request *request, clk_ms now)
{
	return silence(request, now) >= silence_threshold(request);
}

void stl_record_pause(struct edg_request *request, clk_ms pause)
{
	if (!request->mean_pause)
		request->mean_pause = (double)pause;
	else
		request->mean_pause +=
			PAUSE_WEIGHT * ((double)pause - request->mean_pause);
}

static void move_requests(struct edg_edge *edge, const struct flt_target *lost,
			  const char *why)
{
	GHashTableIter iter;
	gpointer key;
	clk_ms now = edg_now(edge);
	bool is_any_waiting = false;

	g_hash_table_iter_init(&iter, edge->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct edg_request *request = key;
		const struct pth_path *next = tko_path(request);

		if (request->is_freed || !request->path || !request->exchange ||
		    !is_silent(request, now))
			continue;
		if (pth_contains(next ? next : request->path, lost))
			is_any_waiting |= edg_need_move(request, lost, why);
	}
	if (is_any_waiting)
		edg_start_moves(edge);
}

static void log_avoided(struct edg_edge *edge, const struct flt_target *target,
			const char *why)
{
	char *subject = g_strdup_printf("target %s", target->id);

	if (edg_now(edge) >= target->avoid_until)
		edg_log(edge, subject, "in use", "avoided", "reason=%s", why);
	g_free(subject);
}

void stl_mark_lost(struct edg_edge *edge, struct flt_target *target,
		   bool has_ended, const char *why)
{
	log_avoided(edge, target, why);
	flt_target_keep(target);
#ifdef WF_GUARD_OFF_EDGE_SILENCE_IS_NO_END
	has_ended = true;
#endif
	if (has_ended)
		flt_mark_ended(target, edg_now(edge));
	else
		flt_mark_down(target, edg_now(edge));
	move_requests(edge, target, why);
	flt_target_drop(target);
}

static void on_inquiry_closed(uv_handle_t *handle)
{
	struct inquiry *inquiry = handle->data;

	flt_target_drop(inquiry->target);
	g_free(inquiry);
}

/* No report yet: the engine or the network to it may be down. */
static void on_report_late(uv_timer_t *timer)
{
	struct inquiry *inquiry = timer->data;

	log_avoided(inquiry->edge, inquiry->target, "no_report_yet");
	flt_mark_full(inquiry->target, edg_now(inquiry->edge));
	move_requests(inquiry->edge, inquiry->target, "no_report_yet");
}

static void read_report(struct edg_edge *edge, struct flt_target *target,
			const struct edg_report *report)
{
	guint i;

	target->slowdown =
		report->slowdown >= MIN_SLOWDOWN ? report->slowdown : 0;
	target->slow_until = edg_now(edge) + SLOWDOWN_VALID_MS;
	for (i = 0; i < report->stalled->len; i++) {
		struct flt_target *stalled = flt_find_by_address(
			edge->fleet, report->stalled->pdata[i]);

		if (stalled)
			stl_mark_lost(edge, stalled, false, "path_is_stalled");
	}
}

static void on_report(void *user, enum edg_report_result result,
		      const struct edg_report *report)
{
	struct inquiry *inquiry = user;

	uv_timer_stop(&inquiry->timer);
	if (report)
		read_report(inquiry->edge, inquiry->target, report);
	else
		stl_mark_lost(inquiry->edge, inquiry->target,
			      result == EDG_REPORT_UNREACHABLE, "no_report");
	uv_close((uv_handle_t *)&inquiry->timer, on_inquiry_closed);
}

static void ask(struct edg_edge *edge, struct flt_target *target)
{
	struct inquiry *inquiry;
	clk_ms now = edg_now(edge);

	if (now - target->report_requested_at < QUERY_INTERVAL_MS)
		return;
	/* An engine that wants no requests is queried once, as the loss of what
	 * it runs must still be noticed. */
	if (flt_is_closed(target, now) &&
	    target->report_requested_at >= target->closed_since)
		return;
	target->report_requested_at = now;
	inquiry = g_new0(struct inquiry, 1);
	inquiry->edge = edge;
	inquiry->target = flt_target_keep(target);
	uv_timer_init(edge->loop, &inquiry->timer);
	inquiry->timer.data = inquiry;
	uv_timer_start(&inquiry->timer, on_report_late, REPORT_DELAY_MS, 0);
	ctr_add(edge->counters, "wf_edge_stall_inquiries_total", 1);
	edge->platform->ops->ask_report(edge->platform, target, on_report,
					inquiry);
}

/* Whether enough streams of the request's head are silent together. */
static bool is_head_silent(const struct edg_request *request, clk_ms now)
{
	GHashTableIter iter;
	gpointer key;
	unsigned streams = 0;
	unsigned silent = 0;

	if (silence(request, now) >= LONG_SILENCE_MS)
		return true;
	g_hash_table_iter_init(&iter, request->edge->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct edg_request *other = key;

		if (other->target != request->target || !other->path ||
		    !other->exchange)
			continue;
		streams++;
		silent += is_silent(other, now);
	}
	return silent >= MIN_SILENT_STREAMS &&
	       silent >= MIN_SILENT_FRACTION * streams;
}

static void query_path(struct edg_edge *edge, const struct pth_path *path)
{
	guint i;

	for (i = 0; i < path->stages->len; i++)
		ask(edge,
		    g_array_index(path->stages, struct pth_stage, i).target);
}

/* Whether the takeover has had time for its prefill. */
static bool is_takeover_late(const struct edg_request *request, clk_ms now)
{
	return request->takeover &&
	       now - tko_sent_at(request) >= TAKEOVER_DELAY_MS;
}

static void on_pause(uv_timer_t *timer)
{
	struct edg_request *request = timer->data;
	clk_ms now = edg_now(request->edge);

	if (request->is_freed || !request->path || !request->exchange)
		return;
	if (is_silent(request, now) && !request->next_path &&
	    is_head_silent(request, now))
		query_path(request->edge, request->path);
	if (is_takeover_late(request, now))
		query_path(request->edge, tko_path(request));
	if (request->is_freed || !request->path || !request->exchange)
		return;
	if (silence(request, now) >= RESTART_SILENCE_MS)
		edg_restart_without_lost(request);
	stl_watch_stream(request);
}

void stl_watch_stream(struct edg_request *request)
{
	clk_ms now = edg_now(request->edge);
	clk_ms since = stl_silent_since(request);
	clk_ms due = since + silence_threshold(request);

	if (due <= now)
		due = MAX(since + LONG_SILENCE_MS, now + MIN_SILENCE_MS);
	/* Each event moves the due time. A running timer is not restarted: on
	 * expiry it checks the silence and restarts itself. */
	if (uv_is_active((uv_handle_t *)&request->pause_timer))
		return;
	uv_timer_start(&request->pause_timer, on_pause, (uint64_t)(due - now),
		       0);
}
