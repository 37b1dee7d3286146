/* Chain planning. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "sched/chn.h"
#include "sched/tgt_load.h"

#include "support/runner.h"

#define N_LAYERS 24

static const char *const names[] = {"falun", "gavle", "uppsala"};

struct fixture {
	struct wf_ctx *ctx;
	struct tgt_table *targets;
	struct wf_instance list[64];
	char *ids[64];
	size_t n;
};

static void set_up(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->ctx = wf_ctx_new("entry-1", "uppsala", 1, 3, NULL, NULL);
	f->ctx->now = 1000;
	f->targets = tgt_new(f->ctx, NULL);
}

static void add(struct fixture *f, unsigned first, unsigned last,
		const char *data_center, double step_us)
{
	struct wf_instance *instance = &f->list[f->n];

	f->ids[f->n] = g_strdup_printf("t%zu", f->n);
	instance->id = f->ids[f->n++];
	instance->role = WF_ROLE_ENGINE;
	instance->address = "127.0.0.1:9101";
	instance->data_center = data_center;
	instance->incarnation = 1;
	instance->serves = "swan";
	instance->n_layers = N_LAYERS;
	instance->first_layer = first;
	instance->last_layer = last;
	instance->slots = 4;
	instance->step_us = step_us;
}

static void publish(struct fixture *f)
{
	struct wf_event event = {.type = WF_EV_INSTANCES};
	struct wf_module *module = tgt_module(f->targets);

	event.instances.list = f->list;
	event.instances.n = f->n;
	module->ops->handle(f->ctx, module, &event);
}

static void tear_down(struct fixture *f)
{
	struct wf_module *module = tgt_module(f->targets);
	size_t i;

	module->ops->drop(module);
	wf_ctx_drop(f->ctx);
	for (i = 0; i < f->n; i++)
		g_free(f->ids[i]);
}

static void check_cover(struct fixture *f, const struct chn_chain *chain,
			unsigned first, unsigned last)
{
	size_t i;

	for (i = 0; i < chain->n; i++) {
		const struct chn_stage *stage = &chain->stages[i];
		const struct tgt_target *target;

		target = tgt_get(f->targets, stage->target);
		ck_assert_uint_eq(stage->first_layer, first);
		ck_assert_uint_ge(stage->first_layer, target->first_layer);
		ck_assert_uint_le(stage->last_layer, target->last_layer);
		ck_assert(!i || stage[-1].target != stage->target);
		first = stage->last_layer + 1;
	}
	ck_assert_uint_eq(first, last + 1);
}

/* Whether any chain exists, by a search over the layers. */
static bool is_coverable(const struct fixture *f)
{
	bool reached[N_LAYERS + 1] = {true};
	unsigned layer;
	size_t i;

	for (layer = 0; layer < N_LAYERS; layer++)
		for (i = 0; i < f->n && reached[layer]; i++)
			if (f->list[i].first_layer <= layer &&
			    f->list[i].last_layer >= layer)
				reached[f->list[i].last_layer + 1] = true;
	return reached[N_LAYERS];
}

/* Guards against chains with gaps or overlaps in random range tables. */
START_TEST(random_tables_give_complete_chains)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	struct chn_query query = {.model = "swan"};
	struct chn_chain chain;
	struct fixture f;
	unsigned i;

	set_up(&f);
	for (i = 0; i < 16; i++) {
		gint32 first = g_rand_int_range(rand, 0, N_LAYERS);
		gint32 last = first + g_rand_int_range(rand, 0, 12);

		add(&f, (unsigned)(i ? first : 0),
		    (unsigned)MIN(last, N_LAYERS - 1), names[i % 3], 1000);
	}
	publish(&f);
	if (is_coverable(&f)) {
		for (i = 0; i < 20; i++) {
			ck_assert_int_eq(
				chn_plan(f.ctx, f.targets, &query, &chain),
				CHN_FOUND);
			check_cover(&f, &chain, 0, N_LAYERS - 1);
		}
	} else {
		ck_assert_int_eq(chn_plan(f.ctx, f.targets, &query, &chain),
				 CHN_NO_CHAIN);
	}
	g_rand_free(rand);
	tear_down(&f);
}
END_TEST

/* Guards against stages outside the data centres that a rule allows. */
START_TEST(chains_stay_within_the_allowed_data_centers)
{
	char *allowed[] = {(char *)"falun", NULL};
	struct chn_query query = {.model = "swan", .data_centers = allowed};
	struct chn_chain chain;
	struct fixture f;
	unsigned i;
	size_t k;

	set_up(&f);
	for (i = 0; i < 6; i++) {
		add(&f, 0, 11, names[i % 3], 1000);
		add(&f, 12, 23, names[i % 3], 1000);
	}
	publish(&f);
	for (i = 0; i < 50; i++) {
		ck_assert_int_eq(chn_plan(f.ctx, f.targets, &query, &chain),
				 CHN_FOUND);
		for (k = 0; k < chain.n; k++)
			ck_assert_str_eq(
				tgt_get(f.targets, chain.stages[k].target)
					->data_center,
				"falun");
	}
	tear_down(&f);
}
END_TEST

/* Guards against new requests at engines that have no free place. */
START_TEST(no_room_is_distinguished_from_no_chain)
{
	struct chn_query query = {.model = "swan", .need_room = true};
	struct chn_chain chain;
	struct fixture f;

	set_up(&f);
	add(&f, 0, 11, "uppsala", 1000);
	add(&f, 12, 23, "uppsala", 1000);
	publish(&f);
	ck_assert_int_eq(chn_plan(f.ctx, f.targets, &query, &chain), CHN_FOUND);
	tgt_charge(f.ctx, f.targets, tgt_find(f.targets, "t1"), 20, false);
	ck_assert_int_eq(chn_plan(f.ctx, f.targets, &query, &chain),
			 CHN_NO_ROOM);
	tgt_release(f.targets, tgt_find(f.targets, "t1"), 20, false);
	f.n = 1;
	publish(&f);
	ck_assert_int_eq(chn_plan(f.ctx, f.targets, &query, &chain),
			 CHN_NO_CHAIN);
	f.n = 2;
	tear_down(&f);
}
END_TEST

/* Guards against slow engines that get as many requests as fast ones. */
START_TEST(faster_and_less_loaded_engines_are_preferred)
{
	struct chn_query query = {.model = "swan"};
	struct chn_chain chain;
	struct fixture f;
	unsigned slow = 0;
	unsigned i;

	set_up(&f);
	add(&f, 0, 23, "uppsala", 1000);
	add(&f, 0, 23, "uppsala", 9000);
	publish(&f);
	for (i = 0; i < 100; i++) {
		ck_assert_int_eq(chn_plan(f.ctx, f.targets, &query, &chain),
				 CHN_FOUND);
		slow += chain.stages[0].target ==
			tgt_find(f.targets, "t1")->handle;
	}
	ck_assert_uint_le(slow, 10);
	tear_down(&f);
}
END_TEST

/* Guards against a replacement that leaves out part of the lost range. */
START_TEST(replacement_covers_exactly_the_lost_range)
{
	struct chn_query query = {.model = "swan"};
	struct chn_chain chain;
	struct fixture f;

	set_up(&f);
	add(&f, 0, 9, "uppsala", 1000);
	add(&f, 6, 15, "uppsala", 1000);
	add(&f, 14, 23, "uppsala", 1000);
	publish(&f);
	ck_assert_int_eq(
		chn_plan_range(f.ctx, f.targets, &query, 5, 17, 0, &chain),
		CHN_FOUND);
	check_cover(&f, &chain, 5, 17);
	query.avoid = &tgt_find(f.targets, "t1")->handle;
	query.n_avoid = 1;
	ck_assert_int_eq(
		chn_plan_range(f.ctx, f.targets, &query, 5, 17, 0, &chain),
		CHN_NO_CHAIN);
	tear_down(&f);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("chn");

	tcase_add_loop_test(tcase, random_tables_give_complete_chains, 0, 60);
	tcase_add_test(tcase, chains_stay_within_the_allowed_data_centers);
	tcase_add_test(tcase, no_room_is_distinguished_from_no_chain);
	tcase_add_test(tcase, faster_and_less_loaded_engines_are_preferred);
	tcase_add_test(tcase, replacement_covers_exactly_the_lost_range);
	return sup_run_case("chn", tcase);
}
