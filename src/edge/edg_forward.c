#include <string.h>

#include "edge/edg_private.h"

/* Maximum idle time of a reused connection. The target may be closing one that
 * was idle longer, so requests that can't be retried use fresher ones. */
#define MAX_IDLE_RETRYABLE_MS 30000
#define MAX_IDLE_NO_RETRY_MS 2500
/* Retries after connections that failed before a byte was sent. */
#define MAX_CONNECT_FAILURES 3
#define OVERLOADED_RETRY_MS 250

static bool is_field_replaced(const struct edg_request *request,
			      const char *name)
{
	const struct edg_header_names *fields = request->edge->fields;
	const char *const replaced[] = {
		fields->authorization,	 fields->org,  fields->target_id,
		fields->engine_priority, fields->path, fields->remaining_ms,
		"Content-Length",	 "Expect"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(replaced); i++) {
		if (!g_ascii_strcasecmp(name, replaced[i]))
			return true;
	}
	return request->splitter.last_id->len &&
	       !g_ascii_strcasecmp(name, fields->last_event_id);
}

int edg_priority(const struct edg_request *request)
{
	int priority = request->route->priority;

	if (request->org && request->org->priority >= 0)
		priority = request->org->priority;
	return CLAMP(priority, 0, 9);
}

static void write_edge_fields(const struct edg_request *request,
			      const struct flt_target *target,
			      const struct pth_path *path, GString *out)
{
	const struct edg_edge *edge = request->edge;
	const struct edg_header_names *fields = edge->fields;

	g_string_append_printf(out, "%s: %" G_GINT64_FORMAT "\r\n",
			       fields->remaining_ms,
			       MAX(edg_remaining_time(request), 1));
	hdr_write(out, fields->target_id, target->id);
	if (request->org)
		hdr_write(out, fields->org, request->org->name);
	if (request->splitter.last_id->len)
		hdr_write(out, fields->last_event_id,
			  request->splitter.last_id->str);
	if (path) {
		char *text = edge->platform->ops->write_path(path);

		hdr_write(out, fields->path, text);
		g_string_append_printf(out, "%s: %d\r\n",
				       fields->engine_priority,
				       edg_priority(request));
		g_free(text);
	}
}

static GString *write_request(const struct edg_request *request,
			      const struct flt_target *target,
			      const struct pth_path *path)
{
	const struct hsv_request *http = request->http;
	GString *out = g_string_sized_new(1024 + http->body->len);
	bool has_body = http->body->len ||
			hdr_get(&http->headers, "Content-Length") ||
			hdr_get(&http->headers, "Transfer-Encoding");
	guint i;

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", http->method,
			       http->url);
	for (i = 0; i < http->headers.fields->len; i++) {
		const struct hdr_field *field = &g_array_index(
			http->headers.fields, struct hdr_field, i);

		if (!hdr_is_hop_by_hop(&http->headers, field->name) &&
		    !is_field_replaced(request, field->name))
			hdr_write(out, field->name, field->value);
	}
	write_edge_fields(request, target, path, out);
	if (has_body)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       http->body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, http->body->str, (gssize)http->body->len);
	return out;
}

bool edg_count_buffered(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	size_t events = request->splitter.partial->len;
	size_t bytes = request->body->len + events;

	edge->buffered_bytes -= request->buffered;
	edge->buffered_bytes += bytes;
	request->buffered = bytes;
	return request->body->len <= edge->max_answer_bytes &&
	       events <= edge->max_event_bytes &&
	       edge->buffered_bytes <= edge->max_buffered_bytes;
}

void edg_reset_answer(struct edg_request *request)
{
	request->status = 0;
	g_string_truncate(request->headers, 0);
	g_string_truncate(request->body, 0);
	edg_count_buffered(request);
	request->is_signed = false;
	request->is_not_run = false;
	request->is_encoded = false;
	request->is_stream = false;
	g_clear_pointer(&request->failed_address, g_free);
}

static bool was_sent_to(const struct edg_request *request, const char *address)
{
	guint i;

#ifdef WF_GUARD_OFF_EDGE_REPEATED_REFUSAL
	return false;
#endif
	for (i = 0; i < request->tried_targets->len; i++) {
		const struct flt_target *tried =
			request->tried_targets->pdata[i];

		if (!strcmp(tried->address, address))
			return true;
	}
	return false;
}

/* Only a new connection can't hold another copy of the answer to an earlier
 * send, which would have the right id. */
static clk_ms max_idle(const struct edg_request *request,
		       const struct flt_target *target)
{
	if (was_sent_to(request, target->address))
		return 0;
	return request->route->retry_policy == CAT_RETRY_NEVER
		       ? MAX_IDLE_NO_RETRY_MS
		       : MAX_IDLE_RETRYABLE_MS;
}

struct hup_exchange *edg_open_send(struct edg_request *request,
				   struct flt_target *target,
				   const struct pth_path *path,
				   const struct hup_ops *ops, void *user)
{
	struct edg_edge *edge = request->edge;
	struct hup_request send = {
		.address = target->address,
		.bytes = write_request(request, target, path),
		.is_head = !strcmp(request->http->method, "HEAD"),
		.max_idle = max_idle(request, target),
		.id_header = edge->fields->attempt_id,
		.id = request->id,
	};

	request->sends++;
	g_ptr_array_add(request->tried_targets, flt_target_keep(target));
	return hup_send(edge->client, &send, ops, user);
}

void edg_start_run(struct edg_request *request)
{
	request->events_before_send = request->splitter.events;
	request->progress_before_send = request->splitter.progress;
}

void edg_send(struct edg_request *request, const struct hup_ops *ops)
{
	edg_reset_answer(request);
	request->sent_at = edg_now(request->edge);
	request->sent_to_start = request->target->latest_start;
	edg_start_run(request);
	if (!request->path)
		request->target->in_flight++;
	request->exchange = edg_open_send(request, request->target,
					  request->path, ops, request);
}

void edg_release_send(struct edg_request *request)
{
	if (request->exchange)
		hup_cancel(request->exchange);
	request->exchange = NULL;
	if (request->path) {
		pth_free(request->path);
		edg_room_freed(request->edge);
	} else if (request->target) {
		request->target->in_flight--;
	}
	request->path = NULL;
	pth_free(request->next_path);
	request->next_path = NULL;
	flt_target_drop(request->target);
	request->target = NULL;
}

bool edg_choose_target(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct flt_target *target = flt_select_target(
		edge->fleet, edg_now(edge), request->service->name,
		edge->data_center, request->tried_targets,
		g_rand_int(edge->rand));

	edg_release_send(request);
	request->target = flt_target_keep(target);
	return target != NULL;
}

bool edg_declares_not_run(const struct edg_edge *edge,
			  const struct hup_response *response)
{
	return hdr_get(&response->headers, edge->fields->not_run) ||
	       response->status == 421;
}

void edg_read_response_head(struct edg_request *request,
			    const struct hup_response *response)
{
	const struct edg_header_names *fields = request->edge->fields;
	const struct hdr_list *headers = &response->headers;
	guint i;

	edg_note_answer(request->edge, request->target->id,
			request->sent_to_start, response);
	request->status = response->status;
	request->is_signed = hdr_get(headers, fields->signature) != NULL;
	request->is_not_run = edg_declares_not_run(request->edge, response);
	request->is_encoded = hdr_get(headers, "Content-Encoding") != NULL;
	g_free(request->failed_address);
	request->failed_address =
		g_strdup(hdr_get(headers, fields->failed_target));
	g_string_truncate(request->headers, 0);
	for (i = 0; i < headers->fields->len; i++) {
		const struct hdr_field *field =
			&g_array_index(headers->fields, struct hdr_field, i);

		if (!hdr_is_hop_by_hop(headers, field->name) &&
		    g_ascii_strcasecmp(field->name, "Content-Length") != 0)
			hdr_write(request->headers, field->name, field->value);
	}
}

/* Statuses that tell a caller that its request was not run. A target's own
 * answer with one of these is not passed on without its declaration. */
static bool promises_not_run(int status)
{
#ifdef WF_GUARD_OFF_EDGE_PROMISE
	return false;
#endif
	return status == 408 || status == 421 || status == 429 || status == 503;
}

enum edg_outcome edg_classify_end(const struct edg_request *request,
				  enum hup_result how)
{
	if (!hup_was_sent(how))
		return EDG_OUTCOME_NOT_SENT;
	if (how != HUP_COMPLETE)
		return EDG_OUTCOME_UNKNOWN;
	if (request->is_not_run)
		return EDG_OUTCOME_NOT_RUN;
	if (promises_not_run(request->status) || !request->is_signed)
		return EDG_OUTCOME_UNKNOWN;
	if (request->status >= 500)
		return EDG_OUTCOME_FAILED;
	if (request->status < 300 && request->is_encoded)
		return EDG_OUTCOME_UNKNOWN;
	return EDG_OUTCOME_ANSWERED;
}

bool edg_may_retry(struct edg_request *request, enum edg_outcome outcome)
{
	struct edg_edge *edge = request->edge;
	unsigned limit = MAX(request->route->max_attempts, 1);

	if (outcome == EDG_OUTCOME_NOT_SENT) {
		/* The target did not receive it. */
		request->sends--;
		return ++request->connect_failures <= MAX_CONNECT_FAILURES;
	}
	if (outcome != EDG_OUTCOME_NOT_RUN) {
		edg_record_run(request, request->target);
#ifndef WF_GUARD_OFF_EDGE_ONCE
		if (request->route->retry_policy == CAT_RETRY_NEVER)
			return false;
#endif
	}
	if (request->sends >= limit || edg_remaining_time(request) <= 0)
		return false;
	if (!rty_withdraw(edg_retry_budget(edge, request->service->name))) {
		ctr_add(edge->counters, "wf_edge_retries_over_budget_total", 1);
		return false;
	}
	return true;
}

void edg_record_run(struct edg_request *request, struct flt_target *target)
{
	struct edg_run run = {target, target->started_at};
	guint i;

	for (i = 0; i < request->runs->len; i++) {
		if (g_array_index(request->runs, struct edg_run, i).target ==
		    run.target)
			return;
	}
	flt_target_keep(run.target);
	g_array_append_val(request->runs, run);
}

bool edg_may_have_run(const struct edg_request *request)
{
	return request->runs->len > 0;
}

unsigned edg_count_live_runs(const struct edg_request *request)
{
	clk_ms now = edg_now(request->edge);
	unsigned live = 0;
	guint i;

	for (i = 0; i < request->runs->len; i++) {
		const struct edg_run *run =
			&g_array_index(request->runs, struct edg_run, i);

		live += !flt_has_ended(run->target, now) &&
			run->target->started_at == run->started_at;
	}
	return live;
}

void edg_fail(struct edg_request *request)
{
	if (!edg_may_have_run(request)) {
		edg_refuse_not_run(
			request, edg_return_time(request, OVERLOADED_RETRY_MS),
			"no_target", "no target accepted the request");
		return;
	}
	edg_refuse(request, 502, "target_failed",
		   "no valid answer from the target");
}

void edg_deliver(struct edg_request *request)
{
	struct hsv_request *http = request->http;
	GString *headers = request->headers;
	GString *body = request->body;
	int status = request->status;

	request->headers = g_string_new(NULL);
	request->body = g_string_new(NULL);
	edg_log_request_end(request, "answered", status);
	edg_request_free(request);
	hsv_respond(http, status, headers->str, body->str, body->len);
	g_string_free(headers, TRUE);
	g_string_free(body, TRUE);
}

const char *edg_outcome_name(enum edg_outcome outcome)
{
	static const char *const names[] = {"answered", "not_sent", "not_run",
					    "failed", "unknown"};

	return names[outcome];
}
