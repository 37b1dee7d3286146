/*
 * Random histories from seeds: several instances in virtual time, with faults
 * of the store, the network, the targets and the instances.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include <wagtailferry/state.h>

#include "support/claims_check.h"
#include "support/runner.h"

#define N_HISTORIES 2000
#define N_PROFILES 8
#define N_KEYS 24
#define N_FAULTS 6
#define ACTIVE_MS (30 * CLK_SECOND)
#define END_MS (2 * CLK_HOUR + 30 * CLK_MINUTE)

struct planned_call {
	unsigned instance;
	char key[40];
	const char *body;
	clk_ms timeout;
	bool repeatable;
	bool cancels;
};

static void cancel_call(struct sim *sim, void *data)
{
	sim_caller_gone(sim, data);
}

static void start_call(struct sim *sim, void *data)
{
	const struct planned_call *plan = data;
	struct sim_call *call;

	call = sim_call(sim, plan->instance, "org", plan->key, plan->body,
			plan->timeout, plan->repeatable);
	if (call && plan->cancels)
		sim_at(sim, sim->now + sim_random_span(sim, plan->timeout),
		       cancel_call, call);
}

/* Plans one to four calls of a key, mostly with the same body. */
static void plan_key(struct sim *sim, unsigned n)
{
	unsigned calls = 1 + (unsigned)sim_random_span(sim, 3);
	clk_ms first = SIM_START + sim_random_span(sim, ACTIVE_MS);
	bool repeatable = sim_random_bool(sim, 0.1);

	while (calls--) {
		struct planned_call *plan = g_new0(struct planned_call, 1);
		clk_ms at =
			first + sim_random_span(sim, sim_random_bool(sim, 0.5)
							     ? 10
							     : 20 * CLK_SECOND);

		plan->instance = (unsigned)sim_random_span(
			sim, (clk_ms)sim->config.n_instances - 1);
		g_snprintf(plan->key, sizeof(plan->key), "%lld-key%u",
			   (long long)first, n);
		plan->body = sim_random_bool(sim, 0.05) ? "other" : "body";
		plan->timeout = 200 + sim_random_span(sim, 8 * CLK_SECOND);
		plan->repeatable = repeatable;
		plan->cancels = sim_random_bool(sim, 0.1);
		sim_push(sim, at, start_call, plan, g_free);
	}
}

static void restart(struct sim *sim, void *data)
{
	sim_restart(sim, GPOINTER_TO_UINT(data));
}

static void random_fault(struct sim *sim, void *data)
{
	unsigned i = (unsigned)sim_random_span(
		sim, (clk_ms)sim->config.n_instances - 1);
	clk_ms span = sim_random_span(sim, 10 * CLK_SECOND);

	(void)data;
	switch ((int)sim_random_span(sim, 8)) {
	case 0:
		sim_kill(sim, i);
		sim_at(sim, sim->now + span, restart, GUINT_TO_POINTER(i));
		break;
	case 1:
		sim_pause(sim, i, span);
		break;
	case 2:
		sim_pause(sim, i, CLK_HOUR);
		break;
	case 3:
		sim_cut_peers(sim, i, span);
		break;
	case 4:
		sim_cut_store(sim, i, span);
		break;
	case 5:
		sim_store_outage(sim, span);
		break;
	case 7:
		sim_partition(sim, 1 + (uint64_t)sim_random_span(sim, 14),
			      span);
		break;
	case 6:
		sim->store_slow_until = sim->now + span;
		break;
	default:
		sim_drain(sim, i);
	}
}

/* Profile 0 has no faults; the others stress one area, the last one all. */
static void set_faults(struct sim_config *config, unsigned profile)
{
	struct sim_faults *faults = &config->faults;
	bool all = profile == N_PROFILES - 1;

	if (profile == 1 || all) {
		faults->peer_drop = 0.1;
		faults->peer_duplicate = 0.1;
		faults->peer_late = 0.1;
	}
	if (profile == 2 || all) {
		faults->store_unavailable = 0.1;
		faults->store_lost_request = 0.05;
	}
	if (profile == 3 || all) {
		faults->store_lost_reply = 0.15;
		faults->store_late = 0.1;
	}
	if (profile == 4 || all) {
		faults->call_not_sent = 0.1;
		faults->call_lost_request = 0.1;
		faults->call_lost_reply = 0.15;
		faults->call_late = 0.1;
		faults->status_lost = 0.2;
	}
	if (profile == 5)
		config->peer_latency = 600;
	config->view_delay = profile >= 5 ? 5 * CLK_SECOND : 200;
	config->max_skew = profile >= 5 ? 4 * CLK_SECOND : 0;
}

static void print_records(const struct sim *sim)
{
	guint i;

	for (i = 0; i < sim->calls->len; i++) {
		const struct sim_call *call = sim->calls->pdata[i];

		printf("call %d %s at %lld to %lld on %u.%u%s%s: %u answers, "
		       "%s %s at %lld\n",
		       (int)call->id, call->key,
		       (long long)(call->arrived - SIM_START),
		       (long long)(call->deadline - SIM_START), call->instance,
		       call->generation, call->gone ? " gone" : "",
		       call->repeatable ? " repeatable" : "", call->n_answers,
		       call->refused ? err_name(call->error) : "answer",
		       call->refused ? err_run_name(call->run) : "",
		       (long long)(call->answered_at - SIM_START));
	}
	for (i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		printf("run for call %d sent %lld at %lld\n", (int)run->call_id,
		       (long long)(run->dispatched_at - SIM_START),
		       (long long)(run->at - SIM_START));
	}
}

static char *run_history(uint64_t seed, unsigned *answers)
{
	unsigned profile = (unsigned)(seed % N_PROFILES);
	struct sim_config config;
	struct clm_config claims;
	struct sim *sim;
	char *problem;
	unsigned i;

	clm_config_init(&claims);
	claims.sweep_interval = 5 * CLK_MINUTE;
	claims.target_timeout = 3 * CLK_SECOND;
	sim_config_init(&config);
	config.seed = seed;
	config.trace = getenv("WF_TRACE");
	config.n_instances = 2 + (unsigned)(seed / N_PROFILES % 4);
	config.targets_have_status = seed / 3 % 4 != 0;
	config.make[0] = claims_make;
	config.n_modules = 1;
	config.user = &claims;
	set_faults(&config, profile);
	sim = sim_new(&config);
	for (i = 0; i < N_KEYS; i++)
		plan_key(sim, i);
	for (i = 0; profile && i < N_FAULTS; i++)
		sim_at(sim, SIM_START + sim_random_span(sim, ACTIVE_MS),
		       random_fault, NULL);
	sim_run_until(sim, SIM_START + END_MS);
	problem = claims_check(sim);
	if (getenv("WF_SEED"))
		print_records(sim);
	for (i = 0; i < sim->calls->len; i++) {
		const struct sim_call *call = sim->calls->pdata[i];

		answers[0] += !call->gone;
		answers[1] += call->n_answers && !call->refused;
		if (!profile && !call->gone && call->refused &&
		    call->error != ERR_KEY_REUSED && !answers[2]++)
			fprintf(stderr, "seed %llu: call %d was refused\n",
				(unsigned long long)seed, (int)call->id);
	}
	sim_free(sim);
	return problem;
}

static uint64_t count_of_histories(void)
{
	const char *text = getenv("WF_HISTORIES");

	return text ? strtoull(text, NULL, 10) : N_HISTORIES;
}

/*
 * Guards against interleavings of faults in which a key runs twice, a refusal
 * says "not run" of a call that ran, a caller gets no answer, two answers or
 * that of another key, or two callers of a key get different answers.
 * WF_SEED runs a single history.
 */
START_TEST(random_histories_keep_the_invariants)
{
	const char *only = getenv("WF_SEED");
	uint64_t first = only ? strtoull(only, NULL, 10) : 1;
	uint64_t last = only ? first : count_of_histories();
	unsigned answers[3] = {0};
	unsigned failures = 0;
	uint64_t seed;

	for (seed = first; seed <= last; seed++) {
		char *problem = run_history(seed, answers);

		if (!problem)
			continue;
		failures++;
		if (failures <= 5)
			fprintf(stderr, "seed %llu: %s\n",
				(unsigned long long)seed, problem);
		g_free(problem);
	}
	printf("%u calls, %u answered by a target, %u refused without a "
	       "fault\n",
	       answers[0], answers[1], answers[2]);
	ck_assert_uint_eq(failures, 0);
	ck_assert_uint_eq(answers[2], 0);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("claims_random");

	tcase_set_timeout(tcase, 600);
	tcase_add_test(tcase, random_histories_keep_the_invariants);
	return sup_run_case("claims_random", tcase);
}
