#include "server.h"
#include "server_priv.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* A response that is sent some time after the handler produced it. */
struct fk_delayed_reply {
	struct fk_call *call;
	int status;
	char *type;
	GBytes *body;
};

struct fk_call *fk_call_keep(struct fk_call *call)
{
	call->refs++;
	return call;
}

void fk_call_drop(struct fk_call *call)
{
	if (--call->refs > 0)
		return;
	g_free(call->method);
	g_free(call->path);
	g_free(call->query);
	g_free(call->body);
	if (call->stream)
		fk_stream_free(call->stream);
	g_free(call);
}

static void notify_client_gone(struct fk_call *call)
{
	void (*on_gone)(struct fk_call *, void *) = call->on_gone;

	call->on_gone = NULL;
	if (on_gone)
		on_gone(call, call->data);
}

/* Runs when h2o disposes of the request. */
static void on_dispose(void *data)
{
	struct fk_call *call = *(struct fk_call **)data;

	call->req = NULL;
	g_ptr_array_remove_fast(call->server->calls, call);
	notify_client_gone(call);
	fk_call_drop(call);
}

struct fk_call *fk_call_new(struct fk_server *server, h2o_req_t *req)
{
	struct fk_call *call = g_new0(struct fk_call, 1);
	size_t path_len =
		req->query_at == SIZE_MAX ? req->path.len : req->query_at;
	struct fk_call **guard;

	call->server = server;
	call->user = server->user;
	call->req = req;
	call->refs = 2;
	call->method = g_strndup(req->method.base, req->method.len);
	call->path = g_strndup(req->path.base, path_len);
	if (path_len < req->path.len)
		call->query = g_strndup(req->path.base + path_len + 1,
					req->path.len - path_len - 1);
	call->body = g_malloc(req->entity.len + 1);
	if (req->entity.len)
		memcpy(call->body, req->entity.base, req->entity.len);
	call->body[req->entity.len] = '\0';
	call->body_len = req->entity.len;
	guard = h2o_mem_alloc_shared(&req->pool, sizeof(struct fk_call *),
				     on_dispose);
	*guard = call;
	g_ptr_array_add(server->calls, call);
	return call;
}

char *fk_header(struct fk_call *call, const char *name)
{
	const h2o_headers_t *headers = &call->req->headers;
	size_t len = strlen(name);
	size_t i;

	for (i = 0; i < headers->size; i++) {
		const h2o_header_t *header = &headers->entries[i];

		if (header->name->len == len &&
		    !g_ascii_strncasecmp(header->name->base, name, len))
			return g_strndup(header->value.base, header->value.len);
	}
	return NULL;
}

char *fk_param(struct fk_call *call, const char *name)
{
	char **pairs = g_strsplit(call->query ? call->query : "", "&", -1);
	size_t len = strlen(name);
	char *value = NULL;
	int i;

	for (i = 0; pairs[i] && !value; i++)
		if (!strncmp(pairs[i], name, len) && pairs[i][len] == '=')
			value = g_uri_unescape_string(pairs[i] + len + 1, NULL);
	g_strfreev(pairs);
	return value;
}

int64_t fk_param_int(struct fk_call *call, const char *name, int64_t fallback)
{
	char *text = fk_param(call, name);
	int64_t value =
		text && *text ? g_ascii_strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}

json_t *fk_json_body(struct fk_call *call)
{
	json_error_t error;
	json_t *json = json_loadb(call->body, call->body_len, 0, &error);

	if (json_is_object(json))
		return json;
	json_decref(json);
	fk_reply_error(call, 400, "bad_json", "body is not a JSON object");
	return NULL;
}

void fk_add_header(struct fk_call *call, const char *name, const char *value)
{
	h2o_req_t *req = call->req;
	h2o_iovec_t copy;

	if (!req)
		return;
	copy = h2o_strdup(&req->pool, value, strlen(value));
	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
			      0, NULL, copy.base, copy.len);
}

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 304:
		return "Not Modified";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 412:
		return "Precondition Failed";
	case 429:
		return "Too Many Requests";
	case 503:
		return "Service Unavailable";
	default:
		return "Other";
	}
}

void fk_set_head(struct fk_call *call, int status, const char *type)
{
	h2o_req_t *req = call->req;

	req->res.status = status;
	req->res.reason = reason_phrase(status);
	if (type)
		h2o_add_header_by_str(&req->pool, &req->res.headers,
				      H2O_STRLIT("content-type"), 1, NULL, type,
				      strlen(type));
	call->answered = true;
}

static void no_proceed(h2o_generator_t *self, h2o_req_t *req)
{
	(void)self;
	(void)req;
}

/*
 * Sends the body under any content-length. A state other than final leaves the
 * response open.
 */
static void send_body(struct fk_call *call, const void *body, size_t len,
		      size_t declared, h2o_send_state_t state)
{
	static h2o_generator_t generator = {no_proceed, no_proceed};
	h2o_req_t *req = call->req;
	h2o_iovec_t copy = h2o_strdup(&req->pool, body, len);

	req->res.content_length = declared;
	h2o_start_response(req, &generator);
	h2o_send(req, &copy, 1, state);
}

/* Sends the response, followed by a second copy on the same connection. */
static void send_twice(struct fk_call *call, int status, const void *body,
		       size_t len)
{
	GString *both = g_string_new_len(body, (gssize)len);

	g_string_append_printf(both,
			       "HTTP/1.1 %d %s\r\ncontent-length: %zu\r\n\r\n",
			       status, reason_phrase(status), len);
	g_string_append_len(both, body, (gssize)len);
	send_body(call, both->str, both->len, len, H2O_SEND_STATE_FINAL);
	g_string_free(both, TRUE);
}

static void send_answer(struct fk_call *call, int status, const char *type,
			const void *body, size_t len)
{
	int64_t declared = (int64_t)len + call->fault.delta;

	fk_set_head(call, status, type);
	switch (call->fault.kind) {
	case FK_FAULT_CUT:
		call->req->http1_is_persistent = 0;
		send_body(call, body, len / 2, len ? len : 1,
			  H2O_SEND_STATE_FINAL);
		break;
	case FK_FAULT_HALF_OPEN:
		send_body(call, body, len / 2, len ? len : 1,
			  H2O_SEND_STATE_IN_PROGRESS);
		break;
	case FK_FAULT_WRONG_LENGTH:
		call->req->http1_is_persistent = 0;
		send_body(call, body, len, declared > 0 ? (size_t)declared : 0,
			  H2O_SEND_STATE_FINAL);
		break;
	case FK_FAULT_TWICE:
		send_twice(call, status, body, len);
		break;
	default:
		send_body(call, body, len, len, H2O_SEND_STATE_FINAL);
	}
}

static void delayed_reply_send(void *data)
{
	struct fk_delayed_reply *answer = data;
	size_t len;
	const void *body = g_bytes_get_data(answer->body, &len);

	if (answer->call->req)
		send_answer(answer->call, answer->status, answer->type, body,
			    len);
	fk_call_drop(answer->call);
	g_bytes_unref(answer->body);
	g_free(answer->type);
	g_free(answer);
}

static struct fk_delayed_reply *delayed_reply_new(struct fk_call *call,
						  int status, const char *type,
						  const void *body, size_t len)
{
	struct fk_delayed_reply *answer = g_new0(struct fk_delayed_reply, 1);

	answer->call = fk_call_keep(call);
	answer->status = status;
	answer->type = g_strdup(type);
	answer->body = g_bytes_new(body, len);
	call->answered = true;
	return answer;
}

/* Sends the responses that FK_FAULT_OUT_OF_ORDER holds back on this route. */
static void send_held_replies(struct fk_server *server,
			      const struct fk_call *call)
{
	unsigned i = 0;

	while (i < server->held->len) {
		struct fk_delayed_reply *answer = server->held->pdata[i];

		if (answer->call->route != call->route) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(server->held, i);
		delayed_reply_send(answer);
	}
}

void fk_reply(struct fk_call *call, int status, const char *type,
	      const void *body, size_t len)
{
	struct fk_server *server = call->server;

	if (!call->req || call->answered)
		return;
	call->on_gone = NULL;
	switch (call->fault.kind) {
	case FK_FAULT_LOST_ANSWER:
		fk_abort_call(call);
		break;
	case FK_FAULT_LATE:
		fk_after(&server->loop, (uint64_t)call->fault.ms,
			 delayed_reply_send,
			 delayed_reply_new(call, status, type, body, len));
		break;
	case FK_FAULT_OUT_OF_ORDER:
		g_ptr_array_add(
			server->held,
			delayed_reply_new(call, status, type, body, len));
		break;
	default:
		fk_call_keep(call);
		send_answer(call, status, type, body, len);
		send_held_replies(server, call);
		fk_call_drop(call);
	}
}

void fk_reply_json(struct fk_call *call, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	fk_reply(call, status, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
}

void fk_reply_error(struct fk_call *call, int status, const char *type,
		    const char *message)
{
	fk_reply_json(call, status,
		      json_pack("{s:{s:s,s:s}}", "error", "type", type,
				"message", message));
}

static int call_fd(const struct fk_call *call)
{
	h2o_conn_t *conn = call->req->conn;

	return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

void fk_abort_call(struct fk_call *call)
{
	if (!call->req)
		return;
	/* h2o closes the connection when its write fails. */
	shutdown(call_fd(call), SHUT_RDWR);
	call->on_gone = NULL;
	call->fault.kind = FK_FAULT_NONE;
	if (call->stream) {
		fk_stream_end(call);
		return;
	}
	call->req->http1_is_persistent = 0;
	if (!call->answered)
		send_answer(call, 503, NULL, "", 0);
}

static bool is_client_gone(const struct fk_call *call)
{
	char byte;
	ssize_t n = recv(call_fd(call), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno == ECONNRESET);
}

void fk_end_closed_calls(struct fk_server *server)
{
	GPtrArray *gone = g_ptr_array_new();
	unsigned i;

	for (i = 0; i < server->calls->len; i++) {
		struct fk_call *call = server->calls->pdata[i];

		if (is_client_gone(call))
			g_ptr_array_add(gone, fk_call_keep(call));
	}
	for (i = 0; i < gone->len; i++) {
		struct fk_call *call = gone->pdata[i];

		notify_client_gone(call);
		fk_abort_call(call);
		fk_call_drop(call);
	}
	g_ptr_array_unref(gone);
}
