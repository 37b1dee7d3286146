#include "edge/edg_private.h"

/* Maximum changes of path per request. */
#define MAX_REROUTES 4
/* Maximum orders for one change of path while there is no answer. Repeating is
 * safe: each order has the same path, also if the engine executes one late. */
#define MAX_REROUTE_ORDERS 3
/* A sound engine may be silent for about a second. */
#define LOST_AFTER_MS 1000
/* Minimum time between two searches for a path of a silent stream: many streams
 * are silent at once when an engine is lost. */
#define RESTART_INTERVAL_MS 500

/* A pending order to a head to change the path of a running request. */
struct reroute_call {
	/* Holds a reference. */
	struct edg_request *request;
	/* The send at the time of the order; a later one differs. */
	struct hup_exchange *exchange;
};

static bool is_current(const struct reroute_call *call)
{
	const struct edg_request *request = call->request;

	return !request->is_freed && request->next_path &&
	       request->exchange == call->exchange;
}

static void switch_path(struct edg_request *request)
{
	pth_free(request->path);
	request->path = request->next_path;
	request->next_path = NULL;
	request->last_event_at = edg_now(request->edge);
}

static bool reroute(struct edg_request *request);
static void order_reroute(struct edg_request *request);

static void handle_reroute_refusal(struct edg_request *request, const char *at)
{
	struct edg_edge *edge = request->edge;
	struct flt_target *full =
		at ? flt_find_by_address(edge->fleet, at) : NULL;

	if (full)
		flt_mark_no_room(full, edg_now(edge));
	if (!full || !reroute(request))
		edg_resume(request, "reroute_failed");
}

static void handle_result(struct edg_request *request,
			  enum edg_order_result result, const char *at)
{
	edg_log_send(request,
		     result == EDG_ORDER_TAKEN ? "rerouted" : "not rerouted",
		     "head=%s result=%d at=%s after_event=%s order=%u",
		     request->target->id, (int)result, at ? at : "-",
		     request->splitter.last_id->str, request->reroute_orders);
	if (result == EDG_ORDER_TAKEN) {
		switch_path(request);
		return;
	}
	if (result == EDG_ORDER_UNKNOWN)
		request->has_unknown_order = true;
	if (result == EDG_ORDER_UNKNOWN &&
	    request->reroute_orders < MAX_REROUTE_ORDERS &&
	    edg_now(request->edge) >= request->target->down_until) {
		order_reroute(request);
		return;
	}
	pth_free(request->next_path);
	request->next_path = NULL;
	if (result == EDG_ORDER_REFUSED)
		handle_reroute_refusal(request, at);
	else
		edg_resume(request, "reroute_failed");
}

static void on_rerouted(void *user, enum edg_order_result result,
			const char *at)
{
	struct reroute_call *call = user;
	struct edg_request *request = call->request;

	if (is_current(call))
		handle_result(request, result, at);
	edg_request_drop(request);
	g_free(call);
}

static void order_reroute(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct reroute_call *call = g_new0(struct reroute_call, 1);

	call->request = edg_request_keep(request);
	call->exchange = request->exchange;
	request->reroute_orders++;
	edge->platform->ops->reroute(edge->platform, request->target,
				     request->id, request->next_path,
				     on_rerouted, call);
}

static double tokens_so_far(const struct edg_request *request)
{
	return request->prompt_tokens +
	       request->splitter.events * EDG_TOKENS_PER_EVENT;
}

/* Changes the path of the running request: the other engines keep their state
 * and nothing is sent again. */
static bool reroute(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct pth_query query = edg_path_query(request);

	query.current = request->path;
	query.prefill_tokens = tokens_so_far(request);
	if (request->reroutes >= MAX_REROUTES ||
	    edg_now(edge) < request->target->down_until ||
	    pth_find(edge->fleet, edg_now(edge), &query, edge->rand,
		     &request->next_path) != PTH_FOUND)
		return false;
	/* Reserved before the answer, so that other requests of the lost engine
	 * see the load. */
	pth_reserve(request->next_path, edg_now(edge), query.tokens);
	request->reroutes++;
	request->reroute_orders = 0;
	order_reroute(request);
	return true;
}

void edg_change_path(struct edg_request *request, const char *why)
{
	if (request->next_path || request->takeover)
		return;
	if (!reroute(request))
		edg_resume(request, why);
}

/* An engine of the path that was still down after a second of silence. A mark
 * from before that may be of an engine that is only slow. */
static struct flt_target *find_lost(const struct edg_request *request,
				    clk_ms now)
{
	clk_ms silent_since = stl_silent_since(request);
	const GArray *stages = request->path->stages;
	guint i;

	for (i = 0; i < stages->len; i++) {
		struct flt_target *target =
			g_array_index(stages, struct pth_stage, i).target;

		if (flt_was_down_since(target, now,
				       silent_since + LOST_AFTER_MS))
			return target;
	}
	return NULL;
}

/* Finds a path as for a new request, without the engines that are down. */
static struct pth_path *find_path_without(const struct edg_request *request,
					  const struct flt_target *lost)
{
	struct edg_edge *edge = request->edge;
	struct pth_query query = edg_path_query(request);
	struct pth_path *path = NULL;

	query.without = lost;
	query.prefill_tokens = tokens_so_far(request);
	if (pth_find(edge->fleet, edg_now(edge), &query, edge->rand, &path) !=
	    PTH_FOUND)
		return NULL;
	/* A late order would move the new run of the same id too. */
	if (pth_head(path) == request->target && request->has_unknown_order) {
		pth_free(path);
		return NULL;
	}
	return path;
}

void edg_restart_without_lost(struct edg_request *request)
{
	clk_ms now = edg_now(request->edge);
	const struct flt_target *lost;
	struct pth_path *path;

#ifdef WF_GUARD_OFF_EDGE_LOST_ENGINE
	return;
#endif
	if (request->takeover || request->next_path ||
	    now < request->next_restart_at || edg_has_suspected_part(request))
		return;
	lost = find_lost(request, now);
	if (!lost)
		return;
	request->next_restart_at = now + RESTART_INTERVAL_MS;
	path = find_path_without(request, lost);
	if (!path)
		return;
	if (!edg_may_run_elsewhere(request)) {
		pth_free(path);
		return;
	}
	edg_log_send(request, "restarted",
		     "head=%s from=%s without=%s after_event=%s",
		     pth_head(path)->id, request->target->id, lost->id,
		     request->splitter.last_id->str);
	edg_resend_on(request, path);
}
