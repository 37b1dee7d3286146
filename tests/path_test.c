/* Tests of paths: layer order, capacity, engine failures and reroutes. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "support/fleet.h"
#include "support/runner.h"

#define TOKENS 1000
#define SEEDS 30
#define LAYOUTS 400

struct fixture {
	struct cat_catalog *catalog;
	const struct cat_service *service;
	struct flt_fleet *fleet;
	GRand *rand;
};

static void setup(struct fixture *fixture, guint32 seed)
{
	fixture->catalog = sup_engine_catalog();
	fixture->service = sup_engine_service(fixture->catalog);
	fixture->fleet = flt_new();
	fixture->rand = g_rand_new_with_seed(seed);
}

static void teardown(struct fixture *fixture)
{
	flt_drop(fixture->fleet);
	cat_drop(fixture->catalog);
	g_rand_free(fixture->rand);
}

static struct pth_query query_for(const struct fixture *fixture,
				  const char *data_center)
{
	struct pth_query query = {
		.engine = fixture->service->engine,
		.service = "model",
		.data_center = data_center,
		.tokens = TOKENS,
	};

	return query;
}

static enum pth_result find_path(struct fixture *fixture, clk_ms now,
				 const char *data_center,
				 struct pth_path **path)
{
	struct pth_query query = query_for(fixture, data_center);

	return pth_find(fixture->fleet, now, &query, fixture->rand, path);
}

static const struct pth_stage *stage_at(const struct pth_path *path, guint i)
{
	return &g_array_index(path->stages, struct pth_stage, i);
}

/* Checks that each layer is run once, in order, by an engine that holds it. */
static void check_path(const struct pth_path *path)
{
	unsigned next = 0;
	guint i;
	guint j;

	for (i = 0; i < path->stages->len; i++) {
		const struct pth_stage *stage = stage_at(path, i);

		ck_assert_uint_eq(stage->range.first, next);
		ck_assert_uint_gt(stage->range.end, stage->range.first);
		ck_assert_uint_ge(stage->range.first,
				  stage->target->holds.first);
		ck_assert_uint_le(stage->range.end, stage->target->holds.end);
		for (j = 0; j < i; j++)
			ck_assert_ptr_ne(stage_at(path, j)->target,
					 stage->target);
		next = stage->range.end;
	}
	ck_assert_uint_eq(next, FLT_TEST_LAYERS);
}

static bool is_within(const struct pth_path *path, const char *data_center)
{
	guint i;

	for (i = 0; i < path->stages->len; i++) {
		if (strcmp(stage_at(path, i)->target->data_center, data_center))
			return false;
	}
	return true;
}

static void add_engine(struct fixture *fixture, const char *id,
		       const char *data_center, const char *accelerator,
		       unsigned first, unsigned end)
{
	struct flt_range range = {first, end};

	sup_list_engine(fixture->fleet, 0, id, data_center, accelerator, range);
}

/* Guards against paths with gaps, overlaps or repeated engines. */
START_TEST(random_ranges_give_valid_paths)
{
	static const char *const centers[] = {"a", "b", "c"};
	static const char *const kinds[] = {"large", "middle", "small"};
	struct fixture fixture;
	struct pth_path *path;
	int i;

	setup(&fixture, (guint32)_i);
	for (i = 0; i < 40; i++) {
		unsigned first =
			(unsigned)g_rand_int_range(fixture.rand, 0, 80);
		unsigned len = (unsigned)g_rand_int_range(fixture.rand, 1, 9);
		char *id = g_strdup_printf("e%d", 100 + i);

		add_engine(&fixture, id,
			   centers[g_rand_int_range(fixture.rand, 0, 3)],
			   kinds[g_rand_int_range(fixture.rand, 0, 3)], first,
			   MIN(first + len, FLT_TEST_LAYERS));
		g_free(id);
	}
	for (i = 0; i < 20; i++) {
		if (find_path(&fixture, i, "a", &path) != PTH_FOUND)
			continue;
		check_path(path);
		pth_reserve(path, 0, TOKENS);
		pth_free(path);
	}
	teardown(&fixture);
}
END_TEST

START_TEST(path_stays_in_one_data_center)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, 1);
	sup_list_fleet(fixture.fleet, 0);
	sup_apply_plans(fixture.fleet, 0, fixture.service);
	ck_assert_int_eq(find_path(&fixture, 0, "b", &path), PTH_FOUND);
	check_path(path);
	ck_assert(is_within(path, "b"));
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* Guards against refusing requests while another data centre holds the layers
 * that the local one has lost. */
START_TEST(path_crosses_where_no_data_center_has_all_layers)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 40);
	add_engine(&fixture, "e2", "b", "large", 40, 80);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	check_path(path);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

START_TEST(missing_layer_gives_no_path)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 40);
	add_engine(&fixture, "e2", "b", "large", 41, 80);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path),
			 PTH_MISSING_LAYERS);
	ck_assert_ptr_null(path);
	teardown(&fixture);
}
END_TEST

/* Guards against a path over an entry of another writer that names no
 * accelerator of the configuration: it counted as memory without a limit. */
START_TEST(engine_of_no_known_kind_is_not_used)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "unheard-of", 0, 80);
	add_engine(&fixture, "e2", "a", NULL, 0, 80);
	add_engine(&fixture, "e3", "a", "large", 0, 40);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path),
			 PTH_MISSING_LAYERS);
	ck_assert_ptr_null(path);
	add_engine(&fixture, "e5", "a", "large", 40, 80);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	check_path(path);
	ck_assert_uint_eq(path->stages->len, 2);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* Guards against filling the KV cache of an engine, with local requests or
 * those that peers report, until it preempts requests. */
START_TEST(memory_of_local_and_remote_requests_counts)
{
	struct fixture fixture;
	struct pth_path *paths[64];
	struct pth_path *path;
	struct flt_target *target;
	unsigned n = 0;
	unsigned i;

	setup(&fixture, 1);
	/* KV cache for about (72000 - 39 * 1750) / 39 / 7.375 tokens. */
	add_engine(&fixture, "e1", "a", "large", 0, 39);
	add_engine(&fixture, "e2", "a", "large", 39, 78);
	add_engine(&fixture, "e3", "a", "middle", 78, 80);
	while (n < G_N_ELEMENTS(paths) &&
	       find_path(&fixture, 0, "a", &paths[n]) == PTH_FOUND)
		pth_reserve(paths[n++], 0, TOKENS);
	ck_assert_uint_ge(n, 8);
	ck_assert_uint_le(n, 12);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_NO_CAPACITY);
	for (i = 0; i < n; i++)
		pth_free(paths[i]);
	target = flt_find(fixture.fleet, "e2");
	ck_assert(target->used_token_layers < 1);
	ck_assert_uint_eq(target->on_path, 0);
	target->others.token_layers = 12.0 * TOKENS * 39;
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_NO_CAPACITY);
	teardown(&fixture);
}
END_TEST

START_TEST(full_head_takes_no_further_request)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 29);
	add_engine(&fixture, "e2", "b", "large", 0, 29);
	add_engine(&fixture, "e3", "a", "large", 29, 58);
	add_engine(&fixture, "e4", "a", "large", 58, 80);
	flt_find(fixture.fleet, "e1")->in_flight = 192;
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	ck_assert_str_eq(pth_head(path)->id, "e2");
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* After the loss of an engine, the tokens of its requests must not all be read
 * by one engine while others could share them. */
START_TEST(prompt_reading_spreads_over_data_centers)
{
	struct fixture fixture;
	struct pth_path *paths[40];
	unsigned on_first = 0;
	int i;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 29);
	add_engine(&fixture, "e2", "a", "large", 29, 58);
	add_engine(&fixture, "e3", "a", "small", 58, 69);
	add_engine(&fixture, "e4", "a", "small", 69, 80);
	add_engine(&fixture, "e5", "b", "small", 58, 69);
	add_engine(&fixture, "e6", "b", "small", 69, 80);
	for (i = 0; i < 40; i++) {
		struct pth_query query = query_for(&fixture, "a");

		query.prefill_tokens = TOKENS;
		ck_assert_int_eq(pth_find(fixture.fleet, 0, &query,
					  fixture.rand, &paths[i]),
				 PTH_FOUND);
		pth_reserve(paths[i], 0, 100);
		on_first +=
			pth_contains(paths[i], flt_find(fixture.fleet, "e3"));
	}
	ck_assert_uint_ge(on_first, 12);
	ck_assert_uint_le(on_first, 30);
	for (i = 0; i < 40; i++)
		pth_free(paths[i]);
	teardown(&fixture);
}
END_TEST

/* Guards against all instances selecting the same engines. */
START_TEST(load_spreads_over_equal_engines)
{
	struct fixture fixture;
	struct pth_path *paths[60];
	unsigned first;
	int i;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 29);
	add_engine(&fixture, "e2", "a", "large", 0, 29);
	add_engine(&fixture, "e3", "a", "large", 29, 58);
	add_engine(&fixture, "e4", "a", "large", 58, 80);
	for (i = 0; i < 60; i++) {
		ck_assert_int_eq(find_path(&fixture, 0, "a", &paths[i]),
				 PTH_FOUND);
		pth_reserve(paths[i], 0, TOKENS);
	}
	first = flt_find(fixture.fleet, "e1")->in_flight;
	ck_assert_uint_ge(first, 20);
	ck_assert_uint_le(first, 40);
	for (i = 0; i < 60; i++)
		pth_free(paths[i]);
	teardown(&fixture);
}
END_TEST

START_TEST(down_engine_is_the_last_choice)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 29);
	add_engine(&fixture, "e2", "b", "small", 0, 10);
	add_engine(&fixture, "e5", "b", "small", 10, 20);
	add_engine(&fixture, "e6", "b", "small", 20, 29);
	add_engine(&fixture, "e3", "a", "large", 29, 58);
	add_engine(&fixture, "e4", "a", "large", 58, 80);
	flt_mark_down(flt_find(fixture.fleet, "e1"), 0);
	ck_assert_int_eq(find_path(&fixture, 10, "a", &path), PTH_FOUND);
	ck_assert(!pth_contains(path, flt_find(fixture.fleet, "e1")));
	pth_free(path);
	flt_remove(fixture.fleet, 10, "e2", 0);
	ck_assert_int_eq(find_path(&fixture, 10, "a", &path), PTH_FOUND);
	ck_assert(pth_contains(path, flt_find(fixture.fleet, "e1")));
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* Accelerators with room for the whole model and some requests, and one with
 * room for half of it that is much faster. */
static void add_unequal_kinds(struct fixture *fixture)
{
	struct cat_accelerator whole = {g_strdup("whole"), 160000, 16, 16};
	struct cat_accelerator slow = {g_strdup("slow"), 160000, 40, 40};
	struct cat_accelerator fast = {g_strdup("fast"), 80000, 1, 1};
	GArray *kinds = fixture->service->engine->accelerators;

	g_array_append_val(kinds, whole);
	g_array_append_val(kinds, slow);
	g_array_append_val(kinds, fast);
}

/* Guards against streams that are all refused although an engine holds all
 * layers, because another one is cheaper for some in the middle. */
START_TEST(faster_engine_inside_its_range_does_not_hide_a_holder)
{
	struct fixture fixture;
	struct pth_path *path;

	setup(&fixture, (guint32)_i);
	add_unequal_kinds(&fixture);
	add_engine(&fixture, "e1", "a", "whole", 0, 80);
	add_engine(&fixture, "e2", "a", "fast", 29, 58);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	check_path(path);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* The same where the holder of all layers has room for some of them only, and
 * another engine for the rest. */
START_TEST(holder_with_little_room_is_used_for_part_of_its_range)
{
	struct fixture fixture;
	struct pth_path *path;
	double room;

	setup(&fixture, (guint32)_i);
	add_unequal_kinds(&fixture);
	add_engine(&fixture, "e1", "a", "whole", 0, 80);
	add_engine(&fixture, "e2", "a", "fast", 29, 58);
	add_engine(&fixture, "e3", "a", "slow", 0, 58);
	room = 0.92 *
	       cat_free_token_layers(
		       fixture.service->engine,
		       cat_find_accelerator(fixture.service->engine, "whole"),
		       80);
	flt_find(fixture.fleet, "e1")->others.token_layers =
		room - 40.0 * TOKENS;
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	check_path(path);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* Guards against a search that finds no path though engines with room hold all
 * layers, or a reroute that uses the head a second time. */
START_TEST(path_is_found_whenever_all_layers_are_held)
{
	static const char *const centers[] = {"a", "b"};
	static const char *const kinds[] = {"whole", "fast"};
	unsigned n = 2 + (unsigned)_i % 7;
	bool held[FLT_TEST_LAYERS] = {false};
	struct fixture fixture;
	struct pth_path *path;
	struct pth_path *next;
	struct pth_query query;
	unsigned missing = 0;
	unsigned i;

	setup(&fixture, (guint32)_i);
	add_unequal_kinds(&fixture);
	for (i = 0; i < n; i++) {
		int kind = g_rand_int_range(fixture.rand, 0, 2);
		unsigned max = kind ? 40 : FLT_TEST_LAYERS;
		unsigned first = (unsigned)g_rand_int_range(fixture.rand, 0,
							    FLT_TEST_LAYERS);
		unsigned end = first + (unsigned)g_rand_int_range(
					       fixture.rand, 1, (int)max + 1);
		char *id = g_strdup_printf("e%u", 100 + i);

		if (!kind && g_rand_boolean(fixture.rand))
			first = 0;
		end = MIN(end, FLT_TEST_LAYERS);
		add_engine(&fixture, id,
			   centers[g_rand_int_range(fixture.rand, 0, 2)],
			   kinds[kind], first, end);
		g_free(id);
		memset(held + first, true, end - first);
	}
	for (i = 0; i < FLT_TEST_LAYERS; i++)
		missing += !held[i];
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path),
			 missing ? PTH_MISSING_LAYERS : PTH_FOUND);
	if (path) {
		check_path(path);
		pth_reserve(path, 0, TOKENS);
		flt_mark_down(stage_at(path, path->stages->len - 1)->target, 0);
		query = query_for(&fixture, "a");
		query.current = path;
		if (path->stages->len > 1 &&
		    pth_find(fixture.fleet, 1, &query, fixture.rand, &next) ==
			    PTH_FOUND) {
			check_path(next);
			ck_assert_ptr_eq(pth_head(next), pth_head(path));
			ck_assert_uint_eq(stage_at(next, 0)->range.end,
					  stage_at(path, 0)->range.end);
			pth_free(next);
		}
		pth_free(path);
	}
	teardown(&fixture);
}
END_TEST

/* Guards against a reroute that changes the head, which would lose the
 * request, or that includes the failed engine again. */
START_TEST(reroute_keeps_the_head_and_avoids_the_down_engine)
{
	struct fixture fixture;
	struct pth_path *path;
	struct pth_path *next;
	struct pth_query query;
	struct flt_target *down;
	unsigned i;
	unsigned kept = 0;

	setup(&fixture, 3);
	sup_list_fleet(fixture.fleet, 0);
	sup_apply_plans(fixture.fleet, 0, fixture.service);
	ck_assert_int_eq(find_path(&fixture, 0, "b", &path), PTH_FOUND);
	pth_reserve(path, 0, TOKENS);
	down = stage_at(path, path->stages->len - 1)->target;
	flt_mark_down(down, 0);
	query = query_for(&fixture, "b");
	query.current = path;
	ck_assert_int_eq(
		pth_find(fixture.fleet, 1, &query, fixture.rand, &next),
		PTH_FOUND);
	check_path(next);
	ck_assert_ptr_eq(pth_head(next), pth_head(path));
	ck_assert_uint_eq(stage_at(next, 0)->range.end,
			  stage_at(path, 0)->range.end);
	ck_assert(!pth_contains(next, down));
	for (i = 0; i < next->stages->len; i++)
		kept += pth_contains(path, stage_at(next, i)->target);
	ck_assert_uint_ge(kept + 1, path->stages->len - 1);
	pth_free(next);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

START_TEST(reroute_without_another_engine_is_refused)
{
	struct fixture fixture;
	struct pth_path *path;
	struct pth_path *next;
	struct pth_query query;

	setup(&fixture, 3);
	add_engine(&fixture, "e1", "a", "large", 0, 40);
	add_engine(&fixture, "e2", "a", "large", 40, 80);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	flt_mark_down(flt_find(fixture.fleet, "e2"), 0);
	query = query_for(&fixture, "a");
	query.current = path;
	ck_assert_int_ne(
		pth_find(fixture.fleet, 1, &query, fixture.rand, &next),
		PTH_FOUND);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/*
 * Replays the crest of a day on which the fastest engine of a data centre was
 * the head of all paths: it ran out of slots and its requests waited seconds
 * for their first event, while other heads were idle.
 */
START_TEST(heads_share_the_paths_of_a_crest)
{
	struct fixture fixture;
	struct flt_target *fast;
	struct flt_target *slow;
	struct pth_path *path;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 20);
	add_engine(&fixture, "e2", "a", "small", 0, 6);
	add_engine(&fixture, "e3", "a", "large", 6, 40);
	add_engine(&fixture, "e4", "a", "large", 20, 60);
	add_engine(&fixture, "e5", "a", "large", 40, FLT_TEST_LAYERS);
	fast = flt_find(fixture.fleet, "e1");
	slow = flt_find(fixture.fleet, "e2");
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	ck_assert_ptr_eq(pth_head(path), fast);
	pth_free(path);
	/* Half of these are known from reports only, and out of date. */
	fast->in_flight = 75;
	fast->others.in_flight = 75;
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	ck_assert_ptr_eq(pth_head(path), slow);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/*
 * Guards against paths through an engine that wants no requests, also if it is
 * the only holder of its layers: a stream then waits or is refused as if the
 * engine were full. What runs on it already goes on.
 */
START_TEST(closed_engine_is_on_no_new_path)
{
	struct fixture fixture;
	struct pth_query query;
	struct pth_path *path;
	struct pth_path *next;
	struct flt_target *second;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 40);
	add_engine(&fixture, "e2", "a", "large", 40, 60);
	add_engine(&fixture, "e3", "a", "large", 60, 80);
	add_engine(&fixture, "e4", "a", "large", 60, 80);
	second = flt_find(fixture.fleet, "e2");
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	ck_assert(flt_mark_closed(fixture.fleet, 0, "e2", 1, 1000));
	ck_assert_int_eq(find_path(&fixture, 999, "a", &next), PTH_NO_CAPACITY);
	ck_assert_int_eq(
		flt_closed_time(fixture.fleet, 400, "model", FLT_TEST_LAYERS),
		600);
	query = query_for(&fixture, "a");
	query.current = path;
	flt_mark_down(stage_at(path, 2)->target, 0);
	ck_assert_int_eq(
		pth_find(fixture.fleet, 0, &query, fixture.rand, &next),
		PTH_FOUND);
	ck_assert(pth_contains(next, second));
	pth_free(next);
	ck_assert_int_eq(find_path(&fixture, 1000, "a", &next), PTH_FOUND);
	pth_free(next);
	ck_assert(flt_mark_closed(fixture.fleet, 2000, "e3", 1, 1000));
	ck_assert_int_eq(
		flt_closed_time(fixture.fleet, 2000, "model", FLT_TEST_LAYERS),
		0);
	flt_remove(fixture.fleet, 2000, "e2", 0);
	ck_assert_int_eq(
		flt_closed_time(fixture.fleet, 2000, "model", FLT_TEST_LAYERS),
		0);
	ck_assert_int_eq(find_path(&fixture, 2000, "a", &next),
			 PTH_MISSING_LAYERS);
	pth_free(path);
	teardown(&fixture);
}
END_TEST

/* How the fleet knows that an engine leaves, or wants no requests. */
enum notice { ENTRY, ANSWER, REMOVED, CLOSED, N_NOTICES };

static void give_notice(struct fixture *fixture, clk_ms now, const char *id,
			enum notice notice)
{
	const struct flt_target *known = flt_find(fixture->fleet, id);
	struct flt_target *entry;

	if (notice == ENTRY) {
		entry = flt_target_new();
		entry->id = g_strdup(id);
		entry->service = g_strdup(known->service);
		entry->address = g_strdup(known->address);
		entry->data_center = g_strdup(known->data_center);
		entry->accelerator = g_strdup(known->accelerator);
		entry->slots = known->slots;
		entry->started_at = known->started_at;
		entry->holds = known->holds;
		entry->state = FLT_DRAINING;
		flt_upsert(fixture->fleet, now, entry);
	} else if (notice == ANSWER) {
		ck_assert(flt_mark_leaving(fixture->fleet, now, id, 1));
	} else if (notice == REMOVED) {
		flt_remove(fixture->fleet, now, id, 0);
	} else {
		ck_assert(flt_mark_closed(fixture->fleet, now, id, 1, 10000));
	}
}

/* Guards against a request that is sent again along a later engine which
 * leaves or wants no requests, whatever sends it: a reroute may only keep one
 * that runs the request already and is closed to others. */
START_TEST(request_sent_again_avoids_later_engines_that_leave)
{
	enum notice notice = (enum notice)(_i % N_NOTICES);
	bool is_kept = _i >= N_NOTICES;
	struct fixture fixture;
	struct pth_path *path;
	struct pth_path *start;
	struct pth_path *next;
	struct pth_query query;
	struct flt_target *head;
	struct flt_target *leaving;
	unsigned draw;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 40);
	add_engine(&fixture, "e2", "a", "large", 0, 40);
	add_engine(&fixture, "e3", "a", "large", 40, 80);
	add_engine(&fixture, "e4", "a", "large", 40, 80);
	ck_assert_int_eq(find_path(&fixture, 0, "a", &path), PTH_FOUND);
	head = flt_target_keep(pth_head(path));
	leaving = stage_at(path, 1)->target;
	if (!is_kept)
		leaving = flt_find(fixture.fleet,
				   strcmp(leaving->id, "e3") ? "e3" : "e4");
	flt_target_keep(leaving);
	give_notice(&fixture, 0, leaving->id, notice);
	start = pth_from_head(head, fixture.service->engine);
	for (draw = 0; draw < 20; draw++) {
		/* Sent to its head again, rerouted, and taken over. */
		query = query_for(&fixture, "a");
		query.current = start;
		ck_assert_int_eq(pth_find(fixture.fleet, 1500, &query,
					  fixture.rand, &next),
				 PTH_FOUND);
		ck_assert_ptr_eq(pth_head(next), head);
		ck_assert(!pth_contains(next, leaving));
		pth_free(next);
		query.current = path;
		ck_assert_int_eq(pth_find(fixture.fleet, 1500, &query,
					  fixture.rand, &next),
				 PTH_FOUND);
		ck_assert(!pth_contains(next, leaving) ||
			  (is_kept && notice == CLOSED));
		pth_free(next);
		query.current = NULL;
		query.without = head;
		ck_assert_int_eq(pth_find(fixture.fleet, 1500, &query,
					  fixture.rand, &next),
				 PTH_FOUND);
		ck_assert_ptr_ne(pth_head(next), head);
		ck_assert(!pth_contains(next, leaving));
		pth_free(next);
	}
	pth_free(start);
	pth_free(path);
	flt_target_drop(leaving);
	flt_target_drop(head);
	teardown(&fixture);
}
END_TEST

/* The only head left is one that leaves. */
START_TEST(takeover_by_a_head_that_leaves_is_refused)
{
	struct fixture fixture;
	struct pth_path *path;
	struct pth_query query;

	setup(&fixture, 1);
	add_engine(&fixture, "e1", "a", "large", 0, 80);
	add_engine(&fixture, "e2", "a", "large", 40, 80);
	give_notice(&fixture, 0, "e1", (enum notice)_i);
	query = query_for(&fixture, "a");
	query.without = flt_find(fixture.fleet, "e2");
	ck_assert_int_ne(
		pth_find(fixture.fleet, 1500, &query, fixture.rand, &path),
		PTH_FOUND);
	teardown(&fixture);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("path");

	tcase_add_loop_test(tcase, random_ranges_give_valid_paths, 0, SEEDS);
	tcase_add_test(tcase, path_stays_in_one_data_center);
	tcase_add_test(tcase, path_crosses_where_no_data_center_has_all_layers);
	tcase_add_test(tcase, missing_layer_gives_no_path);
	tcase_add_test(tcase, engine_of_no_known_kind_is_not_used);
	tcase_add_test(tcase, memory_of_local_and_remote_requests_counts);
	tcase_add_test(tcase, full_head_takes_no_further_request);
	tcase_add_test(tcase, prompt_reading_spreads_over_data_centers);
	tcase_add_test(tcase, load_spreads_over_equal_engines);
	tcase_add_test(tcase, down_engine_is_the_last_choice);
	tcase_add_loop_test(
		tcase, faster_engine_inside_its_range_does_not_hide_a_holder, 0,
		SEEDS);
	tcase_add_loop_test(
		tcase, holder_with_little_room_is_used_for_part_of_its_range, 0,
		SEEDS);
	tcase_add_loop_test(tcase, path_is_found_whenever_all_layers_are_held,
			    0, LAYOUTS);
	tcase_add_test(tcase,
		       reroute_keeps_the_head_and_avoids_the_down_engine);
	tcase_add_test(tcase, reroute_without_another_engine_is_refused);
	tcase_add_test(tcase, heads_share_the_paths_of_a_crest);
	tcase_add_test(tcase, closed_engine_is_on_no_new_path);
	tcase_add_loop_test(tcase,
			    request_sent_again_avoids_later_engines_that_leave,
			    0, 2 * N_NOTICES);
	tcase_add_loop_test(tcase, takeover_by_a_head_that_leaves_is_refused, 0,
			    N_NOTICES);
	return sup_run_case("path", tcase);
}
