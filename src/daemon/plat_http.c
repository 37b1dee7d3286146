#include <string.h>

#include "daemon/plat_http.h"

struct error_type {
	const char *name;
	enum err_code code;
};

static const struct error_type error_types[] = {
	{"stage_lost", ERR_TARGET_LOST}, {"overloaded", ERR_OVERLOADED},
	{"kv_missing", ERR_NOT_FOUND},	 {"fenced", ERR_FENCED},
	{"leaving", ERR_DRAINING},	 {"bad_sender", ERR_FORBIDDEN},
};

enum err_code plat_error_code(const char *type)
{
	size_t i;

	for (i = 0; type && i < G_N_ELEMENTS(error_types); i++)
		if (!strcmp(type, error_types[i].name))
			return error_types[i].code;
	return ERR_TARGET_REFUSED;
}

struct plat_request *plat_request_new(struct plat_http *http,
				      const struct wf_action *action,
				      const struct cli_handler_ops *ops)
{
	struct plat_request *request = g_new0(struct plat_request, 1);

	request->handler.ops = ops;
	request->http = http;
	request->type = action->type;
	request->op = action->op;
	request->target = g_strdup(action->target);
	request->address = g_strdup(action->address);
	return request;
}

void plat_request_drop(struct cli_handler *handler)
{
	struct plat_request *request = (struct plat_request *)handler;

	g_free(request->target);
	g_free(request->address);
	g_free(request);
}

tbl_handle plat_post_json(struct plat_http *http, struct cli_spec *spec,
			  json_t *document, struct cli_handler *handler)
{
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	char *text = json_dumps(document, JSON_COMPACT);
	tbl_handle handle;

	json_decref(document);
	/* json_dumps() fails on invalid UTF-8. */
	if (!text)
		text = strdup("{}");
	spec->method = "POST";
	spec->headers = headers;
	spec->body = g_bytes_new_with_free_func(text, strlen(text), free, text);
	handle = cli_start(http->client, spec, handler);
	g_bytes_unref(spec->body);
	spec->body = NULL;
	return handle;
}

void plat_emit(struct plat_http *http, const struct wf_event *event)
{
	http->sink->ops->event(http->sink, event);
}

json_t *plat_parse_body(const struct cli_result *result)
{
	gsize len;
	const char *data;
	json_t *document;

	if (!result->body)
		return NULL;
	data = g_bytes_get_data(result->body, &len);
	document = json_loadb(data ? data : "", len, 0, NULL);
	if (document && !json_is_object(document)) {
		json_decref(document);
		return NULL;
	}
	return document;
}

bool plat_json_uint(const json_t *object, const char *key, uint64_t max,
		    uint64_t *out)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number;

	if (!json_is_integer(value))
		return false;
	number = json_integer_value(value);
	if (number < 0 || (uint64_t)number > max)
		return false;
	*out = (uint64_t)number;
	return true;
}

const char *plat_json_text(const json_t *object, const char *key,
			   const char *fallback)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : fallback;
}

const char *plat_error_type(const json_t *document)
{
	return plat_json_text(json_object_get(document, "error"), "type", NULL);
}

clk_ms plat_timeout(const struct wf_action *action, clk_ms fallback)
{
	return action->timeout > 0 ? action->timeout : fallback;
}

bool plat_runs_action(enum wf_action_type type)
{
	switch (type) {
	case WF_ACT_STREAM_OPEN:
	case WF_ACT_STREAM_CANCEL:
	case WF_ACT_SERVICE_CALL:
	case WF_ACT_STATUS_QUERY:
	case WF_ACT_STORE_GET:
	case WF_ACT_STORE_PUT:
	case WF_ACT_STORE_DELETE:
	case WF_ACT_STORE_LIST:
	case WF_ACT_STORE_WATCH:
	case WF_ACT_FETCH_INSTANCES:
	case WF_ACT_POLL_TARGET:
	case WF_ACT_ORDER:
		return true;
	default:
		return false;
	}
}

static void http_run(struct plat *plat, const struct wf_action *action,
		     const char *operation)
{
	struct plat_http *http = (struct plat_http *)plat;

	switch (action->type) {
	case WF_ACT_STREAM_OPEN:
		plat_stream_open(http, action);
		break;
	case WF_ACT_STREAM_CANCEL:
		plat_stream_cancel(http, action);
		break;
	case WF_ACT_SERVICE_CALL:
		plat_service_call(http, action, operation);
		break;
	case WF_ACT_STATUS_QUERY:
		plat_status_query(http, action);
		break;
	case WF_ACT_FETCH_INSTANCES:
		plat_instances_fetch(http, action);
		break;
	case WF_ACT_POLL_TARGET:
		plat_target_poll(http, action);
		break;
	case WF_ACT_ORDER:
		plat_order_run(http, action);
		break;
	default:
		plat_store_run(http, action);
	}
}

static void http_drop(struct plat *plat)
{
	struct plat_http *http = (struct plat_http *)plat;

	g_hash_table_destroy(http->streams);
	g_hash_table_destroy(http->targets);
	g_strfreev(http->object_api);
	g_free(http->instance_list);
	g_free(http->self);
	ctr_drop(http->counters);
	g_free(http);
}

static const struct plat_ops http_ops = {http_run, http_drop};

struct plat *plat_http_new(const struct plat_config *config)
{
	struct plat_http *http = g_new0(struct plat_http, 1);
	size_t i;

	http->plat.ops = &http_ops;
	http->client = config->client;
	http->sink = config->sink;
	http->counters = ctr_keep(config->counters);
	http->self = g_strdup(config->self);
	http->incarnation = config->incarnation;
	http->object_api = g_new0(char *, config->n_object_api + 1);
	http->n_object_api = config->n_object_api;
	for (i = 0; i < config->n_object_api; i++)
		http->object_api[i] = g_strdup(config->object_api[i]);
	http->instance_list = g_strdup(config->instance_list);
	http->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
	http->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return &http->plat;
}
