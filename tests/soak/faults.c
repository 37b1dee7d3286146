#include <signal.h>
#include <stdlib.h>

#include "soak.h"

/* Bounds of the interval between faults and of their durations. */
#define MIN_INTERVAL_MS 100
#define MAX_INTERVAL_MS 700
#define MIN_DURATION_MS 300
#define MAX_DURATION_MS 3500
/* Entries of silent workers expire after about three heartbeats. */
#define ENTRY_EXPIRY_MS 3600
#define KILL_DELAY_MS 8000

/* Silence of a sound worker. */
#define MIN_SILENCE_MS 700
#define MAX_SILENCE_MS 1500
#define MIN_LEAVING_MS 3000
#define MAX_LEAVING_MS 6000
#define MAX_FULL_MS 3000
/* Beyond what JSON parsers accept. */
#define ODD_DEPTH 3000

enum fault {
	FAULT_EDGE_KILL,
	FAULT_EDGE_TERM,
	FAULT_EDGE_STOP,
	FAULT_EDGE_RELOAD,
	FAULT_STORE_SILENT,
	FAULT_STORE_BUSY,
	FAULT_STORE_COMPACTED,
	FAULT_STORE_LINK,
	FAULT_WORKER_CRASH,
	FAULT_WORKER_LINK,
	FAULT_WORKER_DRAIN,
	FAULT_WORKER_SILENT,
	FAULT_WORKER_LEAVING,
	FAULT_WORKER_FULL,
	FAULT_ODD_ENTRY,
	FAULT_CONFIG,
	N_FAULTS,
};

/* How often a profile has each fault, relative to the others. */
static const unsigned shares[SOAK_PROFILES][N_FAULTS] = {
	[SOAK_ALL_FAULTS] = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 3, 2, 2, 2, 3},
	[SOAK_WORKER_FAULTS] = {0, 1, 0, 1, 0, 0, 0, 0, 1, 1, 1, 4, 2, 2, 2, 3},
	[SOAK_PLANNED_WORK] = {0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 1, 5, 2, 2, 2, 4},
};

/* A fault in effect; its timer ends it. */
struct active_fault {
	uv_timer_t timer;
	struct soak *soak;
	enum fault fault;
	void *subject;
};

static void on_end_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void end_worker_fault(struct active_fault *active)
{
	struct soak_worker *worker = active->subject;

	if (active->fault == FAULT_WORKER_LINK) {
		proxy_set_mode(worker->proxy, PROXY_PASS);
		worker->is_dead = false;
		worker->disrupted_until = soak_now(active->soak);
		worker->unplanned_until = worker->disrupted_until;
		return;
	}
	if (active->fault == FAULT_WORKER_CRASH)
		worker->unplanned_until = soak_now(active->soak);
	else
		soak_worker_crash(worker);
	proxy_set_mode(worker->proxy, PROXY_PASS);
	soak_worker_restart(worker);
}

static void end_edge_fault(struct active_fault *active)
{
	struct soak_edge *edge = active->subject;

	if (active->fault == FAULT_EDGE_STOP) {
		soak_edge_signal(edge, SIGCONT);
		return;
	}
	/* Not if it has drained and was restarted in the meantime. */
	if (active->fault == FAULT_EDGE_TERM && edge->terminated_at)
		soak_edge_signal(edge, SIGKILL);
	if (!edge->is_running && edge->restarts)
		soak_edge_start(edge);
}

static void on_fault_end(uv_timer_t *timer)
{
	struct active_fault *active = timer->data;
	struct soak *soak = active->soak;

	switch (active->fault) {
	case FAULT_EDGE_KILL:
	case FAULT_EDGE_TERM:
	case FAULT_EDGE_STOP:
		end_edge_fault(active);
		break;
	case FAULT_STORE_SILENT:
	case FAULT_STORE_BUSY:
	case FAULT_STORE_COMPACTED:
		soak->world.store_mode = STORE_ANSWERS;
		soak->store_faulty_until = soak_now(soak);
		break;
	case FAULT_STORE_LINK:
		proxy_set_mode(((struct soak_edge *)active->subject)->store,
			       PROXY_PASS);
		((struct soak_edge *)active->subject)->faulty_until =
			soak_now(soak);
		break;
	case FAULT_ODD_ENTRY:
		world_delete(&soak->world, "servers", active->subject);
		g_free(active->subject);
		break;
	default:
		end_worker_fault(active);
	}
	uv_close((uv_handle_t *)timer, on_end_timer_closed);
}

static void end_fault_after(struct soak *soak, enum fault fault, void *subject,
			    clk_ms duration)
{
	struct active_fault *active = g_new0(struct active_fault, 1);

	active->soak = soak;
	active->fault = fault;
	active->subject = subject;
	uv_timer_init(&soak->world.wire.loop, &active->timer);
	active->timer.data = active;
	uv_timer_start(&active->timer, on_fault_end, (uint64_t)duration, 0);
}

static clk_ms draw_duration(struct soak *soak)
{
	return g_rand_int_range(soak->rand, MIN_DURATION_MS, MAX_DURATION_MS);
}

static enum proxy_mode draw_mode(struct soak *soak)
{
	return (enum proxy_mode)g_rand_int_range(soak->rand, PROXY_DELAY,
						 PROXY_RESET + 1);
}

static struct soak_edge *draw_edge(struct soak *soak)
{
	struct soak_edge *edge = soak->edges->pdata[g_rand_int_range(
		soak->rand, 0, (gint32)soak->edges->len)];

	return edge->is_running && !edge->is_stopped && !edge->terminated_at
		       ? edge
		       : NULL;
}

static struct soak_worker *draw_worker(struct soak *soak)
{
	struct soak_worker *worker = soak->workers->pdata[g_rand_int_range(
		soak->rand, 0, (gint32)soak->workers->len)];

	return worker->is_dead || worker->is_draining || worker->says_leaving
		       ? NULL
		       : worker;
}

static void inject_edge_fault(struct soak *soak, enum fault fault)
{
	static const int signals[] = {SIGKILL, SIGTERM, SIGSTOP, SIGHUP};
	struct soak_edge *edge = draw_edge(soak);

	if (!edge)
		return;
	soak_edge_signal(edge, signals[fault]);
	if (fault == FAULT_EDGE_TERM)
		end_fault_after(soak, fault, edge, KILL_DELAY_MS);
	else if (fault != FAULT_EDGE_RELOAD)
		end_fault_after(soak, fault, edge, draw_duration(soak));
}

static void inject_store_fault(struct soak *soak, enum fault fault)
{
	static const enum store_mode modes[] = {STORE_SILENT, STORE_BUSY,
						STORE_GONE};
	struct soak_edge *edge;
	clk_ms duration = draw_duration(soak);

	if (fault == FAULT_STORE_LINK) {
		edge = draw_edge(soak);
		if (!edge)
			return;
		edge->faulty_until = soak_now(soak) + duration;
		edge->disrupted_until = edge->faulty_until;
		soak_forget_notices(edge);
		proxy_set_mode(edge->store, draw_mode(soak));
		end_fault_after(soak, fault, edge, duration);
		return;
	}
	if (soak->world.store_mode != STORE_ANSWERS)
		return;
	soak->world.store_mode = modes[fault - FAULT_STORE_SILENT];
	soak->store_faulty_until = soak_now(soak) + duration;
	end_fault_after(soak, fault, NULL, duration);
}

void soak_crash_worker_for(struct soak_worker *worker, clk_ms delay)
{
	soak_worker_crash(worker);
	worker->unplanned_until = CLK_NEVER;
	end_fault_after(worker->soak, FAULT_WORKER_CRASH, worker, delay);
}

static void disrupt_link(struct soak_worker *worker)
{
	struct soak *soak = worker->soak;

	proxy_set_mode(worker->proxy, draw_mode(soak));
	worker->disrupted_until = CLK_NEVER;
	worker->unplanned_until = CLK_NEVER;
	/* Other engines, which bypass the proxy, can't reach it either. */
	worker->is_dead = worker->is_engine;
	end_fault_after(soak, FAULT_WORKER_LINK, worker, draw_duration(soak));
}

static void drain_worker(struct soak_worker *worker)
{
	struct soak *soak = worker->soak;

	worker->is_draining = true;
	worker->draining_since = soak_now(soak);
	soak_worker_publish(worker);
	end_fault_after(soak, FAULT_WORKER_DRAIN, worker, ENTRY_EXPIRY_MS);
}

/* Silences the worker, and at times others beside it. */
static void silence_workers(struct soak_worker *worker)
{
	struct soak *soak = worker->soak;
	int others = soak_chance(soak, 0.3)
			     ? g_rand_int_range(soak->rand, 1,
						(gint32)soak->workers->len)
			     : 0;

	for (;;) {
		if (worker && !soak_is_silent(worker))
			soak_worker_silence(
				worker,
				g_rand_int_range(soak->rand, MIN_SILENCE_MS,
						 MAX_SILENCE_MS + 1));
		if (!others--)
			return;
		worker = draw_worker(soak);
	}
}

static void inject_worker_fault(struct soak *soak, enum fault fault)
{
	struct soak_worker *worker = draw_worker(soak);

	if (!worker)
		return;
	switch (fault) {
	case FAULT_WORKER_DRAIN:
		drain_worker(worker);
		break;
	case FAULT_WORKER_CRASH:
		soak_crash_worker_for(worker, ENTRY_EXPIRY_MS);
		break;
	case FAULT_WORKER_SILENT:
		silence_workers(worker);
		break;
	case FAULT_WORKER_LEAVING:
		/* Not drawn for other faults until it has left. */
		worker->says_leaving = true;
		end_fault_after(soak, fault, worker,
				g_rand_int_range(soak->rand, MIN_LEAVING_MS,
						 MAX_LEAVING_MS));
		break;
	case FAULT_WORKER_FULL:
		worker->full_until =
			soak_now(soak) +
			g_rand_int_range(soak->rand, CLK_SECOND, MAX_FULL_MS);
		break;
	default:
		disrupt_link(worker);
	}
}

/* An entry as another writer could leave it; no worker uses it. */
static json_t *odd_entry(struct soak *soak)
{
	json_t *entry = json_pack("{s:s,s:s,s:s,s:i,s:s,s:I,s:s}", "service",
				  "plain", "address", "127.0.0.1:9", "zone",
				  "z", "slots", 50, "state", "ready", "born",
				  (json_int_t)1, "type", "large");
	json_t *nested = json_array();
	unsigned depth;

	switch (g_rand_int_range(soak->rand, 0, 4)) {
	case 0:
		for (depth = 0; depth < ODD_DEPTH; depth++) {
			json_t *outer = json_array();

			json_array_append_new(outer, nested);
			nested = outer;
		}
		json_object_set(entry, "version", nested);
		break;
	case 1:
		json_object_set_new(entry, "slots", json_real(1e300));
		break;
	case 2:
		json_object_set_new(entry, "born", json_integer(INT64_MAX));
		json_object_set_new(entry, "slots", json_integer(INT64_MIN));
		break;
	default:
		json_object_set_new(entry, "address",
				    json_string("127.0.0.1:98765"));
	}
	json_decref(nested);
	return entry;
}

static void put_odd_entry(struct soak *soak)
{
	char *name = g_strdup_printf("odd-%u", soak->faults);

	world_put(&soak->world, "servers", name, odd_entry(soak));
	end_fault_after(soak, FAULT_ODD_ENTRY, name, draw_duration(soak));
}

static void inject_fault(struct soak *soak, enum fault fault)
{
	soak->faults++;
	if (fault <= FAULT_EDGE_RELOAD)
		inject_edge_fault(soak, fault);
	else if (fault <= FAULT_STORE_LINK)
		inject_store_fault(soak, fault);
	else if (fault <= FAULT_WORKER_FULL)
		inject_worker_fault(soak, fault);
	else if (fault == FAULT_ODD_ENTRY)
		put_odd_entry(soak);
	else if (!soak->changes_left)
		soak_start_changes(soak);
}

static unsigned share_of(const struct soak *soak, enum fault fault)
{
	bool is_off = false;

	if (fault == FAULT_WORKER_LEAVING || fault == FAULT_WORKER_FULL)
		is_off = !soak->with_leaving;
	if (fault == FAULT_ODD_ENTRY)
		is_off = !soak->with_odd_entries;
	return is_off ? 0 : shares[soak->profile][fault];
}

static enum fault draw_fault(struct soak *soak)
{
	unsigned sum = 0;
	unsigned draw;
	int fault;

	for (fault = 0; fault < N_FAULTS; fault++)
		sum += share_of(soak, (enum fault)fault);
	draw = (unsigned)g_rand_int_range(soak->rand, 0, (gint32)sum);
	for (fault = 0; draw >= share_of(soak, (enum fault)fault); fault++)
		draw -= share_of(soak, (enum fault)fault);
	return (enum fault)fault;
}

/* Restarts edges that have exited after SIGTERM. */
static void restart_terminated(struct soak *soak)
{
	guint i;

	for (i = 0; i < soak->edges->len; i++) {
		struct soak_edge *edge = soak->edges->pdata[i];

		if (!edge->is_running && edge->restarts && edge->terminated_at)
			soak_edge_start(edge);
	}
}

static void on_fault_timer(uv_timer_t *timer)
{
	struct soak *soak = timer->data;

	restart_terminated(soak);
	if (soak_now(soak) < soak->faults_until)
		inject_fault(soak, draw_fault(soak));
	uv_timer_start(timer, on_fault_timer,
		       (uint64_t)g_rand_int_range(soak->rand, MIN_INTERVAL_MS,
						  MAX_INTERVAL_MS),
		       0);
}

void soak_schedule_faults(struct soak *soak, clk_ms duration)
{
	soak->faults_until = soak_now(soak) + duration;
	uv_timer_start(&soak->fault_timer, on_fault_timer, MIN_INTERVAL_MS, 0);
}
