/*
 * Limits that hold over all instances together: rates and concurrency under
 * saturation, loss of the owner, partitions, lost messages, and their cost.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/limits.h>

#include "support/runner.h"
#include "support/sim.h"

/* Allowed deviation from a limit, as a part of its value. */
#define TOLERANCE 0.05

#define MAX_INSTANCES 50

/* The calls of one instance. */
struct requester {
	struct lim_limits *limits;
	unsigned admitted;
	unsigned refused;
	unsigned running;
	GQueue held; /* ids of admitted calls, oldest first */
};

struct rig {
	struct sim *sim;
	struct requester requesters[MAX_INSTANCES];
	unsigned made;
	struct wf_policy policy;
	const char *org;
	uint64_t next_call;
	unsigned tokens; /* of each call */
	unsigned peak_running;
};

static struct rig *rig;

/* The requester of an instance, whose id ends with its number. */
static struct requester *requester_of(unsigned i)
{
	const char *id = rig->sim->instances[i].id;

	return &rig->requesters[atoi(strchr(id, '-') + 1) % MAX_INSTANCES];
}

static unsigned total_running(void)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < rig->sim->config.n_instances; i++)
		if (rig->sim->instances[i].alive)
			n += requester_of(i)->running;
	return n;
}

static void admit(struct requester *requester, uint64_t id)
{
	uint64_t *copy = g_new(uint64_t, 1);

	*copy = id;
	g_queue_push_tail(&requester->held, copy);
	requester->admitted++;
	requester->running++;
	rig->peak_running = MAX(rig->peak_running, total_running());
}

static void decided(struct wf_ctx *ctx, void *user, uint64_t call_id,
		    bool admitted, clk_ms retry_after)
{
	struct requester *requester = user;

	(void)ctx;
	(void)retry_after;
	if (admitted)
		admit(requester, call_id);
	else
		requester->refused++;
}

static struct wf_module *make_limits(struct wf_ctx *ctx, void *user)
{
	struct lim_config config;
	unsigned index = (unsigned)atoi(strchr(ctx->self, '-') + 1);
	struct requester *requester;

	(void)user;
	index %= MAX_INSTANCES;
	requester = &rig->requesters[index];
	g_queue_clear_full(&requester->held, g_free);
	requester->running = 0;
	lim_config_init(&config);
	config.decided = decided;
	config.user = requester;
	requester->limits = lim_new(ctx, &config);
	return lim_module(requester->limits);
}

static void rig_start(unsigned n, uint64_t seed)
{
	struct sim_config config;

	rig = g_new0(struct rig, 1);
	rig->org = "carretti";
	rig->tokens = 100;
	rig->policy.weight = 1;
	sim_config_init(&config);
	config.seed = seed;
	config.n_instances = n;
	config.n_targets = 0;
	config.peer_latency = 40;
	config.make[0] = make_limits;
	config.n_modules = 1;
	rig->sim = sim_new(&config);
	sim_run_until(rig->sim, rig->sim->now + 5 * CLK_SECOND);
}

static void rig_stop(void)
{
	unsigned i;

	for (i = 0; i < MAX_INSTANCES; i++)
		g_queue_clear_full(&rig->requesters[i].held, g_free);
	sim_free(rig->sim);
	g_free(rig);
	rig = NULL;
}

static void arrive(unsigned i)
{
	struct sim_instance *instance = &rig->sim->instances[i];
	struct requester *requester = requester_of(i);
	uint64_t id = ++rig->next_call;
	clk_ms retry_after = 0;

	if (!instance->alive || instance->paused_until > rig->sim->now)
		return;
	instance->ctx->now = rig->sim->now;
	switch (lim_request(instance->ctx, requester->limits, id, rig->org,
			    &rig->policy, 1, rig->tokens, &retry_after)) {
	case LIM_ADMITTED:
		admit(requester, id);
		break;
	case LIM_REFUSED:
		requester->refused++;
		break;
	case LIM_PENDING:
		break;
	}
	sim_run_actions(rig->sim, i);
}

static void finish_oldest(unsigned i)
{
	struct sim_instance *instance = &rig->sim->instances[i];
	struct requester *requester = requester_of(i);
	uint64_t *id;

	if (!instance->alive)
		return;
	id = g_queue_pop_head(&requester->held);
	if (!id)
		return;
	instance->ctx->now = rig->sim->now;
	requester->running--;
	lim_done(instance->ctx, requester->limits, *id, rig->tokens);
	sim_run_actions(rig->sim, i);
	g_free(id);
}

/* Calls arrive evenly at random instances; returns how many were admitted. */
static unsigned offer(double per_second, clk_ms span)
{
	clk_ms end = rig->sim->now + span;
	unsigned before = 0;
	unsigned after = 0;
	double due = 0.0;
	unsigned n;
	unsigned i;

	for (i = 0; i < MAX_INSTANCES; i++)
		before += rig->requesters[i].admitted;
	while (rig->sim->now < end) {
		sim_run_until(rig->sim, rig->sim->now + 10);
		due += per_second / 100.0;
		n = (unsigned)due;
		due -= n;
		while (n--)
			arrive((unsigned)g_rand_int_range(
				rig->sim->rand, 0,
				(gint32)rig->sim->config.n_instances));
	}
	for (i = 0; i < MAX_INSTANCES; i++)
		after += rig->requesters[i].admitted;
	return after - before;
}

static const unsigned sizes[] = {5, 50};

/* Guards against instances that each grant the whole rate. */
START_TEST(rate_holds_over_all_instances)
{
	unsigned admitted;

	rig_start(sizes[_i], 31);
	rig->policy.rate = 100.0;
	offer(400.0, 5 * CLK_SECOND);
	admitted = offer(400.0, 20 * CLK_SECOND);
	ck_assert_double_le(admitted, 2000 * (1 + TOLERANCE));
	ck_assert_double_ge(admitted, 2000 * (1 - TOLERANCE));
	rig_stop();
}
END_TEST

/* Guards against refusals of an organisation that is below its limit. */
START_TEST(demand_below_the_rate_is_admitted)
{
	unsigned admitted;

	rig_start(sizes[_i], 32);
	rig->policy.rate = 100.0;
	offer(60.0, 5 * CLK_SECOND);
	admitted = offer(60.0, 20 * CLK_SECOND);
	ck_assert_double_ge(admitted, 1200 * (1 - TOLERANCE));
	rig_stop();
}
END_TEST

/* Guards against instances that each grant the whole token rate. */
START_TEST(token_rate_holds_over_all_instances)
{
	unsigned admitted;

	rig_start(sizes[_i], 33);
	rig->policy.token_rate = 10000.0;
	offer(400.0, 5 * CLK_SECOND);
	admitted = offer(400.0, 20 * CLK_SECOND);
	ck_assert_double_le(admitted, 2000 * (1 + TOLERANCE));
	ck_assert_double_ge(admitted, 2000 * (1 - TOLERANCE));
	rig_stop();
}
END_TEST

/* Guards against a call that can never start because of its size. */
START_TEST(call_above_the_token_rate_waits_its_turn)
{
	unsigned admitted;

	rig_start(5, 40);
	rig->tokens = 2000;
	rig->policy.token_rate = 500.0;
	offer(20.0, 20 * CLK_SECOND);
	admitted = offer(20.0, 200 * CLK_SECOND);
	ck_assert_uint_ge(admitted, 47);
	ck_assert_uint_le(admitted, 53);
	rig_stop();
}
END_TEST

/* Calls that last a second each, at random instances. */
static void churn(unsigned limit, clk_ms span)
{
	clk_ms end = rig->sim->now + span;
	unsigned i;

	while (rig->sim->now < end) {
		offer(100.0, 100);
		for (i = 0; i < rig->sim->config.n_instances; i++) {
			unsigned n = requester_of(i)->running;

			for (; n > limit / 10; n--)
				finish_oldest(i);
			finish_oldest(i);
		}
	}
}

/* Guards against a concurrency limit that is exceeded or leaks slots. */
START_TEST(concurrency_holds_and_recovers)
{
	unsigned before;
	unsigned i;

	rig_start(5, 34);
	rig->policy.concurrency = 20;
	churn(20, 10 * CLK_SECOND);
	ck_assert_uint_le(rig->peak_running, 21);
	offer(400.0, 5 * CLK_SECOND);
	ck_assert_uint_ge(total_running(), 19);
	for (i = 0; i < 5; i++)
		while (requester_of(i)->running)
			finish_oldest(i);
	sim_run_until(rig->sim, rig->sim->now + 10 * CLK_SECOND);
	before = total_running();
	ck_assert_uint_eq(before, 0);
	offer(400.0, 5 * CLK_SECOND);
	ck_assert_uint_ge(total_running(), 19);
	ck_assert_uint_le(rig->peak_running, 21);
	rig_stop();
}
END_TEST

/* Guards against lost messages that leak slots. */
START_TEST(lost_messages_do_not_leak_slots)
{
	unsigned i;

	rig_start(5, 35);
	rig->policy.concurrency = 20;
	rig->sim->config.faults.peer_drop = 0.3;
	churn(20, 20 * CLK_SECOND);
	rig->sim->config.faults.peer_drop = 0.0;
	for (i = 0; i < 5; i++)
		while (requester_of(i)->running)
			finish_oldest(i);
	sim_run_until(rig->sim, rig->sim->now + 20 * CLK_SECOND);
	offer(400.0, 5 * CLK_SECOND);
	ck_assert_uint_ge(total_running(), 19);
	ck_assert_uint_le(total_running(), 21);
	rig_stop();
}
END_TEST

static unsigned owner_index(void)
{
	const struct wf_peer *owner;
	unsigned i;

	for (i = 0; i < rig->sim->config.n_instances; i++) {
		struct sim_instance *instance = &rig->sim->instances[i];

		if (!instance->alive)
			continue;
		owner = wf_owner_of(
			instance->ctx,
			wf_hash(rig->org, strlen(rig->org), 0x6c696d6974ULL),
			NULL, 0);
		return (unsigned)atoi(strchr(owner->id, '-') + 1);
	}
	return 0;
}

/* Guards against a burst from the new owner when the old one is lost. */
START_TEST(rate_holds_when_the_owner_is_lost)
{
	unsigned admitted;
	unsigned owner;
	unsigned i;

	rig_start(5, 36);
	rig->policy.rate = 100.0;
	offer(400.0, 5 * CLK_SECOND);
	owner = owner_index();
	for (i = 0; i < 5; i++)
		if (atoi(strchr(rig->sim->instances[i].id, '-') + 1) ==
		    (int)owner)
			sim_kill(rig->sim, i);
	admitted = offer(400.0, 20 * CLK_SECOND);
	ck_assert_double_le(admitted, 2000 * (1 + TOLERANCE));
	ck_assert_double_ge(admitted, 2000 * (1 - TOLERANCE));
	rig_stop();
}
END_TEST

static unsigned total_refused(void)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < MAX_INSTANCES; i++)
		n += rig->requesters[i].refused;
	return n;
}

/* Guards against refusals below the limit each time an instance restarts. */
START_TEST(restart_of_an_instance_refuses_no_call_below_the_limit)
{
	char org[16];
	unsigned i;

	rig_start(5, 41);
	rig->policy.rate = 10.0;
	for (i = 0; i < 4000; i++) {
		if (i == 1000)
			sim_kill(rig->sim, 2);
		if (i == 2000)
			sim_restart(rig->sim, 2);
		g_snprintf(org, sizeof(org), "org-%u", i % 400);
		rig->org = org;
		arrive(i % 2);
		sim_run_until(rig->sim, rig->sim->now + 10);
	}
	sim_run_until(rig->sim, rig->sim->now + CLK_SECOND);
	ck_assert_uint_eq(total_refused(), 0);
	rig_stop();
}
END_TEST

/* Guards against an idle scope that keeps costing messages. */
START_TEST(idle_scope_costs_nothing)
{
	uint64_t frames;
	unsigned i;

	rig_start(5, 37);
	rig->policy.rate = 100.0;
	offer(50.0, 5 * CLK_SECOND);
	for (i = 0; i < 5; i++)
		while (requester_of(i)->running)
			finish_oldest(i);
	sim_run_until(rig->sim, rig->sim->now + CLK_MINUTE);
	frames = rig->sim->counts.peer_frames;
	sim_run_until(rig->sim, rig->sim->now + CLK_MINUTE);
	ck_assert_uint_eq(rig->sim->counts.peer_frames, frames);
	ck_assert_uint_eq(lim_count_scopes(requester_of(0)->limits), 0);
	rig_stop();
}
END_TEST

/* Guards against an unlimited call that waits for a grant. */
START_TEST(unlimited_call_is_admitted_at_once)
{
	uint64_t frames;

	rig_start(5, 38);
	frames = rig->sim->counts.peer_frames;
	arrive(0);
	ck_assert_uint_eq(requester_of(0)->admitted, 1);
	ck_assert_uint_eq(rig->sim->counts.peer_frames, frames);
	rig_stop();
}
END_TEST

/* Guards against malformed frames that change or crash the module. */
START_TEST(malformed_frames_are_counted_and_dropped)
{
	static const uint8_t body[] = {0x0a, 0xff, 0x01};
	static const uint8_t empty[] = {0x10, 0x01};
	struct wf_peer_event peer = {"x", 1, LIM_KIND_DEMAND, body, 3};
	struct wf_event event = {.type = WF_EV_PEER};
	struct sim_instance *instance;
	struct wf_module *module;

	rig_start(2, 39);
	instance = &rig->sim->instances[0];
	module = lim_module(requester_of(0)->limits);
	event.peer = &peer;
	module->ops->handle(instance->ctx, module, &event);
	peer.kind = LIM_KIND_GRANT;
	module->ops->handle(instance->ctx, module, &event);
	peer.kind = LIM_KIND_DEMAND;
	peer.body = empty; /* well-formed, but without terms */
	peer.body_len = sizeof(empty);
	module->ops->handle(instance->ctx, module, &event);
	ck_assert_int_eq(
		ctr_get(instance->ctx->counters, "wf_peer_bad_frames_total"),
		3);
	rig_stop();
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("limits");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, rate_holds_over_all_instances, 0, 2);
	tcase_add_loop_test(tcase, demand_below_the_rate_is_admitted, 0, 2);
	tcase_add_loop_test(tcase, token_rate_holds_over_all_instances, 0, 2);
	tcase_add_test(tcase, call_above_the_token_rate_waits_its_turn);
	tcase_add_test(tcase, concurrency_holds_and_recovers);
	tcase_add_test(tcase, lost_messages_do_not_leak_slots);
	tcase_add_test(tcase, rate_holds_when_the_owner_is_lost);
	tcase_add_test(tcase,
		       restart_of_an_instance_refuses_no_call_below_the_limit);
	tcase_add_test(tcase, idle_scope_costs_nothing);
	tcase_add_test(tcase, unlimited_call_is_admitted_at_once);
	tcase_add_test(tcase, malformed_frames_are_counted_and_dropped);
	return sup_run_case("limits", tcase);
}
