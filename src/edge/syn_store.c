#include "edge/syn_store.h"

/* Time allowed for the response beyond the hold time of the watch. */
#define WATCH_RESPONSE_MARGIN_MS 800
/* Delay of the next watch after changes, so that it returns several at once. */
#define BATCH_DELAY_MS 250
/* Retry delay, doubled after each failure up to the maximum; the actual delay
 * is random, between half of it and all. */
#define MIN_BACKOFF_MS 80
#define MAX_BACKOFF_MS 640
/* A watch held for its full time without changes shows that the copy was up to
 * date until its end, less the clock drift between store and instance. */
#define CLOCK_DRIFT_MARGIN_MS 50

struct syn_sync {
	uv_timer_t timer;
	clk_ms (*now)(void *user);
	const struct syn_ops *ops;
	void *user;
	int64_t revision;
	/* A list was completed, so changes can be watched. */
	bool has_complete_list;
	clk_ms requested_at;
	/* Hold time requested by the current watch. */
	clk_ms requested_wait;
	clk_ms last_response_at;
	unsigned failures;
};

static void request_list(struct syn_sync *sync, const char *after)
{
	sync->requested_at = sync->now(sync->user);
	sync->ops->request_list(sync->user, after);
}

static void request_watch(struct syn_sync *sync)
{
	/* After a failure the store is asked not to hold the response, which
	 * shows at once whether the copy is up to date. */
	sync->requested_wait =
		sync->failures ? 0 : sync->ops->watch_wait(sync->user);
	sync->requested_at = sync->now(sync->user);
	sync->ops->request_watch(
		sync->user, sync->revision, sync->requested_wait,
		sync->requested_wait + WATCH_RESPONSE_MARGIN_MS);
}

static void ask(struct syn_sync *sync)
{
	if (sync->has_complete_list) {
		request_watch(sync);
		return;
	}
	sync->ops->begin_list(sync->user);
	request_list(sync, NULL);
}

static void on_timer(uv_timer_t *timer)
{
	ask(timer->data);
}

static void schedule_retry(struct syn_sync *sync)
{
	clk_ms backoff = MIN_BACKOFF_MS;
	unsigned i;

	for (i = 0; i < sync->failures && backoff < MAX_BACKOFF_MS; i++)
		backoff *= 2;
	sync->failures++;
	uv_timer_start(&sync->timer, on_timer,
		       (uint64_t)g_random_int_range((gint32)backoff / 2,
						    (gint32)backoff),
		       0);
}

void syn_note_response(struct syn_sync *sync)
{
	clk_ms now = sync->now(sync->user);
	bool recovered = sync->failures > 0;
	clk_ms outage = now - sync->last_response_at;

	sync->failures = 0;
	sync->last_response_at = now;
	if (recovered)
		sync->ops->recovered(sync->user, outage);
}

struct syn_sync *syn_new(uv_loop_t *loop, clk_ms (*now)(void *user),
			 const struct syn_ops *ops, void *user)
{
	struct syn_sync *sync = g_new0(struct syn_sync, 1);

	sync->now = now;
	sync->ops = ops;
	sync->user = user;
	sync->last_response_at = now(user);
	uv_timer_init(loop, &sync->timer);
	sync->timer.data = sync;
	return sync;
}

void syn_start(struct syn_sync *sync)
{
	ask(sync);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void syn_drop(struct syn_sync *sync)
{
	if (sync)
		uv_close((uv_handle_t *)&sync->timer, on_closed);
}

void syn_on_list(struct syn_sync *sync, enum syn_result result,
		 int64_t revision, bool has_more, const char *last)
{
	if (result != SYN_OK) {
		schedule_retry(sync);
		return;
	}
	/* Watch from the revision of the first page, so that changes made while
	 * the list is read are not missed. */
	if (!sync->revision)
		sync->revision = revision;
	if (has_more) {
		request_list(sync, last);
		return;
	}
	sync->has_complete_list = true;
	sync->ops->end_list(sync->user);
	sync->ops->confirm(sync->user, sync->requested_at);
	ask(sync);
}

void syn_on_watch(struct syn_sync *sync, enum syn_result result,
		  int64_t revision, bool has_events)
{
	clk_ms elapsed = sync->now(sync->user) - sync->requested_at;
	clk_ms confirmed = sync->requested_at;

	if (result == SYN_HISTORY_GONE) {
		sync->has_complete_list = false;
		sync->revision = 0;
		ask(sync);
		return;
	}
	if (result != SYN_OK) {
		schedule_retry(sync);
		return;
	}
	sync->revision = MAX(sync->revision, revision);
	if (!has_events && elapsed >= sync->requested_wait)
		confirmed +=
			MAX(sync->requested_wait - CLOCK_DRIFT_MARGIN_MS, 0);
	sync->ops->confirm(sync->user, confirmed);
	if (has_events)
		uv_timer_start(&sync->timer, on_timer, BATCH_DELAY_MS, 0);
	else
		ask(sync);
}
