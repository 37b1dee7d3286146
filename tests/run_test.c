/* Execution of model requests: streams, receipts, recovery. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/sched.h>

struct fixture {
	struct wf_ctx *ctx;
	struct tgt_targets *targets;
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

/* Guards against tokens that are repeated or lost on a plain stream. */
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

/* Guards against a token whose receipts leave out or repeat a layer. */
START_TEST(tokens_without_whole_receipts_are_not_delivered)
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

/* Guards against a caller that waits on after the end of its stream. */
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

int main(void)
{
	Suite *suite = suite_create("run");
	TCase *tcase = tcase_create("run");
	SRunner *runner;
	int failed;

	tcase_add_test(tcase, tokens_are_delivered_once_and_in_order);
	tcase_add_test(tcase, tokens_without_whole_receipts_are_not_delivered);
	tcase_add_test(tcase, end_is_reported_and_leaves_the_runs_idle);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
