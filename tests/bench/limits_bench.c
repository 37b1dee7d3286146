/*
 * Cost of shared limits: calls of many organisations, each with a rate limit,
 * arrive at random instances in virtual time. With this many organisations
 * each call causes a demand of its own. At the planned size each instance
 * receives 12.6 calls per second (4,900 over 390 instances).
 *
 * Usage: limits_bench [--json] [--seed N]
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <wagtailferry/limits.h>

#include "support/figure.h"
#include "support/sim.h"

#define CALLS_PER_INSTANCE 12.6
#define N_ORGS 31000
#define SPAN_MS (20 * CLK_SECOND)
#define STEP_MS 10
#define MAX_INSTANCES 400

/* High enough that the figures are those of admitted calls. */
#define RATE_PER_ORG 10.0

static struct fig_output output = {.seed = 51};

struct bench {
	struct sim *sim;
	struct lim_limits *limits[MAX_INSTANCES];
	unsigned n_limits;
	uint64_t next_call;
	unsigned admitted;
	unsigned refused;
	double cpu;
	GHashTable *arrived; /* call id to time */
	clk_ms waited;
};

static double cpu_seconds(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void decided(struct wf_ctx *ctx, void *user, uint64_t call_id,
		    bool admitted, clk_ms retry_after)
{
	struct bench *bench = user;
	clk_ms *arrived = g_hash_table_lookup(bench->arrived, &call_id);

	(void)retry_after;
	if (arrived)
		bench->waited += ctx->now - *arrived;
	if (admitted)
		bench->admitted++;
	else
		bench->refused++;
}

static struct wf_module *make_limits(struct wf_ctx *ctx, void *user)
{
	struct bench *bench = user;
	struct lim_config config;

	lim_config_init(&config);
	config.decided = decided;
	config.user = bench;
	bench->limits[bench->n_limits] = lim_new(ctx, &config);
	return lim_module(bench->limits[bench->n_limits++]);
}

static void arrive(struct bench *bench, unsigned i)
{
	struct sim_instance *instance = &bench->sim->instances[i];
	struct wf_policy policy = {.rate = RATE_PER_ORG, .weight = 1};
	uint64_t id = ++bench->next_call;
	uint64_t *key = g_new(uint64_t, 1);
	clk_ms *time = g_new(clk_ms, 1);
	clk_ms retry_after = 0;
	char org[16];
	double start;

	*key = id;
	*time = bench->sim->now;
	g_hash_table_insert(bench->arrived, key, time);
	g_snprintf(org, sizeof(org), "org-%d",
		   g_rand_int_range(bench->sim->rand, 0, N_ORGS));
	instance->ctx->now = bench->sim->now;
	start = cpu_seconds();
	if (lim_request(instance->ctx, bench->limits[i], id, org, &policy, 1,
			100, &retry_after) == LIM_ADMITTED)
		bench->admitted++;
	lim_done(instance->ctx, bench->limits[i], 0, 0);
	bench->cpu += cpu_seconds() - start;
	sim_run_actions(bench->sim, i);
}

static void run(struct bench *bench, unsigned n)
{
	clk_ms end = bench->sim->now + SPAN_MS;
	double due = 0.0;

	while (bench->sim->now < end) {
		unsigned calls;

		sim_run_until(bench->sim, bench->sim->now + STEP_MS);
		due += CALLS_PER_INSTANCE * n * STEP_MS / CLK_SECOND;
		calls = (unsigned)due;
		due -= calls;
		while (calls--)
			arrive(bench, (unsigned)g_rand_int_range(
					      bench->sim->rand, 0, (gint32)n));
	}
}

static void print_figure(const char *name, unsigned n, double value,
			 const char *unit, const char *objective)
{
	char *full = g_strdup_printf("instances_%u.limits.%s", n, name);

	fig_print(&output, full, value, unit, objective, NULL);
	g_free(full);
}

static void report(const struct bench *bench, unsigned n, size_t memory)
{
	const struct sim_counts *counts = &bench->sim->counts;
	double seconds = (double)SPAN_MS / CLK_SECOND;
	unsigned calls = bench->admitted + bench->refused;

	print_figure("bytes", n, (double)counts->peer_bytes / n / seconds,
		     "B/s/node", "<=22000");
	print_figure("messages", n, (double)counts->peer_frames / n / seconds,
		     "1/s/node", "-");
	print_figure("wait", n, (double)bench->waited / MAX(1u, calls), "ms",
		     "-");
	print_figure("refused", n, (double)bench->refused / MAX(1u, calls),
		     "of_calls", "-");
	print_figure("memory", n, (double)memory / n / 1e6, "MB/node", "<=32");
	print_figure("cpu", n,
		     100.0 * ((double)counts->handle_ns / 1e9 + bench->cpu) /
			     n / seconds,
		     "%_of_a_core/node", "<=1.8");
}

static void measure(unsigned n)
{
	struct bench bench = {.n_limits = 0};
	struct sim_config config;
	size_t before;

	sim_config_init(&config);
	config.seed = output.seed;
	config.n_instances = n;
	config.n_targets = 0;
	config.peer_latency = 40;
	config.measure = true;
	config.make[0] = make_limits;
	config.n_modules = 1;
	config.user = &bench;
	bench.arrived = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	bench.sim = sim_new(&config);
	before = mallinfo2().uordblks;
	run(&bench, n);
	report(&bench, n, mallinfo2().uordblks - before);
	sim_free(bench.sim);
	g_hash_table_unref(bench.arrived);
}

int main(int argc, char **argv)
{
	fig_parse(&output, argc, argv);
	measure(5);
	measure(50);
	measure(390);
	return 0;
}
