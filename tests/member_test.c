/*
 * Membership of many instances in virtual time: failure detection, pauses,
 * partitions, replacement, updates about targets, and the traffic.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/member.h>

#include "support/runner.h"
#include "support/sim.h"

/* Every instance must detect a failure within this time. */
#define DETECTION_LIMIT_MS (10 * CLK_SECOND)

/* An update about a leaving target must reach all within this time. */
#define TARGET_UPDATE_LIMIT_MS (2 * CLK_SECOND)

/* Limit of all control traffic of one node. */
#define CONTROL_BYTES_PER_SECOND 22000.0

/* The instance list lags far behind, so that states must come from probes. */
#define LIST_LAG_MS (2 * CLK_MINUTE)

struct target_log {
	unsigned n_received;
};

static void count_target_update(struct wf_ctx *ctx, void *user,
				const char *target, uint64_t incarnation,
				enum wf_life life)
{
	struct target_log *log = user;

	(void)ctx;
	if (!strcmp(target, "engine-1") && incarnation == 5 &&
	    life == WF_LIFE_LEAVING)
		log->n_received++;
}

static struct wf_module *make_members(struct wf_ctx *ctx, void *user)
{
	struct mem_config config;

	mem_config_init(&config);
	if (user) {
		config.hooks.on_target_update = count_target_update;
		config.hooks.user = user;
	}
	return mem_module(mem_new(ctx, ctx->self, &config));
}

static struct sim *members_sim(unsigned n, uint64_t seed, void *user)
{
	struct sim_config config;

	sim_config_init(&config);
	config.seed = seed;
	config.n_instances = n;
	config.n_targets = 0;
	config.peers_by_module = true;
	config.n_data_centers = 3;
	config.view_delay = LIST_LAG_MS;
	config.peer_latency = 40;
	config.make[0] = make_members;
	config.n_modules = 1;
	config.user = user;
	return sim_new(&config);
}

static struct mem_members *members_of(struct sim *sim, unsigned i)
{
	return sim->instances[i].modules->pdata[0];
}

/* The number of other running instances that see the subject in a state. */
static unsigned count_views(struct sim *sim, unsigned subject,
			    enum wf_life life)
{
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < sim->config.n_instances; i++) {
		if (i == subject || !sim->instances[i].alive)
			continue;
		n += mem_get_life(members_of(sim, i),
				  sim->instances[subject].id) == life;
	}
	return n;
}

static void advance(struct sim *sim, clk_ms span)
{
	sim_run_until(sim, sim->now + span);
}

static const unsigned sizes[] = {5, 50, 390};

/* Guards against a failed instance that stays in the view. */
START_TEST(failure_is_detected_by_all)
{
	unsigned n = sizes[_i];
	struct sim *sim = members_sim(n, 11, NULL);

	advance(sim, 10 * CLK_SECOND);
	ck_assert_uint_eq(count_views(sim, 2, WF_LIFE_LIVE), n - 1);
	sim_kill(sim, 2);
	advance(sim, DETECTION_LIMIT_MS);
	ck_assert_uint_eq(count_views(sim, 2, WF_LIFE_DEAD), n - 1);
	sim_free(sim);
}
END_TEST

/* Guards against a paused instance that stays dead after it resumes. */
START_TEST(paused_instance_returns)
{
	unsigned n = sizes[_i];
	struct sim *sim = members_sim(n, 12, NULL);

	advance(sim, 10 * CLK_SECOND);
	sim_pause(sim, 1, 20 * CLK_SECOND);
	advance(sim, 15 * CLK_SECOND);
	ck_assert_uint_eq(count_views(sim, 1, WF_LIFE_DEAD), n - 1);
	advance(sim, 5 * CLK_SECOND + DETECTION_LIMIT_MS);
	ck_assert_uint_eq(count_views(sim, 1, WF_LIFE_LIVE), n - 1);
	sim_free(sim);
}
END_TEST

/* Guards against an instance that suspects all others after its pause. */
START_TEST(paused_instance_does_not_suspect_the_others)
{
	struct sim *sim = members_sim(20, 13, NULL);
	unsigned i;

	advance(sim, 10 * CLK_SECOND);
	sim_pause(sim, 1, CLK_HOUR);
	advance(sim, CLK_HOUR + 200);
	for (i = 0; i < 20; i++)
		ck_assert_int_eq(
			mem_get_life(members_of(sim, 1), sim->instances[i].id),
			WF_LIFE_LIVE);
	sim_free(sim);
}
END_TEST

/* Guards against confusing a replacement with its dead predecessor. */
START_TEST(replacement_is_live_at_once)
{
	unsigned n = sizes[_i];
	struct sim *sim = members_sim(n, 14, NULL);

	advance(sim, 10 * CLK_SECOND);
	sim_kill(sim, 3);
	advance(sim, DETECTION_LIMIT_MS);
	sim_restart(sim, 3);
	advance(sim, DETECTION_LIMIT_MS);
	ck_assert_uint_eq(count_views(sim, 3, WF_LIFE_LIVE), n - 1);
	sim_free(sim);
}
END_TEST

/* Guards against a healed partition whose sides never rejoin. */
START_TEST(views_converge_after_partition)
{
	struct sim *sim = members_sim(30, 15, NULL);
	unsigned i;

	advance(sim, 10 * CLK_SECOND);
	sim_partition(sim, (1 << 15) - 1, 5 * CLK_MINUTE);
	advance(sim, 5 * CLK_MINUTE);
	ck_assert_uint_eq(count_views(sim, 0, WF_LIFE_DEAD), 15);
	advance(sim, CLK_MINUTE);
	for (i = 0; i < 30; i++)
		ck_assert_uint_eq(count_views(sim, i, WF_LIFE_LIVE), 29);
	sim_free(sim);
}
END_TEST

/* Guards against a leaving instance that some still see as live. */
START_TEST(leaving_reaches_all_within_two_seconds)
{
	unsigned n = sizes[_i];
	struct sim *sim = members_sim(n, 16, NULL);

	advance(sim, 10 * CLK_SECOND);
	sim_drain(sim, 4);
	advance(sim, 2 * CLK_SECOND);
	ck_assert_uint_eq(count_views(sim, 4, WF_LIFE_LEAVING), n - 1);
	sim_free(sim);
}
END_TEST

/* Guards against a target update that reaches some instances late. */
START_TEST(target_update_reaches_all_within_two_seconds)
{
	unsigned n = sizes[_i];
	struct target_log log = {0};
	struct sim *sim = members_sim(n, 17, &log);

	advance(sim, 10 * CLK_SECOND);
	mem_announce_target(sim->instances[0].ctx, members_of(sim, 0),
			    "engine-1", 5, WF_LIFE_LEAVING);
	advance(sim, TARGET_UPDATE_LIMIT_MS);
	ck_assert_uint_eq(log.n_received, n - 1);
	sim_free(sim);
}
END_TEST

/* Guards against traffic per instance that grows with their number. */
START_TEST(cost_does_not_grow_with_instance_count)
{
	unsigned n = sizes[_i];
	struct sim *sim = members_sim(n, 18, NULL);
	uint64_t before;
	double bytes;

	advance(sim, CLK_MINUTE);
	before = sim->counts.peer_bytes;
	advance(sim, CLK_MINUTE);
	bytes = (double)(sim->counts.peer_bytes - before) / n / 60;
	ck_assert_double_lt(bytes, CONTROL_BYTES_PER_SECOND / 10);
	sim_free(sim);
}
END_TEST

/* Guards against malformed frames that change the table or crash. */
START_TEST(malformed_frames_are_counted_and_dropped)
{
	static const uint8_t body[] = {0xff, 0xff, 0x01, 0x1a, 0x7f};
	struct sim *sim = members_sim(3, 19, NULL);
	struct sim_instance *instance = &sim->instances[0];
	struct wf_peer_event peer = {"entry-2", 1, MEM_KIND_PING, body,
				     sizeof(body)};
	struct wf_event event = {.type = WF_EV_PEER};
	struct wf_module *module = mem_module(members_of(sim, 0));

	advance(sim, 5 * CLK_SECOND);
	event.peer = &peer;
	module->ops->handle(instance->ctx, module, &event);
	ck_assert_int_eq(
		ctr_get(instance->ctx->counters, "wf_peer_bad_frames_total"),
		1);
	ck_assert_uint_eq(instance->ctx->peers->len, 3);
	sim_free(sim);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("member");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, failure_is_detected_by_all, 0, 3);
	tcase_add_loop_test(tcase, paused_instance_returns, 0, 3);
	tcase_add_test(tcase, paused_instance_does_not_suspect_the_others);
	tcase_add_loop_test(tcase, replacement_is_live_at_once, 0, 3);
	tcase_add_test(tcase, views_converge_after_partition);
	tcase_add_loop_test(tcase, leaving_reaches_all_within_two_seconds, 0,
			    3);
	tcase_add_loop_test(tcase, target_update_reaches_all_within_two_seconds,
			    0, 3);
	tcase_add_loop_test(tcase, cost_does_not_grow_with_instance_count, 0,
			    3);
	tcase_add_test(tcase, malformed_frames_are_counted_and_dropped);
	return sup_run_case("member", tcase);
}
