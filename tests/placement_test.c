/* Placement of layers: whole copies, limits of memory, repair, stability. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/fleet.h"
#include "support/runner.h"

#define SEEDS 40

struct world {
	struct cat_catalog *catalog;
	const struct cat_service *service;
	struct flt_fleet *fleet;
};

static void setup(struct world *world)
{
	world->catalog = sup_engine_catalog();
	world->service = sup_engine_service(world->catalog);
	world->fleet = flt_new();
}

static void teardown(struct world *world)
{
	flt_drop(world->fleet);
	cat_drop(world->catalog);
}

static bool has_copy(const struct world *world, clk_ms now, const char *center)
{
	unsigned layer;

	for (layer = 0; layer < FLT_TEST_LAYERS; layer++) {
		if (!sup_cover(world->fleet, now, center, layer))
			return false;
	}
	return true;
}

/* No engine is ordered to hold more layers than it has memory for. */
static void check_limits(const struct world *world)
{
	const GPtrArray *targets = flt_targets(world->fleet);
	const struct cat_engine *engine = world->service->engine;
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

static void build(struct world *world)
{
	setup(world);
	sup_list_fleet(world->fleet, 0);
	ck_assert_uint_lt(sup_carry_out(world->fleet, 0, world->service),
			  UINT_MAX);
}

START_TEST(each_data_center_gets_a_whole_copy)
{
	struct world world;

	build(&world);
	check_limits(&world);
	ck_assert(has_copy(&world, 0, "a"));
	ck_assert(has_copy(&world, 0, "b"));
	ck_assert(has_copy(&world, 0, "c"));
	teardown(&world);
}
END_TEST

/* Guards against instances that disagree on the plan. */
START_TEST(plan_does_not_depend_on_the_order_of_the_list)
{
	struct world world;
	struct flt_fleet *other = flt_new();
	const GPtrArray *targets;
	guint i;

	build(&world);
	targets = flt_targets(world.fleet);
	for (i = targets->len; i-- > 0;) {
		const struct flt_target *target = targets->pdata[i];
		struct flt_range none = {0, 0};

		sup_list_engine(other, 0, target->id, target->data_center,
				target->accelerator, none);
	}
	sup_carry_out(other, 0, world.service);
	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];
		const struct flt_target *twin = flt_find(other, target->id);

		ck_assert_uint_eq(target->holds.first, twin->holds.first);
		ck_assert_uint_eq(target->holds.end, twin->holds.end);
	}
	flt_drop(other);
	teardown(&world);
}
END_TEST

/* Guards against a data centre that stays without a copy after any loss of
 * one engine, and against a repair that moves more than it needs. */
START_TEST(loss_of_any_engine_is_repaired)
{
	struct world world;
	const struct flt_target *lost;
	char *center;
	unsigned changes;

	build(&world);
	if ((guint)_i >= flt_targets(world.fleet)->len) {
		teardown(&world);
		return;
	}
	lost = flt_targets(world.fleet)->pdata[_i];
	center = g_strdup(lost->data_center);
	flt_remove(world.fleet, 10, lost->id, 0);
	changes = sup_carry_out(world.fleet, 10, world.service);
	check_limits(&world);
	ck_assert(has_copy(&world, 10, center));
	ck_assert_uint_le(changes, 5);
	g_free(center);
	teardown(&world);
}
END_TEST

/* Guards against waiting for the list while there is evidence of a loss. */
START_TEST(engine_known_to_be_lost_is_replaced_before_its_entry_lapses)
{
	struct world world;
	struct flt_target *lost = NULL;
	const GPtrArray *targets;
	guint i;

	build(&world);
	targets = flt_targets(world.fleet);
	for (i = 0; i < targets->len && !lost; i++) {
		struct flt_target *target = targets->pdata[i];

		if (!strcmp(target->accelerator, "middle"))
			lost = target;
	}
	ck_assert_ptr_nonnull(lost);
	if (!lost)
		return;
	flt_note_down(lost, 10);
	ck_assert(!has_copy(&world, 11, lost->data_center));
	sup_carry_out(world.fleet, 11, world.service);
	ck_assert(has_copy(&world, 11, lost->data_center));
	teardown(&world);
}
END_TEST

/*
 * Guards against engines that keep the layers of lost neighbours, and little
 * memory for requests, after others hold these layers again.
 */
START_TEST(extended_engine_gives_up_what_others_hold)
{
	struct world world;
	const GPtrArray *targets;
	struct flt_target *large = NULL;
	struct flt_range before;
	guint i;

	build(&world);
	targets = flt_targets(world.fleet);
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
	ck_assert_uint_le(sup_carry_out(world.fleet, 10, world.service), 2);
	ck_assert_uint_eq(large->holds.end - large->holds.first,
			  before.end - before.first);
	check_limits(&world);
	ck_assert(has_copy(&world, 10, "b"));
	teardown(&world);
}
END_TEST

/* Guards against reading beyond the model's layers, where a configuration has
 * made the model smaller than what an engine still holds. */
START_TEST(layers_beyond_the_model_do_not_count)
{
	struct world world;
	struct flt_range beyond = {FLT_TEST_LAYERS - 30, FLT_TEST_LAYERS + 7};

	build(&world);
	sup_list_engine(world.fleet, 5, "e900", "b", "large", beyond);
	ck_assert_uint_lt(sup_carry_out(world.fleet, 10, world.service),
			  UINT_MAX);
	ck_assert(has_copy(&world, 10, "b"));
	teardown(&world);
}
END_TEST

/* Guards against orders that follow each other without end. */
START_TEST(random_events_end_in_a_stable_plan)
{
	struct world world;
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	int step;

	build(&world);
	for (step = 0; step < 12; step++) {
		const GPtrArray *targets = flt_targets(world.fleet);
		struct flt_target *target = targets->pdata[g_rand_int_range(
			rand, 0, (gint32)targets->len)];
		char *id = g_strdup(target->id);
		char *center = g_strdup(target->data_center);
		char *kind = g_strdup(target->accelerator);
		struct flt_range none = {0, 0};

		flt_remove(world.fleet, step, id, 0);
		if (g_rand_boolean(rand))
			sup_list_engine(world.fleet, step, id, center, kind,
					none);
		ck_assert_uint_lt(
			sup_carry_out(world.fleet, step, world.service),
			UINT_MAX);
		check_limits(&world);
		g_free(id);
		g_free(center);
		g_free(kind);
	}
	g_rand_free(rand);
	teardown(&world);
}
END_TEST

/* Guards against an order that is given again while it is carried out. */
START_TEST(orders_on_their_way_count)
{
	struct world world;
	GArray *plan;
	guint i;

	setup(&world);
	sup_list_fleet(world.fleet, 0);
	plan = plc_plan(world.fleet, 0, world.service);
	ck_assert_uint_eq(plan->len, flt_targets(world.fleet)->len);
	for (i = 0; i < plan->len; i++) {
		struct plc_change *change =
			&g_array_index(plan, struct plc_change, i);

		change->target->ordered = change->range;
		change->target->ordered_until = 1000;
	}
	g_array_unref(plan);
	plan = plc_plan(world.fleet, 999, world.service);
	ck_assert_uint_eq(plan->len, 0);
	g_array_unref(plan);
	plan = plc_plan(world.fleet, 1000, world.service);
	ck_assert_uint_gt(plan->len, 0);
	g_array_unref(plan);
	teardown(&world);
}
END_TEST

/* Guards against data centres that are too small for a copy of their own. */
START_TEST(small_data_centers_share_a_copy)
{
	struct world world;
	struct flt_range none = {0, 0};

	setup(&world);
	sup_list_engine(world.fleet, 0, "e1", "a", "large", none);
	sup_list_engine(world.fleet, 0, "e2", "b", "large", none);
	sup_list_engine(world.fleet, 0, "e3", "c", "large", none);
	sup_carry_out(world.fleet, 0, world.service);
	check_limits(&world);
	ck_assert(has_copy(&world, 0, NULL));
	teardown(&world);
}
END_TEST

START_TEST(plain_service_has_no_plan)
{
	struct world world;
	GArray *plan;

	setup(&world);
	plan = plc_plan(world.fleet, 0,
			cat_find_service(world.catalog, "plain"));
	ck_assert_uint_eq(plan->len, 0);
	g_array_unref(plan);
	teardown(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("placement");

	tcase_add_test(tcase, each_data_center_gets_a_whole_copy);
	tcase_add_test(tcase, plan_does_not_depend_on_the_order_of_the_list);
	tcase_add_loop_test(tcase, loss_of_any_engine_is_repaired, 0, SEEDS);
	tcase_add_test(
		tcase,
		engine_known_to_be_lost_is_replaced_before_its_entry_lapses);
	tcase_add_test(tcase, layers_beyond_the_model_do_not_count);
	tcase_add_test(tcase, extended_engine_gives_up_what_others_hold);
	tcase_add_loop_test(tcase, random_events_end_in_a_stable_plan, 0,
			    SEEDS);
	tcase_add_test(tcase, orders_on_their_way_count);
	tcase_add_test(tcase, small_data_centers_share_a_copy);
	tcase_add_test(tcase, plain_service_has_no_plan);
	return sup_run_case("placement", tcase);
}
