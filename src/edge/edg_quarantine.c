#include <string.h>

#include <wagtailferry/core.h>

#include "edge/edg_private.h"

/*
 * Runs that end with a lost connection are evidence on the parts of their
 * prompts if the head has crashed. A head that still reports as the same
 * process has not, and a connection that is lost then is no evidence. One that
 * does not report is lost, and is marked so at once: its entry is listed for
 * seconds, and paths and the plan would go on counting on its layers.
 */

/* A request whose runs were cut this often before they had an event is not sent
 * again while one of its parts is suspected. */
#define MAX_CUT_RUNS 2
/* Interval at which verdicts are applied, also those learned from peers. */
#define APPLY_INTERVAL_MS 50
/* Minimum time between two questions to a head, unless prompt parts are
 * suspected. */
#define QUERY_INTERVAL_MS 1000
/* A stream that has lost fewer runs goes on whatever crashes in the stream say
 * of its parts: they cut mostly sound streams. */
#define SPARED_LOST_RUNS 3
/* A part that this many other streams here hold, and at least this fraction of
 * all, is not suspected because of a stream that was cut. */
#define COMMON_STREAMS 8
#define COMMON_FRACTION 0.5
/* The engine of a run that was cut without an event, but not before this time,
 * outlived the crash that cut the run before. */
#define OUTLIVED_MS 20
/* The quarantine is told of the first event of a run and then each time after
 * this many. */
#define EVENTS_PER_RECORD 8
/* When a request with a suspected part may return if it was not run. */
#define SUSPECTED_RETRY_MS 1000

/* A part of a request that was cut, with the flags of the crash. */
struct cut_part {
	uint64_t key;
	bool has_answer;
	unsigned flags;
};

/* A question to a head whose connections were lost or refused. */
struct cut_inquiry {
	struct edg_edge *edge;
	struct flt_target *target;
	/* The process to which the requests were sent. */
	int64_t started_at;
	clk_ms at;
	/* Of struct cut_part. */
	GArray *parts;
};

static void on_apply(uv_timer_t *timer)
{
	edg_apply_quarantine(timer->data);
}

void edg_open_quarantine(struct edg_edge *edge)
{
	edge->quarantine =
		qtn_new(wf_hash(edge->instance, strlen(edge->instance), 0));
	edge->cut_inquiries = g_hash_table_new(NULL, NULL);
	uv_timer_init(edge->loop, &edge->quarantine_timer);
	edge->quarantine_timer.data = edge;
	uv_timer_start(&edge->quarantine_timer, on_apply, APPLY_INTERVAL_MS,
		       APPLY_INTERVAL_MS);
}

void edg_close_quarantine(struct edg_edge *edge)
{
	g_hash_table_unref(edge->cut_inquiries);
	qtn_drop(edge->quarantine);
}

struct qtn_quarantine *edg_quarantine(struct edg_edge *edge)
{
	return edge->quarantine;
}

void edg_read_parts(struct edg_request *request)
{
	const char *list = hdr_get(&request->http->headers,
				   request->edge->fields->prompt_parts);
	uint64_t keys[QTN_MAX_PROMPT_PARTS];

	if (!request->service->engine)
		return;
	request->n_parts = qtn_parse_parts(list, request->service->name, keys);
	request->parts = g_memdup2(keys, request->n_parts * sizeof(*keys));
}

static void end_suspect(struct edg_request *request, clk_ms retry_after,
			const char *type)
{
	struct hsv_request *http = request->http;

	if (request->is_answer_started) {
		edg_log_request_end(request, type, request->status);
		edg_request_free(request);
		hsv_abort(http);
	} else if (edg_may_have_run(request)) {
		edg_refuse(request, 502, type,
			   "engines crash on a part of the prompt");
	} else {
		edg_refuse_not_run(request, retry_after, type,
				   "engines crash on a part of the prompt");
	}
}

static void refuse(struct edg_request *request, enum qtn_verdict verdict,
		   clk_ms retry_after)
{
	bool is_held = verdict == QTN_HELD;

	ctr_add(request->edge->counters,
		is_held ? "wf_edge_quarantine_held_total"
			: "wf_edge_quarantine_refused_total",
		1);
	end_suspect(request, retry_after,
		    is_held ? "part_suspected" : "part_quarantined");
}

static bool is_spared(const struct edg_request *request)
{
	return request->is_answer_started &&
	       request->lost_runs < SPARED_LOST_RUNS;
}

bool edg_check_parts(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	clk_ms now = edg_now(edge);
	clk_ms retry_after = SUSPECTED_RETRY_MS;
	enum qtn_verdict verdict;

#ifdef WF_GUARD_OFF_EDGE_QUARANTINE
	return true;
#endif
	edg_end_probe(request);
	verdict = qtn_check(edge->quarantine, now, request->parts,
			    request->n_parts, is_spared(request), &retry_after);
	request->is_probe = verdict == QTN_PROBE;
	if (verdict <= QTN_PROBE && request->cut_runs >= MAX_CUT_RUNS &&
	    edg_has_suspected_part(request)) {
		edg_end_probe(request);
		verdict = QTN_HELD;
	}
	if (verdict <= QTN_PROBE)
		return true;
	refuse(request, verdict, retry_after);
	return false;
}

/* Events of the current run that are progress. */
static unsigned run_events(const struct edg_request *request)
{
	return request->splitter.progress - request->progress_before_send;
}

void edg_parts_had_events(struct edg_request *request, unsigned n)
{
	struct edg_edge *edge = request->edge;
	unsigned events = run_events(request);
	unsigned before = events - n;

	if (before && before / EVENTS_PER_RECORD == events / EVENTS_PER_RECORD)
		return;
	request->cut_runs = 0;
	qtn_record_events(edge->quarantine, edg_now(edge), request->parts,
			  request->n_parts, events);
}

void edg_parts_were_whole(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;

	qtn_record_whole(edge->quarantine, edg_now(edge), request->parts,
			 request->n_parts);
}

void edg_end_probe(struct edg_request *request)
{
	if (request->is_probe)
		qtn_end_probe(request->edge->quarantine, request->parts,
			      request->n_parts);
	request->is_probe = false;
}

/* Counts the streams at other heads that go on, and returns how many of them
 * hold each part. The keys are those of the requests. */
static GHashTable *count_holders(const struct cut_inquiry *inquiry,
				 unsigned *streams)
{
	GHashTable *holders = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	*streams = 0;
	g_hash_table_iter_init(&iter, inquiry->edge->requests);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const struct edg_request *request = value;

		if (!request->exchange || !request->n_parts ||
		    request->target == inquiry->target || !run_events(request))
			continue;
		(*streams)++;
		for (i = 0; i < request->n_parts; i++) {
			uint64_t *key = &request->parts[i];
			gpointer count = g_hash_table_lookup(holders, key);

			if (!qtn_contains(request->parts, i, *key))
				g_hash_table_insert(
					holders, key,
					GUINT_TO_POINTER(
						GPOINTER_TO_UINT(count) + 1));
		}
	}
	return holders;
}

/* Whether most streams at other heads hold the part and go on. */
static bool is_common(GHashTable *holders, unsigned streams, uint64_t key)
{
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(holders, &key));

	return n >= COMMON_STREAMS && n >= COMMON_FRACTION * streams;
}

static void record_crash(const struct cut_inquiry *inquiry)
{
	struct edg_edge *edge = inquiry->edge;
	uint32_t process = (uint32_t)wf_hash(&inquiry->started_at,
					     sizeof(inquiry->started_at),
					     inquiry->target->id_hash);
	unsigned answered = 0;
	unsigned in_stream = 0;
	unsigned streams;
	GHashTable *holders;
	guint i;

	if (!inquiry->parts->len)
		return;
	holders = count_holders(inquiry, &streams);
	for (i = 0; i < inquiry->parts->len; i++) {
		const struct cut_part *part =
			&g_array_index(inquiry->parts, struct cut_part, i);

		if (part->flags >> QTN_EVENTS_SHIFT)
			in_stream++;
		else
			answered += part->has_answer;
		if (part->flags >> QTN_EVENTS_SHIFT &&
		    is_common(holders, streams, part->key))
			continue;
		qtn_record_crash(edge->quarantine, inquiry->at, part->key,
				 qtn_crash_id(process, part->has_answer),
				 part->flags);
	}
	g_hash_table_unref(holders);
	ctr_add(edge->counters, "wf_edge_quarantine_crashes_total", 1);
	edg_log(edge, "prompt parts", "unsuspected", "suspected",
		"head=%s parts=%u answered_parts=%u stream_parts=%u",
		inquiry->target->id, inquiry->parts->len - answered - in_stream,
		answered, in_stream);
	edg_apply_quarantine(edge);
}

static void on_report(void *user, enum edg_report_result result,
		      const struct edg_report *report)
{
	struct cut_inquiry *inquiry = user;
	struct edg_edge *edge = inquiry->edge;

	g_hash_table_remove(edge->cut_inquiries, inquiry->target);
	if (!report || (report->started_at && inquiry->started_at &&
			report->started_at != inquiry->started_at))
		record_crash(inquiry);
	if (!report)
		stl_mark_lost(edge, inquiry->target,
			      result == EDG_REPORT_UNREACHABLE,
			      "connections_lost");
	flt_target_drop(inquiry->target);
	g_array_unref(inquiry->parts);
	g_free(inquiry);
}

static struct cut_inquiry *ask(struct edg_edge *edge, struct flt_target *target,
			       int64_t started_at)
{
	struct cut_inquiry *inquiry = g_new0(struct cut_inquiry, 1);

	inquiry->edge = edge;
	inquiry->target = flt_target_keep(target);
	inquiry->started_at = started_at;
	inquiry->at = edg_now(edge);
	inquiry->parts = g_array_new(FALSE, FALSE, sizeof(struct cut_part));
	target->report_requested_at = inquiry->at;
	g_hash_table_insert(edge->cut_inquiries, target, inquiry);
	edge->platform->ops->ask_report(edge->platform, target, on_report,
					inquiry);
	return inquiry;
}

static void add_parts(struct cut_inquiry *inquiry,
		      const struct edg_request *request, bool has_answer,
		      unsigned flags)
{
	unsigned i;

	for (i = 0; i < request->n_parts; i++) {
		struct cut_part part = {request->parts[i], has_answer, flags};

		g_array_append_val(inquiry->parts, part);
	}
}

/* A run that has ended. */
struct ended_run {
	struct flt_target *target;
	/* Start of the process to which it was sent. */
	int64_t started_at;
	clk_ms sent_at;
	/* Its connection was lost. */
	bool is_cut;
	bool has_answer;
	unsigned events;
};

static unsigned crash_flags(const struct edg_request *request,
			    const struct ended_run *run)
{
	bool has_outlived =
		run->events ||
		edg_now(request->edge) - run->sent_at >= OUTLIVED_MS;

	return qtn_crash_flags(run->events,
			       has_outlived ? request->lost_runs : 0);
}

static void question(struct edg_request *request, const struct ended_run *run)
{
	struct edg_edge *edge = request->edge;
	struct cut_inquiry *inquiry =
		g_hash_table_lookup(edge->cut_inquiries, run->target);
	/* A head that leaves ends what it still runs. */
	bool is_evidence = run->is_cut && request->n_parts &&
			   run->target->state != FLT_DRAINING;

	if (!inquiry && !is_evidence &&
	    edg_now(edge) - run->target->report_requested_at <
		    QUERY_INTERVAL_MS)
		return;
	if (!inquiry)
		inquiry = ask(edge, run->target, run->started_at);
	if (!is_evidence)
		return;
	add_parts(inquiry, request, run->has_answer, crash_flags(request, run));
	request->lost_runs++;
	if (!run->events)
		request->cut_runs++;
}

void edg_question_head(struct edg_request *request, enum hup_result how)
{
	struct ended_run run = {
		.target = request->target,
		.started_at = request->sent_to_start,
		.sent_at = request->sent_at,
		.is_cut = how == HUP_CONN_LOST,
		.has_answer = request->status == 200,
		.events = run_events(request),
	};

	if (request->path && (run.is_cut || !hup_was_sent(how)))
		question(request, &run);
}

void edg_question_target(struct edg_request *request, struct flt_target *target,
			 int64_t started_at, clk_ms sent_at,
			 enum hup_result how)
{
	struct ended_run run = {
		.target = target,
		.started_at = started_at,
		.sent_at = sent_at,
		.is_cut = how == HUP_CONN_LOST,
	};

	if (run.is_cut || !hup_was_sent(how))
		question(request, &run);
}

bool edg_has_suspected_part(const struct edg_request *request)
{
	const struct edg_edge *edge = request->edge;

	return request->n_parts &&
	       qtn_is_suspected(edge->quarantine, edg_now(edge), request->parts,
				request->n_parts);
}

/* Ends a request that waits or has no event yet, if its parts are quarantined.
 * One that had an event in its run is not what crashes engines. */
static void end_if_quarantined(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	clk_ms left;

	if (request->is_freed || request->is_probe || run_events(request))
		return;
	left = qtn_time_left(edge->quarantine, edg_now(edge), request->parts,
			     request->n_parts, is_spared(request));
	if (!left)
		return;
	if (request->exchange)
		edg_record_run(request, request->target);
	refuse(request, QTN_QUARANTINED, left);
}

/* Ending requests changes the set, so this iterates over a copy. */
static void end_quarantined(struct edg_edge *edge)
{
	GList *requests = g_hash_table_get_keys(edge->requests);
	GList *item;

	for (item = requests; item; item = item->next)
		end_if_quarantined(item->data);
	g_list_free(requests);
}

void edg_apply_quarantine(struct edg_edge *edge)
{
	struct qtn_change change;
	bool is_changed = false;

	while (qtn_next_change(edge->quarantine, edg_now(edge), &change)) {
		char *subject = g_strdup_printf(
			"prompt part %016" G_GINT64_MODIFIER "x", change.part);

		ctr_add(edge->counters, "wf_edge_quarantines_total", 1);
		edg_log(edge, subject, "suspected", "quarantined",
			"crashes=%u for_ms=%" G_GINT64_FORMAT, change.crashes,
			change.retry_after);
		g_free(subject);
		is_changed = true;
	}
	if (is_changed)
		end_quarantined(edge);
}
