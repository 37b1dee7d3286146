/* The HTTP server over real sockets: callers, operators, faults, bounds. */

#include <check.h>
#include <curl/curl.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/srv_server.h"
#include "support/runner.h"
#include "support/wire/wire.h"

#define BODY_LIMIT 2048
#define UNSENT_LIMIT 4096
#define STALL_LIMIT_MS 400
#define CHAT                                                                  \
	"{\"model\":\"m\",\"max_tokens\":7,\"messages\":[{\"role\":\"user\"," \
	"\"content\":\"hi\"}]}"
#define CHAT_STREAM                                                          \
	"{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\"," \
	"\"content\":\"hi\"}]}"
#define AUTH_A "Authorization: Bearer secret-a\r\n"
#define AUTH_B "Authorization: Bearer secret-b\r\n"

struct fixture;

typedef void (*on_call_script)(struct fixture *fixture,
			       const struct wf_call *call);

struct fixture {
	struct srv_sink sink;
	struct wire_loop wire;
	struct ctr_set *counters;
	struct srv_server *server;
	struct wire_client *client;
	on_call_script script;
	GString *calls; /* one line per call */
	unsigned n_calls;
	unsigned n_gone;
	uint64_t last_call;
	uint64_t last_gone;
	bool ready;
};

static void on_call(struct srv_sink *sink, struct wf_call *call)
{
	struct fixture *fixture = (struct fixture *)sink;
	gsize len = 0;
	const char *body = g_bytes_get_data(call->body, &len);

	fixture->n_calls++;
	fixture->last_call = call->id;
	g_string_append_printf(fixture->calls,
			       "%d %s %s/%s key=%s %u+%u %d: %.*s\n",
			       (int)call->kind, call->org, call->name,
			       call->operation ? call->operation : "-",
			       call->key ? call->key : "-", call->prompt_tokens,
			       call->max_tokens, (int)call->timeout, (int)len,
			       body ? body : "");
	if (fixture->script)
		fixture->script(fixture, call);
}

static void on_gone(struct srv_sink *sink, uint64_t call_id)
{
	struct fixture *fixture = (struct fixture *)sink;

	fixture->n_gone++;
	fixture->last_gone = call_id;
}

static bool on_is_ready(struct srv_sink *sink)
{
	return ((struct fixture *)sink)->ready;
}

static void on_write_status(struct srv_sink *sink, GString *out)
{
	(void)sink;
	g_string_append(out, "{\"peers\":[]}");
}

static const struct srv_sink_ops sink_ops = {on_call, on_gone, on_is_ready,
					     on_write_status};

static void open_server(struct fixture *fixture, const char *certificate,
			const char *key)
{
	char *a = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "secret-a",
						-1);
	char *b = g_compute_checksum_for_string(G_CHECKSUM_SHA256, "secret-b",
						-1);
	struct srv_token tokens[] = {{"a", a}, {"b", b}};
	struct srv_config config = {
		.loop = &fixture->wire.loop,
		.sink = &fixture->sink,
		.counters = fixture->counters,
		.self = "entry-1",
		.incarnation = 5,
		.caller_address = "127.0.0.1:0",
		.operator_address = "127.0.0.1:0",
		.tokens = tokens,
		.n_tokens = G_N_ELEMENTS(tokens),
		.body_limit = BODY_LIMIT,
		.unsent_limit = UNSENT_LIMIT,
		.stall_limit = STALL_LIMIT_MS,
		.tls_certificate = certificate,
		.tls_key = key,
	};
	GError *error = NULL;

	fixture->server = srv_new(&config, &error);
	ck_assert_msg(fixture->server != NULL, "%s",
		      error ? error->message : "");
	g_free(a);
	g_free(b);
}

static void open_fixture(struct fixture *fixture, on_call_script script)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->sink.ops = &sink_ops;
	wire_open(&fixture->wire);
	fixture->counters = ctr_new();
	fixture->calls = g_string_new(NULL);
	fixture->script = script;
	open_server(fixture, NULL, NULL);
	fixture->client = wire_client_new(&fixture->wire,
					  srv_caller_address(fixture->server));
}

static void close_fixture(struct fixture *fixture)
{
	if (fixture->client)
		wire_client_drop(fixture->client);
	srv_drop(fixture->server);
	wire_close(&fixture->wire);
	g_string_free(fixture->calls, TRUE);
	ctr_drop(fixture->counters);
}

/* Sends a request with a body and its length. */
static void send_request(struct wire_client *client, const char *line,
			 const char *headers, const char *body)
{
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: x\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
				     line, headers, strlen(body), body);

	wire_client_send(client, text);
	g_free(text);
}

static bool has_call(void *user)
{
	return ((struct fixture *)user)->n_calls > 0;
}

static bool has_gone(void *user)
{
	return ((struct fixture *)user)->n_gone > 0;
}

static void reply_token(struct fixture *fixture, const char *text)
{
	struct wf_action action = {.type = WF_ACT_REPLY_TOKEN,
				   .call_id = fixture->last_call};

	action.text = g_strdup(text);
	srv_reply(fixture->server, &action);
	wf_action_clear(&action);
}

static void reply_end(struct fixture *fixture)
{
	struct wf_action action = {.type = WF_ACT_REPLY_END,
				   .call_id = fixture->last_call};

	action.text = g_strdup("stop");
	srv_reply(fixture->server, &action);
	wf_action_clear(&action);
}

static void reply_error(struct fixture *fixture, enum err_code code,
			enum err_run run, clk_ms retry_after)
{
	struct wf_action action = {.type = WF_ACT_REPLY_ERROR,
				   .call_id = fixture->last_call,
				   .error = code,
				   .run = run,
				   .retry_after = retry_after,
				   .http_status = err_http_status(code)};

	action.text = g_strdup("the reason");
	srv_reply(fixture->server, &action);
	wf_action_clear(&action);
}

static void answer_hi_there(struct fixture *fixture, const struct wf_call *call)
{
	(void)call;
	reply_token(fixture, "hi");
	reply_token(fixture, " \"there\"\n");
	reply_end(fixture);
}

static void refuse_overloaded(struct fixture *fixture,
			      const struct wf_call *call)
{
	(void)call;
	reply_error(fixture, ERR_OVERLOADED, ERR_RUN_NOT, 1500);
}

static void fail_after_token(struct fixture *fixture,
			     const struct wf_call *call)
{
	(void)call;
	reply_token(fixture, "hi");
	reply_error(fixture, ERR_TARGET_LOST, ERR_RUN_UNKNOWN, 0);
}

static void give_token(struct fixture *fixture, const struct wf_call *call)
{
	(void)call;
	reply_token(fixture, "hi");
}

static const struct {
	const char *line;
	const char *headers;
	const char *body;
	int status;
	const char *type;
} refused[] = {
	{"POST /v1/chat/completions", "", CHAT, 401, "unauthenticated"},
	{"POST /v1/chat/completions", "Authorization: Bearer x\r\n", CHAT, 401,
	 "unauthenticated"},
	{"POST /v1/chat/completions", "Authorization: Bearer \r\n", CHAT, 401,
	 "unauthenticated"},
	{"POST /v1/chat/completions", "Authorization: Basic secret-a\r\n", CHAT,
	 401, "unauthenticated"},
	{"POST /v1/chat/completions", AUTH_A, "{", 400, "bad_json"},
	{"POST /v1/chat/completions", AUTH_A, "", 400, "bad_json"},
	{"POST /v1/chat/completions", AUTH_A, "[]", 400, "bad_request"},
	{"GET /v1/chat/completions", AUTH_A, "", 405, "bad_request"},
	{"POST /v1/chat/completions", AUTH_A "X-Request-Timeout-Ms: 0\r\n",
	 CHAT, 400, "bad_request"},
	{"POST /v1/chat/completions", AUTH_A "X-Request-Timeout-Ms: -5\r\n",
	 CHAT, 400, "bad_request"},
	{"POST /v1/chat/completions", AUTH_A "X-Request-Timeout-Ms: 1e3\r\n",
	 CHAT, 400, "bad_request"},
	{"POST /v1/services/", AUTH_A, "", 404, "not_found"},
	{"POST /v1/services/a/b/c", AUTH_A, "", 404, "not_found"},
	{"POST /v1/services/a%20b", AUTH_A, "", 404, "not_found"},
	{"POST /v1/services/a", AUTH_A "Idempotency-Key: a b\r\n", "", 400,
	 "bad_key"},
	{"GET /v1/services/a", AUTH_A, "", 405, "bad_request"},
	{"DELETE /v1/requests/entry-1.5.1", AUTH_A, "", 404, "not_found"},
	{"DELETE /v1/requests/nonsense", AUTH_A, "", 404, "not_found"},
	{"POST /v1/requests/entry-1.5.1", AUTH_A, "", 405, "bad_request"},
	{"GET /other", AUTH_A, "", 404, "not_found"},
	{"POST /v1/chat/../chat/completions", AUTH_A, "{", 400, "bad_json"},
};

/* Guards against bad requests accepted, or refused without a type. */
START_TEST(bad_requests_are_refused_with_a_type)
{
	struct fixture fixture;
	char *status;
	char *type;

	open_fixture(&fixture, NULL);
	send_request(fixture.client, refused[_i].line, refused[_i].headers,
		     refused[_i].body);
	wire_client_await(&fixture.wire, fixture.client, "\"run\":\"not_run\"");
	status = g_strdup_printf("HTTP/1.1 %d ", refused[_i].status);
	type = g_strdup_printf("{\"error\":{\"type\":\"%s\",\"message\":",
			       refused[_i].type);
	ck_assert_msg(g_str_has_prefix(fixture.client->received->str, status),
		      "%s", fixture.client->received->str);
	ck_assert_msg(strstr(fixture.client->received->str, type) != NULL, "%s",
		      fixture.client->received->str);
	ck_assert_uint_eq(fixture.n_calls, 0);
	g_free(status);
	g_free(type);
	close_fixture(&fixture);
}
END_TEST

static const struct {
	const char *text;
	const char *expected;
} malformed[] = {
	{"BOOM\r\n\r\n", "HTTP/1.1 400 "},
	{"GET / HTTP/1.1\r\nno colon\r\n\r\n", "HTTP/1.1 400 "},
	{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	 "Content-Length: x\r\n\r\n",
	 "\"type\":\"bad_request\""},
	{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	 "Content-Length: 4096\r\n\r\n",
	 "\"type\":\"too_large\""},
	{"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	 "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	 "\"type\":\"bad_request\""},
};

/* Guards against malformed HTTP that reaches the core or hangs. */
START_TEST(malformed_http_is_refused)
{
	struct fixture fixture;

	open_fixture(&fixture, NULL);
	wire_client_send(fixture.client, malformed[_i].text);
	wire_client_await_close(&fixture.wire, fixture.client);
	ck_assert_msg(strstr(fixture.client->received->str,
			     malformed[_i].expected) != NULL,
		      "%s", fixture.client->received->str);
	ck_assert_uint_eq(fixture.n_calls, 0);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a stream that differs from the OpenAI chunk format. */
START_TEST(stream_has_the_chunk_format)
{
	struct fixture fixture;
	const char *text;

	open_fixture(&fixture, answer_hi_there);
	send_request(fixture.client, "POST /v1/chat/completions",
		     AUTH_A "X-Request-Timeout-Ms: 2500\r\n", CHAT_STREAM);
	wire_client_await(&fixture.wire, fixture.client, "data: [DONE]\n\n");
	text = fixture.client->received->str;
	ck_assert_str_eq(fixture.calls->str,
			 "0 a m/- key=- 5+512 2500: user: hi\nassistant: \n");
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 OK\r\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "content-type: text/event-stream\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "x-request-id: entry-1.5.1\r\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "data: {\"id\":\"chatcmpl-entry-1.5.1\",\"object\""
			     ":\"chat.completion.chunk\",\"created\":"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"choices\":[{\"index\":0,\"delta\":{\"role\":"
			     "\"assistant\",\"content\":\"hi\"},"
			     "\"finish_reason\":null}]}\n\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"delta\":{\"content\":\" \\\"there\\\"\\n\"}"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"delta\":{},\"finish_reason\":\"stop\""));
	ck_assert_uint_eq(fixture.n_gone, 0);
	ck_assert_uint_eq(srv_count_calls(fixture.server), 0);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a document that loses text or closes the connection. */
START_TEST(whole_answer_and_the_next_request_on_one_connection)
{
	struct fixture fixture;

	open_fixture(&fixture, answer_hi_there);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A, CHAT);
	wire_client_await(&fixture.wire, fixture.client, "\"total_tokens\":7}");
	ck_assert_ptr_nonnull(strstr(fixture.client->received->str,
				     "\"content\":\"hi \\\"there\\\"\\n\"}"));
	g_string_truncate(fixture.client->received, 0);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_B, CHAT);
	wire_client_await(&fixture.wire, fixture.client, "\"total_tokens\":7}");
	ck_assert_ptr_nonnull(strstr(fixture.client->received->str,
				     "x-request-id: entry-1.5.2\r\n"));
	close_fixture(&fixture);
}
END_TEST

static void answer_service(struct fixture *fixture, const struct wf_call *call)
{
	struct wf_action action = {.type = WF_ACT_REPLY_ANSWER,
				   .call_id = call->id,
				   .http_status = 201};

	action.body = g_bytes_new("{\"booked\":1}", 12);
	srv_reply(fixture->server, &action);
	wf_action_clear(&action);
}

/* Guards against a service call that loses its key, operation or answer. */
START_TEST(service_call_is_passed_on_unchanged)
{
	struct fixture fixture;

	open_fixture(&fixture, answer_service);
	send_request(fixture.client, "POST /v1/services/booking/book",
		     AUTH_A "Idempotency-Key: 17-x\r\n", "{\"pitch\":4}");
	wire_client_await(&fixture.wire, fixture.client, "{\"booked\":1}");
	ck_assert_str_eq(fixture.calls->str,
			 "1 a booking/book key=17-x 0+0 0: {\"pitch\":4}\n");
	ck_assert_ptr_nonnull(
		strstr(fixture.client->received->str, "HTTP/1.1 201 "));
	close_fixture(&fixture);
}
END_TEST

/* Guards against fields behind a body that count as fields of that request or
 * of the next one: a key would make two bookings one. */
START_TEST(trailer_fields_are_of_no_call)
{
	struct fixture fixture;

	open_fixture(&fixture, answer_service);
	wire_client_send(fixture.client,
			 "POST /v1/services/booking/book HTTP/1.1\r\n"
			 "Host: x\r\n" AUTH_A
			 "Transfer-Encoding: chunked\r\n\r\n"
			 "2\r\n{}\r\n0\r\nIdempotency-Key: 17-x\r\n\r\n");
	wire_client_await(&fixture.wire, fixture.client, "{\"booked\":1}");
	g_string_truncate(fixture.client->received, 0);
	send_request(fixture.client, "POST /v1/services/booking/book", AUTH_A,
		     "{}");
	wire_client_await(&fixture.wire, fixture.client, "{\"booked\":1}");
	ck_assert_str_eq(fixture.calls->str,
			 "1 a booking/book key=- 0+0 0: {}\n"
			 "1 a booking/book key=- 0+0 0: {}\n");
	close_fixture(&fixture);
}
END_TEST

/* Guards against a refusal without error type, run state or Retry-After. */
START_TEST(refusal_states_type_run_and_retry_time)
{
	struct fixture fixture;
	const char *text;

	open_fixture(&fixture, refuse_overloaded);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A,
		     CHAT_STREAM);
	wire_client_await(&fixture.wire, fixture.client, "}}");
	text = fixture.client->received->str;
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 503 "));
	ck_assert_ptr_nonnull(strstr(text, "retry-after: 2\r\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "{\"error\":{\"type\":\"overloaded\",\"message\":"
			     "\"the reason\",\"run\":\"not_run\"}}"));
	close_fixture(&fixture);
}
END_TEST

/* Guards against a failed stream that ends as if it were complete. */
START_TEST(error_in_a_stream_is_an_event_and_closes)
{
	struct fixture fixture;
	const char *text;

	open_fixture(&fixture, fail_after_token);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A,
		     CHAT_STREAM);
	wire_client_await_close(&fixture.wire, fixture.client);
	text = fixture.client->received->str;
	ck_assert_ptr_nonnull(
		strstr(text, "event: error\ndata: {\"error\":{\"type\":"
			     "\"target_lost\",\"message\":\"the reason\","
			     "\"run\":\"unknown\"}}\n\n"));
	ck_assert_ptr_null(strstr(text, "[DONE]"));
	ck_assert_uint_eq(fixture.n_gone, 0);
	close_fixture(&fixture);
}
END_TEST

/* Guards against work that goes on for a caller who hung up unanswered. */
START_TEST(hang_up_before_the_answer_is_reported)
{
	struct fixture fixture;

	open_fixture(&fixture, NULL);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A, CHAT);
	wire_run_until(&fixture.wire, has_call, &fixture);
	wire_client_drop(fixture.client);
	fixture.client = NULL;
	wire_run_until(&fixture.wire, has_gone, &fixture);
	ck_assert(fixture.last_gone == fixture.last_call);
	ck_assert_uint_eq(fixture.n_gone, 1);
	ck_assert_uint_eq(srv_count_calls(fixture.server), 0);
	/* Replies after the disconnect are ignored. */
	reply_token(&fixture, "late");
	reply_end(&fixture);
	close_fixture(&fixture);
}
END_TEST

/* Guards against work that goes on for a caller who left its stream. */
START_TEST(hang_up_during_a_stream_is_reported)
{
	struct fixture fixture;

	open_fixture(&fixture, give_token);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A,
		     CHAT_STREAM);
	wire_client_await(&fixture.wire, fixture.client, "\"hi\"");
	wire_client_drop(fixture.client);
	fixture.client = NULL;
	wire_run_until(&fixture.wire, has_gone, &fixture);
	ck_assert_uint_eq(fixture.n_gone, 1);
	reply_token(&fixture, "late");
	close_fixture(&fixture);
}
END_TEST

/* Guards against one organisation cancelling another one's request. */
START_TEST(other_organisation_cannot_cancel)
{
	struct fixture fixture;
	struct wire_client *other;

	open_fixture(&fixture, NULL);
	other = wire_client_new(&fixture.wire,
				srv_caller_address(fixture.server));
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A, CHAT);
	wire_run_until(&fixture.wire, has_call, &fixture);
	send_request(other, "DELETE /v1/requests/entry-1.5.1", AUTH_B, "");
	wire_client_await(&fixture.wire, other, "\"not_found\"");
	ck_assert_uint_eq(fixture.n_gone, 0);
	send_request(other, "DELETE /v1/requests/entry-1.5.1", AUTH_A, "");
	wire_client_await(&fixture.wire, other, "{\"cancelled\":true}");
	ck_assert_uint_eq(fixture.n_gone, 1);
	wire_client_await(&fixture.wire, fixture.client,
			  "\"type\":\"cancelled\"");
	wire_client_drop(other);
	close_fixture(&fixture);
}
END_TEST

#define BIG_TOKEN_BYTES 1000

/*
 * Guards against a slow reader whose unsent events grow without bound and whose
 * call holds its engine slot. The kernel's buffers take some megabytes first.
 */
START_TEST(slow_reader_is_bounded_and_cancelled)
{
	struct fixture fixture;
	char token[BIG_TOKEN_BYTES + 1];
	unsigned n = 0;

	memset(token, 'x', BIG_TOKEN_BYTES);
	token[BIG_TOKEN_BYTES] = '\0';
	open_fixture(&fixture, give_token);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A,
		     CHAT_STREAM);
	wire_client_await(&fixture.wire, fixture.client, "\"hi\"");
	wire_client_pause(fixture.client);
	while (!fixture.n_gone && n < 100000) {
		reply_token(&fixture, token);
		uv_run(&fixture.wire.loop, UV_RUN_NOWAIT);
		n++;
	}
	ck_assert_uint_eq(fixture.n_gone, 1);
	ck_assert_int_eq(ctr_get(fixture.counters, "wf_slow_callers_total"), 1);
	ck_assert_uint_eq(srv_count_calls(fixture.server), 0);
	wire_client_resume(fixture.client);
	wire_client_await_close(&fixture.wire, fixture.client);
	ck_assert_ptr_nonnull(strstr(fixture.client->received->str,
				     "event: error\ndata: {\"error\":{\"type\":"
				     "\"cancelled\""));
	close_fixture(&fixture);
}
END_TEST

static bool has_nothing_open(void *user)
{
	return !srv_count_undelivered(((struct fixture *)user)->server);
}

/* Guards against a response kept in memory for a reader that stopped. */
START_TEST(stalled_reader_is_disconnected)
{
	struct fixture fixture;
	char token[BIG_TOKEN_BYTES + 1];

	memset(token, 'x', BIG_TOKEN_BYTES);
	token[BIG_TOKEN_BYTES] = '\0';
	open_fixture(&fixture, give_token);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A,
		     CHAT_STREAM);
	wire_client_await(&fixture.wire, fixture.client, "\"hi\"");
	wire_client_pause(fixture.client);
	while (!fixture.n_gone) {
		reply_token(&fixture, token);
		uv_run(&fixture.wire.loop, UV_RUN_NOWAIT);
	}
	ck_assert_uint_eq(srv_count_undelivered(fixture.server), 1);
	wire_run_until(&fixture.wire, has_nothing_open, &fixture);
	close_fixture(&fixture);
}
END_TEST

/* Several steps of the exit, in which handshakes end. */
#define STOPPING_MS 30

static bool stops_listening(void *user)
{
	return srv_stop_listening(((struct fixture *)user)->server);
}

/*
 * Guards against connections that are established when the listener closes, but
 * not accepted: the system resets them, and their callers can't tell whether
 * the request ran.
 */
START_TEST(no_connection_is_established_while_the_listener_closes)
{
	struct fixture fixture;
	struct wire_client *waiting;
	struct wire_client *late;

	open_fixture(&fixture, give_token);
	waiting = wire_client_new(&fixture.wire,
				  srv_caller_address(fixture.server));
	ck_assert(!srv_stop_listening(fixture.server));
	late = wire_client_new(&fixture.wire,
			       srv_caller_address(fixture.server));
	wire_run_for(&fixture.wire, STOPPING_MS);
	ck_assert(waiting->connected);
	ck_assert(!late->connected);
	wire_run_until(&fixture.wire, stops_listening, &fixture);
	ck_assert(!late->connected);
	wire_client_await_close(&fixture.wire, late);
	ck_assert(!late->connected);
	ck_assert(!waiting->closed);
	wire_client_drop(waiting);
	wire_client_drop(late);
	close_fixture(&fixture);
}
END_TEST

/* Guards against operators' pages on the callers' listener or the reverse. */
START_TEST(operators_have_their_own_listener)
{
	struct fixture fixture;
	struct wire_client *client;

	open_fixture(&fixture, NULL);
	client = wire_client_new(&fixture.wire,
				 srv_operator_address(fixture.server));
	send_request(client, "GET /livez", "", "");
	wire_client_await(&fixture.wire, client, "{\"live\":true}");
	send_request(client, "GET /readyz", "", "");
	wire_client_await(&fixture.wire, client, "\"not_ready\"");
	fixture.ready = true;
	send_request(client, "GET /readyz", "", "");
	wire_client_await(&fixture.wire, client, "{\"ready\":true}");
	send_request(client, "GET /metrics", "", "");
	wire_client_await(&fixture.wire, client, "\nwf_calls_open 0\n");
	send_request(client, "GET /status", "", "");
	wire_client_await(&fixture.wire, client, "{\"peers\":[]}");
	send_request(client, "POST /status", "", "");
	wire_client_await(&fixture.wire, client, "HTTP/1.1 405 ");
	send_request(client, "POST /v1/chat/completions", AUTH_A, CHAT);
	wire_client_await(&fixture.wire, client, "HTTP/1.1 404 ");
	send_request(fixture.client, "GET /metrics", AUTH_A, "");
	wire_client_await(&fixture.wire, fixture.client, "HTTP/1.1 404 ");
	wire_client_drop(client);
	close_fixture(&fixture);
}
END_TEST

/* Guards against open connections or reported callers after srv_drop(). */
START_TEST(dropped_server_closes_open_connections)
{
	struct fixture fixture;

	open_fixture(&fixture, give_token);
	send_request(fixture.client, "POST /v1/chat/completions", AUTH_A,
		     CHAT_STREAM);
	wire_client_await(&fixture.wire, fixture.client, "\"hi\"");
	close_fixture(&fixture);
	ck_assert_uint_eq(fixture.n_gone, 0);
}
END_TEST

/* Guards against an address in use that is not reported. */
START_TEST(address_in_use_is_an_io_error)
{
	struct fixture fixture;
	struct srv_config config = {.caller_address = "127.0.0.1:0"};
	GError *error = NULL;

	open_fixture(&fixture, NULL);
	config.loop = &fixture.wire.loop;
	config.counters = fixture.counters;
	config.self = "entry-2";
	config.operator_address = srv_caller_address(fixture.server);
	ck_assert_ptr_null(srv_new(&config, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_IO));
	g_error_free(error);
	close_fixture(&fixture);
}
END_TEST

/* HTTP/2 and TLS: libcurl on a thread of libuv's pool. */

struct curl_job {
	uv_work_t work;
	char *url;
	const char *body;
	long http_version;
	long abort_after; /* bytes; 0: never */
	GString *received;
	long status;
	long used_version;
	CURLcode code;
	bool done;
};

static size_t receive_bytes(char *data, size_t size, size_t n, void *user)
{
	struct curl_job *job = user;

	g_string_append_len(job->received, data, (gssize)(size * n));
	if (job->abort_after && (long)job->received->len >= job->abort_after)
		return 0;
	return size * n;
}

static void perform(uv_work_t *work)
{
	struct curl_job *job = work->data;
	CURL *easy = curl_easy_init();
	struct curl_slist *headers =
		curl_slist_append(NULL, "Authorization: Bearer secret-a");

	curl_easy_setopt(easy, CURLOPT_URL, job->url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 8000L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, job->http_version);
	curl_easy_setopt(easy, CURLOPT_SSL_VERIFYPEER, 0L);
	curl_easy_setopt(easy, CURLOPT_SSL_VERIFYHOST, 0L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, job->body);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, job);
	job->code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &job->status);
	curl_easy_getinfo(easy, CURLINFO_HTTP_VERSION, &job->used_version);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
}

static void on_performed(uv_work_t *work, int status)
{
	(void)status;
	((struct curl_job *)work->data)->done = true;
}

static bool is_done(void *user)
{
	return ((struct curl_job *)user)->done;
}

static void start_job(struct fixture *fixture, struct curl_job *job,
		      const char *scheme, const char *body)
{
	memset(job, 0, sizeof(*job));
	job->url = g_strdup_printf("%s://%s/v1/chat/completions", scheme,
				   srv_caller_address(fixture->server));
	job->body = body;
	job->received = g_string_new(NULL);
	job->work.data = job;
	job->http_version = (long)CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE;
}

static void run_job(struct fixture *fixture, struct curl_job *job)
{
	uv_queue_work(&fixture->wire.loop, &job->work, perform, on_performed);
	wire_run_until(&fixture->wire, is_done, job);
}

static void clear_job(struct curl_job *job)
{
	g_string_free(job->received, TRUE);
	g_free(job->url);
}

/* Guards against HTTP/2 callers that get another answer than HTTP/1 ones. */
START_TEST(http2_streams_like_http1)
{
	struct fixture fixture;
	struct curl_job job;

	open_fixture(&fixture, answer_hi_there);
	start_job(&fixture, &job, "http", CHAT_STREAM);
	run_job(&fixture, &job);
	ck_assert_int_eq(job.code, CURLE_OK);
	ck_assert_int_eq(job.status, 200);
	ck_assert_int_eq(job.used_version, CURL_HTTP_VERSION_2_0);
	ck_assert_ptr_nonnull(strstr(job.received->str, "data: [DONE]\n\n"));
	clear_job(&job);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a typed refusal that HTTP/2 callers can't read. */
START_TEST(http2_refusals_are_typed)
{
	struct fixture fixture;
	struct curl_job job;

	open_fixture(&fixture, refuse_overloaded);
	start_job(&fixture, &job, "http", CHAT);
	run_job(&fixture, &job);
	ck_assert_int_eq(job.status, 503);
	ck_assert_ptr_nonnull(strstr(job.received->str, "\"overloaded\""));
	clear_job(&job);
	close_fixture(&fixture);
}
END_TEST

static void end_calls(struct fixture *fixture, const struct wf_call *call)
{
	(void)call;
	srv_end_calls(fixture->server);
}

/* Guards against an HTTP/2 caller without an answer at the end of a stop. */
START_TEST(http2_calls_open_at_the_exit_are_answered)
{
	struct fixture fixture;
	struct curl_job job;

	open_fixture(&fixture, end_calls);
	start_job(&fixture, &job, "http", CHAT);
	run_job(&fixture, &job);
	ck_assert_int_eq(job.code, CURLE_OK);
	ck_assert_int_eq(job.status, 504);
	ck_assert_ptr_nonnull(strstr(job.received->str, "\"outcome_unknown\""));
	ck_assert_uint_eq(fixture.n_gone, 1);
	clear_job(&job);
	close_fixture(&fixture);
}
END_TEST

/* Guards against an HTTP/2 disconnect that goes unnoticed. */
START_TEST(http2_disconnect_is_reported)
{
	struct fixture fixture;
	struct curl_job job;

	open_fixture(&fixture, give_token);
	start_job(&fixture, &job, "http", CHAT_STREAM);
	job.abort_after = 1;
	run_job(&fixture, &job);
	wire_run_until(&fixture.wire, has_gone, &fixture);
	ck_assert(fixture.last_gone == fixture.last_call);
	clear_job(&job);
	close_fixture(&fixture);
}
END_TEST

/* Appends a frame of HTTP/2 on stream 1, or 0 for settings (type 4). */
static void append_frame(GByteArray *out, guint8 type, guint8 flags,
			 const void *payload, size_t len)
{
	guint8 head[9] = {0, (guint8)(len >> 8), (guint8)len, type, flags};

	head[8] = type != 4;
	g_byte_array_append(out, head, sizeof(head));
	g_byte_array_append(out, payload, (guint)len);
}

/* Headers without Huffman coding: indexed and literal fields. */
#define HTTP2_HEADERS                  \
	"\x83\x86"                     \
	"\x01\x01x"                    \
	"\x04\x14/v1/chat/completions" \
	"\x0f\x08\x0f"                 \
	"Bearer secret-a"

/* Sends an HTTP/2 request with an initial window of 0 for the response. */
static void send_without_window(struct wire_client *client)
{
	static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
	static const guint8 settings[] = {0, 4, 0, 0, 0, 0};
	GByteArray *out = g_byte_array_new();

	g_byte_array_append(out, (const guint8 *)preface, strlen(preface));
	append_frame(out, 4, 0, settings, sizeof(settings));
	append_frame(out, 1, 4, HTTP2_HEADERS, strlen(HTTP2_HEADERS));
	append_frame(out, 0, 1, CHAT_STREAM, strlen(CHAT_STREAM));
	wire_client_send_bytes(client, out->data, out->len);
	g_byte_array_unref(out);
}

/* Guards against unbounded memory for an HTTP/2 caller with window 0. */
START_TEST(http2_caller_without_window_is_disconnected)
{
	struct fixture fixture;
	unsigned n = 0;

	open_fixture(&fixture, give_token);
	send_without_window(fixture.client);
	wire_run_until(&fixture.wire, has_call, &fixture);
	while (!fixture.n_gone && n < 1000) {
		reply_token(&fixture, "0123456789");
		uv_run(&fixture.wire.loop, UV_RUN_NOWAIT);
		n++;
	}
	ck_assert_uint_eq(fixture.n_gone, 1);
	ck_assert_uint_lt(n, 1000);
	ck_assert_uint_eq(srv_count_undelivered(fixture.server), 1);
	wire_run_until(&fixture.wire, has_nothing_open, &fixture);
	close_fixture(&fixture);
}
END_TEST

static EVP_PKEY *write_key(const char *path)
{
	EVP_PKEY *key = EVP_EC_gen("P-256");
	FILE *file = fopen(path, "we");

	PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL);
	fclose(file);
	return key;
}

static void write_certificate(const char *path, EVP_PKEY *key)
{
	X509 *certificate = X509_new();
	X509_NAME *name = X509_get_subject_name(certificate);
	FILE *file = fopen(path, "we");

	X509_set_version(certificate, 2);
	ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
	X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
	X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
	X509_set_pubkey(certificate, key);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
				   (const unsigned char *)"localhost", -1, -1,
				   0);
	X509_set_issuer_name(certificate, name);
	X509_sign(certificate, key, EVP_sha256());
	PEM_write_X509(file, certificate);
	fclose(file);
	X509_free(certificate);
}

/* Guards against TLS callers without HTTP/2, or without any answer. */
START_TEST(tls_callers_get_http2)
{
	struct fixture fixture;
	struct curl_job job;
	char folder[] = "/tmp/wagtailferry-XXXXXX";
	char *certificate;
	char *key;
	EVP_PKEY *pair;

	ck_assert_ptr_nonnull(mkdtemp(folder));
	certificate = g_build_filename(folder, "certificate.pem", NULL);
	key = g_build_filename(folder, "key.pem", NULL);
	pair = write_key(key);
	write_certificate(certificate, pair);
	open_fixture(&fixture, answer_hi_there);
	wire_client_drop(fixture.client);
	fixture.client = NULL;
	srv_drop(fixture.server);
	open_server(&fixture, certificate, key);
	start_job(&fixture, &job, "https", CHAT_STREAM);
	job.http_version = (long)CURL_HTTP_VERSION_2TLS;
	run_job(&fixture, &job);
	ck_assert_int_eq(job.code, CURLE_OK);
	ck_assert_int_eq(job.used_version, CURL_HTTP_VERSION_2_0);
	ck_assert_ptr_nonnull(strstr(job.received->str, "data: [DONE]\n\n"));
	clear_job(&job);
	close_fixture(&fixture);
	EVP_PKEY_free(pair);
	unlink(certificate);
	unlink(key);
	rmdir(folder);
	g_free(certificate);
	g_free(key);
}
END_TEST

/* Guards against unusable TLS files that are not reported. */
START_TEST(unusable_tls_files_are_bad_settings)
{
	struct fixture fixture;
	struct srv_config config = {.caller_address = "127.0.0.1:0",
				    .operator_address = "127.0.0.1:0",
				    .tls_certificate = "/nonexistent.pem",
				    .tls_key = "/nonexistent.pem"};
	GError *error = NULL;

	open_fixture(&fixture, NULL);
	config.loop = &fixture.wire.loop;
	config.counters = fixture.counters;
	config.self = "entry-2";
	ck_assert_ptr_null(srv_new(&config, &error));
	ck_assert(g_error_matches(error, ERR_DOMAIN, ERR_BAD_SETTINGS));
	g_error_free(error);
	close_fixture(&fixture);
}
END_TEST

static void add_tests(TCase *tcase)
{
	tcase_add_loop_test(tcase, bad_requests_are_refused_with_a_type, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_loop_test(tcase, malformed_http_is_refused, 0,
			    G_N_ELEMENTS(malformed));
	tcase_add_test(tcase, stream_has_the_chunk_format);
	tcase_add_test(tcase,
		       whole_answer_and_the_next_request_on_one_connection);
	tcase_add_test(tcase, service_call_is_passed_on_unchanged);
	tcase_add_test(tcase, trailer_fields_are_of_no_call);
	tcase_add_test(tcase, refusal_states_type_run_and_retry_time);
	tcase_add_test(tcase, error_in_a_stream_is_an_event_and_closes);
	tcase_add_test(tcase, hang_up_before_the_answer_is_reported);
	tcase_add_test(tcase, hang_up_during_a_stream_is_reported);
	tcase_add_test(tcase, other_organisation_cannot_cancel);
	tcase_add_test(tcase, slow_reader_is_bounded_and_cancelled);
	tcase_add_test(tcase, stalled_reader_is_disconnected);
	tcase_add_test(tcase, operators_have_their_own_listener);
	tcase_add_test(tcase, dropped_server_closes_open_connections);
	tcase_add_test(tcase, address_in_use_is_an_io_error);
	tcase_add_test(tcase, http2_streams_like_http1);
	tcase_add_test(tcase, http2_refusals_are_typed);
	tcase_add_test(tcase, http2_calls_open_at_the_exit_are_answered);
	tcase_add_test(tcase, http2_disconnect_is_reported);
	tcase_add_test(tcase, http2_caller_without_window_is_disconnected);
	tcase_add_test(tcase,
		       no_connection_is_established_while_the_listener_closes);
	tcase_add_test(tcase, tls_callers_get_http2);
	tcase_add_test(tcase, unusable_tls_files_are_bad_settings);
}

int main(void)
{
	TCase *tcase = tcase_create("srv_wire");

	tcase_set_timeout(tcase, 30);
	add_tests(tcase);
	return sup_run_case("srv_wire", tcase);
}
