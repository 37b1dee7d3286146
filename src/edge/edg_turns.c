#include <time.h>

#include "edge/edg_private.h"

/* Longer turns are logged: the objective for pauses between events. */
#define LONG_TURN_MS 250
#define NS_PER_MS 1000000
/* New requests started per turn; as many as the searches of one round of
 * waiting streams. Each may need a path search, the longest part of a turn. */
#define MAX_STARTS_PER_TURN 8

/* CPU time of this thread in ns. */
static uint64_t cpu_time(void)
{
	struct timespec time;

	if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time))
		return 0;
	return (uint64_t)time.tv_sec * 1000000000 + (uint64_t)time.tv_nsec;
}

enum trn_class edg_count_time_as(struct edg_edge *edge, enum trn_class class)
{
	return trn_switch(&edge->turns, class, uv_hrtime());
}

static void log_long_turn(struct edg_edge *edge, const struct trn_turn *turn)
{
	GString *detail = g_string_new(NULL);
	int i;

	g_string_printf(detail,
			"longest=%s turn_ms=%" G_GUINT64_FORMAT
			" cpu_ms=%" G_GUINT64_FORMAT,
			trn_class_name(trn_main_class(turn)),
			turn->total / NS_PER_MS, turn->cpu / NS_PER_MS);
	for (i = 0; i < TRN_CLASSES; i++)
		g_string_append_printf(detail, " %s_ms=%" G_GUINT64_FORMAT,
				       trn_class_name((enum trn_class)i),
				       turn->took[i] / NS_PER_MS);
	edg_log(edge, "loop", "turn", "slow", "%s", detail->str);
	g_string_free(detail, TRUE);
}

static void on_prepare(uv_prepare_t *handle)
{
	struct edg_edge *edge = handle->data;
	struct trn_turn turn =
		trn_end(&edge->turns, uv_hrtime(),
			uv_metrics_idle_time(edge->loop), cpu_time());

	edge->started_in_turn = 0;
	if (turn.total > (uint64_t)LONG_TURN_MS * NS_PER_MS)
		log_long_turn(edge, &turn);
}

/* From here to on_prepare() the loop runs timers and frees closed handles. */
static void on_check(uv_check_t *handle)
{
	edg_count_time_as(handle->data, TRN_TIMERS);
}

static bool may_start(const struct edg_edge *edge)
{
#ifdef WF_GUARD_OFF_EDGE_TURN_BOUND
	return true;
#endif
	return edge->started_in_turn < MAX_STARTS_PER_TURN;
}

static void start(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	enum trn_class before = edg_count_time_as(edge, TRN_REQUESTS);

	edge->started_in_turn++;
	edg_start_request(request);
	edg_count_time_as(edge, before);
}

void edg_stop_holding(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;

	if (!request->is_held)
		return;
	request->is_held = false;
	g_queue_unlink(&edge->held, &request->held_link);
	if (!edge->held.length)
		uv_idle_stop(&edge->held_starter);
}

/* Runs once per turn, and keeps the loop from waiting while it is active. */
static void on_idle(uv_idle_t *handle)
{
	struct edg_edge *edge = handle->data;

	while (edge->held.length && may_start(edge)) {
		struct edg_request *request = edge->held.head->data;

		edg_stop_holding(request);
		start(request);
	}
}

void edg_start_in_turn(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;

	if (!edge->held.length && may_start(edge)) {
		start(request);
		return;
	}
	ctr_add(edge->counters, "wf_edge_held_requests_total", 1);
	request->is_held = true;
	request->held_link.data = request;
	g_queue_push_tail_link(&edge->held, &request->held_link);
	uv_idle_start(&edge->held_starter, on_idle);
}

void edg_watch_turns(struct edg_edge *edge)
{
	uv_loop_configure(edge->loop, UV_METRICS_IDLE_TIME);
	uv_prepare_init(edge->loop, &edge->turn_end);
	uv_check_init(edge->loop, &edge->turn_timers);
	uv_idle_init(edge->loop, &edge->held_starter);
	edge->held_starter.data = edge;
	edge->turn_end.data = edge;
	edge->turn_timers.data = edge;
	uv_prepare_start(&edge->turn_end, on_prepare);
	uv_check_start(&edge->turn_timers, on_check);
}

clk_ms edg_take_longest_turn(struct edg_edge *edge)
{
	return (clk_ms)(trn_take_longest(&edge->turns) / NS_PER_MS);
}

enum pth_result edg_find_path(struct edg_edge *edge,
			      const struct pth_query *query,
			      struct pth_path **out)
{
	enum trn_class before = edg_count_time_as(edge, TRN_SEARCHES);
	enum pth_result result =
		pth_find(edge->fleet, edg_now(edge), query, edge->rand, out);

	edg_count_time_as(edge, before);
	return result;
}
