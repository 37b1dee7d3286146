#include <string.h>

#include "daemon/plat_http.h"

#define POLL_TIMEOUT_MS 1000
#define ORDER_TIMEOUT_MS 10000
/* The table is cleared at this size, to drop targets that were removed. */
#define MAX_TARGETS 16384
#define HASH_DIGITS 16

static struct plat_target *find_target(struct plat_http *http, const char *id)
{
	struct plat_target *target = g_hash_table_lookup(http->targets, id);

	if (target)
		return target;
	if (g_hash_table_size(http->targets) >= MAX_TARGETS)
		g_hash_table_remove_all(http->targets);
	target = g_new0(struct plat_target, 1);
	g_hash_table_insert(http->targets, g_strdup(id), target);
	return target;
}

/* Load reports */

static bool read_load(const json_t *document, struct wf_report *report)
{
	uint64_t running = 0;
	uint64_t queued = 0;
	uint64_t slots = 0;
	uint64_t blocks = 0;

	if (!plat_json_uint(document, "running", UINT32_MAX, &running) ||
	    !plat_json_uint(document, "queued", UINT32_MAX, &queued))
		return false;
	plat_json_uint(document, "slots", UINT32_MAX, &slots);
	plat_json_uint(document, "kv_free_blocks", UINT32_MAX, &blocks);
	report->reachable = true;
	report->leaving = json_is_true(json_object_get(document, "leaving"));
	report->running = (unsigned)running;
	report->queued = (unsigned)queued;
	report->slots = (unsigned)slots;
	report->kv_free_blocks = (unsigned)blocks;
	report->step_us =
		json_number_value(json_object_get(document, "step_us"));
	return true;
}

static void on_load(struct cli_handler *handler,
		    const struct cli_result *result)
{
	struct plat_request *request = (struct plat_request *)handler;
	struct wf_report report = {.target = request->target};
	struct wf_event event = {.type = WF_EV_REPORT, .report = &report};
	json_t *document = NULL;

	if (result->ok && result->status == 200)
		document = plat_parse_body(result);
	if (!document || !read_load(document, &report))
		ctr_add(request->http->counters, "wf_poll_failures_total", 1);
	json_decref(document);
	plat_emit(request->http, &event);
}

static const struct cli_handler_ops load_ops = {NULL, on_load,
						plat_request_drop};

/* Cache events */

static bool read_hashes(const json_t *list, GArray *hashes)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const char *text = json_string_value(json_array_get(list, i));
		guint64 hash;

		if (!text || strlen(text) != HASH_DIGITS ||
		    !g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, &hash,
						NULL))
			return false;
		g_array_append_val(hashes, hash);
	}
	return true;
}

static bool process_cache_event(struct plat_request *request,
				const json_t *item)
{
	GArray *added = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *removed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct wf_cache_event update = {.target = request->target};
	struct wf_event event = {.type = WF_EV_CACHE, .cache = &update};
	bool ok;

	ok = plat_json_uint(item, "seq", INT64_MAX, &update.seq) &&
	     read_hashes(json_object_get(item, "added"), added) &&
	     read_hashes(json_object_get(item, "removed"), removed);
	if (ok) {
		update.added = (const uint64_t *)added->data;
		update.n_added = added->len;
		update.removed = (const uint64_t *)removed->data;
		update.n_removed = removed->len;
		plat_emit(request->http, &event);
	}
	g_array_unref(added);
	g_array_unref(removed);
	return ok;
}

/* A sequence number without changes reports a gap or restart to the core. */
static void emit_cache_seq(struct plat_request *request, uint64_t seq)
{
	struct wf_cache_event update = {.target = request->target, .seq = seq};
	struct wf_event event = {.type = WF_EV_CACHE, .cache = &update};

	plat_emit(request->http, &event);
}

static void process_cache_events(struct plat_request *request,
				 const json_t *document)
{
	const json_t *list = json_object_get(document, "events");
	struct plat_target *target =
		find_target(request->http, request->target);
	uint64_t before = target->cache_seq;
	uint64_t seq;
	size_t i;

	if (!plat_json_uint(document, "seq", INT64_MAX, &seq)) {
		ctr_add(request->http->counters, "wf_cache_bad_events_total",
			1);
		return;
	}
	target->cache_seq = seq;
	if (!json_array_size(list) && seq != before)
		emit_cache_seq(request, seq);
	for (i = 0; i < json_array_size(list); i++)
		if (!process_cache_event(request, json_array_get(list, i)))
			ctr_add(request->http->counters,
				"wf_cache_bad_events_total", 1);
}

static void on_cache_events(struct cli_handler *handler,
			    const struct cli_result *result)
{
	struct plat_request *request = (struct plat_request *)handler;
	json_t *document;

	if (!result->ok)
		return;
	if (result->status == 404)
		find_target(request->http, request->target)->no_cache_events =
			true;
	if (result->status != 200)
		return;
	document = plat_parse_body(result);
	if (document)
		process_cache_events(request, document);
	json_decref(document);
}

static const struct cli_handler_ops cache_ops = {NULL, on_cache_events,
						 plat_request_drop};

static void send_get_request(struct plat_http *http,
			     const struct wf_action *action, const char *path,
			     const struct cli_handler_ops *ops)
{
	struct plat_request *request = plat_request_new(http, action, ops);
	struct cli_spec spec = {
		.method = "GET",
		.address = action->address ? action->address : "",
		.path = path,
		.timeout = plat_timeout(action, POLL_TIMEOUT_MS),
		.may_resend = true,
	};

	cli_start(http->client, &spec, &request->handler);
}

void plat_target_poll(struct plat_http *http, const struct wf_action *action)
{
	struct plat_target *target =
		find_target(http, action->target ? action->target : "");
	char *path;

	send_get_request(http, action, "/v1/load", &load_ops);
	if (target->no_cache_events)
		return;
	path = g_strdup_printf("/v1/cache-events?after=%" G_GUINT64_FORMAT,
			       target->cache_seq);
	send_get_request(http, action, path, &cache_ops);
	g_free(path);
}

/* Orders */

static enum err_code order_error(const struct cli_result *result)
{
	json_t *document;
	const char *type;
	enum err_code code;

	if (!result->ok)
		return result->sent ? ERR_OUTCOME_UNKNOWN : ERR_TARGET_FAILED;
	document = plat_parse_body(result);
	type = document ? plat_error_type(document) : NULL;
	code = plat_error_code(type);
	json_decref(document);
	if (code == ERR_TARGET_REFUSED && result->status >= 500)
		code = ERR_OUTCOME_UNKNOWN;
	return code;
}

static void on_order(struct cli_handler *handler,
		     const struct cli_result *result)
{
	struct plat_request *request = (struct plat_request *)handler;
	struct wf_order_reply reply = {.op = request->op};
	struct wf_event event = {.type = WF_EV_ORDER_REPLY, .order = &reply};

	reply.ok = result->ok && result->status == 200;
	if (!reply.ok)
		reply.error = order_error(result);
	plat_emit(request->http, &event);
}

static const struct cli_handler_ops order_ops = {NULL, on_order,
						 plat_request_drop};

static const char *order_argument(const struct wf_action *action)
{
	if (action->text)
		return action->text;
	if (action->name)
		return action->name;
	return action->model ? action->model : "";
}

void plat_order_run(struct plat_http *http, const struct wf_action *action)
{
	struct plat_request *request =
		plat_request_new(http, action, &order_ops);
	struct cli_spec spec = {
		.path = "/v1/orders",
		.address = action->address ? action->address : "",
		.timeout = plat_timeout(action, ORDER_TIMEOUT_MS),
	};

	plat_post_json(http, &spec,
		       json_pack("{s:I,s:s,s:s,s:s}", "fence",
				 (json_int_t)action->fence, "sender",
				 http->self, "order",
				 action->order ? action->order : "", "argument",
				 order_argument(action)),
		       &request->handler);
}
