#include <string.h>

#include "edge/edg_private.h"

/*
 * Stalled paths. A path stands still while one of its engines is lost, and
 * is cut off only seconds later. When a stream is silent for longer than its
 * path explains, its head is asked which engines it waits for; these are
 * avoided, and every request on them continues on another path. A head that
 * does not answer is itself the lost engine.
 */

/* Silence after which a head is asked, in expected times of an event. */
#define PAUSE_FACTOR 4
#define MIN_PAUSE_MS 200
/* Tokens of an event; only sets when to ask. */
#define TOKENS_PER_EVENT 4
/* A head is asked at most this often. */
#define ASK_INTERVAL_MS 400

struct inquiry {
	struct edg_edge *edge;
	struct flt_target *head;
};

static clk_ms expected_pause(const struct edg_request *request)
{
	double event_ms = request->path->token_ms * TOKENS_PER_EVENT;

	return MAX((clk_ms)(event_ms * PAUSE_FACTOR), MIN_PAUSE_MS);
}

static bool is_silent(const struct edg_request *request, clk_ms now)
{
	clk_ms since = MAX(request->last_event_at, request->sent_at);

	return now - since >= expected_pause(request);
}

/* Requests may end while they are moved, so the list is a copy. */
static void move_all(struct edg_edge *edge, const struct flt_target *lost,
		     const char *why)
{
	GList *requests = g_hash_table_get_keys(edge->requests);
	GList *item;
	clk_ms now = edg_now(edge);

	for (item = requests; item; item = item->next) {
		struct edg_request *request = item->data;

		if (request->path && request->exchange &&
		    pth_has(request->path, lost) && is_silent(request, now))
			edg_move(request, why);
	}
	g_list_free(requests);
}

static void lose(struct edg_edge *edge, struct flt_target *target,
		 const char *why)
{
	clk_ms now = edg_now(edge);
	char *subject = g_strdup_printf("target %s", target->id);

	if (now >= target->avoid_until)
		edg_log(edge, subject, "in use", "avoided", "reason=%s", why);
	g_free(subject);
	flt_target_keep(target);
	flt_note_down(target, now);
	move_all(edge, target, why);
	flt_target_drop(target);
}

static void on_report(void *user, const struct edg_report *report)
{
	struct inquiry *inquiry = user;
	struct edg_edge *edge = inquiry->edge;
	struct flt_target *target;
	guint i;

	if (!report) {
		lose(edge, inquiry->head, "head_is_silent");
	} else {
		for (i = 0; i < report->stalled->len; i++) {
			target = flt_find_address(edge->fleet,
						  report->stalled->pdata[i]);
			if (target)
				lose(edge, target, "path_is_stalled");
		}
	}
	flt_target_drop(inquiry->head);
	g_free(inquiry);
}

static void ask(struct edg_request *request)
{
	struct edg_edge *edge = request->edge;
	struct flt_target *head = request->target;
	struct inquiry *inquiry;
	clk_ms now = edg_now(edge);

	if (now - head->asked_at < ASK_INTERVAL_MS)
		return;
	head->asked_at = now;
	inquiry = g_new0(struct inquiry, 1);
	inquiry->edge = edge;
	inquiry->head = flt_target_keep(head);
	ctr_add(edge->counters, "wf_edge_stall_inquiries_total", 1);
	edge->platform->ops->ask_report(edge->platform, head, on_report,
					inquiry);
}

static void on_pause(uv_timer_t *timer)
{
	struct edg_request *request = timer->data;

	if (request->is_freed || !request->path || !request->exchange)
		return;
	if (is_silent(request, edg_now(request->edge)))
		ask(request);
	stl_watch(request);
}

void stl_watch(struct edg_request *request)
{
	clk_ms now = edg_now(request->edge);
	clk_ms since = MAX(request->last_event_at, request->sent_at);
	clk_ms due = since + expected_pause(request);

	if (due <= now)
		due = now + ASK_INTERVAL_MS;
	/* Each event moves the time; a running timer checks by itself. */
	if (uv_is_active((uv_handle_t *)&request->pause_timer))
		return;
	uv_timer_start(&request->pause_timer, on_pause, (uint64_t)(due - now),
		       0);
}
