#include <popt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define ENGINES 6
#define PLAIN_WORKERS 3
#define SPARE_WORKERS 2
#define SEND_INTERVAL_MS 8
#define START_MS 2500
/* Covers the last fault, expiry of entries, layer loads and new watches. */
#define RECOVERY_MS 12000
/* Minimum share of requests served after the recovery. */
#define MIN_SERVED_RATIO 0.85
#define MEASURE_MS 3000
#define STOP_MS 9000
#define STOP_STEP_MS 200

clk_ms soak_now(const struct soak *soak)
{
	return (clk_ms)uv_now(&soak->world.wire.loop);
}

void soak_violation(struct soak *soak, const char *format, ...)
{
	va_list args;

	soak->violations++;
	printf("seed %u at %.3f s: ", soak->seed,
	       (double)(soak_now(soak) - soak->started_at) / CLK_SECOND);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

static void on_send(uv_timer_t *timer)
{
	soak_send_next(timer->data);
}

static void on_run_end(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

static void run_for(struct soak *soak, clk_ms duration_ms)
{
	uv_timer_t timer;

	uv_update_time(&soak->world.wire.loop);
	uv_timer_init(&soak->world.wire.loop, &timer);
	uv_timer_start(&timer, on_run_end, (uint64_t)duration_ms, 0);
	uv_run(&soak->world.wire.loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&soak->world.wire.loop, UV_RUN_NOWAIT);
}

static void add_workers(struct soak *soak, const char *service, unsigned count)
{
	while (count--)
		g_ptr_array_add(soak->workers, soak_worker_new(soak, service));
}

static void setup_soak(struct soak *soak)
{
	unsigned i;

	world_open(&soak->world);
	soak->started_at = soak_now(soak);
	soak->rand = g_rand_new_with_seed(soak->seed);
	soak->folder = g_dir_make_tmp("soak-XXXXXX", NULL);
	soak->edges = g_ptr_array_new();
	soak->workers = g_ptr_array_new();
	soak->requests = g_hash_table_new(g_str_hash, g_str_equal);
	soak->profile = (enum soak_profile)(soak->seed % SOAK_PROFILES);
	soak_setup_callers(soak);
	uv_timer_init(&soak->world.wire.loop, &soak->send_timer);
	uv_timer_init(&soak->world.wire.loop, &soak->fault_timer);
	soak->send_timer.data = soak;
	soak->fault_timer.data = soak;
	soak_setup_config(soak);
	add_workers(soak, "model", ENGINES);
	add_workers(soak, "plain", PLAIN_WORKERS);
	add_workers(soak, "spare", SPARE_WORKERS);
	for (i = 0; i < SOAK_EDGES; i++) {
		struct soak_edge *edge = soak_edge_new(soak, i);

		g_ptr_array_add(soak->edges, edge);
		soak_edge_start(edge);
	}
}

static bool is_any_running(const struct soak *soak)
{
	guint i;

	for (i = 0; i < soak->edges->len; i++) {
		if (((struct soak_edge *)soak->edges->pdata[i])->is_running)
			return true;
	}
	return false;
}

static void stop_edges(struct soak *soak)
{
	clk_ms end = soak_now(soak) + STOP_MS;
	guint i;

	for (i = 0; i < soak->edges->len; i++) {
		struct soak_edge *edge = soak->edges->pdata[i];

		edge->restarts = false;
		soak_edge_signal(edge, SIGCONT);
		soak_edge_signal(edge, SIGTERM);
	}
	while (is_any_running(soak) && soak_now(soak) < end)
		run_for(soak, STOP_STEP_MS);
	for (i = 0; i < soak->edges->len; i++) {
		struct soak_edge *edge = soak->edges->pdata[i];

		if (!edge->is_running)
			continue;
		soak_violation(soak, "%s did not exit after SIGTERM",
			       edge->name);
		soak_edge_signal(edge, SIGKILL);
	}
	run_for(soak, CLK_SECOND);
}

static void check_recovery(struct soak *soak)
{
	double ratio = soak->sent_after_recovery
			       ? (double)soak->served_after_recovery /
					 soak->sent_after_recovery
			       : 0;

	if (ratio < MIN_SERVED_RATIO)
		soak_violation(soak, "RECOVER: only %u of %u requests served",
			       soak->served_after_recovery,
			       soak->sent_after_recovery);
}

static void measure_recovery(struct soak *soak)
{
	soak_restore_config(soak);
	run_for(soak, RECOVERY_MS);
	soak->is_recovered = true;
	run_for(soak, MEASURE_MS);
	uv_timer_stop(&soak->send_timer);
	uv_timer_stop(&soak->idle_timer);
	run_for(soak, 4 * CLK_SECOND);
	check_recovery(soak);
	soak_check_sums(soak);
}

static int run_soak(struct soak *soak, clk_ms duration)
{
	setup_soak(soak);
	run_for(soak, START_MS);
	uv_timer_start(&soak->send_timer, on_send, 0, SEND_INTERVAL_MS);
	soak_start_idle_callers(soak);
	soak_schedule_faults(soak, duration);
	run_for(soak, duration);
	measure_recovery(soak);
	uv_timer_stop(&soak->fault_timer);
	stop_edges(soak);
	soak_cancel_all(soak);
	printf("seed %u: %u faults, %u requests, %u served, %u of %u after "
	       "recovery, %u violations%s%s\n",
	       soak->seed, soak->faults, soak->sent, soak->served,
	       soak->served_after_recovery, soak->sent_after_recovery,
	       soak->violations, soak->violations ? ", logs in " : "",
	       soak->violations ? soak->folder : "");
	fflush(stdout);
	return soak->violations ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, const char **argv)
{
	struct soak soak = {.seed = 1, .program = "build/wagtailferry-edge"};
	int seconds = 10;
	const struct poptOption options[] = {
		{"seed", 's', POPT_ARG_INT, &soak.seed, 0, "seed of the run",
		 "N"},
		{"seconds", 't', POPT_ARG_INT, &seconds, 0,
		 "duration of fault injection", "N"},
		{"program", 'p', POPT_ARG_STRING, &soak.program, 0,
		 "the edge daemon", "FILE"},
		{"leaving", 0, POPT_ARG_NONE, &soak.with_leaving, 0,
		 "workers say that they leave, or want nothing for a while",
		 NULL},
		{"deadly-prompt", 0, POPT_ARG_NONE, &soak.with_deadly_prompt, 0,
		 "a part of prompts crashes workers", NULL},
		{"odd-entries", 0, POPT_ARG_NONE, &soak.with_odd_entries, 0,
		 "invalid entries among those of the workers", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext("soak", argc, argv, options, 0);

	if (poptGetNextOpt(context) < -1 || seconds < 1) {
		poptPrintUsage(context, stderr, 0);
		return 2;
	}
	poptFreeContext(context);
	/* Exits without closing the loop's handles. */
	exit(run_soak(&soak, seconds * CLK_SECOND));
}
