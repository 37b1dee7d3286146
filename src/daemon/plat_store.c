#include <string.h>

#include "daemon/plat_http.h"

/* The store normally replies in milliseconds. */
#define STORE_TIMEOUT_MS 2000
/* Added to the time-out of a watch for the round trip. */
#define WATCH_MARGIN_MS 2000
#define WATCH_TIMEOUT_MS 30000
/* Values are at most 1 MiB, but lists are longer. */
#define STORE_BODY_LIMIT ((size_t)16 << 20)

struct store_request {
	struct plat_request base;
	const char *method;
	char *path;
	char *condition; /* header line, NULL: none */
	GBytes *body;
	clk_ms timeout;
	size_t servers_left; /* not yet tried */
};

static bool is_write(const struct store_request *request)
{
	return request->base.type == WF_ACT_STORE_PUT ||
	       request->base.type == WF_ACT_STORE_DELETE;
}

static void emit_reply(struct store_request *request,
		       struct wf_store_reply *reply)
{
	struct wf_event event = {.type = WF_EV_STORE_REPLY, .store = reply};

	reply->op = request->base.op;
	plat_emit(request->base.http, &event);
}

/* The result for a response status other than 200. */
static enum wf_store_result
result_from_status(const struct store_request *request, int status)
{
	switch (status) {
	case 404:
		return WF_STORE_NOT_FOUND;
	case 412:
		return WF_STORE_CONFLICT;
	case 429:
	case 503:
		return WF_STORE_UNAVAILABLE;
	default:
		break;
	}
	if (status >= 400 && status < 500)
		return WF_STORE_REFUSED;
	/* Other errors, as of a gateway, leave the outcome of a write open. */
	return is_write(request) ? WF_STORE_UNKNOWN : WF_STORE_UNAVAILABLE;
}

static enum wf_store_result
result_from_error(const struct store_request *request,
		  const struct cli_result *result)
{
	if (result->sent && is_write(request))
		return WF_STORE_UNKNOWN;
	return WF_STORE_UNAVAILABLE;
}

static void reply_to_write(struct store_request *request,
			   const struct cli_result *result)
{
	struct wf_store_reply reply = {.result = WF_STORE_OK};
	json_t *document = plat_parse_body(result);

	if (!document ||
	    !plat_json_uint(document, "version", INT64_MAX, &reply.version)) {
		reply.result = WF_STORE_UNKNOWN;
		ctr_add(request->base.http->counters,
			"wf_store_bad_answers_total", 1);
	}
	json_decref(document);
	emit_reply(request, &reply);
}

static void reply_to_get(struct store_request *request,
			 const struct cli_result *result)
{
	struct wf_store_reply reply = {.result = WF_STORE_OK};

	reply.version = result->etag;
	reply.value = result->body;
	if (!result->etag) {
		reply.result = WF_STORE_UNAVAILABLE;
		reply.value = NULL;
		ctr_add(request->base.http->counters,
			"wf_store_bad_answers_total", 1);
	}
	emit_reply(request, &reply);
}

/* A deleted object has version 0, like one that never existed. */
static bool read_entry(const json_t *item, struct wf_store_entry *entry)
{
	entry->name = plat_json_text(item, "name", NULL);
	if (!entry->name)
		return false;
	if (!plat_json_uint(item, "version", INT64_MAX, &entry->version))
		return false;
	if (json_is_true(json_object_get(item, "deleted")))
		entry->version = WF_VERSION_ABSENT;
	return true;
}

static bool read_entries(const json_t *document, uint64_t *revision,
			 GArray *entries)
{
	const json_t *list = json_object_get(document, "objects");
	size_t i;

	if (!plat_json_uint(document, "revision", INT64_MAX, revision) ||
	    !json_is_array(list))
		return false;
	for (i = 0; i < json_array_size(list); i++) {
		struct wf_store_entry entry;

		if (!read_entry(json_array_get(list, i), &entry))
			return false;
		g_array_append_val(entries, entry);
	}
	return true;
}

static void reply_to_list(struct store_request *request,
			  const struct cli_result *result)
{
	struct wf_store_reply reply = {.result = WF_STORE_OK};
	GArray *entries =
		g_array_new(FALSE, FALSE, sizeof(struct wf_store_entry));
	json_t *document = plat_parse_body(result);

	if (document && read_entries(document, &reply.version, entries)) {
		reply.entries = (const struct wf_store_entry *)entries->data;
		reply.n_entries = entries->len;
	} else {
		reply.result = WF_STORE_UNAVAILABLE;
		ctr_add(request->base.http->counters,
			"wf_store_bad_answers_total", 1);
	}
	emit_reply(request, &reply);
	json_decref(document);
	g_array_unref(entries);
}

static void reply_to_success(struct store_request *request,
			     const struct cli_result *result)
{
	switch (request->base.type) {
	case WF_ACT_STORE_PUT:
	case WF_ACT_STORE_DELETE:
		reply_to_write(request, result);
		break;
	case WF_ACT_STORE_GET:
		reply_to_get(request, result);
		break;
	default:
		reply_to_list(request, result);
	}
}

static void start(struct store_request *request);

/* Copies the request, since the client drops the failed one. */
static void try_next_server(struct store_request *request)
{
	struct store_request *next = g_new0(struct store_request, 1);
	struct plat_http *http = request->base.http;

	*next = *request;
	next->base.target = g_strdup(request->base.target);
	next->base.address = g_strdup(request->base.address);
	next->path = g_strdup(request->path);
	next->condition = g_strdup(request->condition);
	next->body = request->body ? g_bytes_ref(request->body) : NULL;
	next->servers_left = request->servers_left - 1;
	http->object_api_index =
		(http->object_api_index + 1) % http->n_object_api;
	start(next);
}

static void on_done(struct cli_handler *handler,
		    const struct cli_result *result)
{
	struct store_request *request = (struct store_request *)handler;
	struct plat_http *http = request->base.http;
	struct wf_store_reply reply = {.version = 0};

	if (!result->ok && !result->sent && request->servers_left) {
		try_next_server(request);
		return;
	}
	if (result->ok && result->status == 200) {
		reply_to_success(request, result);
		return;
	}
	if (result->ok) {
		reply.result = result_from_status(request, result->status);
		reply.version = result->etag;
	} else {
		reply.result = result_from_error(request, result);
		http->object_api_index =
			(http->object_api_index + 1) % http->n_object_api;
	}
	emit_reply(request, &reply);
}

static void on_drop(struct cli_handler *handler)
{
	struct store_request *request = (struct store_request *)handler;

	g_free(request->path);
	g_free(request->condition);
	if (request->body)
		g_bytes_unref(request->body);
	plat_request_drop(handler);
}

static const struct cli_handler_ops store_ops = {NULL, on_done, on_drop};

static void start(struct store_request *request)
{
	struct plat_http *http = request->base.http;
	const char *headers[] = {"Content-Type: application/octet-stream",
				 request->condition, NULL};
	struct cli_spec spec = {
		.method = request->method,
		.address = http->object_api[http->object_api_index],
		.path = request->path,
		.headers = headers,
		.body = request->body,
		.timeout = request->timeout,
		.body_limit = STORE_BODY_LIMIT,
		.may_resend = !is_write(request),
	};

	cli_start(http->client, &spec, &request->base.handler);
}

static bool is_valid_name(const char *text)
{
	const char *c;

	for (c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return false;
	return true;
}

/* Splits "kind/name". The name in a list or watch may be empty (a prefix). */
static bool split_name(const char *full, bool may_be_empty, char **kind,
		       char **name)
{
	char **parts = g_strsplit(full ? full : "", "/", 2);
	bool ok = parts[0] && *parts[0] && is_valid_name(parts[0]);

	ok = ok && (parts[1] ? is_valid_name(parts[1]) : may_be_empty);
	ok = ok && (may_be_empty || *parts[1]);
	if (ok) {
		*kind = g_strdup(parts[0]);
		*name = g_strdup(parts[1] ? parts[1] : "");
	}
	g_strfreev(parts);
	return ok;
}

static char *watch_path(const struct wf_action *action, const char *kind,
			const char *prefix)
{
	return g_strdup_printf("/v1/watch/%s?prefix=%s&after=%" G_GUINT64_FORMAT
			       "&timeout_ms=%" G_GINT64_FORMAT,
			       kind, prefix, action->version,
			       (gint64)plat_timeout(action, WATCH_TIMEOUT_MS));
}

static char *make_path(const struct wf_action *action)
{
	bool lists = action->type == WF_ACT_STORE_LIST ||
		     action->type == WF_ACT_STORE_WATCH;
	char *kind;
	char *name;
	char *path;

	if (!split_name(action->name, lists, &kind, &name))
		return NULL;
	if (action->type == WF_ACT_STORE_WATCH)
		path = watch_path(action, kind, name);
	else
		path = g_strdup_printf("/v1/objects/%s%s%s", kind,
				       lists ? "?prefix=" : "/", name);
	g_free(kind);
	g_free(name);
	return path;
}

static char *make_condition(const struct wf_action *action)
{
	if (action->type == WF_ACT_STORE_PUT &&
	    action->version == WF_VERSION_ABSENT)
		return g_strdup("If-None-Match: *");
	return g_strdup_printf("If-Match: \"%" G_GUINT64_FORMAT "\"",
			       action->version);
}

static const char *method_of(enum wf_action_type type)
{
	if (type == WF_ACT_STORE_PUT)
		return "PUT";
	return type == WF_ACT_STORE_DELETE ? "DELETE" : "GET";
}

static clk_ms timeout_of(const struct wf_action *action)
{
	if (action->type == WF_ACT_STORE_WATCH)
		return plat_timeout(action, WATCH_TIMEOUT_MS) + WATCH_MARGIN_MS;
	return plat_timeout(action, STORE_TIMEOUT_MS);
}

static void set_write(struct store_request *request,
		      const struct wf_action *action)
{
	request->condition = make_condition(action);
	if (action->type != WF_ACT_STORE_PUT)
		return;
	request->body = action->body ? g_bytes_ref(action->body)
				     : g_bytes_new_static("", 0);
}

void plat_store_run(struct plat_http *http, const struct wf_action *action)
{
	struct store_request *request = g_new0(struct store_request, 1);

	request->base.handler.ops = &store_ops;
	request->base.http = http;
	request->base.type = action->type;
	request->base.op = action->op;
	request->method = method_of(action->type);
	request->timeout = timeout_of(action);
	request->servers_left = http->n_object_api - 1;
	if (is_write(request))
		set_write(request, action);
	request->path = make_path(action);
	if (!request->path) {
		struct wf_store_reply reply = {.result = WF_STORE_REFUSED};

		emit_reply(request, &reply);
		on_drop(&request->base.handler);
		return;
	}
	start(request);
}
