#include "edge/edg_private.h"

/*
 * Streams that need a move off a lost engine. They are moved in the order and
 * within the budget of rcv, as many as possible at once; the others are tried
 * when a move ends, when a stream frees capacity or when the time after a
 * refusal is over.
 */

/* Streams of one round for which no path is found; each costs up to two
 * searches, during which the loop serves nobody. */
#define MAX_FAILED_MOVES 8
/* Time between two rounds when the first was ended by that limit. */
#define ROUND_INTERVAL_MS 25

static void count_result(struct edg_edge *edge, const char *result)
{
	char *name =
		g_strdup_printf("wf_edge_moves_total{result=\"%s\"}", result);

	ctr_add(edge->counters, g_intern_string(name), 1);
	g_free(name);
}

static void on_round(uv_timer_t *timer)
{
	edg_start_moves(timer->data);
}

void edg_open_moves(struct edg_edge *edge)
{
	uv_timer_init(edge->loop, &edge->move_timer);
	edge->move_timer.data = edge;
}

/* Also called while a request is being ended, so the work is left to the
 * timer. */
void edg_schedule_moves(struct edg_edge *edge)
{
	if (edge->moves.waiting)
		uv_timer_start(&edge->move_timer, on_round, 0, 0);
}

static double layers_of(const struct pth_path *path,
			const struct flt_target *target)
{
	double layers = 0;
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		const struct pth_stage *stage =
			&g_array_index(path->stages, struct pth_stage, i);

		if (stage->target == target)
			layers += stage->range.end - stage->range.first;
	}
	return layers;
}

bool edg_need_move(struct edg_request *request, const struct flt_target *lost,
		   const char *why)
{
	bool is_head_lost = request->target == lost;
	double layers = request->service->engine->layers;

	/* Only the head can change the path. An order that a silent head has
	 * not answered is left to it. */
	if (request->next_path && !is_head_lost)
		return false;
	if (!is_head_lost && !request->takeover)
		layers = layers_of(request->path, lost);
	if (!request->move.is_waiting) {
		request->lost_layers = 0;
		request->is_head_lost = false;
	}
	request->lost_layers = MAX(request->lost_layers, layers);
	request->is_head_lost |= is_head_lost;
	request->move_reason = why;
	rcv_wait(&request->edge->moves, &request->move);
	return true;
}

void edg_move_started(struct edg_request *request, double layers)
{
	rcv_start(&request->edge->moves, &request->move,
		  edg_tokens_so_far(request) * layers);
}

void edg_move_refused(struct edg_request *request, const char *result)
{
	struct edg_edge *edge = request->edge;

	count_result(edge, result);
	rcv_refuse(&edge->moves, &request->move, edg_now(edge));
	edg_schedule_moves(edge);
}

void edg_move_ended(struct edg_request *request, const char *result)
{
	struct edg_edge *edge = request->edge;

	if (!request->move.is_waiting && !request->move.is_moving)
		return;
	if (request->move.is_moving)
		count_result(edge, result);
	rcv_end(&edge->moves, &request->move);
	edg_schedule_moves(edge);
}

void edg_move_had_event(struct edg_request *request)
{
	/* The head has yet to answer the order. */
	if (request->next_path)
		return;
	edg_move_ended(request, request->takeover ? "not_needed" : "moved");
}

static GArray *list_losses(struct edg_edge *edge)
{
	GArray *losses = g_array_new(FALSE, FALSE, sizeof(struct rcv_loss));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, edge->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct edg_request *request = key;
		double output = request->splitter.events * EDG_TOKENS_PER_EVENT;
		struct rcv_loss loss = {
			.owner = request,
			.stream = &request->move,
			.events = request->splitter.events,
			.remaining = MAX(request->answer_tokens - output, 0),
			.work = edg_tokens_so_far(request) *
				request->lost_layers,
		};

		if (!request->move.is_waiting)
			continue;
		edg_request_keep(request);
		g_array_append_val(losses, loss);
	}
	rcv_sort(losses);
	return losses;
}

static void free_losses(GArray *losses)
{
	guint i;

	for (i = 0; i < losses->len; i++)
		edg_request_drop(
			g_array_index(losses, struct rcv_loss, i).owner);
	g_array_unref(losses);
}

static double find_limit(const struct edg_request *request)
{
	struct edg_edge *edge = request->edge;

	return rcv_limit(rcv_free_memory(edge->fleet, edg_now(edge),
					 request->service->name,
					 request->service->engine),
			 prs_count_instances(edge->peers));
}

/* Returns false if no path is found or no further run is allowed. */
static bool start_move(struct edg_request *request)
{
	if (request->takeover)
		return tko_start(request);
	if (request->is_head_lost)
		return edg_resume(request, request->move_reason);
	return edg_change_path(request, request->move_reason);
}

/* The stream may have ended, or gone on, during the round. */
static bool needs_move(const struct edg_request *request)
{
	return !request->is_freed && request->move.is_waiting &&
	       request->path && request->exchange;
}

/* Moves streams in the order of the array. Returns when the next round is due,
 * CLK_NEVER if it is when a move ends. */
static clk_ms move_in_order(struct edg_edge *edge, GArray *losses)
{
	const struct cat_service *service = NULL;
	clk_ms now = edg_now(edge);
	clk_ms next = CLK_NEVER;
	double limit = 0;
	unsigned failed = 0;
	guint i;

	for (i = 0; i < losses->len; i++) {
		struct rcv_loss *loss =
			&g_array_index(losses, struct rcv_loss, i);
		struct edg_request *request = loss->owner;
		enum rcv_decision decision;

		if (!needs_move(request))
			continue;
		if (request->service != service)
			limit = find_limit(request);
		service = request->service;
		decision = rcv_decide(&edge->moves, loss, now, limit);
		if (decision == RCV_NO_BUDGET)
			break;
		if (decision == RCV_MOVE && failed == MAX_FAILED_MOVES)
			return now + ROUND_INTERVAL_MS;
		if (decision == RCV_MOVE && !start_move(request)) {
			edg_move_refused(request, "no_path");
			failed++;
		}
		if (needs_move(request))
			next = MIN(next, request->move.not_before);
	}
	return next;
}

void edg_start_moves(struct edg_edge *edge)
{
	GArray *losses;
	clk_ms next;

	if (!edge->moves.waiting)
		return;
	losses = list_losses(edge);
	next = move_in_order(edge, losses);
	free_losses(losses);
	if (next == CLK_NEVER)
		uv_timer_stop(&edge->move_timer);
	else
		uv_timer_start(&edge->move_timer, on_round,
			       (uint64_t)MAX(next - edg_now(edge), 1), 0);
}
