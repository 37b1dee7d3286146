/* Tests of path searches under overload: links that data centres share, and
 * memory that other instances have reserved. */

#include <check.h>

#include "forward/link_budget.h"
#include "support/fleet.h"
#include "support/runner.h"

#define INSTANCES 25
#define TOKENS 900
#define STEP_MS 5
/* Time for which such a prompt occupies the link. */
#define PROMPT_LINK_MS 27.0

static struct pth_query query_for(const struct cat_service *service)
{
	struct pth_query query = {
		.engine = service->engine,
		.service = "model",
		.data_center = "a",
		.tokens = TOKENS,
		.prefill_tokens = TOKENS,
	};

	return query;
}

/* Longest queue of the link, in ms, if all instances send whenever they may. */
static double longest_link_queue(clk_ms span, unsigned *sent)
{
	struct lnk_budget budgets[INSTANCES];
	double free_at = 0;
	double longest = 0;
	clk_ms now;
	unsigned i;

	for (i = 0; i < INSTANCES; i++)
		lnk_init(&budgets[i], INSTANCES, (double)i / INSTANCES);
	for (now = 0; now < span; now += STEP_MS) {
		for (i = 0; i < INSTANCES; i++) {
			if (!lnk_may_send(&budgets[i], now, PROMPT_LINK_MS))
				continue;
			lnk_charge(&budgets[i], now, PROMPT_LINK_MS);
			free_at = MAX(free_at, (double)now) + PROMPT_LINK_MS;
			longest = MAX(longest, free_at - (double)now);
			(*sent)++;
		}
	}
	return longest;
}

/* Guards against a link that delays every stream that crosses, because all
 * instances begin to use it when the data centres are full. */
START_TEST(crowd_of_instances_does_not_fill_a_link)
{
	unsigned sent = 0;

	ck_assert_double_lt(longest_link_queue(20 * CLK_SECOND, &sent), 200);
	/* A third of the link's time at least is used. */
	ck_assert_double_gt(sent * PROMPT_LINK_MS, 20.0 * CLK_SECOND / 3);
}
END_TEST

/* Guards against few instances that wait for their turn, and so leave most of
 * their share of a fast link unused. */
START_TEST(few_instances_may_begin_together)
{
	struct lnk_budget budget;
	clk_ms now;

	for (now = 0; now < 1000; now += STEP_MS) {
		lnk_init(&budget, 4, 0.5);
		ck_assert(lnk_may_send(&budget, now, 9));
		lnk_charge(&budget, now, 9);
		ck_assert(!lnk_may_send(&budget, now + 71, 9));
		ck_assert(lnk_may_send(&budget, now + 72, 9));
	}
}
END_TEST

static void add_engine(struct flt_fleet *fleet, const char *id,
		       const char *data_center, unsigned first, unsigned end)
{
	struct flt_range holds = {first, end};

	sup_list_engine(fleet, 0, id, data_center, "large", holds);
}

/* Sets a link rate in the test's engine. */
static const struct cat_service *linked_service(struct cat_catalog *catalog)
{
	const struct cat_service *service = sup_engine_service(catalog);

	service->engine->activation_bytes = 18000;
	service->engine->link_bytes_per_ms = 512500;
	return service;
}

static enum pth_result search(struct flt_fleet *fleet, clk_ms now,
			      const struct pth_query *query,
			      struct pth_path **path)
{
	return pth_find(fleet, now, query, NULL, path);
}

/* Guards against paths that cross without limit once the engines of each data
 * centre are full, and against refusals where only crossing paths exist. */
START_TEST(crossing_needs_budget_unless_there_is_no_other_path)
{
	struct cat_catalog *catalog = sup_engine_catalog();
	struct pth_query query = query_for(linked_service(catalog));
	struct flt_fleet *fleet = flt_new();
	struct pth_path *path;
	unsigned found = 0;
	clk_ms now;

	flt_set_peers(fleet, INSTANCES, 0);
	add_engine(fleet, "e1", "a", 0, 40);
	add_engine(fleet, "e2", "b", 40, 80);
	for (now = 0; now < 100; now++) {
		ck_assert_int_eq(search(fleet, now, &query, &path), PTH_FOUND);
		pth_free(path);
	}
	add_engine(fleet, "e3", "a", 40, 80);
	add_engine(fleet, "e4", "b", 0, 40);
	flt_mark_no_room(flt_find(fleet, "e3"), 0);
	flt_mark_no_room(flt_find(fleet, "e4"), 0);
	for (now = 100; now < 400; now++) {
		if (search(fleet, now, &query, &path) != PTH_FOUND)
			continue;
		found++;
		pth_free(path);
	}
	ck_assert_uint_eq(found, 0);
	/* Not by engines that are only full, but by lost ones. */
	flt_mark_down(flt_find(fleet, "e3"), 400);
	flt_mark_down(flt_find(fleet, "e4"), 400);
	for (now = 400; now < 500; now++) {
		ck_assert_int_eq(search(fleet, now, &query, &path), PTH_FOUND);
		ck_assert(pth_contains(path, flt_find(fleet, "e2")));
		pth_free(path);
	}
	flt_drop(fleet);
	cat_drop(catalog);
}
END_TEST

/* Guards against sending to an engine that has just refused for lack of memory:
 * each such send costs its caller a refusal. */
START_TEST(engine_that_refused_has_no_room_for_longer_each_time)
{
	struct cat_catalog *catalog = sup_engine_catalog();
	struct pth_query query = query_for(sup_engine_service(catalog));
	struct flt_fleet *fleet = flt_new();
	struct flt_target *target;
	struct pth_path *path;
	clk_ms now = 0;
	unsigned i;
	static const clk_ms spans[] = {400, 800, 1600, 1600};

	add_engine(fleet, "e1", "a", 0, 40);
	add_engine(fleet, "e2", "a", 40, 80);
	target = flt_find(fleet, "e2");
	for (i = 0; i < G_N_ELEMENTS(spans); i++) {
		flt_mark_no_room(target, now);
		flt_mark_no_room(target, now + 1);
		ck_assert_int_eq(
			search(fleet, now + spans[i] - 1, &query, &path),
			PTH_NO_CAPACITY);
		now += spans[i];
		ck_assert_int_eq(search(fleet, now, &query, &path), PTH_FOUND);
		pth_free(path);
	}
	now += 1600;
	flt_mark_no_room(target, now);
	ck_assert_int_eq(search(fleet, now + 400, &query, &path), PTH_FOUND);
	pth_free(path);
	flt_drop(fleet);
	cat_drop(catalog);
}
END_TEST

/*
 * Requests that all instances together place on two engines while the traffic
 * jumps. Each instance knows what the others have placed until report_age ago.
 */
static unsigned place_jump(const struct pth_query *query, clk_ms report_age)
{
	struct flt_fleet *fleets[INSTANCES];
	unsigned placed[INSTANCES][100] = {{0}};
	GPtrArray *paths =
		g_ptr_array_new_with_free_func((GDestroyNotify)pth_free);
	unsigned total = 0;
	unsigned step;
	unsigned i;
	unsigned j;

	for (i = 0; i < INSTANCES; i++) {
		fleets[i] = flt_new();
		flt_set_peers(fleets[i], INSTANCES, report_age);
		add_engine(fleets[i], "e1", "a", 0, 20);
		add_engine(fleets[i], "e2", "a", 20, 40);
		add_engine(fleets[i], "e3", "a", 40, 60);
		add_engine(fleets[i], "e4", "a", 60, 80);
	}
	for (step = 0; step < 100; step++) {
		clk_ms now = (clk_ms)step * 25;
		unsigned known = step > report_age / 25
					 ? step - (unsigned)report_age / 25
					 : 0;

		for (i = 0; i < INSTANCES; i++) {
			struct pth_path *path;
			double others = 0;

			for (j = 0; j < INSTANCES; j++)
				others += j == i ? 0 : placed[j][known];
			for (j = 1; j <= 4; j++) {
				char id[] = {'e', (char)('0' + j), '\0'};

				flt_find(fleets[i], id)->others.token_layers =
					others * TOKENS * 20;
			}
			if (step)
				placed[i][step] = placed[i][step - 1];
			/* One instance after the other. */
			if ((step + i) % 4 ||
			    search(fleets[i], now, query, &path) != PTH_FOUND)
				continue;
			pth_reserve(path, now, TOKENS);
			g_ptr_array_add(paths, path);
			placed[i][step]++;
			total++;
		}
	}
	g_ptr_array_unref(paths);
	for (i = 0; i < INSTANCES; i++)
		flt_drop(fleets[i]);
	return total;
}

/* Guards against engines that get more than they have room for, because the
 * reports of other instances are older than the jump. */
START_TEST(jump_of_traffic_does_not_overfill_engines)
{
	struct cat_catalog *catalog = sup_engine_catalog();
	const struct cat_service *service = sup_engine_service(catalog);
	struct pth_query query = query_for(service);
	double room =
		cat_free_token_layers(
			service->engine,
			cat_find_accelerator(service->engine, "large"), 20) /
		20 / TOKENS;
	unsigned placed = place_jump(&query, 300);

	ck_assert_double_le(placed, room);
	ck_assert_double_ge(placed, 0.55 * room);
	cat_drop(catalog);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("overload");

	tcase_add_test(tcase, crowd_of_instances_does_not_fill_a_link);
	tcase_add_test(tcase, few_instances_may_begin_together);
	tcase_add_test(tcase,
		       crossing_needs_budget_unless_there_is_no_other_path);
	tcase_add_test(tcase,
		       engine_that_refused_has_no_room_for_longer_each_time);
	tcase_add_test(tcase, jump_of_traffic_does_not_overfill_engines);
	return sup_run_case("overload", tcase);
}
