#include <stdlib.h>
#include <string.h>

#include "edge/edg_private.h"

/* Longest attempt id that is accepted. */
#define MAX_ID_CHARS 256
/* Used if neither caller nor route sets a time limit. */
#define DEFAULT_DEADLINE_MS 30000
#define MAX_DEADLINE_MS (10 * CLK_MINUTE)
/* For requests that arrive before there is a fresh configuration. */
#define NOT_READY_RETRY_MS 500
/* The caller's next connection reaches another instance. */
#define STOPPING_RETRY_MS 50

struct edg_request *edg_request_keep(struct edg_request *request)
{
	request->refs++;
	return request;
}

void edg_request_drop(struct edg_request *request)
{
	if (!--request->refs)
		g_free(request);
}

static void on_handle_closed(uv_handle_t *handle)
{
	edg_request_drop(handle->data);
}

static void clear_run(void *run)
{
	flt_target_drop(((struct edg_run *)run)->target);
}

void edg_request_free(struct edg_request *request)
{
	if (request->is_freed)
		return;
	request->is_freed = true;
	if (request->http)
		request->http->user = NULL;
	edg_stop_holding(request);
	edg_stop_waiting(request);
	edg_move_ended(request, "ended");
	tko_drop(request, "request_ended");
	edg_release_send(request);
	edg_end_probe(request);
	g_hash_table_remove(request->edge->requests, request);
	g_ptr_array_unref(request->tried_targets);
	g_array_unref(request->runs);
	request->edge->buffered_bytes -= request->buffered;
	g_string_free(request->headers, TRUE);
	g_string_free(request->body, TRUE);
	evs_clear(&request->splitter);
	g_free(request->failed_address);
	g_free(request->stream_type);
	g_free(request->parts);
	g_free(request->id);
	cat_drop(request->catalog);
	uv_close((uv_handle_t *)&request->timer, on_handle_closed);
	uv_close((uv_handle_t *)&request->pause_timer, on_handle_closed);
}

static void answer_error(struct edg_request *request, int status,
			 clk_ms retry_after, const char *type,
			 const char *message)
{
	struct hsv_request *http = request->http;
	GString *headers = g_string_new("Content-Type: application/json\r\n");
	char *body;

	if (request->id)
		hdr_write(headers, request->edge->fields->attempt_id,
			  request->id);
	if (retry_after > 0)
		g_string_append_printf(headers, "Retry-After: %.2f\r\n",
				       (double)retry_after / CLK_SECOND);
	body = hsv_error_body(type, message);
	edg_log_request_end(request, type, status);
	edg_request_free(request);
	hsv_respond(http, status, headers->str, body, strlen(body));
	g_string_free(headers, TRUE);
	g_free(body);
}

void edg_refuse(struct edg_request *request, int status, const char *type,
		const char *message)
{
	answer_error(request, status, 0, type, message);
}

void edg_refuse_not_run(struct edg_request *request, clk_ms retry_after,
			const char *type, const char *message)
{
	answer_error(request, 503, retry_after, type, message);
}

clk_ms edg_remaining_time(const struct edg_request *request)
{
	return request->deadline - edg_now(request->edge);
}

void edg_cut_answer(struct edg_request *request, const char *outcome)
{
	struct hsv_request *http = request->http;

	edg_count_cut_answer(request, request->exchange != NULL);
	edg_log_request_end(request, outcome, request->status);
	edg_request_free(request);
	hsv_abort(http);
}

static bool was_sent(const struct edg_request *request)
{
	return request->exchange || edg_may_have_run(request);
}

void edg_refuse_stopping(struct edg_request *request)
{
	if (was_sent(request))
		edg_refuse(request, 502, "stopping",
			   "the instance stopped before the answer came");
	else
		edg_refuse_not_run(request, STOPPING_RETRY_MS, "stopping",
				   "the instance is stopping");
}

static void on_deadline(uv_timer_t *timer)
{
	struct edg_request *request = timer->data;

	if (request->is_freed)
		return;
	if (request->is_answer_started)
		edg_cut_answer(request, "deadline_in_stream");
	else if (was_sent(request))
		edg_refuse(request, 504, "deadline",
			   "no answer before the deadline of the request");
	else
		edg_refuse_not_run(
			request, 0, "deadline",
			"deadline passed before the request was sent");
}

static bool read_number(const char *text, double max, double *out)
{
	char *end;

	if (!text || !g_ascii_isdigit(*text))
		return false;
	*out = g_ascii_strtod(text, &end);
	return !*end && *out <= max;
}

/* Sets the deadline to the earlier of the caller's and the route's. */
static bool set_deadline(struct edg_request *request)
{
	const struct edg_header_names *fields = request->edge->fields;
	const char *text =
		hdr_get(&request->http->headers, fields->remaining_ms);
	clk_ms limit = request->route->timeout ? request->route->timeout
					       : DEFAULT_DEADLINE_MS;
	double stated;

	if (text && !read_number(text, (double)MAX_DEADLINE_MS, &stated))
		return false;
	if (text)
		limit = MIN(limit, (clk_ms)stated);
	request->deadline = request->started + limit;
	uv_timer_start(&request->timer, on_deadline,
		       (uint64_t)MAX(edg_remaining_time(request), 1), 0);
	return true;
}

/* Returns the key of the authentication field, or NULL. Borrowed. */
static const char *find_key(const struct edg_request *request)
{
	const struct edg_header_names *fields = request->edge->fields;
	const char *value =
		hdr_get(&request->http->headers, fields->authorization);
	size_t len = strlen(fields->key_scheme);

	if (!value || g_ascii_strncasecmp(value, fields->key_scheme, len) ||
	    value[len] != ' ')
		return NULL;
	while (value[len] == ' ')
		len++;
	return value + len;
}

/* Finds the organisation; answers and returns false if the key is refused. */
static bool authenticate(struct edg_request *request)
{
	const char *key = find_key(request);

	if (!cat_needs_keys(request->catalog))
		return true;
	if (key)
		request->org = cat_find_org(request->catalog, key);
	if (request->route->is_public)
		return true;
	if (!edg_is_catalog_fresh(request->edge)) {
		edg_refuse_not_run(request, NOT_READY_RETRY_MS,
				   "config_too_old",
				   "configuration too old to check keys");
		return false;
	}
	if (!request->org) {
		edg_refuse(request, 401, "unauthenticated",
			   key ? "unknown API key" : "an API key is required");
		return false;
	}
	return true;
}

static bool find_route(struct edg_request *request)
{
	const struct hdr_list *headers = &request->http->headers;

	request->route = cat_find_route(
		request->catalog, hdr_get(headers, "Host"), request->http->url);
	if (request->route)
		return true;
	if (edg_is_catalog_fresh(request->edge))
		edg_refuse(request, 404, "no_route", "no route matches");
	else
		edg_refuse_not_run(request, NOT_READY_RETRY_MS,
				   "config_too_old",
				   "configuration too old to check routes");
	return false;
}

static bool has_valid_id(const struct edg_request *request)
{
	const char *id = hdr_get(&request->http->headers,
				 request->edge->fields->attempt_id);

	return id && *id && strlen(id) <= MAX_ID_CHARS && hdr_is_token(id) &&
	       hdr_count(&request->http->headers,
			 request->edge->fields->attempt_id) == 1;
}

static struct edg_request *request_new(struct edg_edge *edge,
				       struct hsv_request *http)
{
	struct edg_request *request = g_new0(struct edg_request, 1);
	const char *id = hdr_get(&http->headers, edge->fields->attempt_id);

	request->edge = edge;
	request->http = http;
	request->started = edg_now(edge);
	request->id = g_strdup(id ? id : "");
	request->runs = g_array_new(FALSE, FALSE, sizeof(struct edg_run));
	g_array_set_clear_func(request->runs, clear_run);
	request->tried_targets =
		g_ptr_array_new_with_free_func((GDestroyNotify)flt_target_drop);
	request->headers = g_string_new(NULL);
	request->body = g_string_new(NULL);
	evs_init(&request->splitter);
	uv_timer_init(edge->loop, &request->timer);
	uv_timer_init(edge->loop, &request->pause_timer);
	request->timer.data = request;
	request->pause_timer.data = request;
	request->refs = 2;
	http->user = request;
	g_hash_table_add(edge->requests, request);
	return request;
}

static bool choose_service(struct edg_request *request)
{
	const char *name = cat_choose_service(request->route,
					      g_rand_int(request->edge->rand));

	request->service = cat_find_service(request->catalog, name);
	if (request->service)
		return true;
	edg_refuse_not_run(request, NOT_READY_RETRY_MS, "no_service",
			   "the route's service is not configured");
	return false;
}

void edg_start_request(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;

	request->catalog = cat_keep(edge->catalog);
	if (!has_valid_id(request)) {
		edg_refuse(request, 400, "bad_request",
			   "exactly one valid attempt id is required");
		return;
	}
	if (!edge->catalog) {
		edg_refuse_not_run(request, NOT_READY_RETRY_MS, "not_ready",
				   "no configuration has been loaded yet");
		return;
	}
	if (!find_route(request) || !authenticate(request))
		return;
	if (!set_deadline(request)) {
		edg_refuse(request, 400, "bad_request",
			   "the remaining time is not a number of milliseconds"
			   " up to 600000");
		return;
	}
	/* The end of the drain would cut the stream. */
	if (edg_is_drain_over(edge) ||
	    (request->route->is_stream && edg_is_closing(edge))) {
		edg_refuse_stopping(request);
		return;
	}
	if (!choose_service(request))
		return;
	rty_deposit(edg_retry_budget(edge, request->service->name));
	if (request->route->is_stream)
		edg_start_stream(request);
	else
		edg_start_plain(request);
}

void edg_accept_request(void *user, struct hsv_request *http)
{
	edg_start_in_turn(request_new(user, http));
}

void edg_caller_gone(void *user, struct hsv_request *http)
{
	struct edg_request *request = http->user;

	(void)user;
	if (!request)
		return;
	edg_log_request_end(request, "caller_left", request->status);
	request->http = NULL;
	edg_request_free(request);
}
