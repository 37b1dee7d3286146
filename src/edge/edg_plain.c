#include "edge/edg_private.h"

#define NO_TARGET_RETRY_MS 300

static void send_next(struct edg_request *request);

static void on_head(void *user, const struct hup_response *response)
{
	edg_read_response_head(user, response);
}

static void on_end(void *user, enum hup_result how);

/* The answer is buffered until it is complete, so that the request can be
 * retried elsewhere if it is cut off. */
static void on_data(void *user, const char *bytes, size_t len)
{
	struct edg_request *request = user;

	g_string_append_len(request->body, bytes, (gssize)len);
	if (edg_count_buffered(request))
		return;
	hup_cancel(request->exchange);
	on_end(request, HUP_TOO_LARGE);
}

static void deliver(struct edg_request *request)
{
	edg_record_latency(request->edge, false,
			   edg_now(request->edge) - request->started);
	edg_deliver(request);
}

/* Records the result of the send for load balancing. */
static void record_target_result(struct edg_request *request,
				 enum edg_outcome outcome)
{
	clk_ms now = edg_now(request->edge);

	if (outcome == EDG_OUTCOME_ANSWERED)
		flt_record_response(request->target, now,
				    now - request->sent_at);
	else if (outcome != EDG_OUTCOME_FAILED)
		flt_record_failure(request->target, now);
	if (request->status == 421)
		flt_mark_down(request->target, now);
}

static void on_end(void *user, enum hup_result how)
{
	struct edg_request *request = user;
	enum edg_outcome outcome = edg_classify_end(request, how);

	request->exchange = NULL;
	record_target_result(request, outcome);
	if (outcome == EDG_OUTCOME_ANSWERED) {
		deliver(request);
		return;
	}
	edg_log_send(request, edg_outcome_name(outcome),
		     "target=%s status=%d end=%d send=%u", request->target->id,
		     request->status, (int)how, request->sends);
	if (edg_may_retry(request, outcome)) {
		send_next(request);
		return;
	}
	if (outcome == EDG_OUTCOME_FAILED)
		deliver(request);
	else
		edg_fail(request);
}

static const struct hup_ops ops = {on_head, on_data, on_end};

static void send_next(struct edg_request *request)
{
	if (!hsv_check_caller(request->http))
		return;
	if (edg_choose_target(request))
		edg_send(request, &ops);
	else if (edg_may_have_run(request))
		edg_fail(request);
	else
		edg_refuse_not_run(request,
				   edg_return_time(request, NO_TARGET_RETRY_MS),
				   "no_target", "the service has no target");
}

void edg_start_plain(struct edg_request *request)
{
	send_next(request);
}
