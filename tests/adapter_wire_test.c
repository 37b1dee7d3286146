/*
 * The daemon's platform adapters against the fakes: both sides of each
 * interface of docs/interfaces.md, written independently.
 */

#include "daemon/plat.h"
#include "support/engines.h"
#include "support/wire/wire.h"

#include <check.h>
#include <string.h>

#define TIMEOUT_MS 400
#define PROMPT "Six lanterns for Saturday"

struct fixture {
	struct plat_sink sink;
	struct wire_loop wire;
	struct ctr_set *counters;
	struct cli_client *client;
	struct plat *plat;
	GString *text; /* the events, one per line */
	unsigned n_events;
	unsigned wanted;
	uint64_t next_op;
};

static struct sup_child store;
static struct sup_child list;
static struct sup_child service;
static struct sup_engine engines[3];

static const char *const store_names[] = {
	[WF_STORE_OK] = "ok",
	[WF_STORE_CONFLICT] = "conflict",
	[WF_STORE_NOT_FOUND] = "not_found",
	[WF_STORE_REFUSED] = "refused",
	[WF_STORE_UNAVAILABLE] = "unavailable",
	[WF_STORE_UNKNOWN] = "unknown",
};

static const char *const status_names[] = {
	[WF_STATUS_DONE] = "done",
	[WF_STATUS_ABSENT] = "absent",
	[WF_STATUS_RUNNING] = "running",
	[WF_STATUS_UNKNOWN] = "unknown",
};

static void note_stream(GString *text, const struct wf_stream_event *event)
{
	size_t i;

	switch (event->what) {
	case WF_STREAM_ACCEPTED:
		g_string_append(text, "accepted\n");
		break;
	case WF_STREAM_TOKEN:
		g_string_append_printf(text, "token %u %.*s:", event->position,
				       (int)event->text_len, event->text);
		for (i = 0; i < event->n_receipts; i++)
			g_string_append_printf(text, " %u-%u",
					       event->receipts[i].first_layer,
					       event->receipts[i].last_layer);
		g_string_append_c(text, '\n');
		break;
	case WF_STREAM_END:
		g_string_append_printf(text, "end %s\n", event->reason);
		break;
	case WF_STREAM_FAILED:
		g_string_append_printf(
			text, "failed %s %s\n", err_name(event->error),
			event->failed_target ? event->failed_target : "");
		break;
	}
}

static void note_event(GString *text, const struct wf_event *event)
{
	switch (event->type) {
	case WF_EV_STORE_REPLY:
		g_string_append_printf(text, "store %s\n",
				       store_names[event->store->result]);
		break;
	case WF_EV_SERVICE_REPLY:
		g_string_append_printf(text, "service ok=%d sent=%d %d\n",
				       event->service->ok, event->service->sent,
				       event->service->status);
		break;
	case WF_EV_STATUS_REPLY:
		g_string_append_printf(text, "status %s\n",
				       status_names[event->status->status]);
		break;
	case WF_EV_STREAM:
		note_stream(text, event->stream);
		break;
	case WF_EV_INSTANCES:
		g_string_append_printf(text, "instances %zu\n",
				       event->instances.n);
		break;
	case WF_EV_REPORT:
		g_string_append_printf(text, "report %d slots=%u\n",
				       event->report->reachable,
				       event->report->slots);
		break;
	case WF_EV_CACHE:
		g_string_append_printf(text, "cache %zu\n",
				       event->cache->n_added);
		break;
	case WF_EV_ORDER_REPLY:
		g_string_append_printf(text, "order %s\n",
				       event->order->ok
					       ? "ok"
					       : err_name(event->order->error));
		break;
	default:
		g_string_append(text, "other\n");
	}
}

static void on_event(struct plat_sink *sink, const struct wf_event *event)
{
	struct fixture *fixture = (struct fixture *)sink;

	note_event(fixture->text, event);
	fixture->n_events++;
	/*
	 * The event may come from a timer, after which the loop would wait for
	 * the next one before wire_run_until() looks at the condition.
	 */
	uv_stop(&fixture->wire.loop);
}

static const struct plat_sink_ops sink_ops = {on_event};

static void open_fixture(struct fixture *fixture)
{
	static char *object_api[1];
	struct plat_config config = {
		.sink = &fixture->sink,
		.self = "entry-1",
		.incarnation = 5,
		.object_api = object_api,
		.n_object_api = 1,
		.instance_list = list.address,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.ops = &sink_ops;
	wire_open(&fixture->wire);
	fixture->counters = ctr_new();
	fixture->client = cli_new(&fixture->wire.loop, fixture->counters);
	fixture->text = g_string_new(NULL);
	object_api[0] = store.address;
	config.client = fixture->client;
	config.counters = fixture->counters;
	fixture->plat = plat_http_new(&config);
}

static void close_fixture(struct fixture *fixture)
{
	unsigned i;

	cli_drop(fixture->client);
	fixture->plat->ops->drop(fixture->plat);
	wire_close(&fixture->wire);
	g_string_free(fixture->text, TRUE);
	ctr_drop(fixture->counters);
	ck_assert_int_eq(sup_stop(&store), 0);
	ck_assert_int_eq(sup_stop(&list), 0);
	ck_assert_int_eq(sup_stop(&service), 0);
	for (i = 0; i < 3; i++)
		ck_assert_int_eq(sup_stop(&engines[i].child), 0);
}

static bool has_enough_events(void *user)
{
	const struct fixture *fixture = user;

	return fixture->n_events >= fixture->wanted;
}

/* Runs an action until its events have come; frees what it owns. */
static void run(struct fixture *fixture, struct wf_action *action,
		const char *operation, unsigned events)
{
	action->op = ++fixture->next_op;
	action->timeout = action->timeout ? action->timeout : TIMEOUT_MS;
	g_string_truncate(fixture->text, 0);
	fixture->wanted = fixture->n_events + events;
	fixture->plat->ops->run(fixture->plat, action, operation);
	wire_run_until(&fixture->wire, has_enough_events, fixture);
	wf_action_clear(action);
}

static void put(struct fixture *fixture, const char *name, uint64_t version,
		size_t len)
{
	char *value = g_strnfill(len, 'v');
	struct wf_action action = {.type = WF_ACT_STORE_PUT,
				   .name = g_strdup(name),
				   .version = version,
				   .body = g_bytes_new_take(value, len)};

	run(fixture, &action, NULL, 1);
}

struct store_case {
	const char *fault; /* NULL: none */
	enum wf_action_type type;
	uint64_t version;
	size_t len;
	const char *result;
};

static const struct store_case store_cases[] = {
	{NULL, WF_ACT_STORE_PUT, 1, 1, "store ok\n"},
	{NULL, WF_ACT_STORE_PUT, 1, 1048576, "store ok\n"},
	{NULL, WF_ACT_STORE_PUT, 1, 1048577, "store refused\n"},
	{NULL, WF_ACT_STORE_PUT, 0, 1, "store conflict\n"},
	{NULL, WF_ACT_STORE_PUT, 9, 1, "store conflict\n"},
	{"refused", WF_ACT_STORE_PUT, 1, 1, "store unknown\n"},
	{"silent", WF_ACT_STORE_PUT, 1, 1, "store unknown\n"},
	{"cut", WF_ACT_STORE_PUT, 1, 1, "store unknown\n"},
	{"half_open", WF_ACT_STORE_PUT, 1, 1, "store unknown\n"},
	{"wrong_length", WF_ACT_STORE_PUT, 1, 1, "store unknown\n"},
	{"lost_answer", WF_ACT_STORE_PUT, 1, 1, "store unknown\n"},
	{"twice", WF_ACT_STORE_PUT, 1, 1, "store ok\n"},
	{"slow", WF_ACT_STORE_PUT, 1, 1, "store ok\n"},
	{"late", WF_ACT_STORE_PUT, 1, 1, "store ok\n"},
	{"outage", WF_ACT_STORE_PUT, 1, 1, "store unavailable\n"},
	{"stale_version", WF_ACT_STORE_PUT, 1, 1, "store conflict\n"},
	{NULL, WF_ACT_STORE_GET, 0, 0, "store ok\n"},
	{"lost_answer", WF_ACT_STORE_GET, 0, 0, "store unavailable\n"},
	{"outage", WF_ACT_STORE_GET, 0, 0, "store unavailable\n"},
	{NULL, WF_ACT_STORE_DELETE, 1, 0, "store ok\n"},
	{NULL, WF_ACT_STORE_DELETE, 9, 0, "store conflict\n"},
	{"lost_answer", WF_ACT_STORE_DELETE, 1, 0, "store unknown\n"},
	{NULL, WF_ACT_STORE_LIST, 0, 0, "store ok\n"},
	{NULL, WF_ACT_STORE_WATCH, 0, 0, "store ok\n"},
	{NULL, WF_ACT_STORE_WATCH, 1, 0, "store ok\n"},
};

/* Guards against reporting a definite outcome of a write when it is unknown. */
START_TEST(test_store)
{
	const struct store_case *expected = &store_cases[_i];
	struct wf_action action = {.type = expected->type,
				   .name = g_strdup("rules/manifest"),
				   .version = expected->version};
	struct fixture fixture;
	char *fault;

	ck_assert(sup_start_fake(&store, "store", NULL));
	open_fixture(&fixture);
	put(&fixture, "rules/manifest", WF_VERSION_ABSENT, 1);
	ck_assert_str_eq(fixture.text->str, "store ok\n");
	if (expected->fault) {
		fault = g_strdup_printf(
			"{\"path\":\"/v1/objects\",\"fault\":\"%s\","
			"\"count\":2}",
			expected->fault);
		ck_assert(sup_set_fault(store.address, fault));
		g_free(fault);
	}
	if (expected->len)
		action.body = g_bytes_new_take(g_strnfill(expected->len, 'w'),
					       expected->len);
	run(&fixture, &action, NULL, 1);
	ck_assert_str_eq(fixture.text->str, expected->result);
	close_fixture(&fixture);
}
END_TEST

struct service_case {
	const char *fault;
	bool fresh;
	const char *result;
	const char *status; /* of the key afterwards */
	int runs;
};

static const struct service_case service_cases[] = {
	{NULL, true, "service ok=1 sent=1 200\n", "status done\n", 1},
	{NULL, false, "service ok=1 sent=1 200\n", "status done\n", 1},
	{"lost_answer", true, "service ok=0 sent=1 0\n", "status done\n", 1},
	{"lost_answer", false, "service ok=0 sent=1 0\n", "status done\n", 1},
	{"refused", true, "service ok=0 sent=1 0\n", "status absent\n", 0},
	{"refused", false, "service ok=0 sent=1 0\n", "status absent\n", 0},
	{"cut", true, "service ok=0 sent=1 0\n", "status done\n", 1},
	{"half_open", true, "service ok=0 sent=1 0\n", "status done\n", 1},
	{"silent", true, "service ok=0 sent=1 0\n", "status absent\n", 0},
	{"outage", true, "service ok=1 sent=1 503\n", "status absent\n", 0},
};

static void call_service(struct fixture *fixture, const char *key, bool fresh)
{
	struct wf_action action = {.type = WF_ACT_SERVICE_CALL,
				   .target = g_strdup("booking-1"),
				   .address = g_strdup(service.address),
				   .key = g_strdup(key),
				   .fresh_connection = fresh,
				   .body = g_bytes_new("{}", 2)};

	run(fixture, &action, "book", 1);
}

static json_int_t runs_of(const char *key)
{
	json_t *json = sup_get_json(service.address, "/v1/records");
	json_int_t runs = 0;
	json_t *record;
	size_t i;

	json_array_foreach(json_object_get(json, "keys"), i, record)
	{
		if (!strcmp(json_string_value(json_object_get(record, "key")),
			    key))
			runs = sup_json_int(record, "runs");
	}
	json_decref(json);
	return runs;
}

/*
 * Guards against a booking that runs twice, or is reported as not sent after
 * it ran. The first call leaves an idle connection behind, on which libcurl
 * would repeat the second one by itself.
 */
START_TEST(test_service)
{
	static const char *const options[] = {"--status", NULL};
	const struct service_case *expected = &service_cases[_i];
	struct wf_action query = {.type = WF_ACT_STATUS_QUERY,
				  .target = g_strdup("booking-1"),
				  .key = g_strdup("two")};
	struct fixture fixture;
	char *fault;

	ck_assert(sup_start_fake(&service, "service", options));
	query.address = g_strdup(service.address);
	open_fixture(&fixture);
	call_service(&fixture, "one", false);
	if (expected->fault) {
		fault = g_strdup_printf("{\"path\":\"/call/\",\"fault\":"
					"\"%s\",\"count\":1}",
					expected->fault);
		ck_assert(sup_set_fault(service.address, fault));
		g_free(fault);
	}
	call_service(&fixture, "two", expected->fresh);
	ck_assert_str_eq(fixture.text->str, expected->result);
	ck_assert_int_eq(runs_of("two"), expected->runs);
	run(&fixture, &query, NULL, 1);
	ck_assert_str_eq(fixture.text->str, expected->status);
	close_fixture(&fixture);
}
END_TEST

static void start_engines(void)
{
	static const char *const options[] = {"--checks-fencing", NULL};
	unsigned i;

	for (i = 0; i < 3; i++)
		ck_assert(sup_start_engine(&engines[i], i + 1, 20 * i,
					   20 * i + 19, options));
}

static void open_stream(struct fixture *fixture, unsigned lineage,
			unsigned events)
{
	struct wf_action action = {.type = WF_ACT_STREAM_OPEN,
				   .call_id = 7,
				   .target = g_strdup(engines[0].id),
				   .address = g_strdup(engines[0].address),
				   .model = g_strdup("swan-70b"),
				   .lineage = lineage,
				   .max_tokens = 3,
				   .chain = wf_chain_new(),
				   .delivered = g_strdup(""),
				   .body = g_bytes_new(PROMPT, strlen(PROMPT))};
	unsigned i;

	for (i = 0; i < 3; i++) {
		struct wf_stage stage = {
			.target = g_strdup(engines[i].id),
			.address = g_strdup(engines[i].address),
			.first_layer = engines[i].first,
			.last_layer = engines[i].last,
			.kv = WF_KV_FRESH,
		};

		g_array_append_val(action.chain, stage);
	}
	run(fixture, &action, NULL, events);
}

static void append_expected_tokens(GString *text, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		char *token = sup_expected_text(PROMPT, i, i + 1);

		g_string_append_printf(text, "token %u %s: 0-19 20-39 40-59\n",
				       i, token);
		g_free(token);
	}
}

struct stream_case {
	unsigned engine; /* that has the fault */
	const char *path;
	const char *fault; /* NULL: none */
	unsigned tokens;
	const char *last;
};

static const struct stream_case stream_cases[] = {
	{0, NULL, NULL, 3, "end length\n"},
	{0, "/v1/generate", "cut", 1, "failed target_lost engine-1\n"},
	/* The action's own time limit ends a silent stream. */
	{0, "/v1/generate", "half_open", 1, "failed deadline engine-1\n"},
	{1, "/v1/step", "outage", 0, "failed target_lost engine-2\n"},
	{0, "/v1/generate", "outage", 0, "failed target_refused engine-1\n"},
};

/* Guards against an adapter that alters tokens, receipts or failures. */
START_TEST(test_stream)
{
	const struct stream_case *expected = &stream_cases[_i];
	bool accepted =
		!expected->path || expected->tokens || expected->engine > 0;
	GString *text = g_string_new(accepted ? "accepted\n" : "");
	struct fixture fixture;
	char *fault;

	start_engines();
	open_fixture(&fixture);
	if (expected->fault) {
		fault = g_strdup_printf(
			"{\"path\":\"%s\",\"fault\":\"%s\",\"after\":2}",
			expected->path, expected->fault);
		ck_assert(sup_set_fault(engines[expected->engine].address,
					fault));
		g_free(fault);
	}
	append_expected_tokens(text, expected->tokens);
	g_string_append(text, expected->last);
	open_stream(&fixture, 1, accepted + expected->tokens + 1);
	ck_assert_str_eq(fixture.text->str, text->str);
	g_string_free(text, TRUE);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a lower lineage that is not reported as fenced. */
START_TEST(test_stream_fenced)
{
	struct fixture fixture;

	start_engines();
	open_fixture(&fixture);
	open_stream(&fixture, 2, 5);
	open_stream(&fixture, 1, 1);
	ck_assert_str_eq(fixture.text->str, "failed fenced engine-1\n");
	close_fixture(&fixture);
}
END_TEST

/* Guards against lists, reports and orders that the adapter misreads. */
START_TEST(test_list_reports_orders)
{
	static const char entries[] =
		"{\"instances\":[{\"id\":\"engine-1\",\"role\":\"engine\","
		"\"state\":\"live\",\"address\":\"127.0.0.1:1\","
		"\"serves\":\"m\",\"n_layers\":60,\"first_layer\":0,"
		"\"last_layer\":19,\"slots\":8,\"step_us\":2400}]}";
	struct wf_action fetch = {.type = WF_ACT_FETCH_INSTANCES};
	struct wf_action poll = {.type = WF_ACT_POLL_TARGET,
				 .target = g_strdup("engine-1")};
	struct fixture fixture;
	unsigned i;

	ck_assert(sup_start_fake(&list, "list", NULL));
	ck_assert_int_eq(sup_post(list.address, "/admin/instances", entries),
			 200);
	start_engines();
	open_fixture(&fixture);
	run(&fixture, &fetch, NULL, 1);
	ck_assert_str_eq(fixture.text->str, "instances 1\n");
	poll.address = g_strdup(engines[0].address);
	run(&fixture, &poll, NULL, 1);
	ck_assert_str_eq(fixture.text->str, "report 1 slots=8\n");
	for (i = 0; i < 2; i++) {
		struct wf_action order = {
			.type = WF_ACT_ORDER,
			.target = g_strdup("engine-1"),
			.address = g_strdup(engines[0].address),
			.order = g_strdup("load"),
			.text = g_strdup("swan-70b@2"),
			.fence = 9 - i,
		};

		run(&fixture, &order, NULL, 1);
		ck_assert_str_eq(fixture.text->str,
				 i ? "order fenced\n" : "order ok\n");
	}
	close_fixture(&fixture);
}
END_TEST

#define ADD_LOOP(tcase, test, table) \
	tcase_add_loop_test(tcase, test, 0, (int)G_N_ELEMENTS(table))

int main(void)
{
	Suite *suite = suite_create("adapter");
	TCase *tcase = tcase_create("adapter");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	ADD_LOOP(tcase, test_store, store_cases);
	ADD_LOOP(tcase, test_service, service_cases);
	ADD_LOOP(tcase, test_stream, stream_cases);
	tcase_add_test(tcase, test_stream_fenced);
	tcase_add_test(tcase, test_list_reports_orders);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
