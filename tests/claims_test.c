/*
 * Claims: refused calls, retention, store outages, targets, and each kind of
 * fault at each step of the claim, takeover and drain sequences.
 */

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/state.h>

#include "support/claims_check.h"
#include "support/runner.h"

#define KEY "1796370000000-k"
#define PAST_RETENTION_MS (25 * CLK_HOUR)

static struct clm_config claims;
static struct sim_config config;

static void set_up(void)
{
	clm_config_init(&claims);
	claims.sweep_interval = CLK_MINUTE;
	sim_config_init(&config);
	config.make[0] = claims_make;
	config.n_modules = 1;
	config.user = &claims;
}

static void check_invariants(const struct sim *sim, const char *what)
{
	char *problem = claims_check(sim);

	ck_assert_msg(!problem, "%s: %s", what, problem);
}

struct key_case {
	const char *key;
	bool valid;
	clk_ms time;
};

static const struct key_case key_cases[] = {
	{"1796370000000-a", true, 1796370000000},
	{"0-x", true, 0},
	{"01a240c3-a280-7000-8000-000000000001", true, 0x01a240c3a280},
	{"01a240c3-a280-4000-8000-000000000001", false, 0},
	{"12345678-1234-4000-8000-000000000001", false, 0},
	{"01a240c3-a280-7000-c000-000000000001", false, 0},
	{"", false, 0},
	{"1796370000000", false, 0},
	{"1796370000000-", false, 0},
	{"-a", false, 0},
	{"x-a", false, 0},
	{"9999999999999999-a", false, 0},
	{"1796370000000-a b", false, 0},
	{"1796370000000-\xc3\xa9", false, 0},
};

/* Guards against accepting keys without a valid time. */
START_TEST(key_forms)
{
	const struct key_case *row = &key_cases[_i];
	clk_ms time = -1;

	ck_assert_int_eq(clm_key_time(row->key, &time), row->valid);
	if (row->valid)
		ck_assert_int_eq(time, row->time);
}
END_TEST

/* Guards against two organisations having the same key at a target. */
START_TEST(target_key_depends_on_organisation)
{
	char a[CLM_TARGET_KEY_SIZE];
	char b[CLM_TARGET_KEY_SIZE];

	clm_target_key("ab", "c", a);
	clm_target_key("a", "bc", b);
	ck_assert_str_ne(a, b);
	ck_assert_uint_eq(strlen(a), CLM_TARGET_KEY_SIZE - 1);
}
END_TEST

static void check_refused(const struct sim_call *call, enum err_code code)
{
	ck_assert_uint_eq(call->n_answers, 1);
	ck_assert(call->refused);
	ck_assert_str_eq(err_name(call->error), err_name(code));
	ck_assert_int_eq(call->run, ERR_RUN_NOT);
}

/* Guards against a call that is sent with an invalid or expired key. */
START_TEST(bad_keys_are_refused)
{
	struct sim *sim = sim_new(&config);

	check_refused(sim_call(sim, 0, "org", NULL, "b", 1000, false),
		      ERR_KEY_REQUIRED);
	check_refused(sim_call(sim, 0, "org", "key", "b", 1000, false),
		      ERR_BAD_KEY);
	check_refused(
		sim_call(sim, 0, "org", "1796370060000-a", "b", 1000, false),
		ERR_BAD_KEY);
	check_refused(
		sim_call(sim, 0, "org", "1796283600000-a", "b", 1000, false),
		ERR_KEY_EXPIRED);
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	ck_assert_uint_eq(sim->runs->len, 0);
	sim_free(sim);
}
END_TEST

/* Guards against a key used with two bodies, at one or two instances. */
START_TEST(other_body_is_refused)
{
	struct sim *sim = sim_new(&config);
	struct sim_call *same_instance;
	struct sim_call *other_instance;

	sim_call(sim, 0, "org", KEY, "body", 1000, false);
	sim_run_until(sim, SIM_START + CLK_SECOND);
	same_instance = sim_call(sim, 0, "org", KEY, "other", 1000, false);
	other_instance = sim_call(sim, 1, "org", KEY, "other", 1000, false);
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	check_refused(same_instance, ERR_KEY_REUSED);
	check_refused(other_instance, ERR_KEY_REUSED);
	ck_assert_uint_eq(claims_runs_of(sim, "org", KEY), 1);
	sim_free(sim);
}
END_TEST

/* Guards against a key that is run again after its entry is deleted. */
START_TEST(key_is_refused_after_retention)
{
	struct sim *sim = sim_new(&config);
	struct sim_call *late;

	sim_call(sim, 0, "org", KEY, "body", 1000, false);
	sim_run_until(sim, SIM_START + PAST_RETENTION_MS);
	ck_assert_uint_eq(claims_runs_of(sim, "org", KEY), 1);
	ck_assert_uint_eq(g_hash_table_size(sim->objects), 0);
	late = sim_call(sim, 1, "org", KEY, "body", 1000, false);
	sim_run_until(sim, SIM_START + PAST_RETENTION_MS + CLK_MINUTE);
	check_refused(late, ERR_KEY_EXPIRED);
	ck_assert_uint_eq(claims_runs_of(sim, "org", KEY), 1);
	sim_free(sim);
}
END_TEST

/*
 * Guards against a key that is accepted within retention, waits for the store
 * and is claimed after its entry has been deleted.
 */
START_TEST(waiting_claim_is_not_stored_after_retention)
{
	clk_ms accepted = SIM_START + claims.retention - 15 * CLK_SECOND;
	struct sim *sim;

	config.n_instances = 2;
	claims.sweep_interval = CLK_SECOND;
	sim = sim_new(&config);
	sim_call(sim, 0, "org", KEY, "body", 1000, false);
	sim_run_until(sim, accepted);
	/* A new instance has no copy of the object. */
	sim_kill(sim, (unsigned)_i);
	sim_restart(sim, (unsigned)_i);
	sim_cut_store(sim, (unsigned)_i, 5 * CLK_MINUTE);
	sim_cut_peers(sim, (unsigned)_i, 5 * CLK_MINUTE);
	sim_call(sim, (unsigned)_i, "org", KEY, "body", 9 * CLK_MINUTE, false);
	sim_run_until(sim, accepted + 20 * CLK_MINUTE);
	ck_assert_uint_eq(claims_runs_of(sim, "org", KEY), 1);
	check_invariants(sim, "retention");
	sim_free(sim);
}
END_TEST

/* Guards against calls without a claim and refusals after the deadline. */
START_TEST(store_outage_refuses_as_not_run)
{
	struct sim *sim = sim_new(&config);
	struct sim_call *waiting;
	struct sim_call *call;

	sim_store_outage(sim, 5 * CLK_SECOND);
	call = sim_call(sim, 0, "org", KEY, "body", 2000, false);
	waiting = sim_call(sim, 0, "org", KEY "2", "body", 9000, false);
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	check_refused(call, ERR_STORE_UNAVAILABLE);
	ck_assert_int_le(call->answered_at, SIM_START + 2000);
	ck_assert(!waiting->refused);
	check_invariants(sim, "outage");
	sim_free(sim);
}
END_TEST

/* Guards against calls that wait for a store retry after their deadline. */
START_TEST(call_is_refused_before_its_deadline)
{
	struct sim *sim;
	struct sim_call *call;
	unsigned early = 0;
	unsigned i;

	config.n_instances = 1;
	sim = sim_new(&config);
	sim_store_outage(sim, CLK_MINUTE);
	sim_call(sim, 0, "org", KEY, "body", 50000, false);
	sim_run_until(sim, SIM_START + 20 * CLK_SECOND);
	for (i = 0; i < 10; i++) {
		call = sim_call(sim, 0, "org", KEY "2", "body", 100, false);
		sim_run_until(sim, sim->now + 300);
		check_refused(call, ERR_STORE_UNAVAILABLE);
		early += call->answered_at == call->arrived;
	}
	/* The store is asked every 1 to 3 s, the calls wait 100 ms. */
	ck_assert_uint_ge(early, 5);
	sim_run_until(sim, SIM_START + 2 * CLK_MINUTE);
	check_invariants(sim, "early");
	sim_free(sim);
}
END_TEST

/* Guards against loss or change of an answer over the size limit. */
START_TEST(large_answer_comes_from_the_status_call)
{
	struct sim *sim;
	struct sim_call *again;

	claims.max_answer = 4;
	config.targets_have_status = _i == 0;
	sim = sim_new(&config);
	sim_call(sim, 0, "org", KEY, "body", 1000, false);
	sim_run_until(sim, SIM_START + 5 * CLK_SECOND);
	again = sim_call(sim, 1, "org", KEY, "body", 1000, false);
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	ck_assert_uint_eq(again->n_answers, 1);
	ck_assert_int_eq(again->refused, _i != 0);
	if (again->refused) {
		ck_assert_int_eq(again->error, ERR_TARGET_LOST);
		ck_assert_int_eq(again->run, ERR_RUN_YES);
	}
	check_invariants(sim, "large answer");
	sim_free(sim);
}
END_TEST

/* Guards against new calls to a target that is leaving. */
START_TEST(leaving_target_gets_no_call)
{
	struct sim *sim = sim_new(&config);
	char key[40];
	guint i;

	sim_target_leave(sim, "service-1");
	sim_run_until(sim, SIM_START + 2 * CLK_SECOND);
	for (i = 0; i < 20; i++) {
		g_snprintf(key, sizeof(key), KEY "%u", i);
		sim_call(sim, 0, "org", key, "body", 1000, i % 2);
	}
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	ck_assert_uint_eq(sim->runs->len, 20);
	for (i = 0; i < sim->runs->len; i++) {
		const struct sim_run *run = sim->runs->pdata[i];

		ck_assert_str_ne(run->target, "service-1");
	}
	sim_free(sim);
}
END_TEST

/* Guards against retries that multiply the load on failing targets. */
START_TEST(retries_stay_within_the_budget)
{
	struct sim *sim;
	char key[40];
	unsigned attempts = 0;
	guint i;

	config.faults.call_lost_reply = 1;
	config.n_instances = 1;
	sim = sim_new(&config);
	for (i = 0; i < 500; i++) {
		g_snprintf(key, sizeof(key), KEY "%u", i);
		sim_call(sim, 0, "org", key, "body", 60000, true);
		sim_run_until(sim, sim->now + 10);
	}
	sim_run_until(sim, SIM_START + 5 * CLK_MINUTE);
	attempts = sim->runs->len;
	ck_assert_uint_gt(attempts, 500);
	ck_assert_uint_le(attempts, 550);
	check_invariants(sim, "retries");
	sim_free(sim);
}
END_TEST

/* Guards against objects that grow beyond the configured size. */
START_TEST(full_object_refuses_new_claims)
{
	struct sim *sim;
	unsigned full = 0;
	char key[40];
	guint i;

	claims.n_shards = 1;
	claims.max_object = 20000;
	sim = sim_new(&config);
	for (i = 0; i < 400; i++) {
		g_snprintf(key, sizeof(key), KEY "%u", i);
		sim_call(sim, i % 3, "org", key, "body", 5000, false);
	}
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	for (i = 0; i < sim->calls->len; i++) {
		const struct sim_call *call = sim->calls->pdata[i];

		if (call->refused)
			check_refused(call, ERR_OVERLOADED);
		full += call->refused;
	}
	ck_assert_uint_gt(full, 0);
	ck_assert_uint_lt(full, 400);
	ck_assert_uint_le(sim->counts.largest_value, claims.max_object);
	check_invariants(sim, "full object");
	sim_free(sim);
}
END_TEST

/* Guards against crashes and calls caused by malformed peer frames. */
START_TEST(malformed_frames_are_counted)
{
	struct sim *sim = sim_new(&config);
	struct wf_module *module = sim->instances[0].modules->pdata[0];
	struct wf_ctx *ctx = sim->instances[0].ctx;
	GRand *rand = g_rand_new_with_seed(7);
	struct wf_action action;
	unsigned i;

	for (i = 0; i < 5000; i++) {
		uint8_t body[64];
		struct wf_peer_event peer = {.from = "entry-2", .body = body};
		struct wf_event event = {.type = WF_EV_PEER, .peer = &peer};
		size_t j;

		peer.kind = CLM_KIND_FIRST + i % 20;
		peer.body_len = (size_t)g_rand_int_range(rand, 0, 64);
		for (j = 0; j < peer.body_len; j++)
			body[j] = (uint8_t)g_rand_int_range(rand, 0, 256);
		module->ops->handle(ctx, module, &event);
	}
	ck_assert_int_gt(ctr_get(ctx->counters, "wf_claims_bad_frames_total"),
			 4000);
	while (wf_next_action(ctx, &action)) {
		ck_assert_int_ne(action.type, WF_ACT_SERVICE_CALL);
		wf_action_clear(&action);
	}
	g_rand_free(rand);
	sim_free(sim);
}
END_TEST

/* Guards against unbounded memory for calls during a store outage. */
START_TEST(calls_in_progress_are_bounded)
{
	struct sim *sim;
	unsigned refused = 0;
	char key[40];
	unsigned i;

	claims.max_runs = 50;
	config.n_instances = 1;
	sim = sim_new(&config);
	sim_store_outage(sim, 2 * CLK_SECOND);
	for (i = 0; i < 80; i++) {
		g_snprintf(key, sizeof(key), KEY "%u", i);
		sim_call(sim, 0, "org", key, "body", 9000, false);
	}
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	for (i = 0; i < sim->calls->len; i++) {
		const struct sim_call *call = sim->calls->pdata[i];

		refused += call->refused;
		if (call->refused)
			check_refused(call, ERR_OVERLOADED);
	}
	ck_assert_uint_eq(refused, 30);
	check_invariants(sim, "bounded");
	sim_free(sim);
}
END_TEST

/* Guards against fallback writes, which conflict, while a store is slow. */
START_TEST(slow_store_causes_no_contention)
{
	struct sim *sim;
	char key[40];
	unsigned i;

	config.store_latency = 600;
	claims.store_timeout = 3000;
	sim = sim_new(&config);
	for (i = 0; i < 200; i++) {
		g_snprintf(key, sizeof(key), KEY "%u", i);
		sim_call(sim, i % 3, "org", key, "body", 9000, false);
		sim_run_until(sim, sim->now + 20);
	}
	sim_run_until(sim, SIM_START + CLK_MINUTE);
	for (i = 0; i < sim->calls->len; i++)
		ck_assert(!((struct sim_call *)sim->calls->pdata[i])->refused);
	/* Each conflict would cause a read. */
	ck_assert_uint_eq(sim->counts.gets, 0);
	check_invariants(sim, "slow store");
	sim_free(sim);
}
END_TEST

/* Sequences of every_fault_at_every_step */

static void restart_all(struct sim *sim, void *data)
{
	unsigned i;

	(void)data;
	for (i = 0; i < sim->config.n_instances; i++)
		sim_restart(sim, i);
}

static void claim_sequence(struct sim *sim, unsigned first)
{
	sim_call(sim, first, "org", KEY, "body", 4000, false);
	sim_run_until(sim, SIM_START + 10);
	sim_call(sim, (first + 1) % 3, "org", KEY, "body", 4000, false);
	sim_run_until(sim, SIM_START + 6 * CLK_SECOND);
	sim_call(sim, (first + 2) % 3, "org", KEY, "body", 4000, false);
}

static void takeover_sequence(struct sim *sim, unsigned first)
{
	sim_call(sim, first, "org", KEY, "body", 4000, false);
	sim_run_until(sim, SIM_START + 5);
	sim_kill(sim, (first + 1) % 3);
	sim_call(sim, (first + 2) % 3, "org", KEY, "body", 4000, false);
	sim_call(sim, first, "org", KEY "2", "body", 4000, false);
	sim_run_until(sim, SIM_START + CLK_SECOND);
	sim_restart(sim, (first + 1) % 3);
	sim_call(sim, (first + 1) % 3, "org", KEY "2", "body", 4000, false);
}

static void drain_sequence(struct sim *sim, unsigned first)
{
	sim_call(sim, first, "org", KEY, "body", 4000, false);
	sim_call(sim, (first + 1) % 3, "org", KEY "2", "body", 4000, false);
	sim_run_until(sim, SIM_START + 6);
	sim_drain(sim, first);
	sim_call(sim, (first + 2) % 3, "org", KEY, "body", 4000, false);
	sim_run_until(sim, SIM_START + CLK_SECOND);
	sim_call(sim, (first + 1) % 3, "org", KEY, "body", 4000, false);
}

typedef void (*sequence)(struct sim *sim, unsigned first);

static const sequence sequences[] = {
	claim_sequence,
	takeover_sequence,
	drain_sequence,
};

static uint64_t run_sequence(sequence run, unsigned first, uint64_t step,
			     enum sim_fault fault)
{
	struct sim *sim;
	uint64_t steps;
	char what[80];

	/* WF_TRACE="<first> <step> <fault>" traces that case. */
	g_snprintf(what, sizeof(what), "%u %d %d", first, (int)step, fault);
	config.trace = !g_strcmp0(getenv("WF_TRACE"), what);
	sim = sim_new(&config);
	sim->plan_step = step;
	sim->plan_fault = fault;
	sim_at(sim, SIM_START + 3 * CLK_SECOND, restart_all, NULL);
	sim_at(sim, SIM_START + 20 * CLK_SECOND, restart_all, NULL);
	run(sim, first);
	sim_run_until(sim, SIM_START + 15 * CLK_SECOND);
	steps = sim->step;
	sim_run_until(sim, SIM_START + 2 * CLK_HOUR);
	g_snprintf(what, sizeof(what), "first %u step %d fault %d", first,
		   (int)step, fault);
	check_invariants(sim, what);
	ck_assert_msg(claims_runs_of(sim, "org", KEY) <= 1, "%s", what);
	sim_free(sim);
	return steps;
}

/*
 * Guards against a step of the claim, takeover or drain sequence at which a
 * kill, pause, delay, duplicate or loss breaks an invariant.
 */
START_TEST(every_fault_at_every_step)
{
	unsigned first;
	int fault;

	claims.sweep_interval = CLK_HOUR;
	for (first = 0; first < 3; first++) {
		uint64_t steps =
			run_sequence(sequences[_i], first, 0, SIM_FAULT_NONE);
		uint64_t step;

		ck_assert_uint_gt(steps, 10);
		for (step = 1; step <= steps; step++)
			for (fault = 1; fault < SIM_N_FAULTS; fault++)
				run_sequence(sequences[_i], first, step,
					     (enum sim_fault)fault);
	}
}
END_TEST

/* Guards against a drain that leaves claims or calls unfinished. */
START_TEST(drain_completes)
{
	struct sim *sim = sim_new(&config);
	struct sim_call *call = sim_call(sim, 0, "org", KEY, "b", 4000, false);
	struct wf_module *module = sim->instances[0].modules->pdata[0];

	sim_run_until(sim, SIM_START + 5);
	sim_drain(sim, 0);
	sim_run_until(sim, SIM_START + 5 * CLK_SECOND);
	ck_assert_uint_eq(call->n_answers, 1);
	ck_assert(!call->refused);
	ck_assert(clm_is_idle((struct clm_claims *)module));
	check_refused(sim_call(sim, 0, "org", KEY "2", "b", 4000, false),
		      ERR_DRAINING);
	sim_free(sim);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("claims");

	tcase_set_timeout(tcase, 300);
	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_loop_test(tcase, key_forms, 0, G_N_ELEMENTS(key_cases));
	tcase_add_test(tcase, target_key_depends_on_organisation);
	tcase_add_test(tcase, bad_keys_are_refused);
	tcase_add_test(tcase, other_body_is_refused);
	tcase_add_test(tcase, key_is_refused_after_retention);
	tcase_add_loop_test(tcase, waiting_claim_is_not_stored_after_retention,
			    0, 2);
	tcase_add_test(tcase, store_outage_refuses_as_not_run);
	tcase_add_test(tcase, call_is_refused_before_its_deadline);
	tcase_add_loop_test(tcase, large_answer_comes_from_the_status_call, 0,
			    2);
	tcase_add_test(tcase, leaving_target_gets_no_call);
	tcase_add_test(tcase, retries_stay_within_the_budget);
	tcase_add_test(tcase, full_object_refuses_new_claims);
	tcase_add_test(tcase, malformed_frames_are_counted);
	tcase_add_test(tcase, calls_in_progress_are_bounded);
	tcase_add_test(tcase, slow_store_causes_no_contention);
	tcase_add_loop_test(tcase, every_fault_at_every_step, 0,
			    G_N_ELEMENTS(sequences));
	tcase_add_test(tcase, drain_completes);
	return sup_run_case("claims", tcase);
}
