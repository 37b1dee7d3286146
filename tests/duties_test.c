/*
 * Leases and duties: orders under faults at every step and under seeded random
 * faults, checked against the orders that reached the targets.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/state.h>

#include "support/runner.h"
#include "support/sim.h"

#define N_ORDERS 10
#define SPACING_MS (2 * CLK_SECOND)
#define N_HISTORIES 400

struct options {
	struct dut_config duties;
	struct aud_sink sink;
	unsigned n_audited;
	const char *order;
};

static struct options options;
static struct sim_config config;

static void count_entry(struct wf_ctx *ctx, struct aud_sink *sink,
			const struct aud_entry *entry)
{
	(void)ctx;
	(void)sink;
	ck_assert_ptr_nonnull(entry->detail);
	ck_assert_uint_gt(entry->fence, 0);
	options.n_audited += !strcmp(entry->action, "order");
}

static struct wf_module *make_duties(struct wf_ctx *ctx, void *user)
{
	struct options *chosen = user;
	struct dut_duties *duties = dut_new(ctx, &chosen->duties);
	struct dut_wanted_order wanted[N_ORDERS];
	char arguments[N_ORDERS][16];
	unsigned i;

	for (i = 0; i < N_ORDERS; i++) {
		g_snprintf(arguments[i], sizeof(arguments[i]), "model-%u", i);
		wanted[i].target = i % 2 ? "engine-1" : "engine-2";
		wanted[i].order = chosen->order;
		wanted[i].argument = arguments[i];
		wanted[i].attempt = 0;
	}
	dut_set_wanted(ctx, duties, wanted, N_ORDERS);
	return dut_module(duties);
}

static void set_up(void)
{
	dut_config_init(&options.duties);
	options.duties.loads_per_minute = (double)CLK_MINUTE / SPACING_MS;
	options.sink.record = count_entry;
	options.duties.sink = &options.sink;
	options.n_audited = 0;
	options.order = "load";
	sim_config_init(&config);
	config.n_engines = 2;
	config.make[0] = make_duties;
	config.n_modules = 1;
	config.user = &options;
	/* Orders may arrive this long after their sender's lease expired. */
	config.plan_action_pause = options.duties.lease.fence_wait;
}

static bool same_holder(const struct sim_order *a, const struct sim_order *b)
{
	return a->instance == b->instance && a->generation == b->generation;
}

/* Each order arrives once, and none of a former holder after a newer one's. */
static void check_orders(const struct sim *sim, const char *what)
{
	guint i;
	guint j;

	for (i = 0; i < sim->orders->len; i++) {
		const struct sim_order *order = sim->orders->pdata[i];

		for (j = 0; j < i; j++) {
			const struct sim_order *other = sim->orders->pdata[j];

			ck_assert_msg(strcmp(order->argument, other->argument),
				      "%s: %s was sent twice", what,
				      order->argument);
			if (!order->accepted || same_holder(order, other))
				continue;
			/* A target rejects only by numbers that it has seen. */
			if (sim->config.engines_check_fencing &&
			    strcmp(order->target, other->target))
				continue;
			ck_assert_msg(order->fence > other->fence,
				      "%s: %s from a former holder reached "
				      "%s after %s had reached %s",
				      what, order->argument, order->target,
				      other->argument, other->target);
		}
	}
	ck_assert_msg(sim->orders->len <= options.n_audited,
		      "%s: an order is not in the audit trail", what);
}

static void check_rate(const struct sim *sim, const char *what)
{
	guint i;

	for (i = 1; i < sim->orders->len; i++) {
		const struct sim_order *order = sim->orders->pdata[i];
		const struct sim_order *before = sim->orders->pdata[i - 1];

		ck_assert_msg(order->decided_at - before->decided_at >=
				      SPACING_MS,
			      "%s: %s came %d ms after the previous order",
			      what, order->argument,
			      (int)(order->decided_at - before->decided_at));
	}
}

/* Guards against wanted orders that are not sent, or sent too fast. */
START_TEST(wanted_orders_are_sent_once_at_the_rate)
{
	struct sim *sim;

	config.engines_check_fencing = _i;
	sim = sim_new(&config);
	sim_run_until(sim, SIM_START + 2 * CLK_MINUTE);
	ck_assert_uint_eq(sim->orders->len, N_ORDERS);
	ck_assert_uint_eq(options.n_audited, N_ORDERS);
	check_orders(sim, "plain");
	check_rate(sim, "plain");
	sim_free(sim);
}
END_TEST

/* Guards against a slow handover by an instance that drains. */
START_TEST(drain_releases_the_lease)
{
	struct sim *sim;
	unsigned holder;

	sim = sim_new(&config);
	sim_run_until(sim, SIM_START + 5 * CLK_SECOND);
	ck_assert_uint_gt(sim->orders->len, 0);
	holder = ((struct sim_order *)sim->orders->pdata[0])->instance;
	sim_drain(sim, holder);
	/* Time for a poll of the lease and two orders, not for its expiry. */
	sim_run_until(sim, SIM_START + 5 * CLK_SECOND +
				   options.duties.lease.ttl / 2 +
				   2 * SPACING_MS);
	ck_assert_uint_ne(
		((struct sim_order *)sim->orders->pdata[sim->orders->len - 1])
			->instance,
		holder);
	sim_run_until(sim, SIM_START + 2 * CLK_MINUTE);
	check_orders(sim, "drain");
	check_rate(sim, "drain");
	ck_assert_uint_eq(sim->orders->len, N_ORDERS);
	sim_free(sim);
}
END_TEST

static void restart_all(struct sim *sim, void *data)
{
	unsigned i;

	(void)data;
	for (i = 0; i < sim->config.n_instances; i++)
		sim_restart(sim, i);
}

/* The holder is cut off from the store, so that its lease expires. */
static void expiry_sequence(struct sim *sim)
{
	unsigned holder;

	sim_run_until(sim, SIM_START + 6 * CLK_SECOND);
	if (!sim->orders->len)
		return;
	holder = ((struct sim_order *)sim->orders->pdata[0])->instance;
	sim_cut_store(sim, holder, CLK_MINUTE);
}

static void plain_sequence(struct sim *sim)
{
	(void)sim;
}

typedef void (*sequence)(struct sim *sim);

static const sequence sequences[] = {expiry_sequence, plain_sequence};

static uint64_t run_sequence(sequence run, uint64_t step, enum sim_fault fault)
{
	struct sim *sim;
	uint64_t steps;
	char what[80];

	options.n_audited = 0;
	sim = sim_new(&config);
	sim->plan_step = step;
	sim->plan_fault = fault;
	sim_at(sim, SIM_START + 50 * CLK_SECOND, restart_all, NULL);
	run(sim);
	sim_run_until(sim, SIM_START + 40 * CLK_SECOND);
	steps = sim->step;
	sim_run_until(sim, SIM_START + 3 * CLK_MINUTE);
	/* The end of the long pause, when the former holder resumes. */
	if (fault == SIM_FAULT_PAUSE)
		sim_run_until(sim, SIM_START + SIM_PAUSE_LONG + CLK_MINUTE);
	g_snprintf(what, sizeof(what), "step %d fault %d", (int)step, fault);
	check_orders(sim, what);
	if (fault == SIM_FAULT_NONE || fault == SIM_FAULT_KILL)
		check_rate(sim, what);
	sim_free(sim);
	return steps;
}

/*
 * Guards against a step at which a fault lets a former holder act, or an
 * order be sent twice. Targets ignore fencing numbers in every second pass.
 */
START_TEST(every_fault_at_every_step)
{
	uint64_t steps;
	uint64_t step;
	int fault;

	config.engines_check_fencing = _i / 2;
	steps = run_sequence(sequences[_i % 2], 0, SIM_FAULT_NONE);
	ck_assert_uint_gt(steps, 20);
	for (step = 1; step <= steps; step++)
		for (fault = 1; fault < SIM_N_FAULTS; fault++)
			run_sequence(sequences[_i % 2], step,
				     (enum sim_fault)fault);
}
END_TEST

static void random_fault(struct sim *sim, void *data)
{
	unsigned i = (unsigned)sim_random_span(sim, 2);
	clk_ms span = sim_random_span(sim, 30 * CLK_SECOND);

	(void)data;
	switch ((int)sim_random_span(sim, 6)) {
	case 0:
		sim_kill(sim, i);
		sim_at(sim, sim->now + span, restart_all, NULL);
		break;
	case 1:
		sim_pause(sim, i, span);
		break;
	case 2:
		sim_pause(sim, i, 5 * CLK_MINUTE);
		break;
	case 3:
		sim_cut_store(sim, i, span);
		break;
	case 4:
		sim_store_outage(sim, span);
		break;
	case 5:
		sim->store_slow_until = sim->now + span;
		break;
	default:
		sim_drain(sim, i);
	}
}

/* Guards against combinations of faults; the test above injects one. */
START_TEST(random_histories_keep_order_invariants)
{
	uint64_t seed;
	unsigned sent = 0;

	for (seed = 1; seed <= N_HISTORIES; seed++) {
		struct sim *sim;
		char what[40];
		unsigned i;

		options.n_audited = 0;
		config.seed = seed;
		config.engines_check_fencing = seed % 2;
		config.max_skew = 5 * CLK_SECOND;
		config.view_delay = 5 * CLK_SECOND;
		config.faults.store_lost_reply = seed % 3 ? 0.1 : 0;
		config.faults.store_late = seed % 3 ? 0.05 : 0;
		config.faults.store_unavailable = seed % 5 ? 0.05 : 0;
		sim = sim_new(&config);
		for (i = 0; i < 4; i++)
			sim_at(sim,
			       SIM_START + sim_random_span(sim, CLK_MINUTE),
			       random_fault, NULL);
		sim_run_until(sim, SIM_START + 10 * CLK_MINUTE);
		g_snprintf(what, sizeof(what), "seed %d", (int)seed);
		check_orders(sim, what);
		sent += sim->orders->len;
		sim_free(sim);
	}
	/* A holder that fails leaves orders that are recorded but not sent. */
	ck_assert_uint_gt(sent, N_HISTORIES * N_ORDERS * 3 / 4);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("duties");

	tcase_set_timeout(tcase, 300);
	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_loop_test(tcase, wanted_orders_are_sent_once_at_the_rate, 0,
			    2);
	tcase_add_test(tcase, drain_releases_the_lease);
	tcase_add_loop_test(tcase, every_fault_at_every_step, 0, 4);
	tcase_add_test(tcase, random_histories_keep_order_invariants);
	return sup_run_case("duties", tcase);
}
