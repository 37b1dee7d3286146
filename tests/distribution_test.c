/*
 * Rules distribution over many instances in virtual time: the time and traffic
 * until a revision is in force everywhere, and that no instance reverts.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/control.h"
#include "support/runner.h"

/* An accepted rule must be in force everywhere within this time. */
#define IN_FORCE_LIMIT_MS (13 * CLK_SECOND)

/* The same limit for five instances. */
#define IN_FORCE_SMALL_MS (2 * CLK_SECOND)

static const unsigned instance_counts[] = {5, 50, 390};

static uint64_t publish(struct control *control, unsigned edited)
{
	char *text = control_text(200, edited);
	uint64_t revision = control_publish(control, text);

	g_free(text);
	return revision;
}

/* Guards against instances that a revision reaches late or never. */
START_TEST(revision_is_in_force_everywhere_in_time)
{
	struct control *control = control_new(instance_counts[_i], 21);
	clk_ms limit = instance_counts[_i] == 5 ? IN_FORCE_SMALL_MS
						: IN_FORCE_LIMIT_MS;
	unsigned edit;

	publish(control, 0);
	control_advance(control, 30 * CLK_SECOND);
	for (edit = 1; edit <= 5; edit++) {
		uint64_t revision = publish(control, edit);
		clk_ms time =
			control_time_to_revision(control, revision, limit);

		ck_assert_int_ge(time, 0);
		control_advance(control, CLK_SECOND);
	}
	control_free(control);
}
END_TEST

/* Guards against a start during a store outage that finds no rules. */
START_TEST(new_instance_learns_rules_with_the_store_down)
{
	struct control *control = control_new(10, 22);
	uint64_t revision = publish(control, 0);

	control_advance(control, 30 * CLK_SECOND);
	sim_kill(control->sim, 3);
	sim_store_outage(control->sim, CLK_HOUR);
	control_advance(control, 5 * CLK_SECOND);
	sim_restart(control->sim, 3);
	ck_assert_uint_eq(dst_revision(control_rules(control, 3)), 0);
	ck_assert_int_ge(
		control_time_to_revision(control, revision, IN_FORCE_LIMIT_MS),
		0);
	control_free(control);
}
END_TEST

/* Guards against an instance without a store that misses revisions. */
START_TEST(instance_without_store_follows_its_peers)
{
	struct control *control = control_new(10, 23);

	publish(control, 0);
	control_advance(control, 30 * CLK_SECOND);
	sim_cut_store(control->sim, 4, CLK_HOUR);
	ck_assert_int_ge(control_time_to_revision(control, publish(control, 1),
						  IN_FORCE_LIMIT_MS),
			 0);
	control_free(control);
}
END_TEST

/* Guards against an edit that sends the whole text to every instance. */
START_TEST(edit_transfers_only_changed_chunks)
{
	struct control *control = control_new(20, 24);
	char *text = control_text(31000, 0);
	struct sim_counts *counts = &control->sim->counts;
	uint64_t revision = control_publish(control, text);
	uint64_t before;
	size_t size = strlen(text);

	g_free(text);
	ck_assert_int_ge(
		control_time_to_revision(control, revision, CLK_MINUTE), 0);
	before = counts->peer_bytes + counts->bytes_out;
	text = control_text(31000, 15000);
	revision = control_publish(control, text);
	g_free(text);
	ck_assert_int_ge(
		control_time_to_revision(control, revision, IN_FORCE_LIMIT_MS),
		0);
	ck_assert_uint_lt(counts->peer_bytes + counts->bytes_out - before,
			  20 * size / 10);
	control_free(control);
}
END_TEST

/* Makes an instance read an outdated manifest and its chunk. */
static void deliver_stale(struct control *control, unsigned i,
			  const struct rul_manifest *manifest, const char *text)
{
	struct sim_instance *instance = &control->sim->instances[i];
	struct wf_module *module = dst_module(control_rules(control, i));
	struct wf_store_entry entry = {"manifest", UINT64_MAX};
	struct wf_store_reply reply = {.result = WF_STORE_OK};
	struct wf_event event = {.type = WF_EV_STORE_REPLY};
	struct wf_action action;

	/* A poll that sees a newer object version makes it read the store. */
	while (!reply.op) {
		struct wf_event tick = {.type = WF_EV_TICK};

		instance->ctx->now += CLK_MINUTE;
		module->ops->handle(instance->ctx, module, &tick);
		while (wf_next_action(instance->ctx, &action)) {
			if (action.type == WF_ACT_STORE_LIST)
				reply.op = action.op;
			wf_action_clear(&action);
		}
	}
	reply.entries = &entry;
	reply.n_entries = 1;
	event.store = &reply;
	module->ops->handle(instance->ctx, module, &event);
	reply.entries = NULL;
	reply.n_entries = 0;
	while (wf_next_action(instance->ctx, &action)) {
		if (action.type == WF_ACT_STORE_GET) {
			reply.op = action.op;
			if (!strcmp(action.name, RUL_MANIFEST_NAME))
				reply.value =
					rul_manifest_encode(manifest, NULL);
			else
				reply.value = g_bytes_new(text, strlen(text));
			module->ops->handle(instance->ctx, module, &event);
			g_bytes_unref(reply.value);
		}
		wf_action_clear(&action);
	}
}

/* Guards against a stale replica of the store that lowers the revision. */
START_TEST(stale_store_replica_does_not_lower_the_revision)
{
	struct control *control = control_new(1, 25);
	char *text = control_text(20, 1);
	struct rul_author author = {.name = "operator"};
	struct rul_manifest *stale;
	char *newer;

	stale = rul_manifest_new(NULL, text, strlen(text), &author, SIM_START);
	control_publish(control, text);
	newer = control_text(20, 2);
	control_publish(control, newer);
	g_free(newer);
	control_advance(control, 30 * CLK_SECOND);
	ck_assert_uint_eq(dst_revision(control_rules(control, 0)), 2);
	deliver_stale(control, 0, stale, text);
	ck_assert_uint_eq(dst_revision(control_rules(control, 0)), 2);
	rul_manifest_free(stale);
	g_free(text);
	control_free(control);
}
END_TEST

/* Highest revision of each instance since it started. */
struct revision_monitor {
	struct control *control;
	uint64_t highest[16];
	unsigned generation[16];
};

static void check_monotonic(struct revision_monitor *revision_monitor)
{
	unsigned i;

	for (i = 0; i < 16; i++) {
		const struct sim_instance *instance;
		uint64_t revision;

		instance = &revision_monitor->control->sim->instances[i];
		if (!instance->alive)
			continue;
		if (instance->generation != revision_monitor->generation[i])
			revision_monitor->highest[i] = 0;
		revision_monitor->generation[i] = instance->generation;
		revision = dst_revision(
			control_rules(revision_monitor->control, i));
		ck_assert_uint_ge(revision, revision_monitor->highest[i]);
		revision_monitor->highest[i] = revision;
	}
}

static void random_fault(struct control *control, GRand *rand)
{
	unsigned i = (unsigned)g_rand_int_range(rand, 0, 16);
	clk_ms span = g_rand_int_range(rand, 100, 20000);

	switch (g_rand_int_range(rand, 0, 8)) {
	case 0:
		sim_kill(control->sim, i);
		break;
	case 1:
		sim_restart(control->sim, i);
		break;
	case 2:
		sim_pause(control->sim, i, span);
		break;
	case 3:
		sim_cut_peers(control->sim, i, span);
		break;
	case 4:
		sim_cut_store(control->sim, i, span);
		break;
	case 5:
		sim_store_outage(control->sim, span);
		break;
	case 6:
		sim_partition(control->sim, (UINT64_C(1) << i) - 1, span);
		break;
	default:
		publish(control, i);
		break;
	}
}

/* Guards against any mix of faults that reverts or loses a revision. */
START_TEST(no_revision_reverts_under_random_faults)
{
	struct control *control = control_new(16, (uint64_t)_i + 100);
	GRand *rand = g_rand_new_with_seed((guint32)_i + 100);
	struct revision_monitor revision_monitor = {.control = control};
	unsigned step;
	unsigned i;

	control->sim->config.faults.peer_drop = 0.05;
	control->sim->config.faults.peer_duplicate = 0.05;
	control->sim->config.faults.peer_late = 0.02;
	publish(control, 0);
	for (step = 0; step < 60; step++) {
		random_fault(control, rand);
		control_advance(control, g_rand_int_range(rand, 10, 3000));
		check_monotonic(&revision_monitor);
	}
	for (i = 0; i < 16; i++)
		sim_restart(control->sim, i);
	control_advance(control, 2 * CLK_MINUTE);
	check_monotonic(&revision_monitor);
	ck_assert_uint_eq(
		control_count_in_force(control, control->manifest->revision),
		16);
	g_rand_free(rand);
	control_free(control);
}
END_TEST

/* Guards against malformed frames that change or crash the module. */
START_TEST(malformed_frames_are_counted_and_dropped)
{
	static const uint8_t body[] = {0x0a, 0xff, 0x01};
	struct control *control = control_new(2, 26);
	struct sim_instance *instance = &control->sim->instances[0];
	struct wf_module *module = dst_module(control_rules(control, 0));
	struct wf_peer_event peer = {"entry-1", 1, 0, body, sizeof(body)};
	struct wf_event event = {.type = WF_EV_PEER};

	event.peer = &peer;
	for (peer.kind = DST_KIND_ANNOUNCE; peer.kind <= DST_KIND_RESPONSE;
	     peer.kind++)
		module->ops->handle(instance->ctx, module, &event);
	ck_assert_int_eq(
		ctr_get(instance->ctx->counters, "wf_peer_bad_frames_total"),
		3);
	control_free(control);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("distribution");

	tcase_set_timeout(tcase, 200);
	tcase_add_loop_test(tcase, revision_is_in_force_everywhere_in_time, 0,
			    3);
	tcase_add_test(tcase, new_instance_learns_rules_with_the_store_down);
	tcase_add_test(tcase, instance_without_store_follows_its_peers);
	tcase_add_test(tcase, edit_transfers_only_changed_chunks);
	tcase_add_test(tcase, stale_store_replica_does_not_lower_the_revision);
	tcase_add_loop_test(tcase, no_revision_reverts_under_random_faults, 0,
			    20);
	tcase_add_test(tcase, malformed_frames_are_counted_and_dropped);
	return sup_run_case("distribution", tcase);
}
