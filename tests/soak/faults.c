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
	FAULT_CONFIG,
	FAULT_KEY_REMOVED,
	N_FAULTS,
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
		return;
	}
	if (active->fault == FAULT_WORKER_DRAIN)
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

	return worker->is_dead || worker->is_draining ? NULL : worker;
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

static void inject_worker_fault(struct soak *soak, enum fault fault)
{
	struct soak_worker *worker = draw_worker(soak);

	if (!worker)
		return;
	if (fault == FAULT_WORKER_DRAIN) {
		worker->is_draining = true;
		worker->draining_since = soak_now(soak);
		soak_worker_publish(worker);
		end_fault_after(soak, fault, worker, ENTRY_EXPIRY_MS);
		return;
	}
	if (fault == FAULT_WORKER_CRASH) {
		soak_worker_crash(worker);
		end_fault_after(soak, fault, worker, ENTRY_EXPIRY_MS);
		return;
	}
	proxy_set_mode(worker->proxy, draw_mode(soak));
	/* Other engines, which bypass the proxy, can't reach it either. */
	worker->is_dead = worker->is_engine;
	end_fault_after(soak, fault, worker, draw_duration(soak));
}

static void remove_key(struct soak *soak)
{
	unsigned key = (unsigned)g_rand_int_range(soak->rand, 1, 4);

	if (!soak->key_removed_at[key])
		soak->key_removed_at[key] = soak_now(soak);
	soak_put_config(soak);
}

static void inject_fault(struct soak *soak, enum fault fault)
{
	soak->faults++;
	if (fault <= FAULT_EDGE_RELOAD)
		inject_edge_fault(soak, fault);
	else if (fault <= FAULT_STORE_LINK)
		inject_store_fault(soak, fault);
	else if (fault <= FAULT_WORKER_DRAIN)
		inject_worker_fault(soak, fault);
	else if (fault == FAULT_KEY_REMOVED)
		remove_key(soak);
	else
		soak_put_config(soak);
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
		inject_fault(soak, (enum fault)g_rand_int_range(soak->rand, 0,
								N_FAULTS));
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
