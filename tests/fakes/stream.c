#include "server.h"
#include "server_priv.h"

#include <stdlib.h>
#include <string.h>

/* A stream of server-sent events to one client. */
struct fk_stream {
	h2o_generator_t generator;
	struct fk_call *call; /* borrowed */
	GString *pending;
	GString *flight;  /* bytes that h2o is sending */
	GString *swapped; /* event held back for FK_FAULT_OUT_OF_ORDER */
	int64_t n_events;
	bool in_flight;
	bool ended;
	bool closed;
	bool stopped; /* by h2o or FK_FAULT_HALF_OPEN: sends no more */
};

void fk_stream_free(struct fk_stream *stream)
{
	g_string_free(stream->pending, TRUE);
	g_string_free(stream->flight, TRUE);
	g_string_free(stream->swapped, TRUE);
	g_free(stream);
}

static void flush(struct fk_stream *stream)
{
	h2o_req_t *req = stream->call->req;
	GString *swap = stream->flight;
	h2o_iovec_t buf;

	if (!req || stream->in_flight || stream->stopped || stream->closed)
		return;
	if (!stream->pending->len && !stream->ended)
		return;
	stream->flight = stream->pending;
	stream->pending = swap;
	g_string_truncate(stream->pending, 0);
	stream->in_flight = true;
	stream->closed = stream->ended;
	buf = h2o_iovec_init(stream->flight->str, stream->flight->len);
	h2o_send(req, &buf, buf.len ? 1 : 0,
		 stream->closed ? H2O_SEND_STATE_FINAL
				: H2O_SEND_STATE_IN_PROGRESS);
}

static void on_proceed(h2o_generator_t *self, h2o_req_t *req)
{
	struct fk_stream *stream = (struct fk_stream *)self;

	(void)req;
	stream->in_flight = false;
	flush(stream);
}

static void on_stop(h2o_generator_t *self, h2o_req_t *req)
{
	(void)req;
	((struct fk_stream *)self)->stopped = true;
}

void fk_stream_start(struct fk_call *call)
{
	struct fk_stream *stream;

	if (!call->req || call->answered)
		return;
	stream = g_new0(struct fk_stream, 1);
	stream->generator.proceed = on_proceed;
	stream->generator.stop = on_stop;
	stream->call = call;
	stream->pending = g_string_new(NULL);
	stream->flight = g_string_new(NULL);
	stream->swapped = g_string_new(NULL);
	call->stream = stream;
	fk_set_head(call, 200, "text/event-stream");
	call->req->http1_is_persistent = 0;
	h2o_start_response(call->req, &stream->generator);
}

/* Applies the call's fault to an event; false if it is not sent now. */
static bool apply_fault(struct fk_call *call, const GString *text)
{
	struct fk_stream *stream = call->stream;
	int64_t past = stream->n_events - call->fault.after;

	if (past < 0)
		return true;
	switch (call->fault.kind) {
	case FK_FAULT_CUT:
		g_string_append_len(stream->pending, text->str,
				    (gssize)(text->len / 2));
		stream->ended = true;
		return false;
	case FK_FAULT_LOST_ANSWER:
		stream->ended = true;
		return false;
	case FK_FAULT_HALF_OPEN:
		stream->stopped = true;
		return false;
	case FK_FAULT_TWICE:
		g_string_append(stream->pending, text->str);
		return true;
	case FK_FAULT_OUT_OF_ORDER:
		if (past > 0)
			return true;
		g_string_assign(stream->swapped, text->str);
		return false;
	default:
		return true;
	}
}

static GString *format_event(const char *event, json_t *data)
{
	GString *text = g_string_new(NULL);
	char *json = data ? json_dumps(data, JSON_COMPACT) : NULL;

	if (event)
		g_string_append_printf(text, "event: %s\n", event);
	g_string_append_printf(text, "data: %s\n\n", json ? json : "[DONE]");
	free(json);
	json_decref(data);
	return text;
}

void fk_stream_event(struct fk_call *call, const char *event, json_t *data)
{
	struct fk_stream *stream = call->stream;
	GString *text = format_event(event, data);

	if (stream && !stream->ended && apply_fault(call, text)) {
		g_string_append(stream->pending, text->str);
		g_string_append(stream->pending, stream->swapped->str);
		g_string_truncate(stream->swapped, 0);
	}
	if (stream) {
		stream->n_events++;
		flush(stream);
	}
	g_string_free(text, TRUE);
}

void fk_stream_end(struct fk_call *call)
{
	struct fk_stream *stream = call->stream;

	if (!stream || stream->ended)
		return;
	stream->ended = true;
	call->on_gone = NULL;
	flush(stream);
}
