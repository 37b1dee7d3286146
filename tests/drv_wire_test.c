/* The driver with real sockets and a fake core. */

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "daemon/driver.h"
#include "support/runner.h"
#include "support/wire/wire.h"

#define KEY_SIZE 41
#define OP UINT64_C(0x0800000000000001)
#define CHAT                                                                 \
	"{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\"," \
	"\"content\":\"hi\"}]}"

struct instance {
	struct drv_driver *driver;
	struct fake_core *core;
	struct ctr_set *counters;
	GString *log;
	char public[KEY_SIZE];
	char secret[KEY_SIZE];
};

struct fixture {
	struct wire_loop wire;
	struct wire_server *server; /* store, list, engine and service */
	GString *requests;
	struct instance a;
	struct instance b;
	struct wire_client *client;
	char *text; /* the latest message from a peer */
};

static void respond(struct wire_conn *conn, const char *request, void *user)
{
	struct fixture *fixture = user;

	g_string_append(fixture->requests, request);
	if (g_str_has_prefix(request, "POST /v1/generate"))
		wire_send(conn,
			  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			  "Content-Type: text/event-stream\r\n\r\n"
			  "50\r\nevent: token\ndata: {\"lineage\":1,"
			  "\"position\":0,\"text\":\"A lantern\","
			  "\"receipts\":[]}\n\n\r\n"
			  "30\r\nevent: end\ndata: {\"lineage\":1,"
			  "\"reason\":\"stop\"}\n\n\r\n0\r\n\r\n");
	else if (g_str_has_prefix(request, "POST /call/"))
		wire_answer(conn, 200, "", "{\"booked\":1}");
	else if (g_str_has_prefix(request, "PUT "))
		wire_answer(conn, 200, "", "{\"version\":5}");
	else
		wire_answer(conn, 404, "", "");
}

static Wf__Settings *make_settings(struct fixture *fixture,
				   const struct instance *instance,
				   const char *id)
{
	const char *server = wire_server_address(fixture->server);
	char *token = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						    "secret-a", -1);
	char *text = g_strdup_printf(
		"{\"instance\":\"%s\",\"data_center\":\"uppsala\","
		"\"caller_address\":\"127.0.0.1:0\","
		"\"operator_address\":\"127.0.0.1:0\","
		"\"peer_address\":\"127.0.0.1:0\",\"curve\":{\"secret_key\":"
		"\"%s\",\"public_key\":\"%s\",\"peers\":["
		"{\"id\":\"a\",\"public_key\":\"%s\"},"
		"{\"id\":\"b\",\"public_key\":\"%s\"}]},"
		"\"object_api\":[\"%s\"],\"instance_list\":\"%s\","
		"\"organizations\":[{\"id\":\"org\",\"token_sha256\":\"%s\"}]}",
		id, instance->secret, instance->public, fixture->a.public,
		fixture->b.public, server, server, token);
	GError *error = NULL;
	Wf__Settings *settings;

	settings = sch_settings_parse(text, strlen(text), &error);
	ck_assert_msg(settings != NULL, "%s", error ? error->message : "");
	g_free(text);
	g_free(token);
	return settings;
}

static void append_line(void *user, const char *line)
{
	g_string_append_printf(user, "%s\n", line);
}

static void open_instance(struct fixture *fixture, struct instance *instance,
			  const char *id, fake_core_script script)
{
	Wf__Settings *settings = make_settings(fixture, instance, id);
	struct drv_config config = {.loop = &fixture->wire.loop,
				    .settings = settings,
				    .incarnation = 5};
	GError *error = NULL;

	instance->counters = ctr_new();
	instance->log = g_string_new(NULL);
	instance->core = fake_core_new(script, fixture);
	config.core = &instance->core->base;
	config.counters = instance->counters;
	config.log = log_new(append_line, instance->log);
	drv_clock_start(&config.clock);
	instance->driver = drv_new(&config, &error);
	ck_assert_msg(instance->driver != NULL, "%s",
		      error ? error->message : "");
	log_drop(config.log);
	sch_settings_free(settings);
}

static void open_fixture(struct fixture *fixture, fake_core_script script)
{
	memset(fixture, 0, sizeof(*fixture));
	wire_open(&fixture->wire);
	fixture->requests = g_string_new(NULL);
	fixture->server = wire_server_new(&fixture->wire, respond, fixture);
	zmq_curve_keypair(fixture->a.public, fixture->a.secret);
	zmq_curve_keypair(fixture->b.public, fixture->b.secret);
	open_instance(fixture, &fixture->a, "a", script);
	fixture->client = wire_client_new(
		&fixture->wire, drv_caller_address(fixture->a.driver));
}

static void close_instance(struct instance *instance)
{
	drv_drop(instance->driver);
	instance->driver = NULL;
}

static void free_instance(struct instance *instance)
{
	if (!instance->core)
		return;
	fake_core_drop(instance->core);
	ctr_drop(instance->counters);
	g_string_free(instance->log, TRUE);
}

static void close_fixture(struct fixture *fixture)
{
	wire_client_drop(fixture->client);
	close_instance(&fixture->a);
	close_instance(&fixture->b);
	wire_server_drop(fixture->server);
	wire_close(&fixture->wire);
	free_instance(&fixture->a);
	free_instance(&fixture->b);
	g_string_free(fixture->requests, TRUE);
	g_free(fixture->text);
}

static void post(struct fixture *fixture, const char *path, const char *body)
{
	char *text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
		"Authorization: Bearer secret-a\r\nContent-Length: %zu\r\n\r\n"
		"%s",
		path, strlen(body), body);

	wire_client_send(fixture->client, text);
	g_free(text);
}

/* Opens an engine stream for a call. */
static void open_stream(struct fake_core *core, const struct wf_event *event)
{
	struct fixture *fixture = core->user;
	struct wf_action action = {.type = WF_ACT_STREAM_OPEN,
				   .op = OP,
				   .call_id = event->call->id,
				   .lineage = 1,
				   .timeout = 5000};

	action.address = g_strdup(wire_server_address(fixture->server));
	action.model = g_strdup(event->call->name);
	action.body = g_bytes_ref(event->call->body);
	fake_core_emit(core, &action);
}

static void forward_to_caller(struct fake_core *core,
			      const struct wf_event *event)
{
	struct wf_action action = {.call_id = core->last_call};

	if (event->stream->what == WF_STREAM_TOKEN) {
		action.type = WF_ACT_REPLY_TOKEN;
		action.text = g_strdup(event->stream->text);
	} else if (event->stream->what == WF_STREAM_END) {
		action.type = WF_ACT_REPLY_END;
		action.text = g_strdup(event->stream->reason);
	} else {
		return;
	}
	fake_core_emit(core, &action);
}

static void route_stream(struct fake_core *core, const struct wf_event *event)
{
	if (event->type == WF_EV_CALL)
		open_stream(core, event);
	else if (event->type == WF_EV_STREAM)
		forward_to_caller(core, event);
}

/* Guards against a broken path between caller, core and engine. */
START_TEST(stream_goes_from_engine_to_caller)
{
	struct fixture fixture;

	open_fixture(&fixture, route_stream);
	ck_assert_uint_eq(fixture.a.core->events[WF_EV_START], 1);
	post(&fixture, "/v1/chat/completions", CHAT);
	wire_client_await(&fixture.wire, fixture.client, "data: [DONE]\n\n");
	ck_assert_ptr_nonnull(strstr(fixture.client->received->str,
				     "\"content\":\"A lantern\"}"));
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str,
		       "\"request\":\"a/5/1\",\"lineage\":1,\"model\":\"m\","
		       "\"prompt\":\"user: hi\\nassistant: \""));
	ck_assert_uint_eq(fixture.a.core->events[WF_EV_CALLER_GONE], 0);
	close_fixture(&fixture);
}
END_TEST

static void route_service(struct fake_core *core, const struct wf_event *event)
{
	struct fixture *fixture = core->user;
	struct wf_action action = {.call_id = core->last_call};

	if (event->type == WF_EV_CALL) {
		action.type = WF_ACT_SERVICE_CALL;
		action.op = OP;
		action.address = g_strdup(wire_server_address(fixture->server));
		action.key = g_strdup(event->call->key);
		action.body = g_bytes_ref(event->call->body);
		action.fresh_connection = true;
		fake_core_emit(core, &action);
	} else if (event->type == WF_EV_SERVICE_REPLY) {
		action.type = WF_ACT_REPLY_ANSWER;
		action.http_status = event->service->status;
		action.body = g_bytes_ref(event->service->body);
		fake_core_emit(core, &action);
	}
}

static const struct {
	const char *path;
	const char *request;
} services[] = {
	{"/v1/services/booking/book", "POST /call/book HTTP/1.1"},
	{"/v1/services/booking", "POST /call/booking HTTP/1.1"},
};

/* Guards against a call sent without its operation or idempotency key. */
START_TEST(service_call_names_its_operation)
{
	struct fixture fixture;

	open_fixture(&fixture, route_service);
	post(&fixture, services[_i].path, "{}");
	wire_client_await(&fixture.wire, fixture.client, "{\"booked\":1}");
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str, services[_i].request));
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str, "Idempotency-Key: k\r\n"));
	close_fixture(&fixture);
}
END_TEST

/* The bad name is refused without I/O: the reply comes inside the action. */
static void write_bad_then_good(struct fake_core *core,
				const struct wf_event *event)
{
	struct wf_action action = {.type = WF_ACT_STORE_PUT, .op = OP};

	if (event->type == WF_EV_START)
		action.name = g_strdup("no kind");
	else if (event->type == WF_EV_STORE_REPLY &&
		 event->store->result == WF_STORE_REFUSED)
		action.name = g_strdup("lease/a");
	else
		return;
	fake_core_emit(core, &action);
}

static bool has_two_replies(void *user)
{
	return ((struct fake_core *)user)->events[WF_EV_STORE_REPLY] == 2;
}

/* Guards against actions lost when an action raises an event inside. */
START_TEST(event_inside_an_action_is_handled)
{
	struct fixture fixture;

	open_fixture(&fixture, write_bad_then_good);
	wire_run_until(&fixture.wire, has_two_replies, fixture.a.core);
	ck_assert_ptr_nonnull(
		strstr(fixture.requests->str, "PUT /v1/objects/lease/a "));
	close_fixture(&fixture);
}
END_TEST

#define TICKS 3

static void ask_for_ticks(struct fake_core *core, const struct wf_event *event)
{
	(void)event;
	core->wakeup =
		core->events[WF_EV_TICK] < TICKS ? core->now + 20 : CLK_NEVER;
}

static bool has_ticks(void *user)
{
	return ((struct fake_core *)user)->events[WF_EV_TICK] == TICKS;
}

/* Guards against missed wake-ups of the core. */
START_TEST(core_is_woken_at_its_time)
{
	struct fixture fixture;
	struct drv_clock clock;
	clk_ms before;

	drv_clock_start(&clock);
	before = drv_clock_now(&clock);
	open_fixture(&fixture, ask_for_ticks);
	wire_run_until(&fixture.wire, has_ticks, fixture.a.core);
	ck_assert_int_ge(fixture.a.core->now - before, 20 * TICKS - TICKS);
	close_fixture(&fixture);
}
END_TEST

static void take_message(struct fake_core *core, const struct wf_event *event)
{
	struct fixture *fixture = core->user;

	if (event->type != WF_EV_PEER)
		return;
	g_free(fixture->text);
	fixture->text = g_strdup_printf(
		"%s %u %.*s", event->peer->from, event->peer->kind,
		(int)event->peer->body_len, (const char *)event->peer->body);
}

static bool has_text(void *user)
{
	return ((struct fixture *)user)->text != NULL;
}

static void send_on_start(struct fake_core *core, const struct wf_event *event)
{
	struct fixture *fixture = core->user;
	struct wf_action action = {.type = WF_ACT_PEER_SEND, .kind = 21};

	if (event->type != WF_EV_START)
		return;
	action.target = g_strdup("a");
	action.address = g_strdup(drv_peer_address(fixture->a.driver));
	action.body = g_bytes_new("revision 7", 10);
	fake_core_emit(core, &action);
}

/* Guards against peer messages that don't reach the core. */
START_TEST(message_goes_from_core_to_core)
{
	struct fixture fixture;

	open_fixture(&fixture, take_message);
	open_instance(&fixture, &fixture.b, "b", send_on_start);
	wire_run_until(&fixture.wire, has_text, &fixture);
	ck_assert_str_eq(fixture.text, "b 21 revision 7");
	close_fixture(&fixture);
}
END_TEST

/* Completes the open call, then requests exit. */
static void complete_on_drain(struct fake_core *core,
			      const struct wf_event *event)
{
	struct wf_action end = {.type = WF_ACT_REPLY_END,
				.call_id = core->last_call};
	struct wf_action exit = {.type = WF_ACT_EXIT};
	struct wf_action ready = {.type = WF_ACT_READY};

	if (event->type != WF_EV_DRAIN)
		return;
	end.text = g_strdup("stop");
	fake_core_emit(core, &ready);
	fake_core_emit(core, &end);
	fake_core_emit(core, &exit);
}

static bool has_call(void *user)
{
	return ((struct fake_core *)user)->events[WF_EV_CALL] > 0;
}

static bool driver_is_done(void *user)
{
	return drv_is_done(user);
}

/* Guards against a shutdown that truncates a response. */
START_TEST(exit_waits_for_the_last_answer)
{
	struct fixture fixture;

	open_fixture(&fixture, complete_on_drain);
	post(&fixture, "/v1/chat/completions", CHAT);
	wire_run_until(&fixture.wire, has_call, fixture.a.core);
	drv_drain(fixture.a.driver);
	wire_run_until(&fixture.wire, driver_is_done, fixture.a.driver);
	close_instance(&fixture.a);
	wire_client_await(&fixture.wire, fixture.client, "data: [DONE]\n\n");
	ck_assert_ptr_nonnull(strstr(fixture.a.log->str, "\"not ready\""));
	close_fixture(&fixture);
}
END_TEST

static void exit_on_drain(struct fake_core *core, const struct wf_event *event)
{
	struct wf_action exit = {.type = WF_ACT_EXIT};

	if (event->type == WF_EV_DRAIN)
		fake_core_emit(core, &exit);
}

/* Guards against calls that the end of a stop cuts off, or answers as not run
 * although they may have run. */
START_TEST(calls_open_at_the_exit_are_answered)
{
	struct fixture fixture;

	open_fixture(&fixture, exit_on_drain);
	post(&fixture, "/v1/services/booking/book", "{}");
	wire_run_until(&fixture.wire, has_call, fixture.a.core);
	drv_drain(fixture.a.driver);
	wire_client_await(&fixture.wire, fixture.client, "HTTP/1.1 504 ");
	wire_client_await(&fixture.wire, fixture.client, "\"outcome_unknown\"");
	wire_run_until(&fixture.wire, driver_is_done, fixture.a.driver);
	ck_assert_uint_eq(fixture.a.core->events[WF_EV_CALLER_GONE], 1);
	close_instance(&fixture.a);
	close_fixture(&fixture);
}
END_TEST

/* Guards against an instance that starts without its listeners. */
START_TEST(taken_address_refuses_the_start)
{
	struct fixture fixture;
	Wf__Settings *settings;
	struct drv_config config = {.incarnation = 6};
	GError *error = NULL;

	open_fixture(&fixture, NULL);
	settings = make_settings(&fixture, &fixture.b, "b");
	free(settings->caller_address);
	settings->caller_address = strdup(drv_caller_address(fixture.a.driver));
	config.loop = &fixture.wire.loop;
	config.settings = settings;
	config.core = &fixture.a.core->base;
	config.counters = fixture.a.counters;
	ck_assert_ptr_null(drv_new(&config, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_IO));
	g_error_free(error);
	sch_settings_free(settings);
	close_fixture(&fixture);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("drv_wire");

	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase, stream_goes_from_engine_to_caller);
	tcase_add_loop_test(tcase, service_call_names_its_operation, 0,
			    G_N_ELEMENTS(services));
	tcase_add_test(tcase, event_inside_an_action_is_handled);
	tcase_add_test(tcase, core_is_woken_at_its_time);
	tcase_add_test(tcase, message_goes_from_core_to_core);
	tcase_add_test(tcase, exit_waits_for_the_last_answer);
	tcase_add_test(tcase, calls_open_at_the_exit_are_answered);
	tcase_add_test(tcase, taken_address_refuses_the_start);
	return sup_run_case("drv_wire", tcase);
}
