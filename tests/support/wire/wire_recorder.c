#include <check.h>
#include <string.h>

#include "wire_recorder.h"

static void record_store(GString *text, const struct wf_store_reply *reply)
{
	static const char *const names[] = {
		"ok",	   "conflict",	  "not_found",
		"refused", "unavailable", "unknown",
	};
	gsize len = 0;
	size_t i;

	ck_assert(reply->op == WIRE_OP);
	g_string_append_printf(text, "%s %d", names[reply->result],
			       (int)reply->version);
	if (reply->value) {
		const char *data = g_bytes_get_data(reply->value, &len);

		g_string_append_printf(text, " value=%.*s", (int)len,
				       data ? data : "");
	}
	for (i = 0; i < reply->n_entries; i++)
		g_string_append_printf(text, " %s@%d", reply->entries[i].name,
				       (int)reply->entries[i].version);
}

static void record_stream(struct wire_recorder *recorder,
			  const struct wf_stream_event *event)
{
	GString *text = recorder->text;
	struct wf_action cancel = {.type = WF_ACT_STREAM_CANCEL, .op = WIRE_OP};
	size_t i;

	ck_assert(event->op == WIRE_OP);
	g_string_append_printf(text, "%d/%u", (int)event->what, event->lineage);
	if (event->what == WF_STREAM_TOKEN)
		g_string_append_printf(text, " %u \"%s\"", event->position,
				       event->text);
	for (i = 0; i < event->n_receipts; i++)
		g_string_append_printf(text, " %s:%u-%u:%d",
				       event->receipts[i].target,
				       event->receipts[i].first_layer,
				       event->receipts[i].last_layer,
				       (int)event->receipts[i].kind);
	if (event->what == WF_STREAM_END)
		g_string_append_printf(text, " %s", event->reason);
	if (event->what == WF_STREAM_FAILED)
		g_string_append_printf(
			text, " %s %s %d", err_name(event->error),
			event->failed_target ? event->failed_target : "-",
			(int)event->retry_after);
	if (event->what == WF_STREAM_TOKEN && recorder->cancel_at_token)
		recorder->plat->ops->run(recorder->plat, &cancel, NULL);
}

static void record_body(GString *text, GBytes *body)
{
	gsize len = 0;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;

	if (data)
		g_string_append_printf(text, " %.*s", (int)len, data);
}

static void record_cache(GString *text, const struct wf_cache_event *cache)
{
	size_t i;

	g_string_append_printf(text, "%s seq=%d", cache->target,
			       (int)cache->seq);
	for (i = 0; i < cache->n_added; i++)
		g_string_append_printf(text, " +%" G_GINT64_MODIFIER "x",
				       cache->added[i]);
	for (i = 0; i < cache->n_removed; i++)
		g_string_append_printf(text, " -%" G_GINT64_MODIFIER "x",
				       cache->removed[i]);
}

static void record_instances(GString *text, const struct wf_event *event)
{
	size_t i;

	g_string_append_printf(text, "revision %d",
			       (int)event->instances.revision);
	for (i = 0; i < event->instances.n; i++) {
		const struct wf_instance *item = &event->instances.list[i];

		g_string_append_printf(text, " %s/%d/%d/%u-%u/%s", item->id,
				       (int)item->role, (int)item->life,
				       item->first_layer, item->last_layer,
				       item->serves);
	}
}

static void record(struct plat_sink *sink, const struct wf_event *event)
{
	struct wire_recorder *recorder = (struct wire_recorder *)sink;
	GString *text = recorder->text;

	recorder->events++;
	switch (event->type) {
	case WF_EV_STORE_REPLY:
		record_store(text, event->store);
		break;
	case WF_EV_STREAM:
		record_stream(recorder, event->stream);
		break;
	case WF_EV_SERVICE_REPLY:
		g_string_append_printf(
			text, "ok=%d sent=%d %d %s", event->service->ok,
			event->service->sent, event->service->status,
			event->service->ok ? ""
					   : err_name(event->service->error));
		record_body(text, event->service->body);
		break;
	case WF_EV_STATUS_REPLY:
		g_string_append_printf(text, "%d %d",
				       (int)event->status->status,
				       event->status->http_status);
		record_body(text, event->status->body);
		break;
	case WF_EV_REPORT:
		g_string_append_printf(
			text, "%s reachable=%d leaving=%d %u %u %u",
			event->report->target, event->report->reachable,
			event->report->leaving, event->report->running,
			event->report->queued, event->report->slots);
		break;
	case WF_EV_CACHE:
		record_cache(text, event->cache);
		break;
	case WF_EV_ORDER_REPLY:
		g_string_append_printf(
			text, "ok=%d %s", event->order->ok,
			event->order->ok ? "" : err_name(event->order->error));
		break;
	case WF_EV_INSTANCES:
		record_instances(text, event);
		break;
	default:
		ck_abort_msg("unexpected event");
	}
	g_string_append_c(text, '\n');
}

static const struct plat_sink_ops recorder_ops = {record};

void wire_recorder_open(struct wire_recorder *recorder)
{
	memset(recorder, 0, sizeof(*recorder));
	recorder->sink.ops = &recorder_ops;
	recorder->text = g_string_new(NULL);
}

void wire_recorder_close(struct wire_recorder *recorder)
{
	g_string_free(recorder->text, TRUE);
}

static bool has_events(void *user)
{
	struct wire_recorder *recorder = user;

	return recorder->events >= recorder->awaited;
}

void wire_record(struct wire_loop *wire, struct wire_recorder *recorder,
		 const struct wf_action *action, const char *operation,
		 unsigned events)
{
	recorder->awaited = recorder->events + events;
	recorder->plat->ops->run(recorder->plat, action, operation);
	wire_run_until(wire, has_events, recorder);
}
