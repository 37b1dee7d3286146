/* The platform adapter against the fake servers, run as processes. */

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "support/child.h"
#include "support/http.h"
#include "support/runner.h"
#include "support/wire/wire.h"
#include "support/wire/wire_recorder.h"

#define TIMEOUT_MS 300

struct fixture {
	struct wire_loop wire;
	struct ctr_set *counters;
	struct cli_client *client;
	struct wire_recorder recorder;
	struct sup_child child;
	struct sup_child other;
};

static void open_fixture(struct fixture *fixture, const char *fake,
			 const char *const *args)
{
	struct plat_config config = {.self = "entry-1", .incarnation = 5};
	char *address;

	memset(fixture, 0, sizeof(*fixture));
	ck_assert(sup_start_fake(&fixture->child, fake, args));
	wire_open(&fixture->wire);
	wire_recorder_open(&fixture->recorder);
	fixture->counters = ctr_new();
	fixture->client = cli_new(&fixture->wire.loop, fixture->counters);
	address = fixture->child.address;
	config.client = fixture->client;
	config.sink = &fixture->recorder.sink;
	config.counters = fixture->counters;
	config.object_api = &address;
	config.n_object_api = 1;
	config.instance_list = address;
	fixture->recorder.plat = plat_http_new(&config);
}

static void close_fixture(struct fixture *fixture)
{
	cli_drop(fixture->client);
	fixture->recorder.plat->ops->drop(fixture->recorder.plat);
	wire_close(&fixture->wire);
	wire_recorder_close(&fixture->recorder);
	ctr_drop(fixture->counters);
	ck_assert_int_eq(sup_stop(&fixture->child), 0);
	ck_assert_int_eq(sup_stop(&fixture->other), 0);
}

/* Runs an action, checks the text of its events and clears the action. */
static void expect(struct fixture *fixture, struct wf_action *action,
		   unsigned events, const char *text)
{
	action->op = WIRE_OP;
	if (!action->address)
		action->address = g_strdup(fixture->child.address);
	g_string_truncate(fixture->recorder.text, 0);
	wire_record(&fixture->wire, &fixture->recorder, action, "book", events);
	if (text)
		ck_assert_str_eq(fixture->recorder.text->str, text);
	wf_action_clear(action);
}

static void put(struct fixture *fixture, const char *value, uint64_t version,
		clk_ms timeout, const char *text)
{
	struct wf_action action = {.type = WF_ACT_STORE_PUT,
				   .version = version,
				   .timeout = timeout};

	action.name = g_strdup("lease/a");
	action.body = g_bytes_new(value, strlen(value));
	expect(fixture, &action, 1, text);
}

static void get(struct fixture *fixture, const char *text)
{
	struct wf_action action = {.type = WF_ACT_STORE_GET};

	action.name = g_strdup("lease/a");
	expect(fixture, &action, 1, text);
}

/* Guards against an adapter that deviates from the store protocol. */
START_TEST(store_protocol_is_followed)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STORE_LIST};

	open_fixture(&fixture, "store", NULL);
	get(&fixture, "not_found 0\n");
	put(&fixture, "one", WF_VERSION_ABSENT, 0, "ok 1\n");
	put(&fixture, "two", WF_VERSION_ABSENT, 0, "conflict 1\n");
	put(&fixture, "two", 1, 0, "ok 2\n");
	put(&fixture, "three", 1, 0, "conflict 2\n");
	get(&fixture, "ok 2 value=two\n");
	action.name = g_strdup("lease/");
	expect(&fixture, &action, 1, "ok 2 a@2\n");
	action.type = WF_ACT_STORE_WATCH;
	action.name = g_strdup("lease/a");
	action.version = 1;
	expect(&fixture, &action, 1, "ok 2 a@2\n");
	action.type = WF_ACT_STORE_WATCH;
	action.name = g_strdup("lease/a");
	action.version = 2;
	action.timeout = 50;
	expect(&fixture, &action, 1, "ok 2\n");
	action.type = WF_ACT_STORE_DELETE;
	action.name = g_strdup("lease/a");
	action.version = 2;
	expect(&fixture, &action, 1, "ok 3\n");
	action.type = WF_ACT_STORE_WATCH;
	action.name = g_strdup("lease/");
	action.version = 2;
	expect(&fixture, &action, 1, "ok 3 a@0\n");
	close_fixture(&fixture);
}
END_TEST

static const char *const faults[] = {
	"refused",   "silent", "outage",       "lost_answer", "cut",
	"half_open", "late",   "wrong_length", "twice",	      "slow",
};

static void set_fault(struct fixture *fixture, const char *path,
		      const char *fault)
{
	char *json =
		g_strdup_printf("{\"path\":\"%s\",\"fault\":\"%s\",\"ms\":%d}",
				path, fault, 2 * TIMEOUT_MS);

	ck_assert(sup_set_fault(fixture->child.address, json));
	g_free(json);
}

static bool starts(struct fixture *fixture, const char *prefix)
{
	return g_str_has_prefix(fixture->recorder.text->str, prefix);
}

/*
 * Guards against false results: "unavailable" for a write that took effect,
 * or "ok" for one that did not.
 */
START_TEST(write_results_match_the_store)
{
	struct fixture fixture;
	bool reported_done;
	bool reported_not_done;
	bool took_effect;

	open_fixture(&fixture, "store", NULL);
	put(&fixture, "old", WF_VERSION_ABSENT, 0, "ok 1\n");
	set_fault(&fixture, "/v1/objects", faults[_i]);
	put(&fixture, "new", 1, TIMEOUT_MS, NULL);
	reported_done = starts(&fixture, "ok ");
	reported_not_done = !reported_done && !starts(&fixture, "unknown ");
	ck_assert(sup_clear_faults(fixture.child.address));
	get(&fixture, NULL);
	took_effect = strstr(fixture.recorder.text->str, "=new") != NULL;
	ck_assert(!reported_done || took_effect);
	ck_assert(!reported_not_done || !took_effect);
	close_fixture(&fixture);
}
END_TEST

static void call(struct fixture *fixture, clk_ms timeout, const char *text)
{
	struct wf_action action = {.type = WF_ACT_SERVICE_CALL,
				   .timeout = timeout,
				   .fresh_connection = true};

	action.key = g_strdup("k-1");
	action.body = g_bytes_new("{}", 2);
	expect(fixture, &action, 1, text);
}

/* How often the service executed the only key. */
static json_int_t runs_of(struct fixture *fixture)
{
	json_t *records = sup_get_json(fixture->child.address, "/v1/records");
	const json_t *keys = json_object_get(records, "keys");
	json_int_t runs = 0;

	if (json_array_size(keys))
		runs = sup_json_int(json_array_get(keys, 0), "runs");
	json_decref(records);
	return runs;
}

/* Guards against "not sent" for a booking that the service executed. */
START_TEST(booking_results_match_the_service)
{
	struct fixture fixture;
	bool reported_not_sent;
	bool ok;

	open_fixture(&fixture, "service", NULL);
	set_fault(&fixture, "/call/", faults[_i]);
	call(&fixture, TIMEOUT_MS, NULL);
	ok = starts(&fixture, "ok=1 ") &&
	     strstr(fixture.recorder.text->str, " 200 ") != NULL;
	reported_not_sent =
		strstr(fixture.recorder.text->str, "sent=0") != NULL;
	ck_assert(sup_clear_faults(fixture.child.address));
	ck_assert(!reported_not_sent || !runs_of(&fixture));
	ck_assert(!ok || runs_of(&fixture) >= 1);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a misread service status. */
START_TEST(service_status_is_parsed)
{
	static const char *const args[] = {"--status", NULL};
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STATUS_QUERY};

	open_fixture(&fixture, "service", args);
	action.key = g_strdup("k-1");
	expect(&fixture, &action, 1, "1 0\n");
	call(&fixture, 0, NULL);
	ck_assert(starts(&fixture, "ok=1 sent=1 200"));
	action.type = WF_ACT_STATUS_QUERY;
	action.key = g_strdup("k-1");
	expect(&fixture, &action, 1, NULL);
	ck_assert(starts(&fixture, "0 200 "));
	close_fixture(&fixture);
}
END_TEST

static void add_stage(GArray *chain, const char *id, const char *address,
		      unsigned first, unsigned last)
{
	struct wf_stage stage = {.first_layer = first, .last_layer = last};

	stage.target = g_strdup(id);
	stage.address = g_strdup(address);
	g_array_append_val(chain, stage);
}

static const char *const first_engine[] = {"--id=e1",
					   "--model=swan",
					   "--n-layers=4",
					   "--first-layer=0",
					   "--last-layer=1",
					   "--step-us=1000",
					   NULL};
static const char *const second_engine[] = {"--id=e2",
					    "--model=swan",
					    "--n-layers=4",
					    "--first-layer=2",
					    "--last-layer=3",
					    "--step-us=1000",
					    NULL};

/* Guards against a chain request that deviates from the engine protocol. */
START_TEST(engines_run_a_chain)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STREAM_OPEN,
				   .call_id = 42,
				   .lineage = 1,
				   .max_tokens = 2,
				   .timeout = 5000};
	const char *text;

	open_fixture(&fixture, "engine", first_engine);
	ck_assert(sup_start_fake(&fixture.other, "engine", second_engine));
	action.target = g_strdup("e1");
	action.model = g_strdup("swan");
	action.body = g_bytes_new("user: hi", 8);
	action.chain = wf_chain_new();
	add_stage(action.chain, "e1", fixture.child.address, 0, 1);
	add_stage(action.chain, "e2", fixture.other.address, 2, 3);
	expect(&fixture, &action, 4, NULL);
	text = fixture.recorder.text->str;
	ck_assert_msg(g_str_has_prefix(text, "0/1\n1/1 0 \""), "%s", text);
	ck_assert_msg(strstr(text, "\" e1:0-1:0 e2:2-3:0\n1/1 1 \"") != NULL,
		      "%s", text);
	ck_assert_msg(strstr(text, "\n2/1 ") != NULL, "%s", text);
	action.type = WF_ACT_POLL_TARGET;
	action.target = g_strdup("e1");
	expect(&fixture, &action, 1, NULL);
	ck_assert_ptr_nonnull(strstr(fixture.recorder.text->str,
				     "e1 reachable=1 leaving=0 0 0 "));
	close_fixture(&fixture);
}
END_TEST

/* Guards against a lost stage attributed to the wrong engine. */
START_TEST(lost_stage_is_named)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STREAM_OPEN,
				   .call_id = 42,
				   .lineage = 1,
				   .max_tokens = 2,
				   .timeout = 5000};

	open_fixture(&fixture, "engine", first_engine);
	ck_assert(sup_start_fake(&fixture.other, "engine", second_engine));
	action.target = g_strdup("e1");
	action.model = g_strdup("swan");
	action.body = g_bytes_new("user: hi", 8);
	action.chain = wf_chain_new();
	add_stage(action.chain, "e1", fixture.child.address, 0, 1);
	add_stage(action.chain, "e2", fixture.other.address, 2, 3);
	sup_kill(&fixture.other);
	expect(&fixture, &action, 2, "0/1\n3/1 target_lost e2 0\n");
	close_fixture(&fixture);
}
END_TEST

/* Guards against a fenced order reported as executed. */
START_TEST(fenced_order_is_reported)
{
	static const char *const args[] = {"--id=e1", "--checks-fencing", NULL};
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_ORDER, .fence = 9};

	open_fixture(&fixture, "engine", args);
	action.order = g_strdup("role");
	action.text = g_strdup("decode");
	expect(&fixture, &action, 1, "ok=1 \n");
	action.type = WF_ACT_ORDER;
	action.fence = 8;
	action.order = g_strdup("role");
	action.text = g_strdup("decode");
	expect(&fixture, &action, 1, "ok=0 fenced\n");
	close_fixture(&fixture);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_test(tcase, store_protocol_is_followed);
	tcase_add_loop_test(tcase, write_results_match_the_store, 0,
			    G_N_ELEMENTS(faults));
	tcase_add_loop_test(tcase, booking_results_match_the_service, 0,
			    G_N_ELEMENTS(faults));
	tcase_add_test(tcase, service_status_is_parsed);
	tcase_add_test(tcase, engines_run_a_chain);
	tcase_add_test(tcase, lost_stage_is_named);
	tcase_add_test(tcase, fenced_order_is_reported);
}

int main(void)
{
	TCase *tcase = tcase_create("plat_fakes_wire");

	tcase_set_timeout(tcase, 60);
	add_tests(tcase);
	return sup_run_case("plat_fakes_wire", tcase);
}
