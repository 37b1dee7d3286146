#include <curl/curl.h>
#include <string.h>

#include "daemon/plat_http.h"

#define SERVICE_TIMEOUT_MS 30000
#define STATUS_TIMEOUT_MS 2000

static void on_reply(struct cli_handler *handler,
		     const struct cli_result *result)
{
	struct plat_request *request = (struct plat_request *)handler;
	struct wf_service_reply reply = {
		.op = request->op,
		.ok = result->ok,
		.sent = result->sent,
		.status = result->ok ? result->status : 0,
		.body = result->body,
		.error = result->error,
	};
	struct wf_event event = {.type = WF_EV_SERVICE_REPLY,
				 .service = &reply};

	plat_emit(request->http, &event);
}

static const struct cli_handler_ops call_ops = {NULL, on_reply,
						plat_request_drop};

static char *escape(const char *text)
{
	char *escaped = curl_easy_escape(NULL, text, 0);
	char *copy = g_strdup(escaped ? escaped : "");

	curl_free(escaped);
	return copy;
}

static void start_call(struct plat_http *http, const struct wf_action *action,
		       const char *operation)
{
	struct plat_request *request =
		plat_request_new(http, action, &call_ops);
	char *escaped = escape(operation);
	char *path = g_strconcat("/call/", escaped, NULL);
	char *key = g_strdup_printf("Idempotency-Key: %s",
				    action->key ? action->key : "");
	const char *headers[] = {"Content-Type: application/json",
				 action->key ? key : NULL, NULL};
	struct cli_spec spec = {
		.method = "POST",
		.address = action->address ? action->address : "",
		.path = path,
		.headers = headers,
		.body = action->body,
		.timeout = plat_timeout(action, SERVICE_TIMEOUT_MS),
		.fresh_connection = action->fresh_connection,
	};
	GBytes *empty = g_bytes_new_static("", 0);

	if (!spec.body)
		spec.body = empty;
	cli_start(http->client, &spec, &request->handler);
	g_bytes_unref(empty);
	g_free(key);
	g_free(path);
	g_free(escaped);
}

/* Without its operation a call must fail rather than run another one. */
static void reject_call(struct plat_http *http, const struct wf_action *action)
{
	struct wf_service_reply reply = {.op = action->op,
					 .error = ERR_INTERNAL};
	struct wf_event event = {.type = WF_EV_SERVICE_REPLY,
				 .service = &reply};

	plat_emit(http, &event);
}

void plat_service_call(struct plat_http *http, const struct wf_action *action,
		       const char *operation)
{
	if (operation)
		start_call(http, action, operation);
	else
		reject_call(http, action);
}

static bool read_done(const json_t *document, struct wf_status_reply *reply)
{
	const json_t *body = json_object_get(document, "body");
	uint64_t status;

	if (!json_is_string(body) ||
	    !plat_json_uint(document, "status", 599, &status) || status < 100)
		return false;
	reply->status = WF_STATUS_DONE;
	reply->http_status = (int)status;
	reply->body =
		g_bytes_new(json_string_value(body), json_string_length(body));
	return true;
}

/* The status is unknown unless the response is exactly as specified. */
static void read_status(const struct cli_result *result,
			struct wf_status_reply *reply)
{
	json_t *document = result->ok ? plat_parse_body(result) : NULL;
	const char *state = plat_json_text(document, "state", "");
	const char *type = document ? plat_error_type(document) : NULL;

	reply->status = WF_STATUS_UNKNOWN;
	if (result->status == 200 && !strcmp(state, "done"))
		read_done(document, reply);
	else if (result->status == 200 && !strcmp(state, "running"))
		reply->status = WF_STATUS_RUNNING;
	else if (result->status == 404 && type && !strcmp(type, "absent"))
		reply->status = WF_STATUS_ABSENT;
	json_decref(document);
}

static void on_status(struct cli_handler *handler,
		      const struct cli_result *result)
{
	struct plat_request *request = (struct plat_request *)handler;
	struct wf_status_reply reply = {.op = request->op};
	struct wf_event event = {.type = WF_EV_STATUS_REPLY, .status = &reply};

	read_status(result, &reply);
	plat_emit(request->http, &event);
	if (reply.body)
		g_bytes_unref(reply.body);
}

static const struct cli_handler_ops status_ops = {NULL, on_status,
						  plat_request_drop};

void plat_status_query(struct plat_http *http, const struct wf_action *action)
{
	struct plat_request *request =
		plat_request_new(http, action, &status_ops);
	char *key = escape(action->key ? action->key : "");
	char *path = g_strconcat("/status/", key, NULL);
	struct cli_spec spec = {
		.method = "GET",
		.address = action->address ? action->address : "",
		.path = path,
		.timeout = plat_timeout(action, STATUS_TIMEOUT_MS),
		.fresh_connection = action->fresh_connection,
		.may_resend = true,
	};

	cli_start(http->client, &spec, &request->handler);
	g_free(path);
	g_free(key);
}
