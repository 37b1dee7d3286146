#include <string.h>

#include "daemon/srv_internal.h"

#define BYTES_PER_TOKEN 4 /* an estimate */
#define MAX_KEY_BYTES 256
#define MAX_TIMEOUT_MS (24 * CLK_HOUR)
#define CHAT_PATH "/v1/chat/completions"
#define SERVICES_PATH "/v1/services/"
#define REQUESTS_PATH "/v1/requests/"

char *srv_get_header(h2o_req_t *req, const char *name)
{
	ssize_t at =
		h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
	const h2o_iovec_t *value;

	if (at < 0)
		return NULL;
	value = &req->headers.entries[at].value;
	return g_strndup(value->base, value->len);
}

static void refuse(h2o_req_t *req, enum err_code code, const char *message)
{
	srv_send_error(req, code, ERR_RUN_NOT, err_http_status(code), 0,
		       message);
}

static void refuse_method(h2o_req_t *req, const char *allowed)
{
	h2o_add_header_by_str(&req->pool, &req->res.headers,
			      H2O_STRLIT("allow"), 0, NULL, allowed,
			      strlen(allowed));
	srv_send_error(req, ERR_BAD_REQUEST, ERR_RUN_NOT, 405, 0,
		       "the path does not support this method");
}

static bool is_method(h2o_req_t *req, const char *method)
{
	return h2o_memis(req->method.base, req->method.len, method,
			 strlen(method));
}

/* Refuses the request and returns false if the header is invalid. */
static bool read_timeout(h2o_req_t *req, clk_ms *timeout)
{
	char *text = srv_get_header(req, "x-request-timeout-ms");
	guint64 value = 0;
	bool ok;

	ok = !text || g_ascii_string_to_unsigned(text, 10, 1, MAX_TIMEOUT_MS,
						 &value, NULL);
	*timeout = (clk_ms)value;
	g_free(text);
	if (!ok)
		refuse(req, ERR_BAD_REQUEST,
		       "X-Request-Timeout-Ms: expected 1 to 86400000");
	return ok;
}

/* Printable ASCII without spaces, so that it can be sent in a header. */
static bool is_valid_key(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isgraph(*c))
			return false;
	return c != text && c - text <= MAX_KEY_BYTES;
}

static bool read_key(h2o_req_t *req, char **key)
{
	*key = srv_get_header(req, "idempotency-key");
	if (!*key || is_valid_key(*key))
		return true;
	g_free(*key);
	*key = NULL;
	refuse(req, ERR_BAD_KEY,
	       "Idempotency-Key: expected 1 to 256 printable characters");
	return false;
}

static void submit(struct srv_server *server, struct srv_call *call,
		   struct wf_call *core_call)
{
	core_call->id = call->id;
	core_call->org = call->org;
	if (server->sink)
		server->sink->ops->call(server->sink, core_call);
}

/* Chat completions */

static void submit_chat(struct srv_server *server, h2o_req_t *req,
			const char *org, const struct srv_chat *chat,
			struct wf_call *core_call)
{
	enum srv_response_format format =
		chat->stream ? SRV_FORMAT_SSE : SRV_FORMAT_CHAT;
	struct srv_call *call = srv_call_new(server, req, org, format);
	GArray *hashes = srv_chat_prefix_hashes(chat->prompt);
	size_t tokens = chat->prompt->len / BYTES_PER_TOKEN;

	call->model = g_strdup(chat->model);
	call->prompt_tokens = (unsigned)MAX(tokens, 1);
	core_call->kind = WF_CALL_MODEL;
	core_call->name = chat->model;
	core_call->prompt_tokens = call->prompt_tokens;
	core_call->max_tokens = chat->max_tokens;
	core_call->prefix_hashes = (const uint64_t *)hashes->data;
	core_call->n_prefix_hashes = hashes->len;
	core_call->body = g_bytes_new(chat->prompt->str, chat->prompt->len);
	submit(server, call, core_call);
	g_bytes_unref(core_call->body);
	g_array_unref(hashes);
}

static void on_chat(struct srv_server *server, h2o_req_t *req, const char *org)
{
	struct wf_call core_call = {.kind = WF_CALL_MODEL};
	struct srv_chat chat;
	GError *error = NULL;

	if (!read_timeout(req, &core_call.timeout))
		return;
	if (!srv_chat_parse(req->entity.base, req->entity.len, &chat, &error)) {
		refuse(req, (enum err_code)error->code, error->message);
		g_error_free(error);
		return;
	}
	submit_chat(server, req, org, &chat, &core_call);
	srv_chat_clear(&chat);
}

/* Services */

static bool is_valid_name(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return false;
	return c != text;
}

static void submit_service(struct srv_server *server, h2o_req_t *req,
			   const char *org, struct wf_call *core_call)
{
	struct srv_call *call = srv_call_new(server, req, org, SRV_FORMAT_RAW);

	core_call->kind = WF_CALL_SERVICE;
	core_call->body = g_bytes_new(req->entity.base, req->entity.len);
	submit(server, call, core_call);
	g_bytes_unref(core_call->body);
}

static void on_service(struct srv_server *server, h2o_req_t *req,
		       const char *org, const char *rest)
{
	char **parts = g_strsplit(rest, "/", 2);
	struct wf_call core_call = {.kind = WF_CALL_SERVICE};
	char *key = NULL;

	if (!is_valid_name(parts[0] ? parts[0] : "") ||
	    (parts[0] && parts[1] && !is_valid_name(parts[1]))) {
		refuse(req, ERR_NOT_FOUND, "no such service path");
	} else if (read_timeout(req, &core_call.timeout) &&
		   read_key(req, &key)) {
		core_call.name = parts[0];
		core_call.operation = parts[1];
		core_call.key = key;
		submit_service(server, req, org, &core_call);
	}
	g_free(key);
	g_strfreev(parts);
}

/* Cancelling */

static struct srv_call *find_call(struct srv_server *server, const char *org,
				  const char *request_id)
{
	struct srv_call *call;
	guint64 id;

	if (!g_str_has_prefix(request_id, server->id_prefix))
		return NULL;
	request_id += strlen(server->id_prefix);
	if (!g_ascii_string_to_unsigned(request_id, 10, 1, UINT64_MAX, &id,
					NULL))
		return NULL;
	call = g_hash_table_lookup(server->calls, &id);
	return call && !strcmp(call->org, org) ? call : NULL;
}

static void on_cancel(struct srv_server *server, h2o_req_t *req,
		      const char *org, const char *request_id)
{
	static const char body[] = "{\"cancelled\":true}";
	struct srv_call *call = find_call(server, org, request_id);

	if (!call) {
		refuse(req, ERR_NOT_FOUND,
		       "no running request has this id on this instance");
		return;
	}
	srv_call_cancel(call, ERR_CANCELLED, "cancelled on request");
	srv_send(req, 200, SRV_JSON_TYPE, body, strlen(body));
}

static void route(struct srv_server *server, h2o_req_t *req, const char *org,
		  const char *path)
{
	if (!strcmp(path, CHAT_PATH)) {
		if (is_method(req, "POST"))
			on_chat(server, req, org);
		else
			refuse_method(req, "POST");
	} else if (g_str_has_prefix(path, SERVICES_PATH)) {
		if (is_method(req, "POST"))
			on_service(server, req, org,
				   path + strlen(SERVICES_PATH));
		else
			refuse_method(req, "POST");
	} else if (g_str_has_prefix(path, REQUESTS_PATH)) {
		if (is_method(req, "DELETE"))
			on_cancel(server, req, org,
				  path + strlen(REQUESTS_PATH));
		else
			refuse_method(req, "DELETE");
	} else {
		refuse(req, ERR_NOT_FOUND, "no such path");
	}
}

int srv_on_caller_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct srv_server *server = srv_from_handler(handler);
	const char *org = srv_authenticate(server, req);
	char *path;

	ctr_add(server->counters, "wf_http_requests_total", 1);
	srv_note_request(server, req);
	if (!org) {
		refuse(req, ERR_UNAUTHENTICATED,
		       "a bearer token of a known organisation is required");
		return 0;
	}
	path = g_strndup(req->path_normalized.base, req->path_normalized.len);
	route(server, req, org, path);
	g_free(path);
	return 0;
}
