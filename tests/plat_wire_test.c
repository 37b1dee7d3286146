/* The platform adapter: the events for each response in interfaces.md. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/plat.h"
#include "support/runner.h"
#include "support/wire/wire.h"
#include "support/wire/wire_recorder.h"

#define TIMEOUT_MS 300
#define OP WIRE_OP

struct fixture {
	struct wire_loop wire;
	struct ctr_set *counters;
	struct cli_client *client;
	struct wire_server *server;
	struct wire_recorder recorder;
	GString *requests; /* what the server received */
	const char *answer;
	bool hang_up;
	char *addresses[2];
	size_t n_addresses;
};

static void respond(struct wire_conn *conn, const char *request, void *user)
{
	struct fixture *fixture = user;

	g_string_append(fixture->requests, request);
	if (fixture->answer)
		wire_send(conn, fixture->answer);
	if (fixture->hang_up)
		wire_hang_up(conn);
}

static void open_plat(struct fixture *fixture)
{
	struct plat_config config = {
		.client = fixture->client,
		.sink = &fixture->recorder.sink,
		.counters = fixture->counters,
		.self = "entry-1",
		.incarnation = 5,
		.object_api = fixture->addresses,
		.n_object_api = fixture->n_addresses,
		.instance_list = wire_server_address(fixture->server),
	};

	fixture->recorder.plat = plat_http_new(&config);
}

static void open_fixture(struct fixture *fixture, const char *answer,
			 bool hang_up)
{
	memset(fixture, 0, sizeof(*fixture));
	wire_open(&fixture->wire);
	fixture->counters = ctr_new();
	fixture->client = cli_new(&fixture->wire.loop, fixture->counters);
	fixture->server = wire_server_new(&fixture->wire, respond, fixture);
	fixture->requests = g_string_new(NULL);
	fixture->answer = answer;
	fixture->hang_up = hang_up;
	wire_recorder_open(&fixture->recorder);
	fixture->addresses[0] = g_strdup(wire_server_address(fixture->server));
	fixture->n_addresses = 1;
}

static void close_fixture(struct fixture *fixture)
{
	cli_drop(fixture->client);
	fixture->recorder.plat->ops->drop(fixture->recorder.plat);
	wire_server_drop(fixture->server);
	wire_close(&fixture->wire);
	wire_recorder_close(&fixture->recorder);
	g_string_free(fixture->requests, TRUE);
	g_free(fixture->addresses[0]);
	g_free(fixture->addresses[1]);
	ctr_drop(fixture->counters);
}

static void run(struct fixture *fixture, struct wf_action *action,
		const char *operation, unsigned events)
{
	wire_record(&fixture->wire, &fixture->recorder, action, operation,
		    events);
}

#define HEAD(status, extra, len) \
	"HTTP/1.1 " status " X\r\n" extra "Content-Length: " len "\r\n\r\n"

/* The same in a rare form that is sound, and in broken ones. */
#define RARE(status, extra, len)                                          \
	"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 " status "\n" extra \
	"X_'Note|:\r\ncontent-length:\t" len " \r\n\r\n"
#define BLANK(status, extra, len) HEAD(status, "X Note: 1\r\n" extra, len)
#define CONTROL(status, extra, len) HEAD(status, "X\001Note: 1\r\n" extra, len)
#define BAD_STATUS(status, extra, len) \
	"HTTP/1.1 000 " status "\r\n" extra "Content-Length: " len "\r\n\r\n"

static const struct {
	enum wf_action_type type;
	uint64_t version;
	const char *answer;
	bool hang_up;
	const char *request; /* how the request to the store must start */
	const char *condition;
	const char *event;
} exchanges[] = {
	{WF_ACT_STORE_GET, 0, HEAD("200", "ETag: \"9\"\r\n", "2") "hi", false,
	 "GET /v1/objects/rules/manifest HTTP/1.1", "", "ok 9 value=hi\n"},
	{WF_ACT_STORE_GET, 0, HEAD("404", "", "0"), false, "GET ", "",
	 "not_found 0\n"},
	{WF_ACT_STORE_GET, 0, HEAD("200", "", "2") "hi", false, "GET ", "",
	 "unavailable 0\n"},
	{WF_ACT_STORE_GET, 0, HEAD("500", "", "0"), false, "GET ", "",
	 "unavailable 0\n"},
	{WF_ACT_STORE_GET, 0, HEAD("200", "ETag: \"9\"\r\n", "9") "hi", true,
	 "GET ", "", "unavailable 0\n"},
	{WF_ACT_STORE_GET, 0, NULL, false, "GET ", "", "unavailable 0\n"},
	{WF_ACT_STORE_PUT, 0, HEAD("200", "", "13") "{\"version\":5}", false,
	 "PUT /v1/objects/rules/manifest HTTP/1.1", "If-None-Match: *\r\n",
	 "ok 5\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("200", "", "13") "{\"version\":5}", false,
	 "PUT ", "If-Match: \"4\"\r\n", "ok 5\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("412", "ETag: \"8\"\r\n", "0"), false,
	 "PUT ", "If-Match: \"4\"\r\n", "conflict 8\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("412", "", "0"), false, "PUT ", "",
	 "conflict 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("413", "", "0"), false, "PUT ", "",
	 "refused 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("428", "", "0"), false, "PUT ", "",
	 "refused 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("503", "", "0"), false, "PUT ", "",
	 "unavailable 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("429", "Retry-After: 1\r\n", "0"), false,
	 "PUT ", "", "unavailable 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("500", "", "0"), false, "PUT ", "",
	 "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("502", "", "0"), false, "PUT ", "",
	 "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("302", "", "0"), false, "PUT ", "",
	 "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("200", "", "2") "{}", false, "PUT ", "",
	 "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, HEAD("200", "", "13") "{\"versi", true, "PUT ",
	 "", "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, NULL, true, "PUT ", "", "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, NULL, false, "PUT ", "", "unknown 0\n"},
	{WF_ACT_STORE_DELETE, 4, HEAD("200", "", "13") "{\"version\":6}", false,
	 "DELETE /v1/objects/rules/manifest HTTP/1.1", "If-Match: \"4\"\r\n",
	 "ok 6\n"},
	{WF_ACT_STORE_DELETE, 4, HEAD("404", "", "0"), false, "DELETE ", "",
	 "not_found 0\n"},
	{WF_ACT_STORE_DELETE, 4, NULL, true, "DELETE ", "", "unknown 0\n"},
	{WF_ACT_STORE_LIST, 0,
	 HEAD("200", "", "51") "{\"revision\":7,\"objects\":["
			       "{\"name\":\"a\",\"version\":3}]}",
	 false, "GET /v1/objects/rules?prefix=manifest HTTP/1.1", "",
	 "ok 7 a@3\n"},
	{WF_ACT_STORE_LIST, 0, HEAD("200", "", "2") "[]", false, "GET ", "",
	 "unavailable 0\n"},
	{WF_ACT_STORE_WATCH, 6,
	 HEAD("200", "",
	      "66") "{\"revision\":8,\"objects\":[{\"name\":\"a\",\"version\":"
		    "8,\"deleted\":true}]}",
	 false,
	 "GET /v1/watch/rules?prefix=manifest&after=6&timeout_ms=300 HTTP/1.1",
	 "", "ok 8 a@0\n"},
	{WF_ACT_STORE_GET, 0, RARE("200", "ETag: \"9\"\r\n", "2") "hi", false,
	 "GET ", "", "ok 9 value=hi\n"},
	{WF_ACT_STORE_GET, 0, BLANK("200", "ETag: \"9\"\r\n", "2") "hi", false,
	 "GET ", "", "unavailable 0\n"},
	{WF_ACT_STORE_GET, 0, CONTROL("404", "", "0"), false, "GET ", "",
	 "unavailable 0\n"},
	{WF_ACT_STORE_PUT, 4, RARE("200", "", "13") "{\"version\":5}", false,
	 "PUT ", "", "ok 5\n"},
	{WF_ACT_STORE_PUT, 4, BLANK("200", "", "13") "{\"version\":5}", false,
	 "PUT ", "", "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, CONTROL("412", "ETag: \"8\"\r\n", "0"), false,
	 "PUT ", "", "unknown 0\n"},
	{WF_ACT_STORE_PUT, 4, BAD_STATUS("200", "", "13") "{\"version\":5}",
	 false, "PUT ", "", "unknown 0\n"},
};

/*
 * Guards against a write reported as done or not done when its outcome is
 * unknown, or as unknown when the outcome is certain.
 */
START_TEST(store_results_are_exact)
{
	struct fixture fixture;
	struct wf_action action = {.type = exchanges[_i].type,
				   .op = OP,
				   .name = g_strdup("rules/manifest"),
				   .version = exchanges[_i].version,
				   .timeout = TIMEOUT_MS};

	open_fixture(&fixture, exchanges[_i].answer, exchanges[_i].hang_up);
	open_plat(&fixture);
	if (action.type == WF_ACT_STORE_PUT)
		action.body = g_bytes_new("text", 4);
	run(&fixture, &action, NULL, 1);
	ck_assert_str_eq(fixture.recorder.text->str, exchanges[_i].event);
	ck_assert_msg(
		g_str_has_prefix(fixture.requests->str, exchanges[_i].request),
		"%s", fixture.requests->str);
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str, exchanges[_i].condition));
	ck_assert_uint_eq(wire_server_requests(fixture.server), 1);
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a write that fails while another server is available. */
START_TEST(unreachable_store_server_is_skipped)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STORE_PUT,
				   .op = OP,
				   .name = g_strdup("lease/a"),
				   .timeout = 2000};

	open_fixture(&fixture, HEAD("200", "", "13") "{\"version\":5}", false);
	fixture.addresses[1] = fixture.addresses[0];
	fixture.addresses[0] = wire_reserve_address(&fixture.wire);
	fixture.n_addresses = 2;
	open_plat(&fixture);
	run(&fixture, &action, NULL, 1);
	ck_assert_str_eq(fixture.recorder.text->str, "ok 5\n");
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

/* Guards against "unknown" when no byte was sent to the store. */
START_TEST(unsent_write_is_unavailable)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STORE_PUT,
				   .op = OP,
				   .name = g_strdup("lease/a"),
				   .timeout = 2000};

	open_fixture(&fixture, NULL, false);
	g_free(fixture.addresses[0]);
	fixture.addresses[0] = wire_reserve_address(&fixture.wire);
	open_plat(&fixture);
	run(&fixture, &action, NULL, 1);
	ck_assert_str_eq(fixture.recorder.text->str, "unavailable 0\n");
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

static const char *const bad_names[] = {
	"", "rules", "rules/", "/a", "rules/a/b", "rules/a b", "rules/a?b=c",
};

/* Guards against a name that changes the meaning of the path. */
START_TEST(bad_object_names_are_refused)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_STORE_GET,
				   .op = OP,
				   .name = g_strdup(bad_names[_i])};

	open_fixture(&fixture, NULL, false);
	open_plat(&fixture);
	run(&fixture, &action, NULL, 1);
	ck_assert_str_eq(fixture.recorder.text->str, "refused 0\n");
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

#define SSE_HEAD                                                 \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" \
	"Connection: close\r\n\r\n"
#define ACCEPTED "event: accepted\ndata: {\"lineage\":1}\n\n"
#define TOKEN                                                                \
	"event: token\ndata: {\"lineage\":1,\"position\":0,\"text\":\"A \"," \
	"\"receipts\":[{\"target\":\"engine-1\",\"first_layer\":0,"          \
	"\"last_layer\":19,\"kind\":\"run\"}]}\n\n"
#define END "event: end\ndata: {\"lineage\":1,\"reason\":\"stop\"}\n\n"

static const struct {
	const char *answer;
	bool hang_up;
	unsigned n;
	const char *events;
} streams[] = {
	{SSE_HEAD ACCEPTED TOKEN END, true, 3,
	 "0/1\n1/1 0 \"A \" engine-1:0-19:0\n2/1 stop\n"},
	/* events after the end are ignored */
	{SSE_HEAD ACCEPTED END TOKEN, true, 2, "0/1\n2/1 stop\n"},
	/* closed or timed out before the end */
	{SSE_HEAD ACCEPTED, true, 2, "0/1\n3/1 target_lost engine-1 0\n"},
	{SSE_HEAD ACCEPTED, false, 2, "0/1\n3/1 deadline engine-1 0\n"},
	{NULL, true, 1, "3/1 target_lost engine-1 0\n"},
	{NULL, false, 1, "3/1 deadline engine-1 0\n"},
	/* errors reported by the engine */
	{SSE_HEAD "event: error\ndata: {\"lineage\":1,\"type\":\"stage_lost\","
		  "\"target\":\"engine-2\"}\n\n",
	 true, 1, "3/1 target_lost engine-2 0\n"},
	{HEAD("409", "", "27") "{\"error\":{\"type\":\"fenced\"}}", false, 1,
	 "3/1 fenced engine-1 0\n"},
	{HEAD("503", "Retry-After: 2\r\n",
	      "31") "{\"error\":{\"type\":\"overloaded\"}}",
	 false, 1, "3/1 overloaded engine-1 2000\n"},
	{HEAD("503", "", "0"), false, 1, "3/1 target_refused engine-1 0\n"},
	/* malformed events */
	{SSE_HEAD "event: token\ndata: {\n\n", false, 1,
	 "3/1 protocol engine-1 0\n"},
	{SSE_HEAD "event: token\ndata: {\"lineage\":1,\"position\":-1,"
		  "\"text\":\"a\",\"receipts\":[]}\n\n",
	 false, 1, "3/1 protocol engine-1 0\n"},
	{SSE_HEAD "event: token\ndata: {\"lineage\":1,\"position\":0,"
		  "\"text\":\"a\",\"receipts\":[{\"target\":\"e\","
		  "\"first_layer\":0,\"last_layer\":1,\"kind\":\"odd\"}]}\n\n",
	 false, 1, "3/1 protocol engine-1 0\n"},
	{SSE_HEAD "event: end\ndata: {\"lineage\":1}\n\n", false, 1,
	 "3/1 protocol engine-1 0\n"},
	/* answers in rare and in broken forms */
	{"HTTP/1.1 200\nX_'Note|:\n\n" ACCEPTED END, true, 2,
	 "0/1\n2/1 stop\n"},
	{"HTTP/1.1 200 X\r\nX Note: 1\r\n\r\n" ACCEPTED END, true, 1,
	 "3/1 protocol engine-1 0\n"},
	{"HTTP/1.1 200 X\r\n\rX-Note: 1\r\n\r\n" ACCEPTED END, true, 1,
	 "3/1 protocol engine-1 0\n"},
	{"HTTP/1.1 000 X\r\n\r\n" ACCEPTED END, true, 1,
	 "3/1 protocol engine-1 0\n"},
	{CONTROL("409", "", "27") "{\"error\":{\"type\":\"fenced\"}}", false, 1,
	 "3/1 protocol engine-1 0\n"},
	{"HTTP/1.1 409 X\r\n\r\n{\"error\":{\"type\":\"fenced\"", true, 1,
	 "3/1 target_lost engine-1 0\n"},
	/* events of a later protocol version */
	{SSE_HEAD "event: news\ndata: {\"lineage\":1}\n\n" END, true, 1,
	 "2/1 stop\n"},
};

static void set_stream(struct wf_action *action, struct fixture *fixture)
{
	struct wf_stage stage = {.target = g_strdup("engine-1"),
				 .last_layer = 19};

	memset(action, 0, sizeof(*action));
	action->type = WF_ACT_STREAM_OPEN;
	action->op = OP;
	action->call_id = 42;
	action->target = g_strdup("engine-1");
	action->address = g_strdup(wire_server_address(fixture->server));
	action->timeout = TIMEOUT_MS;
	action->lineage = 1;
	action->model = g_strdup("swan-70b");
	action->max_tokens = 4;
	action->body = g_bytes_new("hi", 2);
	action->chain = wf_chain_new();
	stage.address = g_strdup(action->address);
	g_array_append_val(action->chain, stage);
}

/* Guards against lost or spurious tokens, ends and failures. */
START_TEST(engine_streams_become_exact_events)
{
	struct fixture fixture;
	struct wf_action action;

	open_fixture(&fixture, streams[_i].answer, streams[_i].hang_up);
	open_plat(&fixture);
	set_stream(&action, &fixture);
	run(&fixture, &action, NULL, streams[_i].n);
	ck_assert_str_eq(fixture.recorder.text->str, streams[_i].events);
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str, "POST /v1/generate HTTP/1.1"));
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str,
		       "{\"request\":\"entry-1/5/42\",\"lineage\":1,"
		       "\"model\":\"swan-70b\",\"prompt\":\"hi\","
		       "\"max_tokens\":4,\"priority\":0,\"start_position\":0,"
		       "\"delivered\":\"\",\"chain\":[{\"target\":\"engine-1\","
		       "\"address\":\"127.0.0.1:"));
	wf_action_clear(&action);
	close_fixture(&fixture);
	ck_assert_uint_eq(fixture.recorder.events, streams[_i].n);
}
END_TEST

static bool saw_cancel(void *user)
{
	return strstr(((struct fixture *)user)->requests->str,
		      "POST /v1/cancel") != NULL;
}

/*
 * Guards against use after free when the core cancels a stream while it
 * handles an event, and against an engine that is not told of the cancel.
 */
START_TEST(cancel_inside_a_token_event_stops_the_stream)
{
	struct fixture fixture;
	struct wf_action action;

	open_fixture(&fixture, SSE_HEAD TOKEN TOKEN END, false);
	open_plat(&fixture);
	fixture.recorder.cancel_at_token = true;
	set_stream(&action, &fixture);
	run(&fixture, &action, NULL, 1);
	wire_run_until(&fixture.wire, saw_cancel, &fixture);
	ck_assert_str_eq(fixture.recorder.text->str,
			 "1/1 0 \"A \" engine-1:0-19:0\n");
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str,
		       "{\"request\":\"entry-1/5/42\",\"lineage\":1}"));
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

static const struct {
	enum wf_action_type type;
	const char *answer;
	bool hang_up;
	unsigned n;
	const char *request;
	const char *events;
} calls[] = {
	{WF_ACT_SERVICE_CALL, HEAD("201", "", "2") "ok", false, 1,
	 "POST /call/book HTTP/1.1", "ok=1 sent=1 201  ok\n"},
	{WF_ACT_SERVICE_CALL, HEAD("500", "", "2") "no", false, 1, "POST ",
	 "ok=1 sent=1 500  no\n"},
	{WF_ACT_SERVICE_CALL, NULL, true, 1, "POST ",
	 "ok=0 sent=1 0 target_lost\n"},
	{WF_ACT_SERVICE_CALL, NULL, false, 1, "POST ",
	 "ok=0 sent=1 0 deadline\n"},
	{WF_ACT_SERVICE_CALL, HEAD("200", "", "9") "ok", true, 1, "POST ",
	 "ok=0 sent=1 0 target_lost\n"},
	{WF_ACT_STATUS_QUERY,
	 HEAD("200", "",
	      "41") "{\"state\":\"done\",\"status\":201,\"body\":\"ok\"}",
	 false, 1, "GET /status/k%2F1 HTTP/1.1", "0 201 ok\n"},
	{WF_ACT_STATUS_QUERY, HEAD("200", "", "19") "{\"state\":\"running\"}",
	 false, 1, "GET ", "2 0\n"},
	{WF_ACT_STATUS_QUERY,
	 HEAD("404", "", "27") "{\"error\":{\"type\":\"absent\"}}", false, 1,
	 "GET ", "1 0\n"},
	{WF_ACT_STATUS_QUERY, HEAD("404", "", "0"), false, 1, "GET ", "3 0\n"},
	{WF_ACT_STATUS_QUERY, HEAD("200", "", "16") "{\"state\":\"done\"}",
	 false, 1, "GET ", "3 0\n"},
	{WF_ACT_STATUS_QUERY, NULL, true, 1, "GET ", "3 0\n"},
	{WF_ACT_ORDER, HEAD("200", "", "2") "{}", false, 1,
	 "POST /v1/orders HTTP/1.1", "ok=1 \n"},
	{WF_ACT_ORDER,
	 HEAD("409", "", "27") "{\"error\":{\"type\":\"fenced\"}}", false, 1,
	 "POST ", "ok=0 fenced\n"},
	{WF_ACT_ORDER,
	 HEAD("403", "", "31") "{\"error\":{\"type\":\"bad_sender\"}}", false,
	 1, "POST ", "ok=0 forbidden\n"},
	{WF_ACT_ORDER, HEAD("500", "", "0"), false, 1, "POST ",
	 "ok=0 outcome_unknown\n"},
	{WF_ACT_ORDER, NULL, true, 1, "POST ", "ok=0 outcome_unknown\n"},
	{WF_ACT_FETCH_INSTANCES,
	 HEAD("200", "",
	      "211") "{\"revision\":4,\"instances\":[{\"id\":\"engine-7\","
		     "\"role\":\"engine\",\"state\":\"leaving\",\"serves\":"
		     "\"swan-70b\",\"first_layer\":3,\"last_layer\":9},"
		     "{\"id\":\"x\",\"role\":\"odd\",\"state\":\"live\"},"
		     "{\"id\":\"b\",\"role\":\"entry\",\"state\":\"live\"}]}"
		     "",
	 false, 1, "GET /v1/instances?after=0 HTTP/1.1",
	 "revision 4 engine-7/1/2/3-9/swan-70b b/0/0/0-0/\n"},
	{WF_ACT_POLL_TARGET, HEAD("404", "", "0"), false, 1, "GET ",
	 "t reachable=0 leaving=0 0 0 0\n"},
	/* answers in rare and in broken forms */
	{WF_ACT_SERVICE_CALL, RARE("201", "", "2") "ok", false, 1, "POST ",
	 "ok=1 sent=1 201  ok\n"},
	{WF_ACT_SERVICE_CALL, BLANK("201", "", "2") "ok", false, 1, "POST ",
	 "ok=0 sent=1 0 protocol\n"},
	{WF_ACT_SERVICE_CALL, CONTROL("503", "", "2") "no", false, 1, "POST ",
	 "ok=0 sent=1 0 protocol\n"},
	{WF_ACT_SERVICE_CALL, BAD_STATUS("201", "", "2") "ok", false, 1,
	 "POST ", "ok=0 sent=1 0 protocol\n"},
	{WF_ACT_SERVICE_CALL, HEAD("699", "", "2") "ok", false, 1, "POST ",
	 "ok=0 sent=1 0 protocol\n"},
	{WF_ACT_STATUS_QUERY, RARE("200", "", "19") "{\"state\":\"running\"}",
	 false, 1, "GET ", "2 0\n"},
	{WF_ACT_STATUS_QUERY,
	 BLANK("404", "", "27") "{\"error\":{\"type\":\"absent\"}}", false, 1,
	 "GET ", "3 0\n"},
	{WF_ACT_ORDER, RARE("200", "", "2") "{}", false, 1, "POST ", "ok=1 \n"},
	{WF_ACT_ORDER, BLANK("200", "", "2") "{}", false, 1, "POST ",
	 "ok=0 outcome_unknown\n"},
	{WF_ACT_ORDER,
	 CONTROL("409", "", "27") "{\"error\":{\"type\":\"fenced\"}}", false, 1,
	 "POST ", "ok=0 outcome_unknown\n"},
	{WF_ACT_POLL_TARGET,
	 RARE("200", "", "24") "{\"running\":2,\"queued\":1}", false, 1, "GET ",
	 "t reachable=1 leaving=0 2 1 0\n"},
	{WF_ACT_POLL_TARGET,
	 BLANK("200", "", "24") "{\"running\":2,\"queued\":1}", false, 1,
	 "GET ", "t reachable=0 leaving=0 0 0 0\n"},
};

/* Guards against lax parsing of service, status, order and list replies. */
START_TEST(calls_map_to_exact_events)
{
	struct fixture fixture;
	struct wf_action action = {.type = calls[_i].type,
				   .op = OP,
				   .target = g_strdup("t"),
				   .timeout = TIMEOUT_MS,
				   .key = g_strdup("k/1"),
				   .fence = 9,
				   .order = g_strdup("load"),
				   .text = g_strdup("swan-70b")};

	open_fixture(&fixture, calls[_i].answer, calls[_i].hang_up);
	open_plat(&fixture);
	action.address = g_strdup(wire_server_address(fixture.server));
	run(&fixture, &action, "book", calls[_i].n);
	ck_assert_str_eq(fixture.recorder.text->str, calls[_i].events);
	ck_assert_msg(
		g_str_has_prefix(fixture.requests->str, calls[_i].request),
		"%s", fixture.requests->str);
	if (action.type == WF_ACT_SERVICE_CALL)
		ck_assert_ptr_nonnull(strstr(fixture.requests->str,
					     "Idempotency-Key: k/1\r\n"));
	if (action.type == WF_ACT_ORDER)
		ck_assert_ptr_nonnull(
			strstr(fixture.requests->str,
			       "{\"fence\":9,\"sender\":\"entry-1\",\"order\":"
			       "\"load\",\"argument\":\"swan-70b\"}"));
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

/* Guards against "sent" for a call whose connection was refused. */
START_TEST(refused_service_call_is_not_sent)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_SERVICE_CALL,
				   .op = OP,
				   .fresh_connection = true};

	open_fixture(&fixture, NULL, false);
	open_plat(&fixture);
	action.address = wire_reserve_address(&fixture.wire);
	run(&fixture, &action, "book", 1);
	ck_assert_str_eq(fixture.recorder.text->str,
			 "ok=0 sent=0 0 target_failed\n");
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

static void answer_poll(struct wire_conn *conn, const char *request, void *user)
{
	struct fixture *fixture = user;

	g_string_append(fixture->requests, request);
	if (g_str_has_prefix(request, "GET /v1/load"))
		wire_answer(conn, 200, "",
			    "{\"running\":2,\"queued\":1,\"slots\":8,"
			    "\"step_us\":2400.5,\"leaving\":true}");
	else
		wire_answer(conn, 200, "",
			    "{\"seq\":6,\"first\":5,\"events\":[{\"seq\":5,"
			    "\"added\":[\"00000000000000ff\"],\"removed\":[]},"
			    "{\"seq\":6,\"added\":[],\"removed\":"
			    "[\"0000000000000abc\"]},"
			    "{\"seq\":7,\"added\":[\"xyz\"]}]}");
}

static bool has_load_and_cache_events(void *user)
{
	return ((struct wire_recorder *)user)->events >= 3;
}

/* Guards against load or cache events that are lost or fetched twice. */
START_TEST(poll_brings_load_and_cache_events)
{
	struct fixture fixture;
	struct wf_action action = {.type = WF_ACT_POLL_TARGET, .op = OP};
	const char *text;

	open_fixture(&fixture, NULL, false);
	wire_server_drop(fixture.server);
	fixture.server = wire_server_new(&fixture.wire, answer_poll, &fixture);
	open_plat(&fixture);
	action.target = g_strdup("engine-1");
	action.address = g_strdup(wire_server_address(fixture.server));
	fixture.recorder.plat->ops->run(fixture.recorder.plat, &action, NULL);
	wire_run_until(&fixture.wire, has_load_and_cache_events,
		       &fixture.recorder);
	text = fixture.recorder.text->str;
	ck_assert_ptr_nonnull(
		strstr(text, "engine-1 reachable=1 leaving=1 2 1 8\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "engine-1 seq=5 +ff\nengine-1 seq=6 -abc\n"));
	ck_assert_int_eq(ctr_get(fixture.counters, "wf_cache_bad_events_total"),
			 1);
	run(&fixture, &action, NULL, 3);
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str, "/v1/cache-events?after=6 "));
	wf_action_clear(&action);
	close_fixture(&fixture);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, store_results_are_exact, 0,
			    G_N_ELEMENTS(exchanges));
	tcase_add_test(tcase, unreachable_store_server_is_skipped);
	tcase_add_test(tcase, unsent_write_is_unavailable);
	tcase_add_loop_test(tcase, bad_object_names_are_refused, 0,
			    G_N_ELEMENTS(bad_names));
	tcase_add_loop_test(tcase, engine_streams_become_exact_events, 0,
			    G_N_ELEMENTS(streams));
	tcase_add_test(tcase, cancel_inside_a_token_event_stops_the_stream);
	tcase_add_loop_test(tcase, calls_map_to_exact_events, 0,
			    G_N_ELEMENTS(calls));
	tcase_add_test(tcase, refused_service_call_is_not_sent);
	tcase_add_test(tcase, poll_brings_load_and_cache_events);
}

int main(void)
{
	TCase *tcase = tcase_create("plat_wire");

	tcase_set_timeout(tcase, 30);
	add_tests(tcase);
	return sup_run_case("plat_wire", tcase);
}
