/* Target table: leaving, reports, digests, breakers, cache, slow start. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "schema/targets.pb-c.h"
#include "sched/chn.h"
#include "sched/tgt_table.h"
#include "sched/tgt_breaker.h"
#include "sched/tgt_cache.h"
#include "sched/tgt_digest.h"
#include "sched/tgt_load.h"
#include "support/engine_model.h"
#include "support/runner.h"

static const char *const data_centers[] = {"catania", "palermo", "siracusa"};

/* Two engines for each third of the model, one data centre each. */
static struct emod *new_model(unsigned n_routers)
{
	struct run_config config;
	struct emod *emod;
	unsigned i;

	run_config_init(&config);
	emod = emod_new(n_routers, data_centers, 3, 7, NULL, &config);
	for (i = 0; i < 6; i++) {
		char *id = g_strdup_printf("e%u", i);

		emod_add_engine(emod, id, data_centers[i % 3], 12, i / 2 * 4,
				i / 2 * 4 + 3, 4, 10000);
		g_free(id);
	}
	emod_publish(emod);
	emod_run_until(emod, 1000);
	return emod;
}

static void submit_for(struct emod *emod, clk_ms until, clk_ms every)
{
	struct emod_call call = {
		.prompt_tokens = 16, .max_tokens = 32, .length = 8};
	unsigned turn = 0;

	while (emod_now(emod) < until) {
		call.router = turn++ % 3;
		emod_submit(emod, &call);
		emod_run_until(emod, emod_now(emod) + every);
	}
}

/* Guards against an outdated list that makes a leaving target live again. */
START_TEST(leaving_never_goes_back_within_an_incarnation)
{
	struct emod *emod = new_model(1);
	struct tgt_table *targets = emod_targets(emod, 0);
	struct emod_engine *engine = emod_engine(emod, "e0");

	engine->list_leaving = true;
	emod_publish(emod);
	engine->list_leaving = false;
	emod_publish(emod);
	emod_run_until(emod, 3000);
	ck_assert(tgt_find(targets, "e0")->leaving);
	engine->listed = false;
	emod_publish(emod);
	engine->listed = true;
	emod_publish(emod);
	ck_assert(tgt_find(targets, "e0")->leaving);
	engine->incarnation++;
	emod_publish(emod);
	ck_assert(!tgt_find(targets, "e0")->leaving);
	engine->incarnation--;
	engine->list_leaving = true;
	emod_publish(emod);
	ck_assert(!tgt_find(targets, "e0")->leaving);
	emod_drop(emod);
}
END_TEST

/*
 * Guards against new work at a leaving target more than 2 s after the first
 * router found out. Only reports show it as leaving, the list does not.
 */
START_TEST(leaving_target_gets_no_new_work_after_two_seconds)
{
	struct emod *emod = new_model(6);

	submit_for(emod, 3000, 10);
	ck_assert_uint_gt(emod_engine(emod, "e2")->streams_opened, 0);
	emod_engine(emod, "e2")->leaving = true;
	submit_for(emod, 9000, 10);
	ck_assert_int_le(emod_engine(emod, "e2")->last_opened, 5000);
	emod_run_until(emod, 20000);
	ck_assert(run_is_idle(emod_runs(emod, 0)));
	emod_drop(emod);
}
END_TEST

/* Guards against a target polled by all instances, or by none. */
START_TEST(one_instance_in_a_data_center_polls_a_target)
{
	struct emod *emod = new_model(6);
	unsigned i;
	unsigned k;

	emod_run_until(emod, 2000);
	for (i = 0; i < 6; i++) {
		char *id = g_strdup_printf("e%u", i);

		for (k = 0; k < 3; k++) {
			unsigned owned = 0;

			owned += tgt_find(emod_targets(emod, k), id)->owned;
			owned += tgt_find(emod_targets(emod, k + 3), id)->owned;
			ck_assert_uint_eq(owned, 1);
		}
		for (k = 0; k < 6; k++)
			ck_assert_int_gt(tgt_find(emod_targets(emod, k), id)
						 ->reported_at,
					 EMOD_EPOCH);
		g_free(id);
	}
	emod_drop(emod);
}
END_TEST

/* Guards against applying malformed digests or messages of other kinds. */
START_TEST(malformed_and_stale_digests_are_ignored)
{
	static const uint8_t broken[] = {0x0a, 0xff, 0x01};
	struct emod *emod = new_model(1);
	struct wf_ctx *ctx = emod_ctx(emod, 0);
	struct wf_peer_event peer = {.from = "entry-9",
				     .kind = TGT_PEER_DIGEST,
				     .body = broken,
				     .body_len = sizeof(broken)};

	tgt_apply_peer(ctx, emod_targets(emod, 0), &peer);
	ck_assert_int_eq(
		ctr_get(ctx->counters, "wf_target_frames_malformed_total"), 1);
	peer.kind = 99;
	tgt_apply_peer(ctx, emod_targets(emod, 0), &peer);
	ck_assert_int_eq(
		ctr_get(ctx->counters, "wf_target_frames_malformed_total"), 1);
	emod_drop(emod);
}
END_TEST

static void send_digest(struct emod *emod, const char *id, unsigned age_ms)
{
	Wf__TargetDigest digest = WF__TARGET_DIGEST__INIT;
	Wf__TargetState state = WF__TARGET_STATE__INIT;
	Wf__TargetState *states[] = {&state};
	struct wf_peer_event peer = {.from = "entry-9",
				     .kind = TGT_PEER_DIGEST};
	uint8_t body[256];

	state.id = (char *)id;
	state.incarnation = tgt_find(emod_targets(emod, 0), id)->incarnation;
	state.reachable = true;
	state.age_ms = age_ms;
	digest.targets = states;
	digest.n_targets = 1;
	ck_assert_uint_le(wf__target_digest__get_packed_size(&digest),
			  sizeof(body));
	peer.body = body;
	peer.body_len = wf__target_digest__pack(&digest, body);
	tgt_apply_peer(emod_ctx(emod, 0), emod_targets(emod, 0), &peer);
}

/*
 * Guards against a digest with a report from before an engine stopped that
 * overrides the result of this instance's own health check.
 */
START_TEST(older_digest_does_not_override_health_check)
{
	struct emod *emod = new_model(1);
	struct wf_ctx *ctx = emod_ctx(emod, 0);
	struct tgt_table *targets = emod_targets(emod, 0);
	struct tgt_target *target = tgt_find(targets, "e0");
	struct wf_report report = {.target = "e0"};

	tgt_check_health(ctx, target);
	ctx->now += TGT_HEALTH_TIMEOUT_MS;
	tgt_apply_report(ctx, targets, &report);
	ck_assert(!target->reachable);
	send_digest(emod, "e0", TGT_HEALTH_TIMEOUT_MS + 1);
	ck_assert(!target->reachable);
	send_digest(emod, "e0", TGT_HEALTH_TIMEOUT_MS - 1);
	ck_assert(target->reachable);
	emod_drop(emod);
}
END_TEST

/* Guards against a failed target that is retried without a pause. */
START_TEST(breaker_opens_and_recovers_half_open)
{
	struct emod *emod = new_model(1);
	struct wf_ctx *ctx = emod_ctx(emod, 0);
	struct tgt_table *targets = emod_targets(emod, 0);
	struct tgt_target *target = tgt_find(targets, "e1");
	unsigned i;

	tgt_record_failure(ctx, targets, target, TGT_FAILURE_LOST);
	ck_assert(tgt_is_usable(targets, target, ctx->now));
	tgt_record_failure(ctx, targets, target, TGT_FAILURE_LOST);
	ck_assert(!tgt_is_usable(targets, target, ctx->now));
	ctx->now = target->open_until;
	ck_assert(tgt_is_usable(targets, target, ctx->now));
	tgt_charge(ctx, targets, target, 0.3, false);
	ck_assert(!tgt_is_usable(targets, target, ctx->now));
	for (i = 0; i < 3; i++)
		tgt_record_success(ctx, targets, target);
	ck_assert(tgt_is_usable(targets, target, ctx->now));
	ck_assert_double_lt(tgt_effective_slots(ctx, targets, target), 4);
	ctx->now += 20 * CLK_SECOND;
	ck_assert_double_eq(tgt_effective_slots(ctx, targets, target), 4);
	tgt_release(targets, target, 0.3, false);
	emod_drop(emod);
}
END_TEST

/* Guards against old failures that add up to an open breaker. */
START_TEST(rare_failures_do_not_open_the_breaker)
{
	struct emod *emod = new_model(1);
	struct wf_ctx *ctx = emod_ctx(emod, 0);
	struct tgt_table *targets = emod_targets(emod, 0);
	struct tgt_target *target = tgt_find(targets, "e1");
	unsigned i;

	for (i = 0; i < 10; i++) {
		ctx->now += 20 * CLK_SECOND;
		tgt_record_failure(ctx, targets, target, TGT_FAILURE_LOST);
		ck_assert(tgt_is_usable(targets, target, ctx->now));
	}
	emod_drop(emod);
}
END_TEST

static void send_cache(struct emod *emod, uint64_t seq, uint64_t added,
		       uint64_t removed)
{
	struct wf_cache_event event = {.target = "e0",
				       .seq = seq,
				       .added = &added,
				       .n_added = added ? 1 : 0,
				       .removed = &removed,
				       .n_removed = removed ? 1 : 0};

	tgt_cache_apply(emod_ctx(emod, 0), emod_targets(emod, 0), &event);
}

static size_t count_holders(struct emod *emod, uint64_t hash)
{
	struct tgt_holders holders;

	tgt_cache_find(emod_targets(emod, 0), &hash, 1, &holders);
	return holders.n;
}

/* Guards against cache entries that a gap in the events has made stale. */
START_TEST(gap_in_cache_events_invalidates_the_target)
{
	struct emod *emod = new_model(1);

	send_cache(emod, 1, 111, 0);
	send_cache(emod, 2, 222, 0);
	ck_assert_uint_eq(count_holders(emod, 111), 1);
	send_cache(emod, 3, 0, 111);
	ck_assert_uint_eq(count_holders(emod, 111), 0);
	send_cache(emod, 2, 111, 0);
	ck_assert_uint_eq(count_holders(emod, 111), 0);
	send_cache(emod, 7, 333, 0);
	ck_assert_uint_eq(count_holders(emod, 222), 0);
	ck_assert_uint_eq(count_holders(emod, 333), 1);
	emod_drop(emod);
}
END_TEST

/* Guards against a prefix cache that grows without bound. */
START_TEST(prefix_cache_is_bounded)
{
	struct emod *emod = new_model(1);
	uint64_t i;

	for (i = 1; i <= 70000; i++)
		send_cache(emod, i, i, 0);
	ck_assert_uint_eq(count_holders(emod, 1), 0);
	ck_assert_uint_eq(count_holders(emod, 70000), 1);
	emod_drop(emod);
}
END_TEST

static const char *planned_head(struct emod *emod, uint64_t hash)
{
	struct chn_query query = {
		.model = "swan", .prefix_hashes = &hash, .n_prefix_hashes = 1};
	struct chn_chain chain;
	struct tgt_table *targets = emod_targets(emod, 0);

	ck_assert_int_eq(chn_plan(emod_ctx(emod, 0), targets, &query, &chain),
			 CHN_FOUND);
	return tgt_get(targets, chain.stages[0].target)->id;
}

/* Guards against a target with a popular prefix that gets all the load. */
START_TEST(prefix_locality_is_bounded_by_load)
{
	struct emod *emod = new_model(1);
	struct tgt_table *targets = emod_targets(emod, 0);
	unsigned i;

	send_cache(emod, 1, 111, 0);
	for (i = 0; i < 20; i++)
		ck_assert_str_eq(planned_head(emod, 111), "e0");
	tgt_charge(emod_ctx(emod, 0), targets, tgt_find(targets, "e0"), 3.5,
		   false);
	for (i = 0; i < 20; i++)
		ck_assert_str_eq(planned_head(emod, 111), "e1");
	tgt_release(targets, tgt_find(targets, "e0"), 3.5, false);
	emod_drop(emod);
}
END_TEST

/* Guards against a new target that gets its full share during warm-up. */
START_TEST(new_target_starts_slowly)
{
	struct emod *emod = new_model(1);
	struct wf_ctx *ctx = emod_ctx(emod, 0);
	struct tgt_table *targets = emod_targets(emod, 0);

	ck_assert_double_eq(
		tgt_effective_slots(ctx, targets, tgt_find(targets, "e0")), 4);
	emod_add_engine(emod, "e9", "catania", 12, 0, 3, 40, 10000);
	emod_publish(emod);
	ck_assert_double_le(
		tgt_effective_slots(ctx, targets, tgt_find(targets, "e9")), 4);
	emod_run_until(emod, 20000);
	ck_assert_double_eq(
		tgt_effective_slots(ctx, targets, tgt_find(targets, "e9")), 40);
	emod_drop(emod);
}
END_TEST

static void send_services(struct emod *emod, uint64_t revision, size_t n)
{
	struct wf_instance list[3] = {{.id = "b0"}, {.id = "b1"}, {.id = "b2"}};
	struct wf_event event = {.type = WF_EV_INSTANCES};
	struct wf_module *module = tgt_module(emod_targets(emod, 0));
	size_t i;

	for (i = 0; i < 3; i++) {
		list[i].role = WF_ROLE_SERVICE;
		list[i].address = "127.0.0.1:9301";
		list[i].data_center = data_centers[i];
		list[i].incarnation = 1;
		list[i].serves = "booking";
		list[i].slots = 2;
	}
	event.instances.list = list;
	event.instances.n = n;
	event.instances.revision = revision;
	module->ops->handle(emod_ctx(emod, 0), module, &event);
}

/* Guards against service calls to failed, avoided or forbidden targets. */
START_TEST(service_targets_are_picked_by_load_and_breaker)
{
	char *only[] = {(char *)"palermo", NULL};
	struct emod *emod = new_model(1);
	struct wf_ctx *ctx = emod_ctx(emod, 0);
	struct tgt_table *targets = emod_targets(emod, 0);
	struct tgt_pick pick;
	tbl_handle b1;
	unsigned i;

	ck_assert(!tgt_pick_service(ctx, targets, "booking", NULL, NULL, 0,
				    &pick));
	send_services(emod, 100, 3);
	ck_assert(tgt_pick_service(ctx, targets, "booking", only, NULL, 0,
				   &pick));
	ck_assert_str_eq(pick.id, "b1");
	b1 = pick.handle;
	for (i = 0; i < 20; i++) {
		ck_assert(tgt_pick_service(ctx, targets, "booking", NULL, &b1,
					   1, &pick));
		ck_assert_str_ne(pick.id, "b1");
	}
	ck_assert(
		tgt_pick_service(ctx, targets, "booking", only, &b1, 1, &pick));
	for (i = 0; i < 2; i++) {
		tgt_service_started(ctx, targets, b1);
		tgt_service_ended(ctx, targets, b1, false);
	}
	ck_assert(!tgt_pick_service(ctx, targets, "booking", only, NULL, 0,
				    &pick));
	emod_drop(emod);
}
END_TEST

/* Guards against an older list that arrives after a newer one. */
START_TEST(older_list_is_ignored)
{
	struct emod *emod = new_model(1);
	struct tgt_table *targets = emod_targets(emod, 0);
	GString *status = g_string_new(NULL);

	send_services(emod, 100, 3);
	send_services(emod, 99, 1);
	ck_assert(tgt_find(targets, "b2")->listed);
	send_services(emod, 101, 1);
	ck_assert(!tgt_find(targets, "b2")->listed);
	tgt_write_status(emod_ctx(emod, 0), targets, status);
	ck_assert_ptr_nonnull(strstr(status->str, "\"state\":\"unlisted\""));
	g_string_free(status, TRUE);
	emod_drop(emod);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("tgt");

	tcase_add_test(tcase, leaving_never_goes_back_within_an_incarnation);
	tcase_add_test(tcase,
		       leaving_target_gets_no_new_work_after_two_seconds);
	tcase_add_test(tcase, one_instance_in_a_data_center_polls_a_target);
	tcase_add_test(tcase, malformed_and_stale_digests_are_ignored);
	tcase_add_test(tcase, older_digest_does_not_override_health_check);
	tcase_add_test(tcase, breaker_opens_and_recovers_half_open);
	tcase_add_test(tcase, rare_failures_do_not_open_the_breaker);
	tcase_add_test(tcase, gap_in_cache_events_invalidates_the_target);
	tcase_add_test(tcase, prefix_cache_is_bounded);
	tcase_add_test(tcase, prefix_locality_is_bounded_by_load);
	tcase_add_test(tcase, new_target_starts_slowly);
	tcase_add_test(tcase, service_targets_are_picked_by_load_and_breaker);
	tcase_add_test(tcase, older_list_is_ignored);
	return sup_run_case("tgt", tcase);
}
