#include <string.h>

#include "edge/edg_private.h"

/* What targets say of themselves in the heads of their answers. */

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

void edg_note_answer(struct edg_edge *edge, const char *target_id,
		     int64_t started_at, const struct hup_response *response)
{
	clk_ms now = edg_now(edge);

	if (says_leaving(edge, &response->headers) &&
	    flt_mark_leaving(edge->fleet, now, target_id, started_at))
		log_notice(edge, target_id, "in use", "leaving",
			   "reason=answer");
}
