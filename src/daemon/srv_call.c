#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "daemon/srv_internal.h"

#define HTTP2_VERSION 0x200
/* Of a completion sent as one document; far above what a model produces. */
#define MAX_COMPLETION_BYTES ((size_t)8 << 20)

char *srv_call_request_id(const struct srv_call *call)
{
	return g_strdup_printf("%s%" G_GUINT64_FORMAT, call->server->id_prefix,
			       call->id);
}

/* Sending */

static void flush(struct srv_call *call)
{
	GString *filled = call->unsent;
	h2o_iovec_t piece;
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;

	if (!call->started || call->is_sending || call->final_sent)
		return;
	if (!filled->len && !call->finished)
		return;
	call->unsent = call->sending;
	call->sending = filled;
	g_string_truncate(call->unsent, 0);
	call->is_sending = true;
	call->sent_at = uv_now(call->server->loop);
	if (call->finished) {
		state = H2O_SEND_STATE_FINAL;
		call->final_sent = true;
	}
	piece = h2o_iovec_init(filled->str, filled->len);
	h2o_send(call->req, &piece, filled->len ? 1 : 0, state);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct srv_call *call = (struct srv_call *)generator;

	(void)req;
	call->is_sending = false;
	flush(call);
}

/* h2o disposes of the request next, and on_dispose() ends the call. */
static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	(void)generator;
	(void)req;
}

static void add_request_id(struct srv_call *call)
{
	char *id = srv_call_request_id(call);
	h2o_iovec_t copy = h2o_strdup(&call->req->pool, id, SIZE_MAX);

	h2o_add_header_by_str(&call->req->pool, &call->req->res.headers,
			      H2O_STRLIT("x-request-id"), 0, NULL, copy.base,
			      copy.len);
	g_free(id);
}

static void start_stream(struct srv_call *call)
{
	h2o_req_t *req = call->req;

	req->res.status = 200;
	req->res.reason = "OK";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("text/event-stream"));
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CACHE_CONTROL,
		       NULL, H2O_STRLIT("no-cache"));
	call->generator.proceed = on_proceed;
	call->generator.stop = on_stop;
	call->started = true;
	h2o_start_response(req, &call->generator);
}

/* End of a call */

/* Accepts no further replies; h2o may still be sending the response. */
static void finish(struct srv_call *call)
{
	call->finished = true;
	g_hash_table_remove(call->server->calls, &call->id);
	srv_watch_drop(call->watch);
	call->watch = NULL;
}

/* A response sent as one piece counts as in transit until on_dispose(). */
static void mark_final(struct srv_call *call)
{
	call->final_sent = true;
	call->is_sending = true;
	call->sent_at = uv_now(call->server->loop);
}

static void send_body(struct srv_call *call, int status, const char *body,
		      size_t len)
{
	finish(call);
	mark_final(call);
	srv_send(call->req, status, SRV_JSON_TYPE, body, len);
}

static void send_error(struct srv_call *call, enum err_code code,
		       enum err_run run, int status, clk_ms retry_after,
		       const char *message)
{
	char *body;

	ctr_add(call->server->counters, "wf_caller_errors_total", 1);
	finish(call);
	if (!call->started) {
		mark_final(call);
		srv_send_error(call->req, code, run, status, retry_after,
			       message);
		return;
	}
	body = srv_error_body(err_name(code), run, message);
	srv_append_error(call->unsent, body);
	g_free(body);
	call->req->http1_is_persistent = 0;
	flush(call);
}

void srv_call_cancel(struct srv_call *call, enum err_code code,
		     const char *message)
{
	struct srv_server *server = call->server;
	uint64_t id = call->id;

	send_error(call, code, ERR_RUN_UNKNOWN, err_http_status(code), 0,
		   message);
	if (server->sink)
		server->sink->ops->caller_gone(server->sink, id);
}

/* Drops the unsent events, which are of no use without the rest. */
static void cancel_slow_caller(struct srv_call *call)
{
	ctr_add(call->server->counters, "wf_slow_callers_total", 1);
	g_string_truncate(call->unsent, 0);
	srv_call_cancel(call, ERR_CANCELLED,
			"the caller reads too slowly for its stream");
}

static bool is_stalled(const struct srv_call *call)
{
	uint64_t now = uv_now(call->server->loop);

	return call->is_sending &&
	       now - call->sent_at >= (uint64_t)call->server->stall_limit;
}

/* Whether all calls on a connection are stalled (HTTP/2 has several). */
static bool is_connection_stalled(struct srv_server *server,
				  const h2o_conn_t *conn)
{
	GHashTableIter iter;
	gpointer call;

	g_hash_table_iter_init(&iter, server->undelivered);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		if (((struct srv_call *)call)->req->conn == conn &&
		    !is_stalled(call))
			return false;
	return true;
}

void srv_call_check_stall(struct srv_call *call)
{
	h2o_conn_t *conn = call->req->conn;

	if (!is_stalled(call))
		return;
	if (!call->finished)
		cancel_slow_caller(call);
	if (is_connection_stalled(call->server, conn))
		shutdown(h2o_socket_get_fd(conn->callbacks->get_socket(conn)),
			 SHUT_RDWR);
}

/* Replies of the core */

static void reply_token(struct srv_call *call, const struct wf_action *action)
{
	const char *text = action->text ? action->text : "";

	if (call->format == SRV_FORMAT_SSE) {
		if (!call->started)
			start_stream(call);
		srv_append_chunk(call, call->unsent, text);
		call->tokens++;
		if (call->is_sending &&
		    call->unsent->len > call->server->unsent_limit)
			cancel_slow_caller(call);
		else
			flush(call);
		return;
	}
	g_string_append(call->text, text);
	call->tokens++;
	if (call->text->len > MAX_COMPLETION_BYTES)
		srv_call_cancel(
			call, ERR_TOO_LARGE,
			"the completion exceeds 8 MiB; request a stream");
}

static void reply_end(struct srv_call *call, const struct wf_action *action)
{
	const char *reason = action->text ? action->text : "stop";
	char *body;

	if (call->format == SRV_FORMAT_SSE) {
		if (!call->started)
			start_stream(call);
		srv_append_last_chunk(call, call->unsent, reason);
		finish(call);
		flush(call);
		return;
	}
	body = srv_chat_completion(call, reason);
	send_body(call, 200, body, strlen(body));
	g_free(body);
}

static void reply_answer(struct srv_call *call, const struct wf_action *action)
{
	gsize len = 0;
	const char *data = NULL;

	if (action->body)
		data = g_bytes_get_data(action->body, &len);
	send_body(call, action->http_status ? action->http_status : 200,
		  data ? data : "", len);
}

static void reply_error(struct srv_call *call, const struct wf_action *action)
{
	int status = action->http_status ? action->http_status
					 : err_http_status(action->error);

	send_error(call, action->error, action->run, status,
		   action->retry_after, action->text ? action->text : "");
}

void srv_reply(struct srv_server *server, const struct wf_action *action)
{
	struct srv_call *call =
		g_hash_table_lookup(server->calls, &action->call_id);

	if (!call)
		return;
	switch (action->type) {
	case WF_ACT_REPLY_TOKEN:
		reply_token(call, action);
		break;
	case WF_ACT_REPLY_END:
		reply_end(call, action);
		break;
	case WF_ACT_REPLY_ANSWER:
		reply_answer(call, action);
		break;
	default:
		reply_error(call, action);
	}
}

/* Creation and disposal */

/* Allocated in the request's memory pool; calls on_dispose() at its end. */
struct call_slot {
	struct srv_call *call;
};

/* h2o disposes of the request, after its response or after a disconnect. */
static void on_dispose(void *data)
{
	struct srv_call *call = ((struct call_slot *)data)->call;
	struct srv_server *server = call->server;
	bool gone = !call->finished;
	uint64_t id = call->id;

	if (gone)
		finish(call);
	g_hash_table_remove(server->undelivered, call);
	g_free(call->org);
	g_free(call->model);
	g_string_free(call->text, TRUE);
	g_string_free(call->unsent, TRUE);
	g_string_free(call->sending, TRUE);
	g_free(call);
	if (gone)
		srv_report_gone(server, id);
}

struct srv_call *srv_call_new(struct srv_server *server, h2o_req_t *req,
			      const char *org, enum srv_response_format format)
{
	struct srv_call *call = g_new0(struct srv_call, 1);
	struct call_slot *slot =
		h2o_mem_alloc_shared(&req->pool, sizeof(*slot), on_dispose);

	slot->call = call;
	call->server = server;
	call->req = req;
	call->org = g_strdup(org);
	call->format = format;
	call->id = server->next_call++;
	call->created = (int64_t)time(NULL);
	call->text = g_string_new(NULL);
	call->unsent = g_string_new(NULL);
	call->sending = g_string_new(NULL);
	add_request_id(call);
	g_hash_table_replace(server->calls, &call->id, call);
	g_hash_table_add(server->undelivered, call);
	if (req->version < HTTP2_VERSION)
		call->watch = srv_watch_new(call);
	return call;
}

size_t srv_count_calls(const struct srv_server *server)
{
	return g_hash_table_size(server->calls);
}
