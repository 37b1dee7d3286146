#include <stdarg.h>
#include <string.h>

#include "edge/edg_private.h"

/* Bytes of a line besides its texts: JSON syntax and time stamp. */
#define LINE_OVERHEAD_BYTES 70
/* Range of client error statuses. */
#define FIRST_CLIENT_ERROR 400
#define LAST_CLIENT_ERROR 499

static void report_suppressed(struct edg_edge *edge, clk_ms now)
{
	unsigned suppressed[LGB_CLASSES];

	if (!lgb_take_suppressed(&edge->log_budget, now, suppressed))
		return;
	log_change(edge->log, now, "log", "limited", "open",
		   "suppressed: state=%u trouble=%u routine=%u improper=%u",
		   suppressed[LGB_STATE], suppressed[LGB_TROUBLE],
		   suppressed[LGB_ROUTINE], suppressed[LGB_IMPROPER]);
}

static void write_line(struct edg_edge *edge, enum lgb_class class,
		       uint64_t hash, const char *subject, const char *from,
		       const char *to, const char *detail)
{
	clk_ms now = edg_now(edge);

	report_suppressed(edge, now);
	if (!lgb_allows(&edge->log_budget, now, class, hash)) {
		ctr_add(edge->counters, "wf_log_lines_suppressed_total", 1);
		return;
	}
	lgb_count_bytes(&edge->log_budget, class,
			LINE_OVERHEAD_BYTES + strlen(subject) + strlen(from) +
				strlen(to) + strlen(detail));
	log_change(edge->log, now, subject, from, to, "%s", detail);
}

void edg_log(struct edg_edge *edge, const char *subject, const char *from,
	     const char *to, const char *detail, ...)
{
	va_list args;
	char *text;

	va_start(args, detail);
	text = g_strdup_vprintf(detail, args);
	va_end(args);
	write_line(edge, LGB_STATE, 0, subject, from, to, text);
	g_free(text);
}

void edg_log_send(struct edg_request *request, const char *to,
		  const char *detail, ...)
{
	va_list args;
	char *text;

	va_start(args, detail);
	text = g_strdup_vprintf(detail, args);
	va_end(args);
	write_line(request->edge, LGB_TROUBLE, 0, "send", request->id, to,
		   text);
	g_free(text);
}

/* Adds the event timing and the path of a stream to its log line. */
static void add_stream_details(const struct edg_request *request, GString *out)
{
	clk_ms first = request->first_event_at
			       ? request->first_event_at - request->started
			       : -1;

	g_string_append_printf(
		out,
		" prompt=%.0f answer_limit=%.0f"
		" events=%u first_event_ms=%" G_GINT64_FORMAT
		" longest_pause_ms=%" G_GINT64_FORMAT " reroutes=%u",
		request->prompt_tokens, request->max_answer_tokens,
		request->splitter.events, first, request->longest_pause,
		request->reroutes);
	if (request->path) {
		char *path =
			request->edge->platform->ops->write_path(request->path);

		g_string_append_printf(out, " path=%s", path);
		g_free(path);
	}
}

/* Whether the answer, the first event of a stream or a pause between events
 * exceeded the route's objective. */
static bool is_late(const struct edg_request *request, clk_ms now)
{
	const struct cat_route *route = request->route;
	clk_ms took = now - request->started;

	if (!route)
		return false;
	if (route->is_stream && request->first_event_at)
		took = request->first_event_at - request->started;
	return (route->objective && took > route->objective) ||
	       (route->max_pause && request->longest_pause > route->max_pause);
}

static enum lgb_class line_class(const struct edg_request *request,
				 const char *outcome, int status)
{
	bool has_answer =
		!strcmp(outcome, "answered") || !strcmp(outcome, "streamed");

	if (!request->service && status >= FIRST_CLIENT_ERROR &&
	    status <= LAST_CLIENT_ERROR)
		return LGB_IMPROPER;
	if (has_answer && status <= LAST_CLIENT_ERROR && request->sends == 1 &&
	    !request->reroutes && !is_late(request, edg_now(request->edge)))
		return LGB_ROUTINE;
	return LGB_TROUBLE;
}

void edg_count_cut_answer(struct edg_request *request, bool is_running)
{
	ctr_add(request->edge->counters,
		is_running ? "wf_edge_cut_answers_total{run=\"active\"}"
			   : "wf_edge_cut_answers_total{run=\"ended\"}",
		1);
}

void edg_log_request_end(struct edg_request *request, const char *outcome,
			 int status)
{
	struct edg_edge *edge = request->edge;
	char *subject = g_strdup_printf("request %s", request->id);
	clk_ms now = edg_now(edge);
	char *counter = g_strdup_printf(
		"wf_edge_requests_total{outcome=\"%s\"}", outcome);
	GString *detail = g_string_new(NULL);

	ctr_add(edge->counters, g_intern_string(counter), 1);
	g_string_printf(
		detail,
		"status=%d route=%s org=%s target=%s sends=%u late=%d "
		"took_ms=%" G_GINT64_FORMAT " config=%" G_GINT64_FORMAT
		" config_age_ms=%" G_GINT64_FORMAT,
		status, request->route ? request->route->name : "-",
		request->org ? request->org->name : "-",
		request->target ? request->target->id : "-", request->sends,
		is_late(request, now), now - request->started,
		request->catalog ? cat_version(request->catalog) : -1,
		request->catalog ? now - edge->catalog_confirmed_at : -1);
	if (request->route && request->route->is_stream)
		add_stream_details(request, detail);
	write_line(edge, line_class(request, outcome, status),
		   wf_hash(request->id, strlen(request->id), 0), subject,
		   "accepted", outcome, detail->str);
	g_string_free(detail, TRUE);
	g_free(counter);
	g_free(subject);
}
