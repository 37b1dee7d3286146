#include <string.h>

#include "daemon/cli_sse.h"
#include "daemon/plat_http.h"

/* A token event with its receipts is much smaller. */
#define STREAM_EVENT_LIMIT ((size_t)64 << 10)
/* A token has at most one receipt per layer of the model. */
#define MAX_RECEIPTS 1024
#define CANCEL_TIMEOUT_MS 2000
/* For streams whose action sets no time-out. */
#define IDLE_TIMEOUT_MS 60000

struct plat_stream {
	struct plat_request base;
	tbl_handle handle;
	struct cli_sse *parser;
	char *request_id;
	unsigned lineage;
	bool ended; /* its end or failure was reported */
};

static void emit_stream(struct plat_stream *stream,
			struct wf_stream_event *event)
{
	struct wf_event outer = {.type = WF_EV_STREAM, .stream = event};

	event->op = stream->base.op;
	if (event->what >= WF_STREAM_END)
		stream->ended = true;
	plat_emit(stream->base.http, &outer);
}

static void emit_failure(struct plat_stream *stream, enum err_code error,
			 const char *failed_target, clk_ms retry_after)
{
	struct wf_stream_event event = {
		.what = WF_STREAM_FAILED,
		.lineage = stream->lineage,
		.error = error,
		.failed_target = failed_target,
		.retry_after = retry_after,
	};

	if (!stream->ended)
		emit_stream(stream, &event);
}

static bool read_kind(const char *text, enum wf_step_kind *kind)
{
	if (!strcmp(text, "run"))
		*kind = WF_STEP_RUN;
	else if (!strcmp(text, "resumed"))
		*kind = WF_STEP_RESUMED;
	else if (!strcmp(text, "rebuilt"))
		*kind = WF_STEP_REBUILT;
	else
		return false;
	return true;
}

static bool read_receipt(const json_t *item, struct wf_receipt *receipt)
{
	uint64_t first;
	uint64_t last;

	receipt->target = plat_json_text(item, "target", NULL);
	if (!receipt->target ||
	    !plat_json_uint(item, "first_layer", UINT32_MAX, &first) ||
	    !plat_json_uint(item, "last_layer", UINT32_MAX, &last))
		return false;
	receipt->first_layer = (unsigned)first;
	receipt->last_layer = (unsigned)last;
	return read_kind(plat_json_text(item, "kind", ""), &receipt->kind);
}

static bool read_receipts(const json_t *list, GArray *receipts)
{
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > MAX_RECEIPTS)
		return false;
	for (i = 0; i < json_array_size(list); i++) {
		struct wf_receipt receipt;

		if (!read_receipt(json_array_get(list, i), &receipt))
			return false;
		g_array_append_val(receipts, receipt);
	}
	return true;
}

static bool process_token(struct plat_stream *stream, const json_t *document,
			  struct wf_stream_event *event)
{
	GArray *receipts = g_array_new(FALSE, FALSE, sizeof(struct wf_receipt));
	const json_t *text = json_object_get(document, "text");
	uint64_t position;
	bool ok;

	ok = json_is_string(text) &&
	     plat_json_uint(document, "position", UINT32_MAX, &position) &&
	     read_receipts(json_object_get(document, "receipts"), receipts);
	if (ok) {
		event->what = WF_STREAM_TOKEN;
		event->position = (unsigned)position;
		event->text = json_string_value(text);
		event->text_len = json_string_length(text);
		event->receipts = (const struct wf_receipt *)receipts->data;
		event->n_receipts = receipts->len;
		emit_stream(stream, event);
	}
	g_array_unref(receipts);
	return ok;
}

static bool process_end(struct plat_stream *stream, const json_t *document,
			struct wf_stream_event *event)
{
	event->what = WF_STREAM_END;
	event->reason = plat_json_text(document, "reason", NULL);
	if (!event->reason)
		return false;
	emit_stream(stream, event);
	return true;
}

/* Returns false if the event violates the protocol. */
static bool process_event(struct plat_stream *stream, const char *name,
			  const json_t *document)
{
	struct wf_stream_event event = {.what = WF_STREAM_ACCEPTED};
	uint64_t lineage;

	if (!plat_json_uint(document, "lineage", UINT32_MAX, &lineage))
		return false;
	event.lineage = (unsigned)lineage;
	if (!strcmp(name, "token"))
		return process_token(stream, document, &event);
	if (!strcmp(name, "end"))
		return process_end(stream, document, &event);
	if (!strcmp(name, "accepted")) {
		emit_stream(stream, &event);
		return true;
	}
	if (!strcmp(name, "error")) {
		const char *type = plat_json_text(document, "type", NULL);

		emit_failure(stream, plat_error_code(type),
			     plat_json_text(document, "target", NULL), 0);
		return true;
	}
	ctr_add(stream->base.http->counters, "wf_stream_unknown_events_total",
		1);
	return true;
}

/*
 * The core may cancel the stream while it handles an event, so the stream is
 * looked up again before each use.
 */
static bool on_event(void *user, const char *name, const char *data, size_t len)
{
	struct plat_stream *stream = user;
	struct plat_http *http = stream->base.http;
	uint64_t op = stream->base.op;
	json_t *document = json_loadb(data, len, 0, NULL);
	bool ok = json_is_object(document) &&
		  process_event(stream, name, document);

	json_decref(document);
	if (g_hash_table_lookup(http->streams, &op) != stream)
		return false;
	if (!ok)
		emit_failure(stream, ERR_PROTOCOL, stream->base.target, 0);
	return g_hash_table_lookup(http->streams, &op) == stream &&
	       !stream->ended;
}

static bool on_data(struct cli_handler *handler, const char *data, size_t len)
{
	struct plat_stream *stream = (struct plat_stream *)handler;
	struct plat_http *http = stream->base.http;
	struct cli_sse *parser = stream->parser;
	uint64_t op = stream->base.op;
	GError *error = NULL;

	if (stream->ended)
		return true;
	/* If the stream is cancelled meanwhile, the parser is freed here. */
	stream->parser = NULL;
	cli_sse_feed(parser, data, len, &error);
	if (g_hash_table_lookup(http->streams, &op) != stream) {
		cli_sse_drop(parser);
		g_clear_error(&error);
		return true;
	}
	stream->parser = parser;
	if (error)
		emit_failure(stream, ERR_PROTOCOL, stream->base.target, 0);
	g_clear_error(&error);
	return true;
}

static void report_refusal(struct plat_stream *stream,
			   const struct cli_result *result)
{
	json_t *document = plat_parse_body(result);
	const char *type = document ? plat_error_type(document) : NULL;
	const json_t *error = json_object_get(document, "error");
	const char *target =
		plat_json_text(error, "target", stream->base.target);

	emit_failure(stream, plat_error_code(type), target,
		     result->retry_after);
	json_decref(document);
}

static void on_done(struct cli_handler *handler,
		    const struct cli_result *result)
{
	struct plat_stream *stream = (struct plat_stream *)handler;

	if (stream->ended)
		return;
	if (result->ok && result->status != 200)
		report_refusal(stream, result);
	else
		emit_failure(stream,
			     result->ok ? ERR_TARGET_LOST : result->error,
			     stream->base.target, 0);
}

static void on_drop(struct cli_handler *handler)
{
	struct plat_stream *stream = (struct plat_stream *)handler;
	struct plat_http *http = stream->base.http;

	if (g_hash_table_lookup(http->streams, &stream->base.op) == stream)
		g_hash_table_remove(http->streams, &stream->base.op);
	cli_sse_drop(stream->parser);
	g_free(stream->request_id);
	plat_request_drop(handler);
}

static const struct cli_handler_ops stream_ops = {on_data, on_done, on_drop};

static const char *kv_name(enum wf_kv_mode kv)
{
	switch (kv) {
	case WF_KV_HELD:
		return "held";
	case WF_KV_IMPORT:
		return "import";
	case WF_KV_REBUILD:
		return "rebuild";
	case WF_KV_FRESH:
		break;
	}
	return "fresh";
}

static json_t *chain_to_json(const GArray *chain)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; chain && i < chain->len; i++) {
		const struct wf_stage *stage =
			&g_array_index(chain, struct wf_stage, i);

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:I,s:I,s:s,s:s}", "target",
				  stage->target, "address", stage->address,
				  "first_layer", (json_int_t)stage->first_layer,
				  "last_layer", (json_int_t)stage->last_layer,
				  "kv", kv_name(stage->kv), "kv_source",
				  stage->kv_source ? stage->kv_source : ""));
	}
	return list;
}

static void set_text(json_t *document, const char *key, const char *text,
		     size_t len)
{
	char *valid = g_utf8_make_valid(text ? text : "", (gssize)len);

	json_object_set_new(document, key, json_string(valid));
	g_free(valid);
}

static json_t *generate_to_json(const struct plat_stream *stream,
				const struct wf_action *action)
{
	json_t *document = json_object();
	gsize len = 0;
	const char *prompt = NULL;

	if (action->body)
		prompt = g_bytes_get_data(action->body, &len);
	set_text(document, "request", stream->request_id,
		 strlen(stream->request_id));
	json_object_set_new(document, "lineage", json_integer(action->lineage));
	set_text(document, "model", action->model,
		 action->model ? strlen(action->model) : 0);
	set_text(document, "prompt", prompt, len);
	json_object_set_new(document, "max_tokens",
			    json_integer(action->max_tokens));
	json_object_set_new(document, "priority",
			    json_integer(action->priority));
	json_object_set_new(document, "start_position",
			    json_integer(action->start_position));
	set_text(document, "delivered", action->delivered,
		 action->delivered ? strlen(action->delivered) : 0);
	json_object_set_new(document, "chain", chain_to_json(action->chain));
	return document;
}

static char *request_id(const struct plat_http *http,
			const struct wf_action *action)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
			       http->self, http->incarnation, action->call_id);
}

/* The action's address, or else that of the chain's first engine. */
static const char *first_engine_address(const struct wf_action *action)
{
	if (action->address || !action->chain || !action->chain->len)
		return action->address ? action->address : "";
	return g_array_index(action->chain, struct wf_stage, 0).address;
}

void plat_stream_open(struct plat_http *http, const struct wf_action *action)
{
	struct plat_stream *stream = g_new0(struct plat_stream, 1);
	struct cli_spec spec = {
		.path = "/v1/generate",
		.address = first_engine_address(action),
		.idle_timeout = plat_timeout(action, IDLE_TIMEOUT_MS),
		.fresh_connection = action->fresh_connection,
		.may_resend = true,
	};

	stream->base.handler.ops = &stream_ops;
	stream->base.http = http;
	stream->base.type = action->type;
	stream->base.op = action->op;
	stream->base.target = g_strdup(action->target);
	stream->base.address = g_strdup(spec.address);
	stream->lineage = action->lineage;
	stream->request_id = request_id(http, action);
	stream->parser = cli_sse_new(STREAM_EVENT_LIMIT, on_event, stream);
	g_hash_table_replace(http->streams, &stream->base.op, stream);
	stream->handle =
		plat_post_json(http, &spec, generate_to_json(stream, action),
			       &stream->base.handler);
}

static const struct cli_handler_ops cancel_ops = {NULL, NULL,
						  plat_request_drop};

static void send_cancel(struct plat_http *http, const struct wf_action *action,
			const char *address, const char *id, unsigned lineage)
{
	struct plat_request *request =
		plat_request_new(http, action, &cancel_ops);
	struct cli_spec spec = {
		.path = "/v1/cancel",
		.address = address,
		.timeout = CANCEL_TIMEOUT_MS,
		.may_resend = true,
	};

	plat_post_json(http, &spec,
		       json_pack("{s:s,s:I}", "request", id, "lineage",
				 (json_int_t)lineage),
		       &request->handler);
}

void plat_stream_cancel(struct plat_http *http, const struct wf_action *action)
{
	struct plat_stream *stream =
		g_hash_table_lookup(http->streams, &action->op);
	char *id;

	if (stream) {
		send_cancel(http, action, stream->base.address,
			    stream->request_id, stream->lineage);
		g_hash_table_remove(http->streams, &action->op);
		cli_cancel(http->client, stream->handle);
		return;
	}
	if (!action->address)
		return;
	id = request_id(http, action);
	send_cancel(http, action, action->address, id, action->lineage);
	g_free(id);
}
