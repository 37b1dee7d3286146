#include <signal.h>
#include <stdlib.h>

#include "soak.h"

/* A fault every so many milliseconds, each for up to the longest. */
#define MIN_GAP_MS 100
#define MAX_GAP_MS 700
#define MIN_LENGTH_MS 300
#define MAX_LENGTH_MS 3500
/* Entries of silent workers lapse after about three heartbeats. */
#define LAPSE_MS 3600
#define KILL_MS 8000

enum fault {
	FAULT_EDGE_KILL,
	FAULT_EDGE_TERM,
	FAULT_EDGE_STOP,
	FAULT_EDGE_RELOAD,
	FAULT_STORE_SILENT,
	FAULT_STORE_BUSY,
	FAULT_STORE_HISTORY,
	FAULT_STORE_LINK,
	FAULT_WORKER_CRASH,
	FAULT_WORKER_LINK,
	FAULT_WORKER_DRAIN,
	FAULT_CONFIG,
	FAULT_KEY_REMOVED,
	FAULT_N,
};

/* Ends a fault after its time. */
struct repair {
	uv_timer_t timer;
	struct soak *soak;
	enum fault fault;
	void *thing;
};

static void on_repair_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void end_worker(struct repair *repair)
{
	struct soak_worker *worker = repair->thing;

	if (repair->fault == FAULT_WORKER_LINK) {
		proxy_set_mode(worker->proxy, PROXY_PASS);
		worker->is_dead = false;
		return;
	}
	if (repair->fault == FAULT_WORKER_DRAIN)
		soak_worker_crash(worker);
	proxy_set_mode(worker->proxy, PROXY_PASS);
	soak_worker_restart(worker);
}

static void end_edge(struct repair *repair)
{
	struct soak_edge *edge = repair->thing;

	if (repair->fault == FAULT_EDGE_STOP) {
		soak_edge_signal(edge, SIGCONT);
		return;
	}
	/* Unless it has drained and was started again meanwhile. */
	if (repair->fault == FAULT_EDGE_TERM && edge->terminated_at)
		soak_edge_signal(edge, SIGKILL);
	if (!edge->is_running && edge->restarts)
		soak_edge_start(edge);
}

static void on_repair(uv_timer_t *timer)
{
	struct repair *repair = timer->data;
	struct soak *soak = repair->soak;

	switch (repair->fault) {
	case FAULT_EDGE_KILL:
	case FAULT_EDGE_TERM:
	case FAULT_EDGE_STOP:
		end_edge(repair);
		break;
	case FAULT_STORE_SILENT:
	case FAULT_STORE_BUSY:
	case FAULT_STORE_HISTORY:
		soak->world.store_mode = STORE_ANSWERS;
		soak->store_harmed_until = soak_now(soak);
		break;
	case FAULT_STORE_LINK:
		proxy_set_mode(((struct soak_edge *)repair->thing)->store,
			       PROXY_PASS);
		((struct soak_edge *)repair->thing)->harmed_until =
			soak_now(soak);
		break;
	default:
		end_worker(repair);
	}
	uv_close((uv_handle_t *)timer, on_repair_closed);
}

static void repair_after(struct soak *soak, enum fault fault, void *thing,
			 clk_ms length)
{
	struct repair *repair = g_new0(struct repair, 1);

	repair->soak = soak;
	repair->fault = fault;
	repair->thing = thing;
	uv_timer_init(&soak->world.wire.loop, &repair->timer);
	repair->timer.data = repair;
	uv_timer_start(&repair->timer, on_repair, (uint64_t)length, 0);
}

static clk_ms draw_length(struct soak *soak)
{
	return g_rand_int_range(soak->rand, MIN_LENGTH_MS, MAX_LENGTH_MS);
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

	return worker->is_dead || worker->is_draining ? NULL : worker;
}

static void harm_edge(struct soak *soak, enum fault fault)
{
	static const int signals[] = {SIGKILL, SIGTERM, SIGSTOP, SIGHUP};
	struct soak_edge *edge = draw_edge(soak);

	if (!edge)
		return;
	soak_edge_signal(edge, signals[fault]);
	if (fault == FAULT_EDGE_TERM)
		repair_after(soak, fault, edge, KILL_MS);
	else if (fault != FAULT_EDGE_RELOAD)
		repair_after(soak, fault, edge, draw_length(soak));
}

static void harm_store(struct soak *soak, enum fault fault)
{
	static const enum store_mode modes[] = {STORE_SILENT, STORE_BUSY,
						STORE_GONE};
	struct soak_edge *edge;
	clk_ms length = draw_length(soak);

	if (fault == FAULT_STORE_LINK) {
		edge = draw_edge(soak);
		if (!edge)
			return;
		edge->harmed_until = soak_now(soak) + length;
		proxy_set_mode(edge->store, draw_mode(soak));
		repair_after(soak, fault, edge, length);
		return;
	}
	if (soak->world.store_mode != STORE_ANSWERS)
		return;
	soak->world.store_mode = modes[fault - FAULT_STORE_SILENT];
	soak->store_harmed_until = soak_now(soak) + length;
	repair_after(soak, fault, NULL, length);
}

static void harm_worker(struct soak *soak, enum fault fault)
{
	struct soak_worker *worker = draw_worker(soak);

	if (!worker)
		return;
	if (fault == FAULT_WORKER_DRAIN) {
		worker->is_draining = true;
		worker->draining_since = soak_now(soak);
		soak_worker_list(worker);
		repair_after(soak, fault, worker, LAPSE_MS);
		return;
	}
	if (fault == FAULT_WORKER_CRASH) {
		soak_worker_crash(worker);
		repair_after(soak, fault, worker, LAPSE_MS);
		return;
	}
	proxy_set_mode(worker->proxy, draw_mode(soak));
	/* Other engines can't reach it either. */
	worker->is_dead = worker->is_engine;
	repair_after(soak, fault, worker, draw_length(soak));
}

static void remove_key(struct soak *soak)
{
	unsigned key = (unsigned)g_rand_int_range(soak->rand, 1, 4);

	if (!soak->key_removed_at[key])
		soak->key_removed_at[key] = soak_now(soak);
	soak_put_config(soak);
}

static void harm(struct soak *soak, enum fault fault)
{
	soak->faults++;
	if (fault <= FAULT_EDGE_RELOAD)
		harm_edge(soak, fault);
	else if (fault <= FAULT_STORE_LINK)
		harm_store(soak, fault);
	else if (fault <= FAULT_WORKER_DRAIN)
		harm_worker(soak, fault);
	else if (fault == FAULT_KEY_REMOVED)
		remove_key(soak);
	else
		soak_put_config(soak);
}

/* A process that drained by itself is started again. */
static void restart_ended(struct soak *soak)
{
	guint i;

	for (i = 0; i < soak->edges->len; i++) {
		struct soak_edge *edge = soak->edges->pdata[i];

		if (!edge->is_running && edge->restarts && edge->terminated_at)
			soak_edge_start(edge);
	}
}

static void on_fault(uv_timer_t *timer)
{
	struct soak *soak = timer->data;

	restart_ended(soak);
	if (soak_now(soak) < soak->faults_until)
		harm(soak,
		     (enum fault)g_rand_int_range(soak->rand, 0, FAULT_N));
	uv_timer_start(
		timer, on_fault,
		(uint64_t)g_rand_int_range(soak->rand, MIN_GAP_MS, MAX_GAP_MS),
		0);
}

void soak_schedule_faults(struct soak *soak, clk_ms length)
{
	soak->faults_until = soak_now(soak) + length;
	uv_timer_start(&soak->fault_timer, on_fault, MIN_GAP_MS, 0);
}
