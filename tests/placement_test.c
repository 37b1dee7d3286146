/* Tests of layer placement: replicas, memory limits, repair, convergence. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/fleet.h"
#include "support/runner.h"

#define SEEDS 40

struct fixture {
	struct cat_catalog *catalog;
	const struct cat_service *service;
	struct flt_fleet *fleet;
};

static void setup(struct fixture *fixture)
{
	fixture->catalog = sup_engine_catalog();
	fixture->service = sup_engine_service(fixture->catalog);
	fixture->fleet = flt_new();
}

static void teardown(struct fixture *fixture)
{
	flt_drop(fixture->fleet);
	cat_drop(fixture->catalog);
}

static bool has_copy(const struct fixture *fixture, clk_ms now,
		     const char *center)
{
	unsigned layer;

	for (layer = 0; layer < FLT_TEST_LAYERS; layer++) {
		if (!sup_count_holders(fixture->fleet, now, center, layer))
			return false;
	}
	return true;
}

/* Checks that no engine holds more layers than fit its memory. */
static void check_limits(const struct fixture *fixture)
{
	const GPtrArray *targets = flt_targets(fixture->fleet);
	const struct cat_engine *engine = fixture->service->engine;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		const struct cat_accelerator *kind =
			cat_find_accelerator(engine, target->accelerator);
		unsigned held = target->holds.end - target->holds.first;

		ck_assert_uint_le(target->holds.first, target->holds.end);
		ck_assert_uint_le(target->holds.end, FLT_TEST_LAYERS);
		ck_assert(held * engine->layer_mb <= kind->memory_mb);
	}
}

static void setup_planned_fleet(struct fixture *fixture)
{
	setup(fixture);
	sup_list_fleet(fixture->fleet, 0);
	ck_assert_uint_lt(sup_apply_plans(fixture->fleet, 0, fixture->service),
			  UINT_MAX);
}

START_TEST(each_data_center_gets_a_complete_copy)
{
	struct fixture fixture;

	setup_planned_fleet(&fixture);
	check_limits(&fixture);
	ck_assert(has_copy(&fixture, 0, "a"));
	ck_assert(has_copy(&fixture, 0, "b"));
	ck_assert(has_copy(&fixture, 0, "c"));
	teardown(&fixture);
}
END_TEST

/* Guards against instances that compute different plans. */
START_TEST(plan_does_not_depend_on_the_order_of_the_list)
{
	struct fixture fixture;
	struct flt_fleet *other = flt_new();
	const GPtrArray *targets;
	guint i;

	setup_planned_fleet(&fixture);
	targets = flt_targets(fixture.fleet);
	for (i = targets->len; i-- > 0;) {
		const struct flt_target *target = targets->pdata[i];
		struct flt_range none = {0, 0};

		sup_list_engine(other, 0, target->id, target->data_center,
				target->accelerator, none);
	}
	sup_apply_plans(other, 0, fixture.service);
	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		const struct flt_target *twin = flt_find(other, target->id);

		ck_assert_uint_eq(target->holds.first, twin->holds.first);
		ck_assert_uint_eq(target->holds.end, twin->holds.end);
	}
	flt_drop(other);
	teardown(&fixture);
}
END_TEST

/* After the loss of any engine, its data centre must get a complete replica
 * again, with few changes to other engines. */
START_TEST(layers_of_any_removed_engine_are_replaced)
{
	struct fixture fixture;
	const struct flt_target *removed;
	char *center;
	unsigned changes;

	setup_planned_fleet(&fixture);
	if ((guint)_i >= flt_targets(fixture.fleet)->len) {
		teardown(&fixture);
		return;
	}
	removed = flt_targets(fixture.fleet)->pdata[_i];
	center = g_strdup(removed->data_center);
	flt_remove(fixture.fleet, 10, removed->id, 0);
	changes = sup_apply_plans(fixture.fleet, 10, fixture.service);
	check_limits(&fixture);
	ck_assert(has_copy(&fixture, 10, center));
	ck_assert_uint_le(changes, 5);
	g_free(center);
	teardown(&fixture);
}
END_TEST

/* Guards against waiting for an entry to expire when its target is known to be
 * down. */
START_TEST(down_engine_is_replaced_before_its_entry_expires)
{
	struct fixture fixture;
	struct flt_target *removed = NULL;
	const GPtrArray *targets;
	guint i;

	setup_planned_fleet(&fixture);
	targets = flt_targets(fixture.fleet);
	for (i = 0; i < targets->len && !removed; i++) {
		struct flt_target *target = targets->pdata[i];

		if (!strcmp(target->accelerator, "middle"))
			removed = target;
	}
	ck_assert_ptr_nonnull(removed);
	if (!removed)
		return;
	flt_mark_down(removed, 10);
	ck_assert(!has_copy(&fixture, 11, removed->data_center));
	sup_apply_plans(fixture.fleet, 11, fixture.service);
	ck_assert(has_copy(&fixture, 11, removed->data_center));
	teardown(&fixture);
}
END_TEST

/* Guards against layers that are taken over only once the list shows that their
 * engine is leaving, which may be after it has said so itself. */
START_TEST(engine_that_says_it_is_leaving_is_replaced)
{
	struct fixture fixture;
	const GPtrArray *targets;
	struct flt_target *leaving;

	setup_planned_fleet(&fixture);
	targets = flt_targets(fixture.fleet);
	leaving = targets->pdata[_i];
	ck_assert(flt_mark_leaving(fixture.fleet, 10, leaving->id,
				   leaving->started_at));
	sup_apply_plans(fixture.fleet, 11, fixture.service);
	ck_assert(has_copy(&fixture, 11, leaving->data_center));
	teardown(&fixture);
}
END_TEST

/* Guards against orders because an engine wants no requests for some time: what
 * it holds is still there. */
START_TEST(closed_engine_is_not_replaced)
{
	struct fixture fixture;
	const struct flt_target *closed;
	GArray *plan;

	setup_planned_fleet(&fixture);
	closed = flt_targets(fixture.fleet)->pdata[_i];
	ck_assert(flt_mark_closed(fixture.fleet, 10, closed->id,
				  closed->started_at, CLK_MINUTE));
	plan = plc_plan(fixture.fleet, 11, fixture.service);
	ck_assert_uint_eq(plan->len, 0);
	g_array_unref(plan);
	teardown(&fixture);
}
END_TEST

/*
 * An engine that took over layers of failed neighbours must drop them once
 * others hold them again, as it has little KV cache left for requests.
 */
START_TEST(extended_engine_drops_layers_held_elsewhere)
{
	struct fixture fixture;
	const GPtrArray *targets;
	struct flt_target *large = NULL;
	struct flt_range before;
	guint i;

	setup_planned_fleet(&fixture);
	targets = flt_targets(fixture.fleet);
	for (i = 0; i < targets->len && !large; i++) {
		struct flt_target *target = targets->pdata[i];

		if (!strcmp(target->accelerator, "large") &&
		    !strcmp(target->data_center, "b"))
			large = target;
	}
	ck_assert_ptr_nonnull(large);
	if (!large)
		return;
	before = large->holds;
	if (before.first >= 4)
		large->holds.first -= 4;
	if (before.end + 4 <= FLT_TEST_LAYERS)
		large->holds.end += 4;
	ck_assert_uint_le(sup_apply_plans(fixture.fleet, 10, fixture.service),
			  2);
	ck_assert_uint_eq(large->holds.end - large->holds.first,
			  before.end - before.first);
	check_limits(&fixture);
	ck_assert(has_copy(&fixture, 10, "b"));
	teardown(&fixture);
}
END_TEST

/* Guards against out-of-bounds access when the configuration has reduced the
 * number of layers below what an engine still holds. */
START_TEST(layers_beyond_the_model_do_not_count)
{
	struct fixture fixture;
	struct flt_range beyond = {FLT_TEST_LAYERS - 30, FLT_TEST_LAYERS + 7};

	setup_planned_fleet(&fixture);
	sup_list_engine(fixture.fleet, 5, "e900", "b", "large", beyond);
	ck_assert_uint_lt(sup_apply_plans(fixture.fleet, 10, fixture.service),
			  UINT_MAX);
	ck_assert(has_copy(&fixture, 10, "b"));
	teardown(&fixture);
}
END_TEST

/* Guards against undefined conversions and accesses out of bounds if sizes in
 * the configuration are missing or negative. */
START_TEST(engines_without_memory_get_no_layers)
{
	static const double sizes[][2] = {{0, 0}, {-72000, 1750}, {0, 1750}};
	struct fixture fixture;
	struct cat_engine *engine;
	guint i;

	setup(&fixture);
	engine = fixture.service->engine;
	for (i = 0; i < engine->accelerators->len; i++)
		g_array_index(engine->accelerators, struct cat_accelerator, i)
			.memory_mb = sizes[_i][0];
	engine->layer_mb = sizes[_i][1];
	if (!engine->layer_mb)
		engine->token_bytes = 0;
	sup_list_fleet(fixture.fleet, 0);
	ck_assert_uint_eq(sup_apply_plans(fixture.fleet, 0, fixture.service),
			  0);
	teardown(&fixture);
}
END_TEST

/* Guards against plans that never converge. */
START_TEST(plan_converges_after_random_events)
{
	struct fixture fixture;
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	int step;

	setup_planned_fleet(&fixture);
	for (step = 0; step < 12; step++) {
		const GPtrArray *targets = flt_targets(fixture.fleet);
		struct flt_target *target = targets->pdata[g_rand_int_range(
			rand, 0, (gint32)targets->len)];
		char *id = g_strdup(target->id);
		char *center = g_strdup(target->data_center);
		char *kind = g_strdup(target->accelerator);
		struct flt_range none = {0, 0};

		flt_remove(fixture.fleet, step, id, 0);
		if (g_rand_boolean(rand))
			sup_list_engine(fixture.fleet, step, id, center, kind,
					none);
		ck_assert_uint_lt(
			sup_apply_plans(fixture.fleet, step, fixture.service),
			UINT_MAX);
		check_limits(&fixture);
		g_free(id);
		g_free(center);
		g_free(kind);
	}
	g_rand_free(rand);
	teardown(&fixture);
}
END_TEST

/* Guards against repeating an order while it is in progress. */
START_TEST(pending_orders_count)
{
	struct fixture fixture;
	GArray *plan;
	guint i;

	setup(&fixture);
	sup_list_fleet(fixture.fleet, 0);
	plan = plc_plan(fixture.fleet, 0, fixture.service);
	ck_assert_uint_eq(plan->len, flt_targets(fixture.fleet)->len);
	for (i = 0; i < plan->len; i++) {
		struct plc_change *change =
			&g_array_index(plan, struct plc_change, i);

		change->target->ordered = change->range;
		change->target->ordered_until = 1000;
	}
	g_array_unref(plan);
	plan = plc_plan(fixture.fleet, 999, fixture.service);
	ck_assert_uint_eq(plan->len, 0);
	g_array_unref(plan);
	plan = plc_plan(fixture.fleet, 1000, fixture.service);
	ck_assert_uint_gt(plan->len, 0);
	g_array_unref(plan);
	teardown(&fixture);
}
END_TEST

/* Data centres too small for the whole model must share a replica. */
START_TEST(small_data_centers_share_a_copy)
{
	struct fixture fixture;
	struct flt_range none = {0, 0};

	setup(&fixture);
	sup_list_engine(fixture.fleet, 0, "e1", "a", "large", none);
	sup_list_engine(fixture.fleet, 0, "e2", "b", "large", none);
	sup_list_engine(fixture.fleet, 0, "e3", "c", "large", none);
	sup_apply_plans(fixture.fleet, 0, fixture.service);
	check_limits(&fixture);
	ck_assert(has_copy(&fixture, 0, NULL));
	teardown(&fixture);
}
END_TEST

START_TEST(plain_service_has_no_plan)
{
	struct fixture fixture;
	GArray *plan;

	setup(&fixture);
	plan = plc_plan(fixture.fleet, 0,
			cat_find_service(fixture.catalog, "plain"));
	ck_assert_uint_eq(plan->len, 0);
	g_array_unref(plan);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("placement");

	tcase_add_test(tcase, each_data_center_gets_a_complete_copy);
	tcase_add_test(tcase, plan_does_not_depend_on_the_order_of_the_list);
	tcase_add_loop_test(tcase, layers_of_any_removed_engine_are_replaced, 0,
			    SEEDS);
	tcase_add_test(tcase, down_engine_is_replaced_before_its_entry_expires);
	tcase_add_loop_test(tcase, engine_that_says_it_is_leaving_is_replaced,
			    0, 5);
	tcase_add_loop_test(tcase, closed_engine_is_not_replaced, 0, 5);
	tcase_add_test(tcase, layers_beyond_the_model_do_not_count);
	tcase_add_loop_test(tcase, engines_without_memory_get_no_layers, 0, 3);
	tcase_add_test(tcase, extended_engine_drops_layers_held_elsewhere);
	tcase_add_loop_test(tcase, plan_converges_after_random_events, 0,
			    SEEDS);
	tcase_add_test(tcase, pending_orders_count);
	tcase_add_test(tcase, small_data_centers_share_a_copy);
	tcase_add_test(tcase, plain_service_has_no_plan);
	return sup_run_case("placement", tcase);
}
