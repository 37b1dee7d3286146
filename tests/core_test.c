/*
 * The core as a whole: readiness, rules, routing of calls to modules, limits,
 * updates about targets and the drain sequence, driven through events only.
 */

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include <wagtailferry/core.h>
#include <wagtailferry/rules.h>

#include "support/runner.h"

#define START ((clk_ms)1796370000000)

/* A core and a store that answers at once. */
struct rig {
	struct wf_core *core;
	clk_ms now;
	const char *text;
	struct rul_manifest *manifest;
	GBytes *encoded;
	uint64_t revision;
	uint64_t put_version;
	GPtrArray *seen; /* of struct wf_action, everything but store reads */
};

static void action_free(gpointer data)
{
	wf_action_clear(data);
	g_free(data);
}

static void run_actions(struct rig *rig);

static void send(struct rig *rig, const struct wf_event *event)
{
	wf_core_handle(rig->core, rig->now, event);
	run_actions(rig);
}

static void publish(struct rig *rig, const char *text)
{
	struct rul_author author = {.name = "test"};
	struct rul_manifest *next;

	author.nonce[0] = (uint8_t)(rig->revision + 1);
	next = rul_manifest_new(rig->manifest, text, strlen(text), &author,
				rig->now);
	rul_manifest_free(rig->manifest);
	rig->manifest = next;
	rig->text = text;
	rig->revision++;
	if (rig->encoded)
		g_bytes_unref(rig->encoded);
	rig->encoded = rul_manifest_encode(next, NULL);
}

static void answer_get(struct rig *rig, const struct wf_action *action,
		       struct wf_store_reply *reply)
{
	const struct rul_chunk *chunk;
	const char *hash = action->name + strlen(RUL_CHUNK_KIND "/");
	guint i;

	if (!strcmp(action->name, RUL_MANIFEST_NAME)) {
		reply->value = g_bytes_ref(rig->encoded);
		return;
	}
	for (i = 0; i < rig->manifest->chunks->len; i++) {
		chunk = &g_array_index(rig->manifest->chunks, struct rul_chunk,
				       i);
		if (!strcmp(chunk->hash, hash))
			reply->value = g_bytes_new(rig->text + chunk->offset,
						   chunk->len);
	}
}

static void answer_store(struct rig *rig, const struct wf_action *action)
{
	struct wf_store_entry entry = {"manifest", rig->revision};
	struct wf_store_reply reply = {.op = action->op};
	struct wf_event event = {.type = WF_EV_STORE_REPLY};

	reply.version = rig->revision;
	if (!rig->manifest || strncmp(action->name, "rules/", 6)) {
		if (action->type == WF_ACT_STORE_GET)
			reply.result = WF_STORE_NOT_FOUND;
	}
	if (action->type == WF_ACT_STORE_GET && rig->manifest) {
		answer_get(rig, action, &reply);
		reply.result = reply.value ? WF_STORE_OK : WF_STORE_NOT_FOUND;
	} else if (rig->manifest && !strncmp(action->name, "rules/", 6)) {
		reply.entries = &entry;
		reply.n_entries = 1;
	}
	event.store = &reply;
	send(rig, &event);
	if (reply.value)
		g_bytes_unref(reply.value);
}

/* Writes always succeed; their values are not kept. */
static void answer_put(struct rig *rig, const struct wf_action *action)
{
	struct wf_store_reply reply = {.op = action->op};
	struct wf_event event = {.type = WF_EV_STORE_REPLY};

	reply.version = ++rig->put_version;
	event.store = &reply;
	send(rig, &event);
}

static void run_actions(struct rig *rig)
{
	struct wf_action action;

	while (wf_core_next_action(rig->core, &action)) {
		if (action.type == WF_ACT_STORE_GET ||
		    action.type == WF_ACT_STORE_LIST) {
			answer_store(rig, &action);
			wf_action_clear(&action);
			continue;
		}
		if (action.type == WF_ACT_STORE_PUT)
			answer_put(rig, &action);
		g_ptr_array_add(rig->seen, g_memdup2(&action, sizeof(action)));
	}
}

/* Advances virtual time, with ticks when the core asks for them. */
static void advance(struct rig *rig, clk_ms span)
{
	clk_ms end = rig->now + span;
	struct wf_event event = {.type = WF_EV_TICK};

	while (wf_core_next_wakeup(rig->core) <= end) {
		rig->now = MAX(rig->now + 1, wf_core_next_wakeup(rig->core));
		send(rig, &event);
	}
	rig->now = end;
	send(rig, &event);
}

static struct rig *rig_new(void)
{
	struct rig *rig = g_new0(struct rig, 1);
	struct wf_event event = {.type = WF_EV_START};
	struct wf_core_config config;

	wf_core_config_init(&config);
	config.self = "entry-1";
	config.data_center = "uppsala";
	config.address = "127.0.0.1:1";
	config.peer_address = "127.0.0.1:2";
	config.incarnation = START;
	config.seed = 7;
	rig->now = START;
	rig->seen = g_ptr_array_new_with_free_func(action_free);
	rig->core = wf_core_new(&config);
	send(rig, &event);
	return rig;
}

static void rig_free(struct rig *rig)
{
	wf_core_drop(rig->core);
	g_ptr_array_unref(rig->seen);
	rul_manifest_free(rig->manifest);
	if (rig->encoded)
		g_bytes_unref(rig->encoded);
	g_free(rig);
}

/* The last action of a type, or NULL. Borrowed. */
static struct wf_action *last(struct rig *rig, enum wf_action_type type)
{
	guint i;

	for (i = rig->seen->len; i-- > 0;) {
		struct wf_action *action = rig->seen->pdata[i];

		if (action->type == type)
			return action;
	}
	return NULL;
}

static unsigned count(struct rig *rig, enum wf_action_type type)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < rig->seen->len; i++)
		n += ((struct wf_action *)rig->seen->pdata[i])->type == type;
	return n;
}

static void model_call(struct rig *rig, uint64_t id)
{
	struct wf_call call = {.id = id, .kind = WF_CALL_MODEL};
	struct wf_event event = {.type = WF_EV_CALL};

	call.org = "isbrytaren";
	call.name = "swan";
	call.body = g_bytes_new_static("quote", 5);
	call.prompt_tokens = 2;
	call.max_tokens = 4;
	event.call = &call;
	send(rig, &event);
	g_bytes_unref(call.body);
}

static void list_engine(struct rig *rig, enum wf_life life, uint64_t revision)
{
	struct wf_instance engine = {.id = "engine-1"};
	struct wf_event event = {.type = WF_EV_INSTANCES};

	engine.role = WF_ROLE_ENGINE;
	engine.life = life;
	engine.address = "127.0.0.1:9";
	engine.data_center = "uppsala";
	engine.incarnation = START;
	engine.serves = "swan";
	engine.n_layers = 4;
	engine.last_layer = 3;
	engine.slots = 4;
	engine.step_us = 1000;
	engine.accelerator = "a";
	event.instances.list = &engine;
	event.instances.n = 1;
	event.instances.revision = revision;
	send(rig, &event);
}

static void stream_event(struct rig *rig, enum wf_stream_event_type what,
			 unsigned position)
{
	struct wf_receipt receipt = {"engine-1", 0, 3, WF_STEP_RUN};
	struct wf_stream_event stream = {.what = what};
	struct wf_event event = {.type = WF_EV_STREAM};
	const struct wf_action *open = last(rig, WF_ACT_STREAM_OPEN);

	ck_assert_ptr_nonnull(open);
	stream.op = open->op;
	stream.lineage = open->lineage;
	stream.position = position;
	stream.text = "x";
	stream.text_len = 1;
	stream.receipts = &receipt;
	stream.n_receipts = 1;
	stream.reason = "stop";
	event.stream = &stream;
	send(rig, &event);
}

#define RULES "route org=any model=swan to=swan deadline=30s # anna\n"

/* Guards against a call that is served before the instance has rules. */
START_TEST(call_without_rules_is_refused_as_not_run)
{
	struct rig *rig = rig_new();
	struct wf_action *refusal;

	ck_assert(!wf_core_is_ready(rig->core));
	model_call(rig, 1);
	refusal = last(rig, WF_ACT_REPLY_ERROR);
	ck_assert_ptr_nonnull(refusal);
	ck_assert_int_eq(refusal->error, ERR_NOT_READY);
	ck_assert_int_eq(refusal->run, ERR_RUN_NOT);
	rig_free(rig);
}
END_TEST

static struct rig *ready_rig(const char *rules)
{
	struct rig *rig = rig_new();

	publish(rig, rules);
	advance(rig, 10 * CLK_SECOND);
	ck_assert(wf_core_is_ready(rig->core));
	ck_assert_uint_eq(wf_core_rules_revision(rig->core), rig->revision);
	list_engine(rig, WF_LIFE_LIVE, 1);
	return rig;
}

/* Guards against a failure anywhere between a call and its last token. */
START_TEST(model_call_runs_from_rule_to_last_token)
{
	struct rig *rig = ready_rig(RULES);

	model_call(rig, 1);
	stream_event(rig, WF_STREAM_ACCEPTED, 0);
	stream_event(rig, WF_STREAM_TOKEN, 0);
	stream_event(rig, WF_STREAM_TOKEN, 1);
	stream_event(rig, WF_STREAM_END, 2);
	ck_assert_uint_eq(count(rig, WF_ACT_REPLY_TOKEN), 2);
	ck_assert_uint_eq(count(rig, WF_ACT_REPLY_END), 1);
	rig_free(rig);
}
END_TEST

/* Guards against calls that no rule admits. */
START_TEST(call_without_matching_rule_is_refused)
{
	struct rig *rig =
		ready_rig("route org=carretti model=swan to=swan # anna\n");

	model_call(rig, 1);
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->error, ERR_NO_RULE);
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->run, ERR_RUN_NOT);
	rig_free(rig);
}
END_TEST

/* Guards against a limit that the core does not enforce. */
START_TEST(concurrency_limit_refuses_the_next_call)
{
	struct rig *rig = ready_rig(
		"route org=any model=swan to=swan concurrency=1 # anna\n");

	model_call(rig, 1);
	ck_assert_uint_eq(count(rig, WF_ACT_STREAM_OPEN), 1);
	model_call(rig, 2);
	ck_assert_uint_eq(count(rig, WF_ACT_STREAM_OPEN), 1);
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->error,
			 ERR_RATE_LIMITED);
	stream_event(rig, WF_STREAM_ACCEPTED, 0);
	stream_event(rig, WF_STREAM_END, 0);
	advance(rig, CLK_SECOND);
	model_call(rig, 3);
	ck_assert_uint_eq(count(rig, WF_ACT_STREAM_OPEN), 2);
	rig_free(rig);
}
END_TEST

/* Guards against an old list that makes a leaving target live again. */
START_TEST(old_list_does_not_revive_leaving_target)
{
	struct rig *rig = ready_rig(RULES);
	struct wf_report report = {.target = "engine-1", .reachable = true};
	struct wf_event event = {.type = WF_EV_REPORT};

	report.leaving = true;
	report.slots = 4;
	report.step_us = 1000;
	event.report = &report;
	send(rig, &event);
	list_engine(rig, WF_LIFE_LIVE, 2);
	advance(rig, 2 * CLK_SECOND);
	model_call(rig, 1);
	ck_assert_uint_eq(count(rig, WF_ACT_STREAM_OPEN), 0);
	rig_free(rig);
}
END_TEST

/* Guards against a drain that cuts off a stream or a late call. */
START_TEST(drain_completes_calls_and_then_exits)
{
	struct rig *rig = ready_rig(RULES);
	struct wf_event event = {.type = WF_EV_DRAIN};

	model_call(rig, 1);
	stream_event(rig, WF_STREAM_ACCEPTED, 0);
	send(rig, &event);
	ck_assert(!last(rig, WF_ACT_READY)->ready);
	model_call(rig, 2); /* the load balancer lags */
	ck_assert_uint_eq(count(rig, WF_ACT_REPLY_ERROR), 0);
	ck_assert_uint_eq(count(rig, WF_ACT_STREAM_OPEN), 2);
	stream_event(rig, WF_STREAM_ACCEPTED, 0);
	stream_event(rig, WF_STREAM_TOKEN, 0);
	stream_event(rig, WF_STREAM_END, 1);
	ck_assert_uint_eq(count(rig, WF_ACT_REPLY_END), 1);
	ck_assert_uint_eq(count(rig, WF_ACT_EXIT), 0);
	rig_free(rig);
}
END_TEST

/* Guards against a drain that never exits, or exits with calls open. */
START_TEST(drain_exits_when_the_last_call_has_ended)
{
	struct rig *rig = ready_rig(RULES);
	struct wf_event event = {.type = WF_EV_DRAIN};

	model_call(rig, 1);
	stream_event(rig, WF_STREAM_ACCEPTED, 0);
	send(rig, &event);
	stream_event(rig, WF_STREAM_TOKEN, 0);
	ck_assert_uint_eq(count(rig, WF_ACT_EXIT), 0);
	stream_event(rig, WF_STREAM_END, 1);
	advance(rig, 10 * CLK_SECOND);
	ck_assert_uint_eq(count(rig, WF_ACT_EXIT), 1);
	rig_free(rig);
}
END_TEST

/* Guards against a call that arrives after the exit and gets no answer. */
START_TEST(call_after_exit_is_refused_as_not_run)
{
	struct rig *rig = ready_rig(RULES);
	struct wf_event event = {.type = WF_EV_DRAIN};

	send(rig, &event);
	advance(rig, 10 * CLK_SECOND);
	ck_assert_uint_eq(count(rig, WF_ACT_EXIT), 1);
	model_call(rig, 1);
	ck_assert_ptr_nonnull(last(rig, WF_ACT_REPLY_ERROR));
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->error, ERR_DRAINING);
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->run, ERR_RUN_NOT);
	rig_free(rig);
}
END_TEST

static void list_service(struct rig *rig, const char *id, uint64_t revision)
{
	struct wf_instance service = {.id = id};
	struct wf_event event = {.type = WF_EV_INSTANCES};

	service.role = WF_ROLE_SERVICE;
	service.address = "127.0.0.1:8";
	service.data_center = "uppsala";
	service.incarnation = START;
	service.serves = "booking";
	service.slots = 4;
	event.instances.list = &service;
	event.instances.n = 1;
	event.instances.revision = revision;
	send(rig, &event);
}

static void service_call(struct rig *rig, uint64_t id, const char *operation,
			 const char *key)
{
	struct wf_call call = {.id = id, .kind = WF_CALL_SERVICE};
	struct wf_event event = {.type = WF_EV_CALL};

	call.org = "isbrytaren";
	call.name = "booking";
	call.operation = operation;
	call.key = key;
	call.body = g_bytes_new_static("lantern", 7);
	event.call = &call;
	send(rig, &event);
	g_bytes_unref(call.body);
}

/* Guards against an answer of one operation that is given for another. */
START_TEST(key_of_another_operation_is_refused)
{
	struct rig *rig = ready_rig(
		"route org=any service=booking deadline=9s repeat=no # anna\n");
	char *key = g_strdup_printf("%lld-a", (long long)rig->now);

	list_service(rig, "booking-1", 2);
	service_call(rig, 1, "book", key);
	advance(rig, 100);
	ck_assert_uint_eq(count(rig, WF_ACT_SERVICE_CALL), 1);
	service_call(rig, 2, "cancel", key);
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->error, ERR_KEY_REUSED);
	ck_assert_uint_eq(count(rig, WF_ACT_SERVICE_CALL), 1);
	g_free(key);
	rig_free(rig);
}
END_TEST

/* Guards against status text that is not JSON. */
START_TEST(status_is_valid_json)
{
	struct rig *rig = ready_rig(RULES);
	GString *text = g_string_new(NULL);
	json_t *status;

	wf_core_write_status(rig->core, text);
	status = json_loads(text->str, 0, NULL);
	ck_assert_ptr_nonnull(status);
	ck_assert_int_eq(
		json_integer_value(json_object_get(status, "rules_revision")),
		1);
	ck_assert_uint_eq(json_array_size(json_object_get(status, "targets")),
			  1);
	json_decref(status);
	g_string_free(text, TRUE);
	rig_free(rig);
}
END_TEST

/* Guards against a load line that is not executed, or executed twice. */
START_TEST(load_line_becomes_one_order_under_a_fence)
{
	struct rig *rig =
		ready_rig(RULES "load engine-1 model=swan version=2 # anna\n");
	struct wf_action *order;

	advance(rig, CLK_MINUTE);
	ck_assert_uint_eq(count(rig, WF_ACT_ORDER), 1);
	order = last(rig, WF_ACT_ORDER);
	ck_assert_str_eq(order->target, "engine-1");
	ck_assert_str_eq(order->order, "load");
	ck_assert_uint_gt(order->fence, 0);
	rig_free(rig);
}
END_TEST

/* Guards against a rule whose list of targets is ignored. */
START_TEST(rule_with_targets_excludes_the_others)
{
	struct rig *rig = ready_rig("route org=any model=swan to=swan "
				    "on=engine-9 deadline=2s # anna\n");

	model_call(rig, 1);
	advance(rig, 5 * CLK_SECOND);
	ck_assert_uint_eq(count(rig, WF_ACT_STREAM_OPEN), 0);
	ck_assert_int_eq(last(rig, WF_ACT_REPLY_ERROR)->run, ERR_RUN_NOT);
	rig_free(rig);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("core");

	tcase_add_test(tcase, call_without_rules_is_refused_as_not_run);
	tcase_add_test(tcase, model_call_runs_from_rule_to_last_token);
	tcase_add_test(tcase, call_without_matching_rule_is_refused);
	tcase_add_test(tcase, concurrency_limit_refuses_the_next_call);
	tcase_add_test(tcase, old_list_does_not_revive_leaving_target);
	tcase_add_test(tcase, drain_completes_calls_and_then_exits);
	tcase_add_test(tcase, drain_exits_when_the_last_call_has_ended);
	tcase_add_test(tcase, call_after_exit_is_refused_as_not_run);
	tcase_add_test(tcase, key_of_another_operation_is_refused);
	tcase_add_test(tcase, status_is_valid_json);
	tcase_add_test(tcase, load_line_becomes_one_order_under_a_fence);
	tcase_add_test(tcase, rule_with_targets_excludes_the_others);
	return sup_run_case("core", tcase);
}
