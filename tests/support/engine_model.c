#include <string.h>

#include "engine_model.h"

#define LOCAL_HOP_US 200
#define REMOTE_HOP_US 1000
#define ROUTER_HOP_US 1000
#define EXPORT_US 5000
#define BUSY_RETRY_US 200
/* A prompt is computed in parts, with other steps in between. */
#define CHUNK_TOKENS 8.0
#define MAX_PREFIXES 64
#define CACHED_FRACTION 0.8

enum timer_type {
	TIMER_CALLBACK,
	TIMER_ARRIVE, /* a step at an engine */
	TIMER_DONE,
	TIMER_TO_ROUTER,
	TIMER_REPORT,
	TIMER_PEER,
};

struct stream;

/* An event on its way to a router. */
struct message {
	uint64_t op;
	enum wf_stream_event_type what;
	unsigned lineage;
	unsigned position;
	char *text;
	GArray *receipts; /* of struct wf_receipt, ids borrowed */
	enum err_code error;
	const char *failed;
	const char *reason;
};

struct timer {
	int64_t at;
	uint64_t number;
	enum timer_type type;
	unsigned router;
	unsigned stage;
	uint64_t epoch; /* of the stream when it was queued */
	struct stream *stream;
	struct emod_engine *engine;
	struct message *message;
	struct wf_action *action;
	struct wf_report report;
	struct emod_record record;
	double left; /* work of the step in tokens, 0: not begun */
	void (*call)(struct emod *, void *);
	void *user;
};

/* One lineage of a request on its chain. */
struct stream {
	uint64_t call_id;
	unsigned router;
	unsigned call;
	uint64_t op;
	unsigned lineage;
	unsigned position;
	unsigned start;
	unsigned priority;
	unsigned max_tokens;
	uint64_t epoch; /* raised to void pending steps */
	bool ended;
	bool working; /* a step is pending or running */
	bool first_pass;
	GArray *chain;	  /* of struct wf_stage */
	GArray *receipts; /* of the current token */
};

struct router {
	struct wf_ctx *ctx;
	struct tgt_table *targets;
	struct run_runs *runs;
	clk_ms ticked;
};

struct emod {
	int64_t now; /* us since the start */
	uint64_t n_timers;
	GArray *heap; /* of struct timer */
	GPtrArray *engines;
	GHashTable *engines_by_id;
	GPtrArray *calls;
	GHashTable *calls_by_id; /* id to index + 1 */
	GHashTable *streams;	 /* call and lineage to struct stream */
	GArray *routers;	 /* of struct router */
	GArray *records;	 /* of struct emod_record */
	bool keep_records;
	bool has_tamper;
	struct emod_tamper tamper;
	clk_ms report_lag;
	clk_ms detect_stage;
	clk_ms detect_head;
	uint64_t revision;
};

/* Timers: a binary heap by time, then by number */

static bool earlier(const struct timer *a, const struct timer *b)
{
	return a->at < b->at || (a->at == b->at && a->number < b->number);
}

static struct timer *timer_at(struct emod *emod, guint i)
{
	return &g_array_index(emod->heap, struct timer, i);
}

static void swap_timers(struct emod *emod, guint a, guint b)
{
	struct timer saved = *timer_at(emod, a);

	*timer_at(emod, a) = *timer_at(emod, b);
	*timer_at(emod, b) = saved;
}

static void push(struct emod *emod, struct timer timer, int64_t delay)
{
	guint i = emod->heap->len;

	timer.at = emod->now + delay;
	timer.number = emod->n_timers++;
	g_array_append_val(emod->heap, timer);
	while (i && earlier(timer_at(emod, i), timer_at(emod, (i - 1) / 2))) {
		swap_timers(emod, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct timer pop(struct emod *emod)
{
	struct timer first = *timer_at(emod, 0);
	guint i = 0;

	*timer_at(emod, 0) = *timer_at(emod, emod->heap->len - 1);
	g_array_set_size(emod->heap, emod->heap->len - 1);
	while (2 * i + 1 < emod->heap->len) {
		guint child = 2 * i + 1;

		if (child + 1 < emod->heap->len &&
		    earlier(timer_at(emod, child + 1), timer_at(emod, child)))
			child++;
		if (!earlier(timer_at(emod, child), timer_at(emod, i)))
			break;
		swap_timers(emod, i, child);
		i = child;
	}
	return first;
}

/* Messages to routers */

static void message_free(struct message *message)
{
	g_free(message->text);
	if (message->receipts)
		g_array_unref(message->receipts);
	g_free(message);
}

static struct message *message_new(const struct stream *stream,
				   enum wf_stream_event_type what)
{
	struct message *message = g_new0(struct message, 1);

	message->op = stream->op;
	message->what = what;
	message->lineage = stream->lineage;
	return message;
}

static void send_message(struct emod *emod, const struct stream *stream,
			 struct message *message, int64_t delay)
{
	struct timer timer = {.type = TIMER_TO_ROUTER,
			      .router = stream->router,
			      .message = message};

	push(emod, timer, delay);
}

static void send_failure(struct emod *emod, struct stream *stream,
			 enum err_code error, const char *failed, int64_t delay)
{
	struct message *message = message_new(stream, WF_STREAM_FAILED);

	message->error = error;
	message->failed = failed;
	stream->epoch++;
	stream->working = false;
	send_message(emod, stream, message, delay);
}

/* Engines */

static struct emod_engine *
engine_of(struct emod *emod, const struct stream *stream, unsigned stage)
{
	return emod_engine(
		emod,
		g_array_index(stream->chain, struct wf_stage, stage).target);
}

static struct emod_call *call_of(struct emod *emod, const struct stream *stream)
{
	return emod->calls->pdata[stream->call];
}

static unsigned kv_done(const struct emod_engine *engine, uint64_t call)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(engine->kv, &call));
}

static void set_kv(struct emod_engine *engine, uint64_t call, unsigned done)
{
	g_hash_table_replace(engine->kv, g_memdup2(&call, sizeof(call)),
			     GUINT_TO_POINTER(done));
}

static void set_busy(struct emod_engine *engine, uint64_t call,
		     unsigned position)
{
	g_hash_table_replace(engine->busy, g_memdup2(&call, sizeof(call)),
			     GUINT_TO_POINTER(position));
}

static bool is_busy(const struct emod_engine *engine,
		    const struct stream *stream)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(
		       engine->busy, &stream->call_id)) == stream->position + 1;
}

static int64_t hop_us(struct emod *emod, const struct stream *stream,
		      unsigned stage)
{
	const struct emod_engine *to = engine_of(emod, stream, stage);
	const struct emod_engine *from;

	if (!stage)
		return 0;
	from = engine_of(emod, stream, stage - 1);
	return (int64_t)(MAX(from->link, to->link) *
			 (strcmp(from->data_center, to->data_center)
				  ? REMOTE_HOP_US
				  : LOCAL_HOP_US));
}

static bool lookup_prefix(struct emod_engine *engine, uint64_t prefix)
{
	if (!prefix)
		return false;
	if (g_hash_table_contains(engine->prefixes, &prefix))
		return true;
	if (g_hash_table_size(engine->prefixes) >= MAX_PREFIXES)
		g_hash_table_remove_all(engine->prefixes);
	g_hash_table_add(engine->prefixes, g_memdup2(&prefix, sizeof(prefix)));
	return false;
}

/* Work of a stage before its first token, in units of output tokens. */
static double prefill_work(struct emod *emod, const struct stream *stream,
			   unsigned stage, struct emod_engine *engine,
			   struct emod_record *record)
{
	const struct emod_call *call = call_of(emod, stream);
	double prompt = call->prompt_tokens;

	if (!stream->first_pass)
		return 0;
	switch (g_array_index(stream->chain, struct wf_stage, stage).kv) {
	case WF_KV_FRESH:
		record->prompt = true;
		if (lookup_prefix(engine, call->prefix))
			prompt *= 1 - CACHED_FRACTION;
		return (prompt + stream->position) / EMOD_PREFILL_TOKENS;
	case WF_KV_REBUILD:
		record->rebuilt = true;
		return (prompt + stream->position) / EMOD_PREFILL_TOKENS;
	case WF_KV_IMPORT:
	case WF_KV_HELD:
		break;
	}
	return 0;
}

static void start_steps(struct emod *emod, struct emod_engine *engine);

static void finish_token(struct emod *emod, struct stream *stream);

static void enter_stage(struct emod *emod, struct stream *stream,
			unsigned stage)
{
	struct timer timer = {.type = TIMER_ARRIVE,
			      .stage = stage,
			      .stream = stream,
			      .epoch = stream->epoch};

	if (stage == stream->chain->len) {
		finish_token(emod, stream);
		return;
	}
	stream->working = true;
	timer.engine = engine_of(emod, stream, stage);
	push(emod, timer, hop_us(emod, stream, stage));
}

static void add_receipt(struct stream *stream, unsigned stage,
			enum wf_step_kind kind)
{
	const struct wf_stage *at;
	struct wf_receipt receipt;

	at = &g_array_index(stream->chain, struct wf_stage, stage);
	receipt.target = at->target;
	receipt.first_layer = at->first_layer;
	receipt.last_layer = at->last_layer;
	receipt.kind = kind;
	g_array_append_val(stream->receipts, receipt);
}

/* Whether the KV state that the chain refers to exists. */
static bool has_kv(struct emod *emod, const struct stream *stream,
		   unsigned stage, const struct emod_engine *engine)
{
	const struct wf_stage *at;
	const struct emod_engine *source;

	if (!stream->first_pass)
		return true;
	at = &g_array_index(stream->chain, struct wf_stage, stage);
	if (at->kv == WF_KV_HELD)
		return !engine->forget_kv && kv_done(engine, stream->call_id);
	if (at->kv != WF_KV_IMPORT)
		return true;
	source = emod_engine(emod, at->kv_source);
	return source && source->alive && !source->silent &&
	       !source->forget_kv && kv_done(source, stream->call_id);
}

static void fail_stage(struct emod *emod, struct stream *stream, unsigned stage,
		       const struct emod_engine *engine)
{
	if (engine->silent)
		return;
	if (stage)
		send_failure(emod, stream, ERR_TARGET_LOST, engine->id,
			     1000 * emod->detect_stage);
	else
		send_failure(emod, stream, ERR_IO, NULL,
			     1000 * emod->detect_head);
}

static void queue_step(struct emod_engine *engine, const struct timer *timer)
{
	unsigned priority = MIN(timer->stream->priority, EMOD_PRIORITIES - 1);

	g_queue_push_tail(&engine->queue[priority],
			  g_memdup2(timer, sizeof(*timer)));
	engine->queued++;
}

static void arrive(struct emod *emod, const struct timer *timer)
{
	struct stream *stream = timer->stream;
	struct emod_engine *engine = timer->engine;

	if (timer->epoch != stream->epoch)
		return;
	if (!engine->alive || engine->silent) {
		fail_stage(emod, stream, timer->stage, engine);
		return;
	}
	if (!has_kv(emod, stream, timer->stage, engine)) {
		send_failure(emod, stream, ERR_TARGET_REFUSED, engine->id,
			     ROUTER_HOP_US);
		return;
	}
	if (kv_done(engine, stream->call_id) > stream->position &&
	    g_array_index(stream->chain, struct wf_stage, timer->stage).kv ==
		    WF_KV_HELD) {
		add_receipt(stream, timer->stage, WF_STEP_RESUMED);
		enter_stage(emod, stream, timer->stage + 1);
		return;
	}
	if (is_busy(engine, stream)) {
		/* The same step is running; its result will be stored. */
		push(emod, *timer, BUSY_RETRY_US);
		return;
	}
	queue_step(engine, timer);
	start_steps(emod, engine);
}

static struct timer *next_step(struct emod_engine *engine)
{
	unsigned i;

	for (i = 0; i < EMOD_PRIORITIES; i++)
		if (engine->queue[i].length)
			return g_queue_pop_head(&engine->queue[i]);
	return NULL;
}

static void run_step(struct emod *emod, struct emod_engine *engine,
		     struct timer *step)
{
	struct stream *stream = step->stream;
	struct emod_record record = {.engine = engine->id,
				     .call = stream->call_id,
				     .lineage = stream->lineage,
				     .position = stream->position};
	const struct wf_stage *at;
	unsigned layers;
	double us;

	at = &g_array_index(stream->chain, struct wf_stage, step->stage);
	record.first_layer = at->first_layer;
	record.last_layer = at->last_layer;
	layers = at->last_layer - at->first_layer + 1;
	if (step->left <= 0) {
		step->left = 1 + prefill_work(emod, stream, step->stage, engine,
					      &record);
		step->record = record;
	}
	us = MIN(step->left, CHUNK_TOKENS);
	step->left -= us;
	us *= engine->step_us * engine->slow * layers /
	      (engine->last_layer - engine->first_layer + 1);
	engine->busy_us += us;
	if (at->kv == WF_KV_IMPORT && stream->first_pass && step->left <= 0)
		us += EXPORT_US;
	set_busy(engine, stream->call_id, stream->position + 1);
	engine->running++;
	step->type = TIMER_DONE;
	push(emod, *step, (int64_t)us);
}

static void start_steps(struct emod *emod, struct emod_engine *engine)
{
	while (engine->running < engine->slots && engine->queued) {
		struct timer *step = next_step(engine);

		engine->queued--;
		if (step->epoch == step->stream->epoch)
			run_step(emod, engine, step);
		g_free(step);
	}
}

static void step_done(struct emod *emod, const struct timer *timer)
{
	struct stream *stream = timer->stream;
	struct emod_engine *engine = timer->engine;

	engine->running--;
	set_busy(engine, stream->call_id, 0);
	if (!engine->alive || engine->silent) {
		if (timer->epoch == stream->epoch)
			fail_stage(emod, stream, timer->stage, engine);
		return;
	}
	if (timer->left > 0 && timer->epoch == stream->epoch) {
		queue_step(engine, timer);
		start_steps(emod, engine);
		return;
	}
	start_steps(emod, engine);
	if (timer->left > 0)
		return;
	if (emod->keep_records)
		g_array_append_val(emod->records, timer->record);
	if (kv_done(engine, stream->call_id) <= timer->record.position)
		set_kv(engine, stream->call_id, timer->record.position + 1);
	if (timer->epoch != stream->epoch)
		return;
	add_receipt(stream, timer->stage, WF_STEP_RUN);
	enter_stage(emod, stream, timer->stage + 1);
}

/* Streams */

static char *token_text(uint64_t call, unsigned position)
{
	return g_strdup_printf("%u.%u ", (unsigned)call, position);
}

char *emod_expected_text(const struct emod_call *call, unsigned n)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(text, "%u.%u ", (unsigned)call->id, i);
	return g_string_free(text, FALSE);
}

static void send_token(struct emod *emod, struct stream *stream,
		       unsigned position, int64_t delay)
{
	const struct emod_tamper *tamper = &emod->tamper;
	struct message *message = message_new(stream, WF_STREAM_TOKEN);

	message->position = position;
	message->text = token_text(stream->call_id, position);
	message->receipts = g_array_copy(stream->receipts);
	if (emod->has_tamper && position == tamper->position &&
	    !(tamper->once && stream->lineage > 1)) {
		if (tamper->split_shift && message->receipts->len > 1)
			g_array_index(message->receipts, struct wf_receipt, 1)
				.first_layer += (unsigned)tamper->split_shift;
		if (tamper->duplicate) {
			emod->has_tamper = false;
			send_token(emod, stream, position, delay + 3000);
			emod->has_tamper = true;
		}
		delay += 1000 * tamper->delay;
		if (tamper->drop) {
			emod->has_tamper = false;
			message_free(message);
			return;
		}
	}
	send_message(emod, stream, message, delay);
}

static void end_stream(struct emod *emod, struct stream *stream)
{
	struct message *message = message_new(stream, WF_STREAM_END);
	const struct emod_call *call = call_of(emod, stream);

	message->reason =
		call->length >= stream->max_tokens ? "length" : "stop";
	stream->ended = true;
	stream->working = false;
	send_message(emod, stream, message, ROUTER_HOP_US);
}

static bool is_last(struct emod *emod, const struct stream *stream)
{
	return stream->position >=
	       MIN(call_of(emod, stream)->length, stream->max_tokens);
}

static void next_token(struct emod *emod, struct stream *stream)
{
	g_array_set_size(stream->receipts, 0);
	if (is_last(emod, stream))
		end_stream(emod, stream);
	else
		enter_stage(emod, stream, 0);
}

static void finish_token(struct emod *emod, struct stream *stream)
{
	send_token(emod, stream, stream->position, ROUTER_HOP_US);
	stream->position++;
	stream->first_pass = false;
	next_token(emod, stream);
}

static uint64_t stream_key(uint64_t call, unsigned lineage)
{
	return call * 64 + lineage;
}

static void stream_free(gpointer data)
{
	struct stream *stream = data;

	g_array_unref(stream->chain);
	g_array_unref(stream->receipts);
	g_free(stream);
}

static struct stream *stream_new(struct emod *emod, unsigned router,
				 const struct wf_action *action)
{
	struct stream *stream = g_new0(struct stream, 1);
	uint64_t key = stream_key(action->call_id, action->lineage);

	stream->call_id = action->call_id;
	stream->call = GPOINTER_TO_UINT(g_hash_table_lookup(emod->calls_by_id,
							    &action->call_id)) -
		       1;
	stream->router = router;
	stream->op = action->op;
	stream->lineage = action->lineage;
	stream->start = action->start_position;
	stream->position = action->start_position;
	stream->priority = action->priority;
	stream->max_tokens = action->max_tokens;
	stream->first_pass = true;
	stream->chain = wf_chain_copy(action->chain);
	stream->receipts = g_array_new(FALSE, FALSE, sizeof(struct wf_receipt));
	g_hash_table_replace(emod->streams, g_memdup2(&key, sizeof(key)),
			     stream);
	return stream;
}

static struct stream *find_stream(struct emod *emod, uint64_t call,
				  unsigned lineage)
{
	uint64_t key = stream_key(call, lineage);

	return g_hash_table_lookup(emod->streams, &key);
}

/* Engines refuse steps of lineages older than the newest one. */
static void fence_older(struct emod *emod, uint64_t call, unsigned lineage)
{
	while (lineage-- > 1) {
		struct stream *older = find_stream(emod, call, lineage);

		if (older && !older->ended) {
			older->epoch++;
			older->ended = true;
		}
	}
}

/* Sends stored tokens again and continues at the current position. */
static void resume_stream(struct emod *emod, struct stream *stream,
			  const struct wf_action *action)
{
	GArray *receipts = stream->receipts;
	unsigned position;
	guint i;

	stream->op = action->op;
	stream->receipts = g_array_new(FALSE, FALSE, sizeof(struct wf_receipt));
	for (i = 0; i < stream->chain->len; i++)
		add_receipt(stream, i, WF_STEP_RESUMED);
	for (position = action->start_position; position < stream->position;
	     position++)
		send_token(emod, stream, position, ROUTER_HOP_US);
	g_array_unref(stream->receipts);
	stream->receipts = receipts;
	if (is_last(emod, stream))
		end_stream(emod, stream);
	else if (!stream->working)
		next_token(emod, stream);
}

static void send_accepted(struct emod *emod, struct stream *stream)
{
	send_message(emod, stream, message_new(stream, WF_STREAM_ACCEPTED),
		     ROUTER_HOP_US);
}

static bool refuse(struct emod *emod, struct stream *stream)
{
	guint i;

	for (i = 0; i < stream->chain->len; i++) {
		struct emod_engine *engine = engine_of(emod, stream, i);

		if (!engine->n_refuse)
			continue;
		engine->n_refuse--;
		send_failure(emod, stream, engine->refuse, engine->id,
			     2 * ROUTER_HOP_US);
		return true;
	}
	return false;
}

static void note_opened(struct emod *emod, const struct stream *stream)
{
	struct emod_call *call = call_of(emod, stream);
	guint i;

	call->streams++;
	if (call->opened < 0)
		call->opened = emod_now(emod);
	for (i = 0; i < stream->chain->len; i++) {
		struct emod_engine *engine = engine_of(emod, stream, i);
		enum wf_kv_mode kv =
			g_array_index(stream->chain, struct wf_stage, i).kv;

		call->held_stages += kv == WF_KV_HELD;
		if (kv == WF_KV_HELD)
			continue;
		engine->streams_opened++;
		engine->last_opened = emod_now(emod);
	}
}

static void open_stream(struct emod *emod, unsigned router,
			const struct wf_action *action)
{
	struct stream *stream;
	struct emod_engine *head;

	stream = find_stream(emod, action->call_id, action->lineage);
	if (stream) {
		head = engine_of(emod, stream, 0);
		stream->op = action->op;
		if (!head->alive) {
			fail_stage(emod, stream, 0, head);
		} else if (!head->silent) {
			send_accepted(emod, stream);
			resume_stream(emod, stream, action);
		}
		return;
	}
	stream = stream_new(emod, router, action);
	note_opened(emod, stream);
	head = engine_of(emod, stream, 0);
	if (!head->alive || head->silent) {
		fail_stage(emod, stream, 0, head);
		return;
	}
	if (refuse(emod, stream))
		return;
	fence_older(emod, action->call_id, action->lineage);
	send_accepted(emod, stream);
	next_token(emod, stream);
}

static void cancel_stream(struct emod *emod, const struct wf_action *action)
{
	struct stream *stream;

	stream = find_stream(emod, action->call_id, action->lineage);
	if (!stream)
		return;
	stream->epoch++;
	stream->ended = true;
}

/* Routers' actions and events */

static struct router *router_at(struct emod *emod, unsigned index)
{
	return &g_array_index(emod->routers, struct router, index);
}

static void execute_all(struct emod *emod, unsigned index);

static void deliver(struct emod *emod, unsigned index, struct wf_event *event)
{
	struct router *router = router_at(emod, index);
	struct wf_module *targets = tgt_module(router->targets);
	struct wf_module *runs = run_module(router->runs);

	router->ctx->now = EMOD_EPOCH + emod_now(emod);
	targets->ops->handle(router->ctx, targets, event);
	runs->ops->handle(router->ctx, runs, event);
	execute_all(emod, index);
}

static struct emod_call *find_call(struct emod *emod, uint64_t id)
{
	guint index =
		GPOINTER_TO_UINT(g_hash_table_lookup(emod->calls_by_id, &id));

	return emod->calls->pdata[index - 1];
}

static void note_gap(struct emod *emod, struct emod_call *call)
{
	clk_ms now = emod_now(emod);

	if (call->tokens)
		call->longest_gap =
			MAX(call->longest_gap, now - call->last_token);
	call->last_token = now;
}

static void record_token(struct emod *emod, const struct wf_action *action)
{
	struct emod_call *call = find_call(emod, action->call_id);

	note_gap(emod, call);
	if (!call->tokens)
		call->first_token = emod_now(emod);
	if (action->position != call->tokens)
		call->out_of_order++;
	call->tokens++;
	if (emod->keep_records)
		g_string_append(call->text, action->text);
}

static void record_end(struct emod *emod, const struct wf_action *action)
{
	struct emod_call *call = find_call(emod, action->call_id);

	call->end = emod_now(emod);
	call->ended = true;
	if (action->type == WF_ACT_REPLY_END) {
		call->reason = g_strdup(action->text);
		return;
	}
	call->failed = true;
	call->error = action->error;
	call->run = action->run;
}

static void poll(struct emod *emod, unsigned index,
		 const struct wf_action *action)
{
	struct emod_engine *engine = emod_engine(emod, action->target);
	struct timer timer = {.type = TIMER_REPORT, .router = index};

	timer.engine = engine;
	timer.report.target = engine->id;
	timer.report.reachable = engine->alive && !engine->silent;
	timer.report.leaving = engine->leaving;
	timer.report.running = engine->running;
	timer.report.queued = engine->queued;
	timer.report.slots = engine->slots;
	timer.report.step_us = engine->step_us * engine->slow;
	push(emod, timer,
	     timer.report.reachable ? 2000 + 1000 * emod->report_lag
				    : 1000 * action->timeout);
}

static void send_peer(struct emod *emod, unsigned from,
		      struct wf_action *action)
{
	struct timer timer = {.type = TIMER_PEER, .router = from};

	timer.action = g_memdup2(action, sizeof(*action));
	memset(action, 0, sizeof(*action));
	push(emod, timer, ROUTER_HOP_US);
}

static void execute(struct emod *emod, unsigned index, struct wf_action *action)
{
	switch (action->type) {
	case WF_ACT_STREAM_OPEN:
		open_stream(emod, index, action);
		break;
	case WF_ACT_STREAM_CANCEL:
		cancel_stream(emod, action);
		break;
	case WF_ACT_REPLY_TOKEN:
		record_token(emod, action);
		break;
	case WF_ACT_REPLY_END:
	case WF_ACT_REPLY_ERROR:
		record_end(emod, action);
		break;
	case WF_ACT_POLL_TARGET:
		poll(emod, index, action);
		break;
	case WF_ACT_PEER_SEND:
		send_peer(emod, index, action);
		break;
	default:
		break;
	}
}

static void execute_all(struct emod *emod, unsigned index)
{
	struct wf_action action;

	while (wf_next_action(router_at(emod, index)->ctx, &action)) {
		execute(emod, index, &action);
		wf_action_clear(&action);
	}
}

static void to_router(struct emod *emod, const struct timer *timer)
{
	struct message *message = timer->message;
	struct wf_stream_event stream = {.op = message->op,
					 .what = message->what,
					 .lineage = message->lineage,
					 .position = message->position,
					 .error = message->error,
					 .reason = message->reason,
					 .failed_target = message->failed};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &stream};

	if (message->text) {
		stream.text = message->text;
		stream.text_len = strlen(message->text);
		stream.receipts = (void *)message->receipts->data;
		stream.n_receipts = message->receipts->len;
	}
	deliver(emod, timer->router, &event);
	message_free(message);
}

static void to_peer(struct emod *emod, const struct timer *timer)
{
	struct wf_action *action = timer->action;
	struct wf_peer_event peer = {.kind = action->kind};
	struct wf_event event = {.type = WF_EV_PEER, .peer = &peer};
	unsigned i;

	peer.from = router_at(emod, timer->router)->ctx->self;
	peer.body = g_bytes_get_data(action->body, &peer.body_len);
	for (i = 0; i < emod->routers->len; i++)
		if (!strcmp(router_at(emod, i)->ctx->self, action->target))
			deliver(emod, i, &event);
	wf_action_clear(action);
	g_free(action);
}

static void handle_timer(struct emod *emod, struct timer *timer)
{
	struct wf_event event = {.type = WF_EV_REPORT};

	switch (timer->type) {
	case TIMER_CALLBACK:
		timer->call(emod, timer->user);
		break;
	case TIMER_ARRIVE:
		arrive(emod, timer);
		break;
	case TIMER_DONE:
		step_done(emod, timer);
		break;
	case TIMER_TO_ROUTER:
		to_router(emod, timer);
		break;
	case TIMER_REPORT:
		event.report = &timer->report;
		deliver(emod, timer->router, &event);
		break;
	case TIMER_PEER:
		to_peer(emod, timer);
		break;
	}
}

/* The time of a router's next tick, us since the start. */
static int64_t next_tick(struct emod *emod, unsigned index)
{
	struct router *router = router_at(emod, index);
	struct wf_module *targets = tgt_module(router->targets);
	struct wf_module *runs = run_module(router->runs);
	clk_ms at;

	at = clk_min(targets->ops->next_wakeup(router->ctx, targets),
		     runs->ops->next_wakeup(router->ctx, runs));
	if (at == CLK_NEVER)
		return INT64_MAX;
	at = MAX(at - EMOD_EPOCH, router->ticked + 1);
	return 1000 * at;
}

static int64_t find_next_tick(struct emod *emod, unsigned *index)
{
	int64_t first = INT64_MAX;
	unsigned i;

	for (i = 0; i < emod->routers->len; i++) {
		int64_t at = next_tick(emod, i);

		if (at >= first)
			continue;
		first = at;
		*index = i;
	}
	return first;
}

void emod_run_until(struct emod *emod, clk_ms until)
{
	int64_t limit = 1000 * until;

	for (;;) {
		struct wf_event tick = {.type = WF_EV_TICK};
		unsigned index = 0;
		int64_t tick_at = find_next_tick(emod, &index);
		int64_t timer_due =
			emod->heap->len ? timer_at(emod, 0)->at : INT64_MAX;

		if (MIN(tick_at, timer_due) > limit)
			break;
		if (timer_due <= tick_at) {
			struct timer timer = pop(emod);

			emod->now = MAX(timer.at, emod->now);
			handle_timer(emod, &timer);
			continue;
		}
		emod->now = MAX(tick_at, emod->now);
		router_at(emod, index)->ticked = emod_now(emod);
		deliver(emod, index, &tick);
	}
	emod->now = limit;
}

/* Construction and access */

static void add_router(struct emod *emod, unsigned index,
		       const char *data_center, uint64_t seed,
		       const struct tgt_config *targets,
		       const struct run_config *runs)
{
	struct run_config config = *runs;
	struct router router = {.ticked = -1};
	char *id = g_strdup_printf("entry-%u", index + 1);

	router.ctx = wf_ctx_new(id, data_center, 1, seed, NULL, NULL);
	router.ctx->now = EMOD_EPOCH;
	router.targets = tgt_new(router.ctx, targets);
	config.targets = router.targets;
	router.runs = run_new(router.ctx, &config);
	g_array_append_val(emod->routers, router);
	g_free(id);
}

static void set_router_peers(struct emod *emod)
{
	struct wf_peer *peers = g_new0(struct wf_peer, emod->routers->len);
	unsigned i;

	for (i = 0; i < emod->routers->len; i++) {
		peers[i].id = router_at(emod, i)->ctx->self;
		peers[i].data_center = router_at(emod, i)->ctx->data_center;
		peers[i].life = WF_LIFE_LIVE;
	}
	for (i = 0; i < emod->routers->len; i++)
		wf_set_peers(router_at(emod, i)->ctx, peers,
			     emod->routers->len);
	g_free(peers);
}

struct emod *emod_new(unsigned n_routers, const char *const *data_centers,
		      unsigned n_data_centers, uint64_t seed,
		      const struct tgt_config *targets,
		      const struct run_config *runs)
{
	struct emod *emod = g_new0(struct emod, 1);
	unsigned i;

	emod->heap = g_array_new(FALSE, FALSE, sizeof(struct timer));
	emod->engines = g_ptr_array_new();
	emod->engines_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	emod->calls = g_ptr_array_new();
	emod->calls_by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	emod->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, stream_free);
	emod->routers = g_array_new(FALSE, FALSE, sizeof(struct router));
	emod->records = g_array_new(FALSE, FALSE, sizeof(struct emod_record));
	emod->detect_stage = 50;
	emod->detect_head = 5;
	for (i = 0; i < n_routers; i++)
		add_router(emod, i, data_centers[i % n_data_centers], seed,
			   targets, runs);
	set_router_peers(emod);
	return emod;
}

static void drop_timers(struct emod *emod)
{
	guint i;

	for (i = 0; i < emod->heap->len; i++) {
		struct timer *timer = timer_at(emod, i);

		if (timer->message)
			message_free(timer->message);
		if (timer->action) {
			wf_action_clear(timer->action);
			g_free(timer->action);
		}
	}
	g_array_unref(emod->heap);
}

static void engine_free(struct emod_engine *engine)
{
	unsigned i;

	for (i = 0; i < EMOD_PRIORITIES; i++)
		g_queue_clear_full(&engine->queue[i], g_free);
	g_hash_table_unref(engine->kv);
	g_hash_table_unref(engine->busy);
	g_hash_table_unref(engine->prefixes);
	g_free(engine->id);
	g_free(engine->data_center);
	g_free(engine->model);
	g_free(engine);
}

static void call_free(struct emod_call *call)
{
	g_string_free(call->text, TRUE);
	g_free(call->reason);
	g_free(call);
}

void emod_drop(struct emod *emod)
{
	guint i;

	drop_timers(emod);
	for (i = 0; i < emod->routers->len; i++) {
		struct router *router = router_at(emod, i);
		struct wf_module *runs = run_module(router->runs);
		struct wf_module *targets = tgt_module(router->targets);

		runs->ops->drop(runs);
		targets->ops->drop(targets);
		wf_ctx_drop(router->ctx);
	}
	for (i = 0; i < emod->engines->len; i++)
		engine_free(emod->engines->pdata[i]);
	for (i = 0; i < emod->calls->len; i++)
		call_free(emod->calls->pdata[i]);
	g_array_unref(emod->routers);
	g_array_unref(emod->records);
	g_hash_table_unref(emod->streams);
	g_hash_table_unref(emod->calls_by_id);
	g_hash_table_unref(emod->engines_by_id);
	g_ptr_array_unref(emod->engines);
	g_ptr_array_unref(emod->calls);
	g_free(emod);
}

struct emod_engine *emod_add_engine(struct emod *emod, const char *id,
				    const char *data_center, unsigned n_layers,
				    unsigned first, unsigned last,
				    unsigned slots, double step_us)
{
	struct emod_engine *engine = g_new0(struct emod_engine, 1);
	unsigned i;

	engine->id = g_strdup(id);
	engine->data_center = g_strdup(data_center);
	engine->model = g_strdup("swan");
	engine->incarnation = 1;
	engine->n_layers = n_layers;
	engine->first_layer = first;
	engine->last_layer = last;
	engine->slots = slots;
	engine->step_us = step_us;
	engine->listed = true;
	engine->alive = true;
	engine->slow = 1;
	engine->link = 1;
	engine->last_opened = -1;
	engine->kv = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	engine->busy = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	engine->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	for (i = 0; i < EMOD_PRIORITIES; i++)
		g_queue_init(&engine->queue[i]);
	g_ptr_array_add(emod->engines, engine);
	g_hash_table_insert(emod->engines_by_id, engine->id, engine);
	return engine;
}

struct emod_engine *emod_engine(struct emod *emod, const char *id)
{
	return id ? g_hash_table_lookup(emod->engines_by_id, id) : NULL;
}

unsigned emod_n_engines(const struct emod *emod)
{
	return emod->engines->len;
}

struct emod_engine *emod_engine_at(struct emod *emod, unsigned index)
{
	return emod->engines->pdata[index];
}

static void fill_instance(const struct emod_engine *engine,
			  struct wf_instance *instance)
{
	instance->id = engine->id;
	instance->role = WF_ROLE_ENGINE;
	instance->life = engine->list_leaving ? WF_LIFE_LEAVING : WF_LIFE_LIVE;
	instance->address = "127.0.0.1:9101";
	instance->data_center = engine->data_center;
	instance->incarnation = engine->incarnation;
	instance->serves = engine->model;
	instance->n_layers = engine->n_layers;
	instance->first_layer = engine->first_layer;
	instance->last_layer = engine->last_layer;
	instance->slots = engine->slots;
	instance->step_us = engine->step_us;
}

void emod_publish(struct emod *emod)
{
	struct wf_instance *list;
	struct wf_event event = {.type = WF_EV_INSTANCES};
	unsigned i;

	list = g_new0(struct wf_instance, emod->engines->len);
	for (i = 0; i < emod->engines->len; i++) {
		const struct emod_engine *engine = emod->engines->pdata[i];

		if (engine->listed)
			fill_instance(engine, &list[event.instances.n++]);
	}
	event.instances.list = list;
	event.instances.revision = ++emod->revision;
	for (i = 0; i < emod->routers->len; i++)
		deliver(emod, i, &event);
	g_free(list);
}

unsigned emod_submit(struct emod *emod, const struct emod_call *spec)
{
	struct emod_call *call = g_memdup2(spec, sizeof(*spec));
	struct wf_call wire = {.kind = WF_CALL_MODEL, .name = "swan"};
	struct wf_event event = {.type = WF_EV_CALL, .call = &wire};
	unsigned index = emod->calls->len;
	char *org = g_strdup_printf("org-%u", call->org);

	call->id = index + 1;
	call->arrival = emod_now(emod);
	call->opened = -1;
	call->first_token = -1;
	call->text = g_string_new(NULL);
	g_ptr_array_add(emod->calls, call);
	g_hash_table_insert(emod->calls_by_id,
			    g_memdup2(&call->id, sizeof(call->id)),
			    GUINT_TO_POINTER(index + 1));
	wire.id = call->id;
	wire.org = org;
	wire.prompt_tokens = call->prompt_tokens;
	wire.max_tokens = call->max_tokens;
	wire.prefix_hashes = &call->prefix;
	wire.n_prefix_hashes = call->prefix ? 1 : 0;
	wire.policy.priority = call->priority;
	wire.policy.weight = MAX(call->weight, 1);
	wire.policy.deadline = call->deadline;
	deliver(emod, call->router, &event);
	g_free(org);
	return index;
}

struct emod_call *emod_call_at(struct emod *emod, unsigned index)
{
	return emod->calls->pdata[index];
}

unsigned emod_n_calls(const struct emod *emod)
{
	return emod->calls->len;
}

void emod_caller_gone(struct emod *emod, unsigned index)
{
	const struct emod_call *call = emod->calls->pdata[index];
	struct wf_event event = {.type = WF_EV_CALLER_GONE};

	event.call_id = call->id;
	deliver(emod, call->router, &event);
}

clk_ms emod_now(const struct emod *emod)
{
	return emod->now / 1000;
}

void emod_at(struct emod *emod, clk_ms at, void (*call)(struct emod *, void *),
	     void *user)
{
	struct timer timer = {
		.type = TIMER_CALLBACK, .call = call, .user = user};

	push(emod, timer, 1000 * at - emod->now);
}

void emod_keep_records(struct emod *emod)
{
	emod->keep_records = true;
}

void emod_set_tamper(struct emod *emod, const struct emod_tamper *tamper)
{
	emod->has_tamper = true;
	emod->tamper = *tamper;
}

void emod_set_report_lag(struct emod *emod, clk_ms lag)
{
	emod->report_lag = lag;
}

void emod_set_detection(struct emod *emod, clk_ms stage, clk_ms head)
{
	emod->detect_stage = stage;
	emod->detect_head = head;
}

const GArray *emod_records(const struct emod *emod)
{
	return emod->records;
}

struct wf_ctx *emod_ctx(struct emod *emod, unsigned router)
{
	return router_at(emod, router)->ctx;
}

struct tgt_table *emod_targets(struct emod *emod, unsigned router)
{
	return router_at(emod, router)->targets;
}

struct run_runs *emod_runs(struct emod *emod, unsigned router)
{
	return router_at(emod, router)->runs;
}

void emod_drain(struct emod *emod, unsigned router)
{
	struct wf_event event = {.type = WF_EV_DRAIN};

	router_at(emod, router)->ctx->draining = true;
	deliver(emod, router, &event);
}
