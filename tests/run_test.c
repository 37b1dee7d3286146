/* Execution of model requests: streams, receipts, recovery. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "sched/tgt_table.h"
#include "support/engine_model.h"
#include "support/runner.h"

struct fixture {
	struct wf_ctx *ctx;
	struct tgt_table *targets;
	struct run_runs *runs;
};

static struct wf_instance engine(const char *id, unsigned first, unsigned last)
{
	struct wf_instance instance = {.id = id,
				       .role = WF_ROLE_ENGINE,
				       .life = WF_LIFE_LIVE,
				       .address = "127.0.0.1:9101",
				       .data_center = "uppsala",
				       .incarnation = 1,
				       .serves = "swan",
				       .n_layers = 12,
				       .slots = 4,
				       .step_us = 5000};

	instance.first_layer = first;
	instance.last_layer = last;
	return instance;
}

static void send(struct fixture *f, struct wf_event *event)
{
	struct wf_module *module = tgt_module(f->targets);

	module->ops->handle(f->ctx, module, event);
	module = run_module(f->runs);
	module->ops->handle(f->ctx, module, event);
}

static void set_up(struct fixture *f)
{
	struct wf_instance list[] = {engine("a", 0, 5), engine("b", 6, 11)};
	struct wf_event event = {.type = WF_EV_INSTANCES};
	struct run_config config;

	f->ctx = wf_ctx_new("entry-1", "uppsala", 1, 1, NULL, NULL);
	f->ctx->now = 1000;
	f->targets = tgt_new(f->ctx, NULL);
	run_config_init(&config);
	config.targets = f->targets;
	f->runs = run_new(f->ctx, &config);
	event.instances.list = list;
	event.instances.n = G_N_ELEMENTS(list);
	send(f, &event);
}

static void tear_down(struct fixture *f)
{
	struct wf_module *module = run_module(f->runs);

	module->ops->drop(module);
	module = tgt_module(f->targets);
	module->ops->drop(module);
	wf_ctx_drop(f->ctx);
}

static uint64_t start_call(struct fixture *f)
{
	struct wf_call call = {.id = 7,
			       .kind = WF_CALL_MODEL,
			       .org = "hotel",
			       .name = "swan",
			       .prompt_tokens = 10,
			       .max_tokens = 4};
	struct wf_event event = {.type = WF_EV_CALL, .call = &call};
	struct wf_action action;
	uint64_t op;

	call.policy.weight = 1;
	call.policy.target = (char *)"swan";
	send(f, &event);
	ck_assert(wf_next_action(f->ctx, &action));
	ck_assert_int_eq(action.type, WF_ACT_STREAM_OPEN);
	ck_assert_uint_eq(action.chain->len, 2);
	ck_assert_str_eq(action.target, "a");
	op = action.op;
	wf_action_clear(&action);
	return op;
}

static void send_token(struct fixture *f, uint64_t op, unsigned position,
		       unsigned split)
{
	struct wf_receipt receipts[2] = {{"a", 0, 5, WF_STEP_RUN},
					 {"b", 6, 11, WF_STEP_RUN}};
	struct wf_stream_event stream = {.op = op,
					 .what = WF_STREAM_TOKEN,
					 .lineage = 1,
					 .position = position,
					 .text = "w ",
					 .text_len = 2,
					 .receipts = receipts,
					 .n_receipts = 2};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &stream};

	receipts[1].first_layer = split;
	send(f, &event);
}

static unsigned count_tokens(struct fixture *f)
{
	struct wf_action action;
	unsigned n = 0;

	while (wf_next_action(f->ctx, &action)) {
		if (action.type == WF_ACT_REPLY_TOKEN)
			n++;
		wf_action_clear(&action);
	}
	return n;
}

/* Guards against repeated or lost tokens on a stream without failures. */
START_TEST(tokens_are_delivered_once_and_in_order)
{
	struct fixture f;
	uint64_t op;

	set_up(&f);
	op = start_call(&f);
	send_token(&f, op, 0, 6);
	send_token(&f, op, 0, 6);
	send_token(&f, op, 2, 6);
	ck_assert_uint_eq(count_tokens(&f), 1);
	send_token(&f, op, 1, 6);
	ck_assert_uint_eq(count_tokens(&f), 2);
	tear_down(&f);
}
END_TEST

/* Guards against delivery of tokens whose receipts omit or repeat a layer. */
START_TEST(tokens_with_partial_receipts_are_not_delivered)
{
	unsigned splits[] = {5, 7};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(splits); i++) {
		struct fixture f;

		set_up(&f);
		send_token(&f, start_call(&f), 0, splits[i]);
		ck_assert_uint_eq(count_tokens(&f), 0);
		tear_down(&f);
	}
}
END_TEST

/* Guards against a caller that is not told of the end of its stream. */
START_TEST(end_is_reported_and_leaves_the_runs_idle)
{
	struct wf_stream_event stream = {
		.what = WF_STREAM_END, .lineage = 1, .reason = "stop"};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &stream};
	struct wf_action action;
	struct fixture f;

	set_up(&f);
	stream.op = start_call(&f);
	ck_assert(!run_is_idle(f.runs));
	send(&f, &event);
	ck_assert(wf_next_action(f.ctx, &action));
	ck_assert_int_eq(action.type, WF_ACT_REPLY_END);
	ck_assert_str_eq(action.text, "stop");
	wf_action_clear(&action);
	ck_assert(run_is_idle(f.runs));
	tear_down(&f);
}
END_TEST

/* Tests with the engine model */

#define N_LAYERS 12
#define LENGTH 20
#define PROMPT 64
/* Of one token: three stages of 10 ms, two hops of 0.2 ms. */
#define TOKEN_MS 31

static struct emod *new_model(void)
{
	static const char *const data_centers[] = {"uppsala"};
	static const char *const ids[] = {"a1", "a2", "b1", "b2", "c1", "c2"};
	struct run_config config;
	struct emod *emod;
	unsigned i;

	run_config_init(&config);
	emod = emod_new(1, data_centers, 1, 42, NULL, &config);
	emod_keep_records(emod);
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		emod_add_engine(emod, ids[i], "uppsala", N_LAYERS, i / 2 * 4,
				i / 2 * 4 + 3, 4, 10000);
	emod_publish(emod);
	emod_run_until(emod, 500);
	return emod;
}

static unsigned submit(struct emod *emod)
{
	struct emod_call call = {
		.prompt_tokens = PROMPT, .max_tokens = 64, .length = LENGTH};

	return emod_submit(emod, &call);
}

/* The engine that runs a stage of the only call. */
static struct emod_engine *used_engine(struct emod *emod, unsigned stage)
{
	struct emod_engine *first = emod_engine_at(emod, 2 * stage);

	return first->streams_opened ? first
				     : emod_engine_at(emod, 2 * stage + 1);
}

static void check_answer(struct emod *emod, unsigned index)
{
	const struct emod_call *call = emod_call_at(emod, index);
	char *expected = emod_expected_text(call, call->length);

	ck_assert(call->ended);
	ck_assert(!call->failed);
	ck_assert_uint_eq(call->out_of_order, 0);
	ck_assert_str_eq(call->text->str, expected);
	ck_assert(run_is_idle(emod_runs(emod, call->router)));
	g_free(expected);
}

/*
 * Each layer ran once per position. Only the layers of the lost stage may have
 * run a position again at its replacement.
 */
static void check_steps(struct emod *emod, unsigned lost_first,
			unsigned lost_last)
{
	unsigned runs[LENGTH][N_LAYERS] = {{0}};
	const GArray *records = emod_records(emod);
	unsigned position;
	unsigned layer;
	guint i;

	for (i = 0; i < records->len; i++) {
		const struct emod_record *record;

		record = &g_array_index(records, struct emod_record, i);
		for (layer = record->first_layer; layer <= record->last_layer;
		     layer++)
			runs[record->position][layer]++;
		if (record->rebuilt) {
			ck_assert_uint_ge(record->first_layer, lost_first);
			ck_assert_uint_le(record->last_layer, lost_last);
		}
	}
	for (position = 0; position < LENGTH; position++)
		for (layer = 0; layer < N_LAYERS; layer++) {
			bool lost = layer >= lost_first && layer <= lost_last;

			ck_assert_uint_ge(runs[position][layer], 1);
			ck_assert_uint_le(runs[position][layer], lost ? 2 : 1);
		}
}

#define NO_LAYER N_LAYERS

/* Guards against missing or repeated steps of a request without failures. */
START_TEST(plain_request_runs_each_step_once)
{
	struct emod *emod = new_model();
	unsigned call = submit(emod);

	emod_run_until(emod, 5000);
	check_answer(emod, call);
	check_steps(emod, NO_LAYER, NO_LAYER);
	ck_assert_uint_eq(emod_call_at(emod, call)->streams, 1);
	emod_drop(emod);
}
END_TEST

/* Combinations of crash time (every 7 ms) and crashed stage. */
#define N_CRASHES (3 * 24)

/*
 * Guards against lost or repeated tokens, and layers that run again although
 * they were not lost, when a stage or head crashes at any point of a request.
 */
START_TEST(crash_of_a_stage_loses_and_repeats_nothing)
{
	unsigned stage = (unsigned)_i % 3;
	clk_ms at = 500 + (clk_ms)(_i / 3) * 7 + 2;
	struct emod *emod = new_model();
	unsigned call = submit(emod);
	unsigned tokens;

	emod_run_until(emod, at);
	used_engine(emod, stage)->alive = false;
	tokens = emod_call_at(emod, call)->tokens;
	emod_run_until(emod, 20000);
	check_answer(emod, call);
	if (tokens)
		check_steps(emod, stage * 4, stage * 4 + 3);
	emod_drop(emod);
}
END_TEST

/* Guards against recovery that takes longer than the objective of 1 s. */
START_TEST(recovery_takes_less_than_a_second_plus_rebuild)
{
	unsigned stage = (unsigned)_i % 3;
	bool silent = _i >= 3;
	struct emod *emod = new_model();
	unsigned call = submit(emod);

	emod_run_until(emod, 800);
	used_engine(emod, stage)->alive = silent;
	used_engine(emod, stage)->silent = silent;
	emod_run_until(emod, 20000);
	check_answer(emod, call);
	ck_assert_int_le(emod_call_at(emod, call)->longest_gap,
			 1000 + TOKEN_MS * PROMPT / 32);
	emod_drop(emod);
}
END_TEST

/* Guards against a stream that hangs because a stage stops answering. */
START_TEST(silent_stage_is_replaced)
{
	unsigned stage = (unsigned)_i % 3;
	clk_ms at = 500 + (clk_ms)(_i / 3) * 40 + 5;
	struct emod *emod = new_model();
	unsigned call = submit(emod);

	emod_run_until(emod, at);
	used_engine(emod, stage)->silent = true;
	emod_run_until(emod, 20000);
	check_answer(emod, call);
	emod_drop(emod);
}
END_TEST

/*
 * Guards against a stalled stream that rebuilds all stages because it does not
 * know which one failed: the layers of the other stages must not run again,
 * whether other engines hold them (even case) or not (odd case).
 */
START_TEST(only_the_silent_stage_is_rebuilt)
{
	unsigned stage = (unsigned)_i / 2 % 3;
	clk_ms at = 600 + (clk_ms)(_i / 6) * 40 + 5;
	struct emod *emod = new_model();
	struct ctr_set *counters;
	unsigned call;
	unsigned i;

	for (i = 0; _i % 2 && i < 3; i++)
		emod_engine_at(emod, 2 * i + 1)->listed = i == stage;
	emod_publish(emod);
	call = submit(emod);
	emod_run_until(emod, at);
	ck_assert_uint_gt(emod_call_at(emod, call)->tokens, 0);
	used_engine(emod, stage)->silent = true;
	emod_run_until(emod, 20000);
	check_answer(emod, call);
	check_steps(emod, stage * 4, stage * 4 + 3);
	ck_assert_int_le(emod_call_at(emod, call)->longest_gap,
			 1000 + TOKEN_MS * PROMPT / 32);
	counters = emod_ctx(emod, 0)->counters;
	ck_assert_int_eq(
		ctr_get(counters, "wf_recoveries_total{by=\"new_chain\"}"), 0);
	emod_drop(emod);
}
END_TEST

/* Guards against a health check per stalled stream instead of per engine. */
START_TEST(health_checks_are_shared_by_all_streams)
{
	struct emod *emod = new_model();
	struct ctr_set *counters = emod_ctx(emod, 0)->counters;
	int64_t before = 0;
	unsigned i;

	for (i = 0; i < 12; i++) {
		submit(emod);
		emod_run_until(emod, 500 + 7 * (clk_ms)i);
	}
	emod_run_until(emod, 700);
	emod_engine(emod, "b1")->silent = true;
	emod_engine(emod, "c2")->silent = true;
	for (i = 0; i < 20; i++) {
		int64_t polls;

		emod_run_until(emod, 700 + 199 * (clk_ms)(i + 1));
		polls = ctr_get(counters, "wf_evidence_polls_total");
		ck_assert_int_le(polls - before, emod_n_engines(emod));
		before = polls;
	}
	ck_assert_int_gt(before, 0);
	emod_run_until(emod, 30000);
	for (i = 0; i < emod_n_calls(emod); i++)
		check_answer(emod, i);
	emod_drop(emod);
}
END_TEST

static const struct emod_tamper tampers[] = {
	{.position = 5, .duplicate = true},
	{.position = 5, .delay = 10},
	{.position = 5, .delay = 100},
	{.position = 5, .delay = 1500},
	{.position = 5, .drop = true},
	{.position = LENGTH - 1, .drop = true, .delay = 0},
	{.position = 0, .delay = 700},
	{.position = 5, .split_shift = 1, .once = true},
	{.position = 5, .split_shift = -1, .once = true},
	{.position = 0, .split_shift = 1, .once = true},
};

/*
 * Guards against token events that come twice, late, out of order or never,
 * and against receipts with a missing or repeated layer.
 */
START_TEST(disturbed_token_events_do_not_reach_the_caller)
{
	struct emod *emod = new_model();
	struct emod_call spec = {.prompt_tokens = PROMPT,
				 .max_tokens = LENGTH,
				 .length = LENGTH};
	unsigned call;

	emod_set_tamper(emod, &tampers[_i]);
	call = emod_submit(emod, &spec);
	emod_run_until(emod, 20000);
	check_answer(emod, call);
	if (tampers[_i].split_shift)
		ck_assert_uint_ge(emod_call_at(emod, call)->streams, 2);
	emod_drop(emod);
}
END_TEST

/* Guards against delivery of a late token of an earlier lineage. */
START_TEST(token_of_a_stale_lineage_is_dropped)
{
	struct wf_stream_event stream = {.what = WF_STREAM_FAILED,
					 .lineage = 1,
					 .error = ERR_TARGET_LOST,
					 .failed_target = "b"};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &stream};
	struct wf_instance list[] = {engine("a", 0, 5), engine("b", 6, 11),
				     engine("b2", 6, 11)};
	struct wf_event listed = {.type = WF_EV_INSTANCES};
	struct fixture f;

	set_up(&f);
	stream.op = start_call(&f);
	send_token(&f, stream.op, 0, 6);
	listed.instances.list = list;
	listed.instances.n = G_N_ELEMENTS(list);
	send(&f, &listed);
	send(&f, &event);
	ck_assert_uint_eq(count_tokens(&f), 1);
	send_token(&f, stream.op, 1, 6);
	ck_assert_uint_eq(count_tokens(&f), 0);
	tear_down(&f);
}
END_TEST

static void tick_at(struct fixture *f, clk_ms at)
{
	struct wf_event event = {.type = WF_EV_TICK};

	f->ctx->now = at;
	send(f, &event);
}

/* Takes all actions; the last stream opened, 0 without one. */
static uint64_t take_actions(struct fixture *f, unsigned *n_polls)
{
	struct wf_action action;
	uint64_t op = 0;

	while (wf_next_action(f->ctx, &action)) {
		if (action.type == WF_ACT_STREAM_OPEN)
			op = action.op;
		/* Periodic polls have a longer timeout. */
		if (action.type == WF_ACT_POLL_TARGET && action.timeout <= 200)
			(*n_polls)++;
		wf_action_clear(&action);
	}
	return op;
}

/*
 * Guards against a stream that hangs because the results of health checks never
 * arrive, and against recovery before they can have arrived.
 */
START_TEST(missing_reports_are_not_awaited_for_long)
{
	struct wf_stream_event stream = {.what = WF_STREAM_ACCEPTED,
					 .lineage = 1};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &stream};
	unsigned n_polls = 0;
	struct fixture f;
	clk_ms silent;
	clk_ms at;

	set_up(&f);
	send_token(&f, start_call(&f), 0, 6);
	take_actions(&f, &n_polls);
	for (at = 1001; !stream.op && at < 3001; at++) {
		tick_at(&f, at);
		stream.op = take_actions(&f, &n_polls);
	}
	ck_assert_uint_ne(stream.op, 0);
	ck_assert_uint_eq(n_polls, 2);
	silent = at;
	send(&f, &event);
	while (at < silent + 1000) {
		tick_at(&f, ++at);
		if (take_actions(&f, &n_polls))
			break;
	}
	ck_assert_int_ge(at - silent, 150);
	ck_assert_int_le(at - silent, 250);
	ck_assert_uint_eq(n_polls, 2);
	tear_down(&f);
}
END_TEST

/*
 * Guards against a new chain for a stream that resumes while its request waits
 * for one, and against a hang if that stream then stalls again.
 */
START_TEST(token_ends_the_wait_for_a_new_chain)
{
	struct wf_stream_event stream = {.what = WF_STREAM_FAILED,
					 .lineage = 1,
					 .error = ERR_TARGET_LOST,
					 .failed_target = "b"};
	struct wf_event event = {.type = WF_EV_STREAM, .stream = &stream};
	struct wf_report report = {.target = "b"};
	struct wf_event unreachable = {.type = WF_EV_REPORT, .report = &report};
	const struct tgt_target *head;
	unsigned n_polls = 0;
	struct fixture f;
	clk_ms at;

	set_up(&f);
	head = tgt_find(f.targets, "a");
	stream.op = start_call(&f);
	send_token(&f, stream.op, 0, 6);
	send(&f, &unreachable);
	send(&f, &event);
	ck_assert_uint_eq(take_actions(&f, &n_polls), 0);
	ck_assert_uint_eq(head->own_requests, 0);
	f.ctx->now += 10;
	send_token(&f, stream.op, 1, 6);
	ck_assert_uint_eq(count_tokens(&f), 1);
	ck_assert_uint_eq(head->own_requests, 1);
	for (at = f.ctx->now; at < 1190; at++) {
		tick_at(&f, at);
		ck_assert_uint_eq(take_actions(&f, &n_polls), 0);
	}
	for (; at < 3000 && !take_actions(&f, &n_polls); at++)
		tick_at(&f, at);
	ck_assert_int_lt(at, 3000);
	tear_down(&f);
}
END_TEST

static const enum err_code refusals[] = {ERR_OVERLOADED, ERR_DRAINING,
					 ERR_FENCED, ERR_TARGET_REFUSED};

/* Guards against a refused stream that is not retried or counts as run. */
START_TEST(refused_stream_goes_elsewhere)
{
	struct emod *emod = new_model();
	unsigned call;
	unsigned i;

	for (i = 0; i < 6; i += 2) {
		emod_engine_at(emod, i)->refuse = refusals[_i];
		emod_engine_at(emod, i)->n_refuse = 1;
	}
	call = submit(emod);
	emod_run_until(emod, 10000);
	check_answer(emod, call);
	emod_drop(emod);
}
END_TEST

/* Guards against failure if KV state is missing when a stage is replaced. */
START_TEST(missing_kv_state_starts_a_new_chain)
{
	struct emod *emod = new_model();
	unsigned call = submit(emod);

	emod_run_until(emod, 800);
	used_engine(emod, 0)->forget_kv = true;
	used_engine(emod, 1)->alive = false;
	emod_run_until(emod, 10000);
	check_answer(emod, call);
	emod_drop(emod);
}
END_TEST

/* Guards against running work that is aborted at a leaving target. */
START_TEST(running_work_completes_at_a_leaving_target)
{
	struct emod *emod = new_model();
	unsigned call = submit(emod);

	emod_run_until(emod, 700);
	used_engine(emod, 1)->list_leaving = true;
	emod_publish(emod);
	emod_run_until(emod, 10000);
	check_answer(emod, call);
	ck_assert_uint_eq(emod_call_at(emod, call)->streams, 1);
	emod_drop(emod);
}
END_TEST

/* Guards against keeping a stage with a degrading link until it stops. */
START_TEST(degraded_stage_is_replaced_with_its_state)
{
	struct emod_call spec = {
		.prompt_tokens = PROMPT, .max_tokens = 200, .length = 200};
	struct emod *emod = new_model();
	unsigned i;

	for (i = 0; i < 8; i++) {
		spec.length = 30;
		emod_submit(emod, &spec);
		emod_run_until(emod, emod_now(emod) + 50);
	}
	emod_run_until(emod, 4000);
	emod_engine(emod, "b1")->link = 800;
	for (i = 0; i < 6; i++) {
		spec.length = 200;
		emod_submit(emod, &spec);
	}
	emod_run_until(emod, 60000);
	for (i = 0; i < emod_n_calls(emod); i++)
		check_answer(emod, i);
	ck_assert_int_ge(ctr_get(emod_ctx(emod, 0)->counters, "wf_moves_total"),
			 1);
	emod_drop(emod);
}
END_TEST

/* Guards against streams that continue without a caller or past a deadline. */
START_TEST(caller_gone_and_deadline_end_the_stream)
{
	struct emod *emod = new_model();
	struct emod_call spec = {.prompt_tokens = PROMPT,
				 .max_tokens = 64,
				 .length = 60,
				 .deadline = 1200};
	unsigned gone = submit(emod);
	unsigned late = emod_submit(emod, &spec);

	emod_run_until(emod, 700);
	emod_caller_gone(emod, gone);
	emod_run_until(emod, 1650);
	ck_assert(!emod_call_at(emod, late)->ended);
	emod_run_until(emod, 1750);
	ck_assert(emod_call_at(emod, late)->failed);
	ck_assert_int_eq(emod_call_at(emod, late)->error, ERR_DEADLINE);
	ck_assert_int_eq(emod_call_at(emod, late)->run, ERR_RUN_YES);
	ck_assert(run_is_idle(emod_runs(emod, 0)));
	emod_drop(emod);
}
END_TEST

/* Guards against requests aborted or still accepted during a drain. */
START_TEST(drain_completes_running_and_queued_work)
{
	struct emod *emod = new_model();
	unsigned n;
	unsigned i;

	for (n = 0; n < 80; n++)
		submit(emod);
	emod_run_until(emod, 600);
	ck_assert_uint_gt(run_n_queued(emod_runs(emod, 0)), 0);
	emod_drain(emod, 0);
	submit(emod);
	ck_assert(emod_call_at(emod, n)->failed);
	ck_assert_int_eq(emod_call_at(emod, n)->run, ERR_RUN_NOT);
	ck_assert(!run_is_idle(emod_runs(emod, 0)));
	emod_run_until(emod, 30000);
	for (i = 0; i < n; i++)
		check_answer(emod, i);
	emod_drop(emod);
}
END_TEST

/* Guards against retries that multiply the load when all engines refuse. */
START_TEST(retries_stay_within_the_budget)
{
	struct emod *emod = new_model();
	unsigned i;
	unsigned opened = 0;

	for (i = 0; i < 6; i++) {
		emod_engine_at(emod, i)->refuse = ERR_OVERLOADED;
		emod_engine_at(emod, i)->n_refuse = 100000;
	}
	for (i = 0; i < 100; i++) {
		submit(emod);
		emod_run_until(emod, 500 + 10 * (clk_ms)i);
	}
	for (i = 0; i < 100; i++)
		opened += emod_call_at(emod, i)->streams;
	ck_assert_uint_le(opened, 100 + 20 + 10);
	emod_drop(emod);
}
END_TEST

static void add_model_tests(TCase *tcase)
{
	tcase_add_test(tcase, plain_request_runs_each_step_once);
	tcase_add_loop_test(tcase, crash_of_a_stage_loses_and_repeats_nothing,
			    0, N_CRASHES);
	tcase_add_loop_test(
		tcase, recovery_takes_less_than_a_second_plus_rebuild, 0, 6);
	tcase_add_loop_test(tcase, silent_stage_is_replaced, 0, 24);
	tcase_add_loop_test(tcase, only_the_silent_stage_is_rebuilt, 0, 60);
	tcase_add_test(tcase, health_checks_are_shared_by_all_streams);
	tcase_add_loop_test(tcase,
			    disturbed_token_events_do_not_reach_the_caller, 0,
			    G_N_ELEMENTS(tampers));
	tcase_add_loop_test(tcase, refused_stream_goes_elsewhere, 0,
			    G_N_ELEMENTS(refusals));
	tcase_add_test(tcase, missing_kv_state_starts_a_new_chain);
	tcase_add_test(tcase, running_work_completes_at_a_leaving_target);
	tcase_add_test(tcase, degraded_stage_is_replaced_with_its_state);
	tcase_add_test(tcase, caller_gone_and_deadline_end_the_stream);
	tcase_add_test(tcase, drain_completes_running_and_queued_work);
	tcase_add_test(tcase, retries_stay_within_the_budget);
}

int main(void)
{
	TCase *tcase = tcase_create("run");

	tcase_add_test(tcase, tokens_are_delivered_once_and_in_order);
	tcase_add_test(tcase, tokens_with_partial_receipts_are_not_delivered);
	tcase_add_test(tcase, end_is_reported_and_leaves_the_runs_idle);
	tcase_add_test(tcase, token_of_a_stale_lineage_is_dropped);
	tcase_add_test(tcase, missing_reports_are_not_awaited_for_long);
	tcase_add_test(tcase, token_ends_the_wait_for_a_new_chain);
	add_model_tests(tcase);
	return sup_run_case("run", tcase);
}
