/*
 * Cost of claims in virtual time: store calls, object sizes, bytes, real time
 * in the library and memory. Prints one line per figure.
 * Usage: claims_bench [INSTANCES [COMMIT_INTERVAL_MS [SHARDS]]]
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include <wagtailferry/state.h>

#include "../support/claims_check.h"

#define SPAN_MS CLK_MINUTE
#define SETTLE_MS (15 * CLK_SECOND)
#define DEFAULT_INSTANCES 5
#define MAX_CHECKED 1000

struct load {
	unsigned rate;
	uint64_t sent;
};

static void next_booking(struct sim *sim, void *data)
{
	struct load *load = data;
	char key[64];

	g_snprintf(key, sizeof(key), "%lld-%llu", (long long)sim->now,
		   (unsigned long long)load->sent);
	sim_call(sim, (unsigned)(load->sent % sim->config.n_instances),
		 "org-with-a-name", key, "pitch 17, 2026-12-04, 08:00", 5000,
		 false);
	load->sent++;
	if (sim->now < SIM_START + SPAN_MS)
		sim_at(sim,
		       SIM_START + (clk_ms)(load->sent * 1000 / load->rate),
		       next_booking, load);
}

static void print(const struct load *load, const char *name, double value,
		  const char *unit)
{
	printf("rate=%u/s %s=%.3f %s\n", load->rate, name, value, unit);
}

static gint compare_waits(gconstpointer a, gconstpointer b)
{
	clk_ms left = *(const clk_ms *)a;
	clk_ms right = *(const clk_ms *)b;

	return (left > right) - (left < right);
}

static void print_waits(const struct sim *sim, const struct load *load)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(clk_ms));
	unsigned refused = 0;
	guint middle;
	guint last;
	guint i;

	for (i = 0; i < sim->calls->len; i++) {
		const struct sim_call *call = sim->calls->pdata[i];
		clk_ms wait = call->answered_at - call->arrived;

		refused += call->refused || call->n_answers != 1;
		g_array_append_val(waits, wait);
	}
	g_array_sort(waits, compare_waits);
	print(load, "refused", refused, "calls");
	middle = waits->len / 2;
	last = waits->len * 99 / 100;
	print(load, "answer_p50", (double)g_array_index(waits, clk_ms, middle),
	      "ms");
	print(load, "answer_p99", (double)g_array_index(waits, clk_ms, last),
	      "ms");
	g_array_unref(waits);
}

static void print_costs(const struct sim *sim, const struct load *load)
{
	const struct sim_counts *counts = &sim->counts;
	double seconds = (double)(SPAN_MS + SETTLE_MS) / 1000;
	double n = (double)load->sent;
	double nodes = sim->config.n_instances;

	print(load, "store_calls_per_booking",
	      (double)(counts->gets + counts->puts) / n, "calls");
	print(load, "sweep_calls", (double)(counts->lists + counts->deletes),
	      "calls");
	print(load, "store_writes_per_booking", (double)counts->puts / n,
	      "calls");
	print(load, "store_writes", (double)counts->puts / (SPAN_MS / 1000.0),
	      "writes/s");
	print(load, "objects", g_hash_table_size(sim->objects), "objects");
	print(load, "largest_object", (double)counts->largest_value / 1024,
	      "KB");
	print(load, "to_store_per_node",
	      (double)counts->bytes_in / seconds / nodes / 1000, "KB/s");
	print(load, "from_store_per_node",
	      (double)counts->bytes_out / seconds / nodes / 1000, "KB/s");
	print(load, "to_peers_per_node",
	      (double)counts->peer_bytes / seconds / nodes / 1000, "KB/s");
	print(load, "library_time_per_claim",
	      (double)counts->handle_ns / n / 1000, "us");
	print(load, "library_time_per_event",
	      (double)counts->handle_ns / (double)counts->events / 1000, "us");
}

static void print_slow(const struct sim *sim, const struct load *load)
{
	print(load, "events_over_20us",
	      100 * (double)sim->counts.slow_events /
		      (double)sim->counts.events,
	      "%");
}

static void print_memory(struct sim *sim, const struct load *load)
{
	size_t before = mallinfo2().uordblks;
	unsigned i;

	for (i = 0; i < sim->config.n_instances; i++)
		sim_kill(sim, i);
	sim_run_until(sim, sim->now + 1);
	print(load, "memory_per_node",
	      (double)(before - mallinfo2().uordblks) /
		      sim->config.n_instances / 1024,
	      "KB");
}

static void run_rate(unsigned rate, unsigned n_instances, clk_ms interval,
		     unsigned n_shards)
{
	struct load load = {.rate = rate};
	struct clm_config claims;
	struct sim_config config;
	struct sim *sim;
	char *problem;

	clm_config_init(&claims);
	if (interval)
		claims.commit_interval = interval;
	if (n_shards)
		claims.n_shards = n_shards;
	claims.max_objects = MAX(claims.max_objects, n_shards);
	sim_config_init(&config);
	config.n_instances = n_instances;
	config.make[0] = claims_make;
	config.n_modules = 1;
	config.user = &claims;
	config.measure = true;
	sim = sim_new(&config);
	sim_at(sim, SIM_START, next_booking, &load);
	sim_run_until(sim, SIM_START + SPAN_MS + SETTLE_MS);
	/* Quadratic: the check compares each call with each run. */
	problem = load.sent < MAX_CHECKED ? claims_check(sim) : NULL;
	if (problem) {
		fprintf(stderr, "%s\n", problem);
		exit(EXIT_FAILURE);
	}
	print_costs(sim, &load);
	print_slow(sim, &load);
	print_waits(sim, &load);
	print_memory(sim, &load);
	sim_free(sim);
}

int main(int argc, char **argv)
{
	static const unsigned rates[] = {1, 10, 100, 500};
	unsigned n = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10)
			      : DEFAULT_INSTANCES;
	clk_ms interval = argc > 2 ? strtol(argv[2], NULL, 10) : 0;
	unsigned shards = argc > 3 ? (unsigned)strtoul(argv[3], NULL, 10) : 0;
	size_t i;

	if (!n || n > 1000) {
		fprintf(stderr, "usage: claims_bench [INSTANCES "
				"[COMMIT_INTERVAL_MS [SHARDS]]]\n");
		return 2;
	}
	for (i = 0; i < G_N_ELEMENTS(rates); i++)
		run_rate(rates[i], n, interval, shards);
	return 0;
}
