#include <stdlib.h>
#include <string.h>

#include "edge/edg_private.h"

#define NO_PATH_RETRY_MS 400
/* Assumed if the request states no token counts. */
#define DEFAULT_PROMPT_TOKENS 1000
#define DEFAULT_ANSWER_TOKENS 300
/* Sends allowed beyond the route's limit, which counts engines: after the loss
 * of a head, or to a head that ran the request before. */
#define MAX_EXTRA_SENDS 3
/* Characters of the list of prompt parts in a log line. */
#define MAX_LOGGED_PARTS_CHARS 120

/* A refusal within 1/3 of the engines' stall timeout means a full engine. */
#define FULL_REFUSAL_DIVISOR 3

static void send_next(struct edg_request *request, struct flt_target *head);

static void watch_silence(struct edg_request *request)
{
	if (request->path)
		stl_watch_stream(request);
}

/* Compares media types without their parameters. */
static bool is_same_type(const char *a, const char *b)
{
	size_t len = a ? strcspn(a, "; ") : 0;

	if (!a || !b)
		return a == b;
	return strcspn(b, "; ") == len && !g_ascii_strncasecmp(a, b, len);
}

bool edg_is_stream_head(const struct edg_request *request,
			const struct hup_response *response)
{
	const struct hdr_list *headers = &response->headers;
	const struct edg_header_names *fields = request->edge->fields;

	return response->status == 200 && hdr_get(headers, fields->signature) &&
	       !hdr_get(headers, "Content-Encoding") &&
	       (!request->is_answer_started ||
		is_same_type(hdr_get(headers, "Content-Type"),
			     request->stream_type));
}

void edg_begin_stream(struct edg_request *request,
		      const struct hup_response *response)
{
	edg_read_response_head(request, response);
	request->is_stream = edg_is_stream_head(request, response) &&
			     strcmp(request->http->method, "HEAD") != 0;
	if (!request->is_stream || request->is_answer_started)
		return;
	request->is_answer_started = true;
	request->stream_type =
		g_strdup(hdr_get(&response->headers, "Content-Type"));
	hsv_begin_chunked(request->http, request->status,
			  request->headers->str);
}

static void on_head(void *user, const struct hup_response *response)
{
	edg_begin_stream(user, response);
}

static void record_event(struct edg_request *request)
{
	clk_ms now = edg_now(request->edge);
	clk_ms pause = now - request->last_event_at;

	if (request->first_event_at) {
		request->longest_pause = MAX(request->longest_pause, pause);
		stl_record_pause(request, pause);
		edg_record_pause(request, pause);
	} else {
		request->first_event_at = now;
		edg_record_latency(request->edge, true, now - request->started);
		edg_record_first_event(request, now - request->started);
	}
	request->last_event_at = now;
}

/* The run went on before the takeover: all engines of its path work. */
static void keep_run(struct edg_request *request)
{
	guint i;

	for (i = 0; request->path && i < request->path->stages->len; i++)
		flt_mark_up(g_array_index(request->path->stages,
					  struct pth_stage, i)
				    .target);
	tko_drop(request, "run_continued");
}

static void on_end(void *user, enum hup_result how);

/* Ends the send because of what the target has sent. */
static void end_send(struct edg_request *request, enum hup_result how)
{
	hup_cancel(request->exchange);
	on_end(request, how);
}

static void on_stream_data(struct edg_request *request, const char *bytes,
			   size_t len)
{
	unsigned progress = request->splitter.progress;
	size_t ready = evs_add(&request->splitter, bytes, len);

	if (!ready) {
		if (request->splitter.is_invalid)
			end_send(request, HUP_MALFORMED);
		else if (!edg_count_buffered(request))
			end_send(request, HUP_TOO_LARGE);
		return;
	}
	if (request->splitter.progress > progress) {
		edg_move_had_event(request);
		if (request->takeover)
			keep_run(request);
		edg_parts_had_events(request,
				     request->splitter.progress - progress);
		record_event(request);
		watch_silence(request);
	}
	if (!hsv_send_chunk(request->http, request->splitter.partial->str,
			    ready)) {
		request->http->user = NULL;
		edg_count_cut_answer(request, true);
		edg_log_request_end(request, "slow_caller", request->status);
		request->http = NULL;
		edg_request_free(request);
		return;
	}
	evs_consume(&request->splitter, ready);
	if (request->splitter.is_invalid)
		end_send(request, HUP_MALFORMED);
	else
		edg_count_buffered(request);
}

static void on_data(void *user, const char *bytes, size_t len)
{
	struct edg_request *request = user;

	if (request->is_stream) {
		on_stream_data(request, bytes, len);
		return;
	}
	g_string_append_len(request->body, bytes, (gssize)len);
	if (!edg_count_buffered(request))
		end_send(request, HUP_TOO_LARGE);
}

static uint64_t length_class(const struct edg_request *request)
{
	return oln_class(request->org ? request->org->name : "",
			 request->route->name);
}

/* A caller that resumes a stream gets a part of the output only. */
static void record_output(struct edg_request *request)
{
	if (!hdr_get(&request->http->headers,
		     request->edge->fields->last_event_id))
		oln_record(&request->edge->output_lengths,
			   length_class(request), request->hint_tokens,
			   request->splitter.events * EDG_TOKENS_PER_EVENT);
}

static void complete(struct edg_request *request)
{
	struct hsv_request *http = request->http;
	clk_ms now = edg_now(request->edge);

	flt_record_response(request->target, now, now - request->sent_at);
	record_output(request);
	edg_parts_were_whole(request);
	edg_log_request_end(request, "streamed", request->status);
	edg_request_free(request);
	hsv_end_chunked(http);
}

static void fail_or_abort(struct edg_request *request)
{
	if (request->is_answer_started)
		edg_cut_answer(request, "stream_broken");
	else
		edg_fail(request);
}

/* An engine that is named lacks memory; a head that names none may have no free
 * slot, which lasts for a moment only. */
static void mark_full(const struct edg_request *request,
		      struct flt_target *failed)
{
	clk_ms now = edg_now(request->edge);

	if (request->failed_address)
		flt_mark_no_room(failed, now);
	else
		flt_mark_full(failed, now);
}

/*
 * Records the failure at the target that caused it. The head refuses at once if
 * an engine of the path is full or shutting down, but only after the stall
 * timeout if one is lost.
 */
static void record_failure(struct edg_request *request,
			   enum edg_outcome outcome)
{
	struct edg_edge *edge = request->edge;
	clk_ms now = edg_now(edge);
	struct flt_target *failed = request->target;

	if (request->failed_address)
		failed = flt_find_by_address(edge->fleet,
					     request->failed_address);
	if (!failed)
		return;
	if (outcome == EDG_OUTCOME_NOT_RUN &&
	    now - request->sent_at < edge->engine_stall / FULL_REFUSAL_DIVISOR)
		mark_full(request, failed);
	else if (request->failed_address)
		flt_mark_down(failed, now);
	else if (outcome != EDG_OUTCOME_FAILED)
		flt_record_failure(failed, now);
}

static bool may_run_again(const struct edg_request *request)
{
	unsigned limit = request->route->max_attempts + MAX_EXTRA_SENDS;

	return request->route->retry_policy != CAT_RETRY_NEVER &&
	       request->sends < limit && edg_remaining_time(request) > 0;
}

/* Whether the request may still be running on as many engines as the route
 * allows. A live head that ran it before may then run it again. */
static bool is_at_limit(const struct edg_request *request)
{
#ifdef WF_GUARD_OFF_EDGE_LIVING_RUNS
	return false;
#endif
	return edg_count_live_runs(request) >=
	       MAX(request->route->max_attempts, 1);
}

static bool take_retry_token(struct edg_request *request)
{
	return rty_withdraw(
		edg_retry_budget(request->edge, request->service->name));
}

/* Whether a run that ended early may be continued on another path. */
static bool may_resume(struct edg_request *request, enum edg_outcome outcome)
{
	if (outcome == EDG_OUTCOME_NOT_SENT ||
	    (outcome == EDG_OUTCOME_NOT_RUN && !request->is_answer_started))
		return edg_may_retry(request, outcome);
	if (outcome != EDG_OUTCOME_NOT_RUN)
		edg_record_run(request, request->target);
	return may_run_again(request) && !is_at_limit(request) &&
	       take_retry_token(request);
}

/* A question to a head whether it is alive, in order to send the request to it
 * once more. Holds references. */
struct head_call {
	struct edg_request *request;
	struct flt_target *head;
};

/* Whether the head, which ran the request before, may get it again: it does not
 * leave, wants requests and is no other process since. */
static bool may_run_at(const struct edg_request *request,
		       const struct edg_run *run)
{
	const struct flt_target *head = run->target;
	clk_ms now = edg_now(request->edge);

#ifndef WF_GUARD_OFF_EDGE_LEAVING_HEAD
	if (!flt_may_send(head, now))
		return false;
#endif
	return !flt_has_ended(head, now) &&
	       head->started_at == run->started_at && !head->holds.first &&
	       head->holds.end;
}

/* The last head that may run the request once more, or NULL. */
static struct flt_target *find_known_head(const struct edg_request *request)
{
	guint i = request->runs->len;

	while (i-- > 0) {
		const struct edg_run *run =
			&g_array_index(request->runs, struct edg_run, i);

		if (may_run_at(request, run))
			return run->target;
	}
	return NULL;
}

static bool ask_known_head(struct edg_request *request);

/* Sends a broken run to the head again, unless that may no longer get it. head
 * is NULL if the one that was asked is lost: another one may then run it. */
static void try_head(struct edg_request *request, struct flt_target *head)
{
	bool is_open = head && head == find_known_head(request);

	if (is_open && take_retry_token(request))
		send_next(request, head);
	else if (!head && may_resume(request, EDG_OUTCOME_UNKNOWN))
		send_next(request, NULL);
	else if (!head || is_open || !ask_known_head(request))
		fail_or_abort(request);
}

/* Does that if the head is still alive; otherwise marks it as lost. */
static void on_head_report(void *user, enum edg_report_result result,
			   const struct edg_report *report)
{
	struct head_call *call = user;
	struct edg_request *request = call->request;

	if (!request->is_freed && !report)
		stl_mark_lost(request->edge, call->head,
			      result == EDG_REPORT_UNREACHABLE, "no_report");
	if (!request->is_freed)
		try_head(request, report ? call->head : NULL);
	flt_target_drop(call->head);
	edg_request_drop(request);
	g_free(call);
}

/* Returns false if no head may run the request once more. */
static bool ask_known_head(struct edg_request *request)
{
	struct flt_target *head = find_known_head(request);
	struct head_call *call;

	if (!head)
		return false;
	call = g_new0(struct head_call, 1);
	call->request = edg_request_keep(request);
	call->head = flt_target_keep(head);
	request->edge->platform->ops->ask_report(request->edge->platform, head,
						 on_head_report, call);
	return true;
}

static void handle_failed_send(struct edg_request *request,
			       enum edg_outcome outcome)
{
	if (may_resume(request, outcome))
		send_next(request, NULL);
	else if (outcome == EDG_OUTCOME_FAILED && !request->is_answer_started)
		edg_deliver(request);
	else if (outcome != EDG_OUTCOME_UNKNOWN || !request->service->engine ||
		 !may_run_again(request) || !is_at_limit(request) ||
		 !ask_known_head(request))
		fail_or_abort(request);
}

bool edg_may_run_elsewhere(struct edg_request *request)
{
	return may_resume(request, EDG_OUTCOME_UNKNOWN);
}

bool edg_resume(struct edg_request *request, const char *why)
{
#ifdef WF_GUARD_OFF_EDGE_SILENT_RUN
	fail_or_abort(request);
	return true;
#endif
	if (request->takeover)
		return true;
	if (!tko_start(request))
		return false;
	edg_log_send(request, "resumed",
		     "reason=%s head=%s after_event=%s send=%u", why,
		     request->target->id, request->splitter.last_id->str,
		     request->sends);
	return true;
}

static void log_failed_send(struct edg_request *request,
			    enum edg_outcome outcome, enum hup_result how)
{
	const char *parts = hdr_get(&request->http->headers,
				    request->edge->fields->prompt_parts);

	edg_log_send(request, edg_outcome_name(outcome),
		     "head=%s status=%d end=%d at=%s after_event=%s send=%u "
		     "run_events=%u parts=%.*s",
		     request->target->id, request->status, (int)how,
		     request->failed_address ? request->failed_address : "-",
		     request->splitter.last_id->str, request->sends,
		     request->splitter.events - request->events_before_send,
		     MAX_LOGGED_PARTS_CHARS, parts ? parts : "-");
}

static void on_end(void *user, enum hup_result how)
{
	struct edg_request *request = user;
	enum edg_outcome outcome = edg_classify_end(request, how);
	bool is_partial = request->splitter.partial->len > 0;

	request->exchange = NULL;
	uv_timer_stop(&request->pause_timer);
#ifdef WF_GUARD_OFF_EDGE_WHOLE_EVENTS
	evs_discard_partial(&request->splitter);
	request->splitter.awaits_event = false;
	is_partial = false;
	outcome = EDG_OUTCOME_ANSWERED;
#endif
	if (outcome == EDG_OUTCOME_ANSWERED && request->is_stream &&
	    !is_partial && !request->splitter.awaits_event) {
		complete(request);
		return;
	}
	if (outcome == EDG_OUTCOME_ANSWERED && !request->is_answer_started &&
	    !request->is_stream) {
		edg_deliver(request);
		return;
	}
	if (outcome == EDG_OUTCOME_ANSWERED)
		outcome = EDG_OUTCOME_UNKNOWN;
	record_failure(request, outcome);
	log_failed_send(request, outcome, how);
	/* An answer without a length ends like this when its head crashes. */
	edg_question_head(request, how == HUP_COMPLETE && is_partial
					   ? HUP_CONN_LOST
					   : how);
	if (tko_promote(request)) {
		watch_silence(request);
		return;
	}
	edg_move_ended(request, "failed");
	handle_failed_send(request, outcome);
}

static const struct hup_ops ops = {on_head, on_data, on_end};

void edg_bind_stream(struct edg_request *request)
{
	hup_set_ops(request->exchange, &ops, request);
}

struct pth_query edg_path_query(const struct edg_request *request)
{
	struct pth_query query = {
		.engine = request->service->engine,
		.service = request->service->name,
		.data_center = request->edge->data_center,
		.tokens = request->prompt_tokens + request->answer_tokens,
		.prefill_tokens = request->prompt_tokens,
		.objective = request->route->objective,
	};

	return query;
}

/* Reserves the path for the next send, and takes it over. */
static void use_path(struct edg_request *request, struct pth_path *path)
{
	pth_reserve(path, edg_now(request->edge),
		    edg_path_query(request).tokens);
	request->path = path;
	request->target = flt_target_keep(pth_head(path));
}

/* Releases the current send and reserves a path for the next one, with that
 * head unless it is NULL. */
static enum pth_result reserve_path(struct edg_request *request,
				    struct flt_target *head)
{
	struct edg_edge *edge = request->edge;
	struct pth_query query = edg_path_query(request);
	struct pth_path *start =
		head ? pth_from_head(head, query.engine) : NULL;
	struct pth_path *path;
	enum pth_result result;

	edg_release_send(request);
	query.current = start;
	ctr_add(edge->counters, "wf_edge_path_searches_total", 1);
	result = edg_find_path(edge, &query, &path);
	if (result == PTH_NO_CAPACITY && !head)
		edg_note_full(edge, query.service, query.tokens);
	pth_free(start);
	if (result == PTH_FOUND)
		use_path(request, path);
	return result;
}

bool edg_reserve_path(struct edg_request *request)
{
	return reserve_path(request, NULL) == PTH_FOUND;
}

/* Releases the current send and finds a path for the next one. */
static bool find_path(struct edg_request *request, struct flt_target *head)
{
	struct pth_query query = edg_path_query(request);
	enum pth_result result;

	if (!request->sends &&
	    (!edg_may_go_at_once(request) ||
	     edg_is_known_full(request->edge, query.service, query.tokens))) {
		edg_wait_for_room(request, query.tokens);
		return false;
	}
	result = reserve_path(request, head);
	if (result == PTH_FOUND)
		return true;
	if (request->is_answer_started || edg_may_have_run(request))
		fail_or_abort(request);
	else if (result == PTH_MISSING_LAYERS)
		edg_refuse_not_run(request, NO_PATH_RETRY_MS, "no_path",
				   "no path of engines covers all layers");
	else
		edg_wait_for_room(request, query.tokens);
	return false;
}

static bool find_target(struct edg_request *request)
{
	if (edg_choose_target(request))
		return true;
	fail_or_abort(request);
	return false;
}

void edg_send_stream(struct edg_request *request)
{
	edg_send(request, &ops);
	watch_silence(request);
}

void edg_resend_on(struct edg_request *request, struct pth_path *path)
{
	edg_release_send(request);
	evs_discard_partial(&request->splitter);
	use_path(request, path);
	edg_send_stream(request);
}

/* Sends the request to that head, or to any if it is NULL. */
static void send_next(struct edg_request *request, struct flt_target *head)
{
	bool found;

	if (!hsv_check_caller(request->http))
		return;
	evs_discard_partial(&request->splitter);
	if (!edg_check_parts(request))
		return;
	found = request->service->engine ? find_path(request, head)
					 : find_target(request);
	if (found)
		edg_send_stream(request);
}

/* Reads the token counts "PROMPT,MAX" and the hint for the answer length, which
 * is corrected by the outputs of its class. */
static void parse_token_counts(struct edg_request *request)
{
	const struct edg_header_names *fields = request->edge->fields;
	const struct hdr_list *headers = &request->http->headers;
	const char *counts = hdr_get(headers, fields->token_counts);
	const char *hint = hdr_get(headers, fields->length_hint);
	const char *comma = counts ? strchr(counts, ',') : NULL;

	request->prompt_tokens =
		counts ? strtoul(counts, NULL, 10) : DEFAULT_PROMPT_TOKENS;
	request->max_answer_tokens =
		comma ? strtoul(comma + 1, NULL, 10) : DEFAULT_ANSWER_TOKENS;
	request->answer_tokens = request->max_answer_tokens;
	if (!hint || !g_ascii_isdigit(*hint))
		return;
	request->hint_tokens = strtoul(hint, NULL, 10);
	request->answer_tokens = oln_expect(
		&request->edge->output_lengths, length_class(request),
		request->hint_tokens, request->max_answer_tokens);
}

void edg_start_stream(struct edg_request *request)
{
	if (hdr_get(&request->http->headers,
		    request->edge->fields->last_event_id))
		request->splitter.awaits_event = false;
	parse_token_counts(request);
	edg_read_parts(request);
	send_next(request, NULL);
}
