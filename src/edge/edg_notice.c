#include <string.h>

#include "edge/edg_private.h"

/* What targets say of themselves in the heads of their answers. */

/* Longest time for which a target can exclude itself with one answer. */
#define MAX_CLOSED_MS (5 * CLK_MINUTE)
/* Retry-After is written in steps of this. */
#define RETURN_STEP_MS 10

static void log_notice(struct edg_edge *edge, const char *id, const char *from,
		       const char *to, const char *detail)
{
	char *subject = g_strdup_printf("target %s", id);

	edg_log(edge, subject, from, to, "%s", detail);
	g_free(subject);
}

static bool says_leaving(const struct edg_edge *edge,
			 const struct hdr_list *headers)
{
	const char *value = hdr_get(headers, edge->fields->leaving);

#ifdef WF_GUARD_OFF_EDGE_LEAVING
	return false;
#endif
	return value && strcmp(value, "0") != 0;
}

/* Time for which the target that refused a request wants no others, or 0. */
static clk_ms read_closed_time(const struct hup_response *response)
{
#ifdef WF_GUARD_OFF_EDGE_CLOSED
	return 0;
#endif
	if (response->status != 503)
		return 0;
	return hdr_read_seconds(hdr_get(&response->headers, "Retry-After"),
				MAX_CLOSED_MS);
}

/* The engine that the answer names as the cause of a refusal, or NULL. */
static const struct flt_target *
find_refusing_engine(const struct edg_edge *edge,
		     const struct hup_response *response)
{
	const char *address =
		hdr_get(&response->headers, edge->fields->failed_target);

	return address ? flt_find_by_address(edge->fleet, address) : NULL;
}

static void note_closed(struct edg_edge *edge, const char *target_id,
			int64_t started_at, const struct hup_response *response)
{
	clk_ms span = read_closed_time(response);
	const struct flt_target *engine;
	char *detail;

	if (!span)
		return;
	engine = find_refusing_engine(edge, response);
	if (engine) {
		target_id = engine->id;
		started_at = engine->latest_start;
	}
	if (!flt_mark_closed(edge->fleet, edg_now(edge), target_id, started_at,
			     span))
		return;
	detail = g_strdup_printf("for_ms=%" G_GINT64_FORMAT, span);
	log_notice(edge, target_id, "in use", "closed", detail);
	g_free(detail);
}

clk_ms edg_closed_time(const struct edg_request *request)
{
	const struct cat_service *service = request->service;

	return flt_closed_time(request->edge->fleet, edg_now(request->edge),
			       service->name,
			       service->engine ? service->engine->layers : 0);
}

clk_ms edg_return_time(const struct edg_request *request, clk_ms least)
{
	clk_ms closed = edg_closed_time(request);

	/* A caller that returns a moment too early is refused again. */
	closed += RETURN_STEP_MS - 1;
	closed -= closed % RETURN_STEP_MS;
	return MAX(least, closed);
}

void edg_note_answer(struct edg_edge *edge, const char *target_id,
		     int64_t started_at, const struct hup_response *response)
{
	clk_ms now = edg_now(edge);

	if (says_leaving(edge, &response->headers) &&
	    flt_mark_leaving(edge->fleet, now, target_id, started_at))
		log_notice(edge, target_id, "in use", "leaving",
			   "reason=answer");
	note_closed(edge, target_id, started_at, response);
}
