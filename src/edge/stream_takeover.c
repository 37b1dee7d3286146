#include "edge/edg_private.h"

/*
 * tko: takeover of a stream by another head while its engine is silent. The
 * silent run is not cancelled before another head has begun to answer: most
 * engines that are silent go on, and the other head may refuse or be silent
 * too. Whichever run continues first keeps the stream.
 */

/* Takeovers of a request that may fail before a byte is sent. */
#define MAX_UNREACHABLE 3

struct tko_takeover {
	struct edg_request *request;
	struct hup_exchange *exchange;
	struct flt_target *target;
	struct pth_path *path;
	clk_ms sent_at;
	/* The target's latest_start at that time. */
	int64_t sent_to_start;
};

static void takeover_free(struct tko_takeover *takeover)
{
	takeover->request->takeover = NULL;
	if (takeover->exchange)
		hup_cancel(takeover->exchange);
	pth_free(takeover->path);
	flt_target_drop(takeover->target);
	g_free(takeover);
}

void tko_drop(struct edg_request *request, const char *why)
{
	struct tko_takeover *takeover = request->takeover;

	if (!takeover)
		return;
	edg_log_send(request, "takeover ended", "head=%s reason=%s",
		     takeover->target->id, why);
	edg_record_run(request, takeover->target);
	takeover_free(takeover);
}

/* Makes the takeover the request's current send. */
static void promote(struct tko_takeover *takeover)
{
	struct edg_request *request = takeover->request;

	request->takeover = NULL;
	edg_release_send(request);
	evs_discard_partial(&request->splitter);
	edg_reset_answer(request);
	request->target = takeover->target;
	request->path = takeover->path;
	request->exchange = takeover->exchange;
	request->sent_at = takeover->sent_at;
	request->sent_to_start = takeover->sent_to_start;
	edg_start_run(request);
	edg_bind_stream(request);
	g_free(takeover);
}

bool tko_promote(struct edg_request *request)
{
	if (!request->takeover)
		return false;
	promote(request->takeover);
	return true;
}

static void record_refusal(struct tko_takeover *takeover, bool is_not_run)
{
	struct edg_edge *edge = takeover->request->edge;

	if (is_not_run) {
		flt_mark_full(takeover->target, edg_now(edge));
		return;
	}
	edg_record_run(takeover->request, takeover->target);
	flt_record_failure(takeover->target, edg_now(edge));
}

static void on_head(void *user, const struct hup_response *response)
{
	struct tko_takeover *takeover = user;
	struct edg_request *request = takeover->request;
	bool is_not_run;

	if (edg_is_stream_head(request, response)) {
		edg_log_send(request, "taken over",
			     "head=%s from=%s after_event=%s",
			     takeover->target->id, request->target->id,
			     request->splitter.last_id->str);
		promote(takeover);
		edg_begin_stream(request, response);
		return;
	}
	edg_note_answer(request->edge, takeover->target->id,
			takeover->sent_to_start, response);
	is_not_run = edg_declares_not_run(request->edge, response);
	edg_log_send(request, "takeover refused",
		     "head=%s status=%d not_run=%d", takeover->target->id,
		     response->status, is_not_run);
	record_refusal(takeover, is_not_run);
	takeover_free(takeover);
	edg_move_refused(request, "refused");
}

static void on_data(void *user, const char *bytes, size_t len)
{
	/* A head either promotes the takeover or ends it. */
	(void)user;
	(void)bytes;
	(void)len;
}

static void on_end(void *user, enum hup_result how)
{
	struct tko_takeover *takeover = user;
	struct edg_request *request = takeover->request;
	struct flt_target *target = flt_target_keep(takeover->target);
	int64_t sent_to_start = takeover->sent_to_start;
	clk_ms sent_at = takeover->sent_at;
	bool is_not_sent = !hup_was_sent(how);

	takeover->exchange = NULL;
	edg_log_send(request, "takeover failed", "head=%s end=%d", target->id,
		     (int)how);
	takeover_free(takeover);
	if (is_not_sent)
		request->sends--;
	else
		edg_record_run(request, target);
	flt_record_failure(target, edg_now(request->edge));
	edg_question_target(request, target, sent_to_start, sent_at, how);
	flt_target_drop(target);
	if (request->is_freed || request->takeover)
		return;
	if (is_not_sent && ++request->connect_failures > MAX_UNREACHABLE)
		edg_move_ended(request, "failed");
	else if (!edg_resume(request, "takeover_failed"))
		edg_move_refused(request, "failed");
}

static const struct hup_ops ops = {on_head, on_data, on_end};

/* Finds a path with another head that includes no engine known to be down. */
static struct pth_path *find_other_path(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct pth_query query = edg_path_query(request);
	struct pth_path *path = NULL;

	query.without = request->target;
	ctr_add(edge->counters, "wf_edge_move_searches_total", 1);
	edg_find_path(edge, &query, &path);
	return path;
}

bool tko_start(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct tko_takeover *takeover;
	struct pth_path *path;

	if (hsv_has_caller_left(request->http))
		return false;
	/* One head at a time is enough for a prompt that may crash it. */
	if (edg_has_suspected_part(request))
		return false;
	path = find_other_path(request);
	if (!path)
		return false;
	if (request->takeover)
		edg_record_run(request, request->takeover->target);
	if (!edg_may_run_elsewhere(request)) {
		pth_free(path);
		return false;
	}
	tko_drop(request, "replaced");
	takeover = g_new0(struct tko_takeover, 1);
	takeover->request = request;
	takeover->path = path;
	takeover->target = flt_target_keep(pth_head(path));
	takeover->sent_at = edg_now(edge);
	takeover->sent_to_start = takeover->target->latest_start;
	pth_reserve(path, takeover->sent_at, edg_path_query(request).tokens);
	request->takeover = takeover;
	edg_move_started(request, request->service->engine->layers);
	takeover->exchange =
		edg_open_send(request, takeover->target, path, &ops, takeover);
	return true;
}

const struct pth_path *tko_path(const struct edg_request *request)
{
	return request->takeover ? request->takeover->path : NULL;
}

clk_ms tko_sent_at(const struct edg_request *request)
{
	return request->takeover->sent_at;
}
