/*
 * Cost of control traffic: membership and rules distribution over 5, 50 and
 * 390 library instances in virtual time, with 2,800 edits per day. Prints one
 * line per figure: name, value, unit, objective, baselines, seed. The
 * objectives for CPU time, memory and bytes cover all control work together.
 *
 * Usage: control_bench [--json] [--seed N]
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "support/control.h"
#include "support/figure.h"

#define EDIT_INTERVAL_MS 30857 /* 24 h / 2,800 edits */
#define N_EDITS 10
#define N_ORGS 2000

static struct fig_output output = {.seed = 41};

static void print_figure(const char *name, unsigned n, double value,
			 const char *unit, const char *objective)
{
	char *full = g_strdup_printf("instances_%u.control.%s", n, name);

	fig_print(&output, full, value, unit, objective, NULL);
	g_free(full);
}

static double cpu_seconds(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Wraps the modules of all instances to add up the time spent in them. */
static double cpu_in_modules;

struct timed_module {
	struct wf_module module;
	struct wf_module *inner;
};

static void timed_handle(struct wf_ctx *ctx, struct wf_module *module,
			 const struct wf_event *event)
{
	struct wf_module *inner = ((struct timed_module *)module)->inner;
	double start = cpu_seconds();

	inner->ops->handle(ctx, inner, event);
	cpu_in_modules += cpu_seconds() - start;
}

static clk_ms timed_wakeup(struct wf_ctx *ctx, struct wf_module *module)
{
	struct wf_module *inner = ((struct timed_module *)module)->inner;

	return inner->ops->next_wakeup(ctx, inner);
}

static void timed_drop(struct wf_module *module)
{
	g_free(module);
}

static const struct wf_module_ops timed_ops = {
	.name = "timed",
	.handle = timed_handle,
	.next_wakeup = timed_wakeup,
	.drop = timed_drop,
};

static void wrap_modules(struct sim *sim, GPtrArray *inner)
{
	unsigned i;
	guint m;

	for (i = 0; i < sim->config.n_instances; i++) {
		GPtrArray *modules = sim->instances[i].modules;

		for (m = 0; m < modules->len; m++) {
			struct timed_module *timed;

			timed = g_new0(struct timed_module, 1);
			timed->inner = modules->pdata[m];
			timed->module.ops = &timed_ops;
			timed->module.id = timed->inner->id;
			g_ptr_array_add(inner, timed->inner);
			modules->pdata[m] = timed;
		}
	}
}

/* control_count_in_force() needs the unwrapped modules. */
static void unwrap_modules(struct sim *sim)
{
	unsigned i;
	guint m;

	for (i = 0; i < sim->config.n_instances; i++) {
		GPtrArray *modules = sim->instances[i].modules;

		for (m = 0; m < modules->len; m++) {
			struct timed_module *timed = modules->pdata[m];

			modules->pdata[m] = timed->inner;
			g_free(timed);
		}
	}
}

static uint64_t publish(struct control *control, unsigned edited)
{
	char *text = control_text(N_ORGS, edited);
	uint64_t revision = control_publish(control, text);

	g_free(text);
	return revision;
}

static void measure_in_force(struct control *control, unsigned n)
{
	clk_ms worst = 0;
	unsigned edit;

	for (edit = 1; edit <= N_EDITS; edit++) {
		uint64_t revision = publish(control, edit * 100);
		clk_ms time =
			control_time_to_revision(control, revision, CLK_MINUTE);

		if (time < 0)
			time = CLK_MINUTE;
		worst = MAX(worst, time);
		control_advance(control, 3 * CLK_SECOND);
	}
	print_figure("in_force_worst", n, (double)worst, "ms", "<=13000");
}

static void measure_cost(struct control *control, unsigned n)
{
	struct sim_counts before = control->sim->counts;
	GPtrArray *inner = g_ptr_array_new();
	struct sim_counts after;
	double seconds;
	unsigned edit;

	cpu_in_modules = 0.0;
	wrap_modules(control->sim, inner);
	for (edit = 0; edit < N_EDITS; edit++) {
		publish(control, 1500 + edit);
		control_advance(control, EDIT_INTERVAL_MS);
	}
	unwrap_modules(control->sim);
	g_ptr_array_unref(inner);
	after = control->sim->counts;
	seconds = N_EDITS * (double)EDIT_INTERVAL_MS / CLK_SECOND;
	print_figure("peer_bytes", n,
		     (double)(after.peer_bytes - before.peer_bytes) / n /
			     seconds,
		     "B/s/node", "<=22000");
	print_figure("peer_messages", n,
		     (double)(after.peer_frames - before.peer_frames) / n /
			     seconds,
		     "1/s/node", "-");
	print_figure("store_bytes", n,
		     (double)(after.bytes_out - before.bytes_out) / n / seconds,
		     "B/s/node", "<=22000");
	print_figure("store_reads", n,
		     (double)(after.gets + after.lists + after.watches -
			      before.gets - before.lists - before.watches) /
			     seconds,
		     "1/s", "<=2000");
	print_figure("cpu", n, 100.0 * cpu_in_modules / n / seconds,
		     "%_of_a_core/node", "<=1.8");
}

static void measure(unsigned n)
{
	size_t before = mallinfo2().uordblks;
	struct control *control = control_new(n, output.seed);
	double memory;

	publish(control, 0);
	control_advance(control, CLK_MINUTE);
	measure_in_force(control, n);
	print_figure("target_news", n,
		     (double)control_time_to_leaving(control, CLK_MINUTE), "ms",
		     "<=2000");
	measure_cost(control, n);
	memory = (double)(mallinfo2().uordblks - before) / n / 1e6;
	print_figure("memory", n, memory, "MB/node", "<=32");
	control_free(control);
}

int main(int argc, char **argv)
{
	fig_parse(&output, argc, argv);
	measure(5);
	measure(50);
	measure(390);
	return 0;
}
