/*
 * Tests of the cost of long prompts: a model of a few engines, each of which
 * makes passes of a decode step and a chunk of its oldest prompts, replays
 * short prompts with and without long ones beside them. Guards against short
 * prompts that wait for long ones.
 */

#include <check.h>
#include <stdlib.h>

#include "forward/prefill_cost.h"
#include "support/fleet.h"
#include "support/runner.h"

#define STAGES 3
#define REPLICAS 4
#define ENGINES (STAGES * REPLICAS)
#define PACE 2.4
#define DURATION_MS 20000
#define SHORTS_PER_S 120
#define LONGS_PER_S 5
#define USUAL_PER_S 60
#define ANSWER_TOKENS 200
#define SEEDS 4
/* p99 of one replay varies by a fifth. */
#define USUAL_SEEDS 12
#define INSTANCES 10
/* Each instance reports to all others once in this time. */
#define REPORT_INTERVAL_MS 200
#define OBJECTIVE_MS 500
#define MAX_WAIT_MS 250
#define RETRY_MS 25

struct run {
	struct pth_path *path;
	double arrived;
	double next_try;
	double tokens;
	/* Tokens prefilled at each stage, and those sent to the next one. */
	double done[STAGES];
	double sent[STAGES];
	double first_event;
	double end;
	unsigned instance;
};

struct model {
	struct cat_catalog *catalog;
	const struct cat_engine *engine;
	/* States no chunk size: paths are searched without the terms. */
	struct cat_catalog *bare_catalog;
	bool is_bare;
	GRand *rand;
	/* Per instance, its view of the engines and its last report. */
	struct flt_fleet *fleets[INSTANCES];
	struct flt_target *engines[INSTANCES][ENGINES];
	struct flt_load reports[INSTANCES][ENGINES];
	double pass_ends[ENGINES];
	/* Of struct run, in the order of arrival. */
	GPtrArray *runs;
	/* Times to the first event of the short prompts in ms. */
	GArray *first_events;
	unsigned longs;
	unsigned longs_served;
};

static void add_instance(struct model *model, unsigned instance)
{
	struct flt_fleet *fleet = flt_new();
	unsigned i;

	model->fleets[instance] = fleet;
	flt_set_peers(fleet, INSTANCES, REPORT_INTERVAL_MS);
	for (i = 0; i < ENGINES; i++) {
		unsigned first = 29 * (i / REPLICAS);
		char *id = g_strdup_printf("e%u", 100 + i);

		sup_list_engine(fleet, 0, id, "a", "large",
				(struct flt_range){first, MIN(first + 29, 80)});
		model->engines[instance][i] = flt_find(fleet, id);
		g_free(id);
	}
}

static void setup(struct model *model, guint32 seed)
{
	struct cat_engine *engine;
	unsigned i;

	*model = (struct model){0};
	model->catalog = sup_engine_catalog();
	model->bare_catalog = sup_engine_catalog();
	model->rand = g_rand_new_with_seed(seed);
	model->runs = g_ptr_array_new_with_free_func(g_free);
	model->first_events = g_array_new(FALSE, FALSE, sizeof(double));
	engine = sup_engine_service(model->catalog)->engine;
	engine->prefill_chunk_tokens = 512;
	engine->prefill_ms_per_1m_pairs = 0.5;
	model->engine = engine;
	for (i = 0; i < INSTANCES; i++)
		add_instance(model, i);
}

static void teardown(struct model *model)
{
	guint i;

	for (i = 0; i < model->runs->len; i++)
		pth_free(((struct run *)model->runs->pdata[i])->path);
	g_ptr_array_unref(model->runs);
	g_array_unref(model->first_events);
	for (i = 0; i < INSTANCES; i++)
		flt_drop(model->fleets[i]);
	cat_drop(model->catalog);
	cat_drop(model->bare_catalog);
	g_rand_free(model->rand);
}

/* Returns the instance that receives it. */
static unsigned add_run(struct model *model, double now, double tokens)
{
	struct run *run = g_new0(struct run, 1);

	run->arrived = run->next_try = now;
	run->tokens = tokens;
	run->instance = (unsigned)g_rand_int_range(model->rand, 0, INSTANCES);
	model->longs += pfc_is_long(model->engine, tokens);
	g_ptr_array_add(model->runs, run);
	return run->instance;
}

static void try_to_start(struct model *model, struct run *run, double now)
{
	struct pth_query query = {
		.engine = model->engine,
		.service = "model",
		.data_center = "a",
		.tokens = run->tokens + ANSWER_TOKENS,
		.prefill_tokens = run->tokens,
		.objective = OBJECTIVE_MS,
	};

	if (model->is_bare)
		query.engine = sup_engine_service(model->bare_catalog)->engine;
	run->next_try = now + RETRY_MS;
	if (pth_find(model->fleets[run->instance], (clk_ms)now, &query,
		     model->rand, &run->path) != PTH_FOUND)
		return;
	ck_assert_uint_eq(run->path->stages->len, STAGES);
	pth_reserve(run->path, (clk_ms)now, query.tokens);
}

static void had_first_event(struct model *model, struct run *run, double now)
{
	double took = now - run->arrived;

	run->first_event = now;
	run->end = now + ANSWER_TOKENS * run->path->token_ms;
	if (pfc_is_long(model->engine, run->tokens))
		model->longs_served++;
	else
		g_array_append_val(model->first_events, took);
}

static int stage_of(const struct model *model, const struct run *run,
		    unsigned engine)
{
	unsigned stage = engine / REPLICAS;

	return run->path && !run->first_event &&
			       g_array_index(run->path->stages,
					     struct pth_stage, stage)
					       .target ==
				       model->engines[run->instance][engine]
		       ? (int)stage
		       : -1;
}

/* Prefills a chunk of what has arrived from the stages before, oldest prompt
 * first. What was done in the pass before is sent on. Returns its time. */
static double prefill(struct model *model, unsigned engine)
{
	double left = model->engine->prefill_chunk_tokens;
	double took = 0;
	guint i;

	for (i = 0; i < model->runs->len; i++) {
		struct run *run = model->runs->pdata[i];
		int stage = stage_of(model, run, engine);
		double chunk;

		if (stage < 0)
			continue;
		run->sent[stage] = run->done[stage];
		chunk = (stage ? run->sent[stage - 1] : run->tokens) -
			run->done[stage];
		chunk = MIN(chunk, left);
		took += pfc_read_ms(model->engine, PACE,
				    run->done[stage] + chunk) -
			pfc_read_ms(model->engine, PACE, run->done[stage]);
		run->done[stage] += chunk;
		left -= chunk;
	}
	return took;
}

static unsigned count_streams(const struct model *model, unsigned engine)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < INSTANCES; i++)
		count += model->engines[i][engine]->on_path;
	return count;
}

static void report(struct model *model, unsigned instance, clk_ms now)
{
	unsigned i;

	for (i = 0; i < ENGINES; i++) {
		const struct flt_target *target = model->engines[instance][i];

		model->reports[instance][i] = (struct flt_load){
			.on_path = target->on_path,
			.prefill_ms =
				MAX(target->prefill_until - (double)now, 0),
			.long_share = flt_long_share(target, now),
		};
	}
}

static void add_reports(struct model *model, unsigned instance)
{
	unsigned i;
	unsigned peer;

	for (i = 0; i < ENGINES; i++) {
		struct flt_load sum = {0};

		for (peer = 0; peer < INSTANCES; peer++) {
			const struct flt_load *load = &model->reports[peer][i];

			if (peer == instance)
				continue;
			sum.on_path += load->on_path;
			sum.prefill_ms += load->prefill_ms;
			sum.long_share += load->long_share;
		}
		model->engines[instance][i]->others = sum;
	}
}

/* The instances report in turn. */
static void exchange_reports(struct model *model, int now)
{
	const int turn = REPORT_INTERVAL_MS / INSTANCES;
	unsigned i;

	if (now % turn)
		return;
	report(model, (unsigned)(now / turn) % INSTANCES, now);
	for (i = 0; i < INSTANCES; i++)
		add_reports(model, i);
}

/* One pass of an engine: a decode step and a chunk. */
static void make_pass(struct model *model, unsigned engine, double now)
{
	const struct flt_target *target = model->engines[0][engine];
	double share = (target->holds.end - target->holds.first) /
		       (double)model->engine->layers;
	double step = PACE * (model->engine->step_ms +
			      model->engine->step_ms_per_request *
				      count_streams(model, engine));
	double end = now + share * (step + prefill(model, engine));
	guint i;

	model->pass_ends[engine] = end;
	for (i = 0; i < model->runs->len; i++) {
		struct run *run = model->runs->pdata[i];

		if (stage_of(model, run, engine) == STAGES - 1 &&
		    run->done[STAGES - 1] >= run->tokens)
			had_first_event(model, run, end);
	}
}

static void end_runs(struct model *model, double now)
{
	guint i = model->runs->len;

	while (i-- > 0) {
		struct run *run = model->runs->pdata[i];
		bool has_ended = run->first_event > 0 && now >= run->end;

		if (!run->path && now >= run->next_try &&
		    now - run->arrived <= MAX_WAIT_MS)
			try_to_start(model, run, now);
		if (!has_ended &&
		    (run->path || now - run->arrived <= MAX_WAIT_MS))
			continue;
		pth_free(run->path);
		g_ptr_array_remove_index(model->runs, i);
	}
}

static bool arrives(struct model *model, double per_s)
{
	return g_rand_double(model->rand) < per_s / 1000;
}

/* Replays short prompts and others of a range of lengths in steps of 1 ms. */
static void replay(struct model *model, double others_per_s, int least, int end)
{
	unsigned engine;
	int now;

	for (now = 1; now <= DURATION_MS; now++) {
		if (arrives(model, SHORTS_PER_S))
			add_run(model, now,
				g_rand_int_range(model->rand, 200, 400));
		if (arrives(model, others_per_s))
			add_run(model, now,
				g_rand_int_range(model->rand, least, end));
		exchange_reports(model, now);
		end_runs(model, now);
		for (engine = 0; engine < ENGINES; engine++) {
			while (model->pass_ends[engine] < now)
				make_pass(
					model, engine,
					MAX(model->pass_ends[engine], now - 1));
		}
	}
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

/* p99 of the times to the first event of the prompts that aren't long, and the
 * fraction of the long ones that were served. */
struct result {
	double p99;
	double longs_served;
};

static struct result measure(guint32 seed, bool is_bare, double others_per_s,
			     int least, int end)
{
	struct model model;
	struct result result;
	GArray *times;

	setup(&model, seed);
	model.is_bare = is_bare;
	replay(&model, others_per_s, least, end);
	times = model.first_events;
	g_array_sort(times, compare_doubles);
	result.p99 = g_array_index(times, double, times->len * 99 / 100);
	result.longs_served = model.longs_served / MAX(model.longs, 1.0);
	teardown(&model);
	return result;
}

/* Guards against short prompts that wait for the long ones of other callers,
 * and against long ones that are kept out instead. */
START_TEST(short_prompts_do_not_wait_for_long_ones)
{
	guint32 seed = (guint32)_i + 1;
	struct result alone = measure(seed, false, 0, 6000, 8000);
	struct result beside = measure(seed, false, LONGS_PER_S, 6000, 8000);
	struct result before = measure(seed, true, LONGS_PER_S, 6000, 8000);

	ck_assert_double_le(beside.p99, 1.2 * alone.p99);
	ck_assert_double_ge(beside.longs_served, before.longs_served - 0.05);
}
END_TEST

/* Guards against costs that matter without long prompts: those of the usual
 * lengths must be served as before. */
START_TEST(usual_prompts_are_served_as_before)
{
	double with = 0;
	double before = 0;
	guint32 seed;

	for (seed = 1; seed <= USUAL_SEEDS; seed++) {
		with += measure(seed, false, USUAL_PER_S, 400, 1500).p99;
		before += measure(seed, true, USUAL_PER_S, 400, 1500).p99;
	}
	ck_assert_double_le(with, 1.05 * before);
}
END_TEST

/* Guards against short prompts behind the long ones of other instances. */
START_TEST(backlog_of_other_instances_is_avoided)
{
	struct model model;
	unsigned instance;
	unsigned i;

	setup(&model, 1);
	instance = add_run(&model, 1, 300);
	for (i = 0; i < ENGINES; i++) {
		if (i % REPLICAS)
			model.engines[instance][i]->others.prefill_ms = 300;
	}
	end_runs(&model, 1);
	for (i = 0; i < ENGINES; i++)
		ck_assert_uint_eq(model.engines[instance][i]->on_path,
				  !(i % REPLICAS));
	teardown(&model);
}
END_TEST

/* Returns whether a prompt goes to the engines with a backlog of peers, which
 * one engine of each stage has. */
static bool goes_to_backlog(double tokens, double backlog_ms)
{
	struct model model;
	unsigned instance;
	bool result;
	unsigned i;

	setup(&model, 1);
	instance = add_run(&model, 1, tokens);
	for (i = 0; i < ENGINES; i += REPLICAS)
		model.engines[instance][i]->others.prefill_ms = backlog_ms;
	end_runs(&model, 1);
	result = model.engines[instance][0]->on_path > 0;
	teardown(&model);
	return result;
}

/* Guards against long prompts on all engines at once, and against so many on
 * one that those which have no other engine miss their objective. */
START_TEST(long_prompts_collect_up_to_the_objective)
{
	ck_assert(goes_to_backlog(7000, 100));
	ck_assert(goes_to_backlog(7000, 200));
	ck_assert(!goes_to_backlog(7000, 400));
	ck_assert(!goes_to_backlog(300, 100));
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("prefill_cost");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, short_prompts_do_not_wait_for_long_ones, 0,
			    SEEDS);
	tcase_add_test(tcase, usual_prompts_are_served_as_before);
	tcase_add_test(tcase, backlog_of_other_instances_is_avoided);
	tcase_add_test(tcase, long_prompts_collect_up_to_the_objective);
	return sup_run_case("prefill_cost", tcase);
}
