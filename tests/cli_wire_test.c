/* The HTTP client against servers with injected faults. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/cli_http.h"
#include "support/answers.h"
#include "support/runner.h"
#include "support/wire/wire.h"

#define TIMEOUT_MS 300

struct probe {
	struct cli_handler handler;
	struct cli_result result;
	GString *data;
	unsigned done;
	unsigned dropped;
	tbl_handle handle;
	struct cli_client *client;
	bool refuse_data;
	bool cancel_in_data;
};

static bool on_data(struct cli_handler *handler, const char *data, size_t len)
{
	struct probe *probe = (struct probe *)handler;

	g_string_append_len(probe->data, data, (gssize)len);
	if (probe->cancel_in_data)
		cli_cancel(probe->client, probe->handle);
	return !probe->refuse_data;
}

static void on_done(struct cli_handler *handler,
		    const struct cli_result *result)
{
	struct probe *probe = (struct probe *)handler;
	gsize len = 0;
	const char *body = NULL;

	probe->done++;
	probe->result = *result;
	if (result->body)
		body = g_bytes_get_data(result->body, &len);
	if (body)
		g_string_append_len(probe->data, body, (gssize)len);
}

static void on_drop(struct cli_handler *handler)
{
	((struct probe *)handler)->dropped++;
}

static const struct cli_handler_ops whole_ops = {NULL, on_done, on_drop};
static const struct cli_handler_ops stream_ops = {on_data, on_done, on_drop};

static void setup_probe(struct probe *probe, const struct cli_handler_ops *ops)
{
	memset(probe, 0, sizeof(*probe));
	probe->handler.ops = ops;
	probe->data = g_string_new(NULL);
}

static bool is_dropped(void *user)
{
	return ((struct probe *)user)->dropped > 0;
}

/* A response to send, and whether to close the connection after it. */
struct script {
	const char *answer;
	bool hang_up;
};

static void run_script(struct wire_conn *conn, const char *request, void *user)
{
	const struct script *script = user;

	(void)request;
	if (script->answer)
		wire_send(conn, script->answer);
	if (script->hang_up)
		wire_hang_up(conn);
}

static const struct {
	struct script script;
	bool ok;
	int status;
	enum err_code error;
	const char *data;
} faults[] = {
	/* complete responses */
	{{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false},
	 true,
	 200,
	 0,
	 "hi"},
	{{"HTTP/1.1 204 No\r\n\r\n", false}, true, 204, 0, ""},
	{{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhi\r\n0\r\n\r\n",
	  false},
	 true,
	 200,
	 0,
	 "hi"},
	/* bytes beyond Content-Length are not part of the response */
	{{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi there", true},
	 true,
	 200,
	 0,
	 "hi"},
	{{"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", false},
	 true,
	 500,
	 0,
	 ""},
	/* closed before the head, in the head, the body and a chunk */
	{{NULL, true}, false, 0, ERR_TARGET_LOST, ""},
	{{"HTTP/1.1 200 OK\r\nConte", true}, false, 200, ERR_TARGET_LOST, ""},
	{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true},
	 false,
	 200,
	 ERR_TARGET_LOST,
	 ""},
	{{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi", true},
	 false,
	 200,
	 ERR_TARGET_LOST,
	 ""},
	/* a response that ends only with the connection */
	{{"HTTP/1.1 200 OK\r\n\r\nhi", true}, false, 200, ERR_TARGET_LOST, ""},
	/* time-out before the response and in its body */
	{{NULL, false}, false, 0, ERR_DEADLINE, ""},
	{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", false},
	 false,
	 200,
	 ERR_DEADLINE,
	 ""},
	/* not HTTP, too large, a redirect that is not followed */
	{{"BOOM\r\n\r\n", true}, false, 0, ERR_PROTOCOL, ""},
	{{"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n"
	  "0123456789012345678901234567890123456789012345678901234567890123",
	  false},
	 false,
	 200,
	 ERR_TOO_LARGE,
	 ""},
	{{"HTTP/1.1 302 X\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n", false},
	 true,
	 302,
	 0,
	 ""},
};

/* Guards against a fault reported as a response or as a different fault. */
START_TEST(faults_map_to_exact_results)
{
	struct wire_loop wire;
	struct ctr_set *counters = ctr_new();
	struct cli_client *client;
	struct wire_server *server;
	struct probe probe;
	struct cli_spec spec = {.method = "POST",
				.path = "/a",
				.timeout = TIMEOUT_MS,
				.body_limit = 32};

	wire_open(&wire);
	client = cli_new(&wire.loop, counters);
	server = wire_server_new(&wire, run_script, (void *)&faults[_i].script);
	setup_probe(&probe, &whole_ops);
	spec.address = wire_server_address(server);
	spec.body = g_bytes_new_static("{}", 2);
	cli_start(client, &spec, &probe.handler);
	wire_run_until(&wire, is_dropped, &probe);
	ck_assert_int_eq(probe.result.ok, faults[_i].ok);
	ck_assert_int_eq(probe.result.status, faults[_i].status);
	ck_assert(probe.result.sent);
	if (!faults[_i].ok)
		ck_assert_str_eq(err_name(probe.result.error),
				 err_name(faults[_i].error));
	ck_assert_str_eq(probe.data->str, faults[_i].data);
	ck_assert_uint_eq(probe.done, 1);
	ck_assert_uint_eq(probe.dropped, 1);
	ck_assert_uint_eq(wire_server_requests(server), 1);
	g_bytes_unref(spec.body);
	g_string_free(probe.data, TRUE);
	cli_drop(client);
	wire_server_drop(server);
	wire_close(&wire);
	ctr_drop(counters);
}
END_TEST

struct fixture {
	struct wire_loop wire;
	struct ctr_set *counters;
	struct cli_client *client;
	struct wire_server *server;
	struct probe probe;
	struct cli_spec spec;
};

static void open_fixture(struct fixture *fixture, wire_handler handler,
			 void *user, const struct cli_handler_ops *ops)
{
	memset(fixture, 0, sizeof(*fixture));
	wire_open(&fixture->wire);
	fixture->counters = ctr_new();
	fixture->client = cli_new(&fixture->wire.loop, fixture->counters);
	fixture->server = wire_server_new(&fixture->wire, handler, user);
	setup_probe(&fixture->probe, ops);
	fixture->spec.method = "GET";
	fixture->spec.path = "/a";
	fixture->spec.timeout = 5000;
	fixture->spec.address = wire_server_address(fixture->server);
}

static void start(struct fixture *fixture)
{
	fixture->probe.done = 0;
	fixture->probe.dropped = 0;
	fixture->probe.client = fixture->client;
	fixture->probe.handle = cli_start(fixture->client, &fixture->spec,
					  &fixture->probe.handler);
}

static void run(struct fixture *fixture)
{
	start(fixture);
	wire_run_until(&fixture->wire, is_dropped, &fixture->probe);
}

static void close_fixture(struct fixture *fixture)
{
	cli_drop(fixture->client);
	wire_server_drop(fixture->server);
	wire_close(&fixture->wire);
	g_string_free(fixture->probe.data, TRUE);
	ctr_drop(fixture->counters);
}

/* Guards against a request reported as sent when the connection failed. */
START_TEST(refused_connection_is_reported_as_not_sent)
{
	struct fixture fixture;
	char *address;

	open_fixture(&fixture, run_script, NULL, &whole_ops);
	address = wire_reserve_address(&fixture.wire);
	fixture.spec.address = address;
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert(!fixture.probe.result.sent);
	ck_assert_int_eq(fixture.probe.result.error, ERR_TARGET_FAILED);
	g_free(address);
	close_fixture(&fixture);
}
END_TEST

static void answer_headers(struct wire_conn *conn, const char *request,
			   void *user)
{
	(void)request;
	(void)user;
	wire_answer(conn, 429, "ETag: \"17\"\r\nRetry-After: 3\r\n", "");
}

/* Guards against a lost ETag or Retry-After header. */
START_TEST(headers_are_read)
{
	struct fixture fixture;

	open_fixture(&fixture, answer_headers, NULL, &whole_ops);
	run(&fixture);
	ck_assert_uint_eq(fixture.probe.result.etag, 17);
	ck_assert_int_eq(fixture.probe.result.retry_after, 3 * CLK_SECOND);
	close_fixture(&fixture);
}
END_TEST

static void answer_with_trailer(struct wire_conn *conn, const char *request,
				void *user)
{
	(void)request;
	(void)user;
	wire_send(conn, "HTTP/1.1 200 OK\r\nETag: \"17\"\r\n"
			"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
			"ETag: \"18\"\r\nRetry-After: 3\r\n\r\n");
}

/* Guards against fields behind a body that replace those of the head, such as
 * the revision that a conditional write depends on. */
START_TEST(trailer_fields_are_ignored)
{
	struct fixture fixture;

	open_fixture(&fixture, answer_with_trailer, NULL, &whole_ops);
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	ck_assert_str_eq(fixture.probe.data->str, "hi");
	ck_assert_uint_eq(fixture.probe.result.etag, 17);
	ck_assert_int_eq(fixture.probe.result.retry_after, 0);
	close_fixture(&fixture);
}
END_TEST

/* Heads that break off after a complete line. */
static const char *const broken_heads[] = {
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nETag: \"17\"\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Field: a",
	"HTTP/1.1 204 No Content\r\n",
	"HTTP/1.1 304 Not Modified\r\n",
	"HTTP/1.1 103 E\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
};

static void break_head(struct wire_conn *conn, const char *request, void *user)
{
	(void)request;
	wire_send(conn, *(const char **)user);
	wire_hang_up(conn);
}

/* Guards against a head that breaks off and counts as a whole response without
 * a body. */
START_TEST(broken_head_is_no_response)
{
	const char *head = broken_heads[_i];
	struct fixture fixture;

	open_fixture(&fixture, break_head, &head,
		     _i % 2 ? &whole_ops : &stream_ops);
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert_int_eq(fixture.probe.result.error, ERR_TARGET_LOST);
	close_fixture(&fixture);
}
END_TEST

/* Answers to a stream that have no length. */
static const struct {
	struct script script;
	bool ok;
} unframed[] = {
	/* A stream has an end of its own. */
	{{"HTTP/1.1 200 OK\r\n\r\nevent", true}, true},
	{{"HTTP/1.1 204 X\r\n\r\n", false}, true},
	{{"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}", false}, true},
	/* Refusals that may have lost their end. */
	{{"HTTP/1.1 503 X\r\n\r\n{\"error\":{\"type\":\"over", true}, false},
	{{"HTTP/1.1 409 X\r\n\r\n", true}, false},
	{{"HTTP/1.1 206 X\r\n\r\nevent", true}, false},
};

/* Guards against part of a refusal that counts as a whole one. */
START_TEST(refusal_without_length_is_incomplete)
{
	struct fixture fixture;

	open_fixture(&fixture, run_script, (void *)&unframed[_i].script,
		     &stream_ops);
	run(&fixture);
	ck_assert_int_eq(fixture.probe.result.ok, unframed[_i].ok);
	if (!unframed[_i].ok)
		ck_assert_int_eq(fixture.probe.result.error, ERR_TARGET_LOST);
	close_fixture(&fixture);
}
END_TEST

#define UPLOAD_BYTES (8 << 20)
/* The server answers after its first read of the upload, the fifth, and so on.
 */
#define READ_STEP 4
#define MOMENTS 24

static const char *const early_answers[] = {
	"HTTP/1.1 200 OK\r\n\r\nok",
	"HTTP/1.1 503 X\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
};

struct upload {
	const char *answer;
	unsigned reads_left;
};

static void answer_early(struct wire_conn *conn, const char *request,
			 void *user)
{
	struct upload *upload = user;

	(void)request;
	if (!upload->reads_left || --upload->reads_left)
		return;
	wire_send(conn, upload->answer);
	wire_reset(conn);
}

static void ignore_request(struct wire_conn *conn, const char *request,
			   void *user)
{
	(void)conn;
	(void)request;
	(void)user;
}

/* Guards against part of an answer that counts as a whole one because the
 * reset was reported to a write of the request. */
START_TEST(early_answer_that_is_reset_is_incomplete)
{
	struct upload upload = {
		.answer = early_answers[_i / MOMENTS],
		.reads_left = 1 + READ_STEP * ((unsigned)_i % MOMENTS),
	};
	struct fixture fixture;
	char *body = g_strnfill(UPLOAD_BYTES, 'x');

	open_fixture(&fixture, ignore_request, &upload, &whole_ops);
	wire_server_on_part(fixture.server, answer_early);
	fixture.spec.method = "POST";
	fixture.spec.body = g_bytes_new_take(body, UPLOAD_BYTES);
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert(fixture.probe.result.sent);
	ck_assert_int_ne(fixture.probe.result.error, ERR_DEADLINE);
	g_bytes_unref(fixture.spec.body);
	close_fixture(&fixture);
}
END_TEST

static void send_message(struct wire_conn *conn, const char *request,
			 void *user)
{
	const struct sup_message *message = user;

	(void)request;
	wire_send_bytes(conn, message->bytes, message->len);
}

/* The server keeps the connection open, so that what is not rejected at once
 * ends with the deadline. */
static void expect_protocol_error(const struct sup_message *message,
				  const struct cli_handler_ops *handler_ops)
{
	struct fixture fixture;

	open_fixture(&fixture, send_message, (void *)message, handler_ops);
	fixture.spec.timeout = TIMEOUT_MS;
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert_str_eq(err_name(fixture.probe.result.error),
			 err_name(ERR_PROTOCOL));
	close_fixture(&fixture);
}

/* Guards against a status that does not exist and counts as an answer, or is
 * skipped as an interim response until the deadline. */
START_TEST(bad_status_is_a_protocol_error)
{
	expect_protocol_error(&sup_bad_status.list[_i], &whole_ops);
	expect_protocol_error(&sup_bad_status.list[_i], &stream_ops);
}
END_TEST

/* Guards against the name of a field with a blank or a control byte that counts
 * as an answer, or that ends the head early and becomes a body. */
START_TEST(bad_field_is_a_protocol_error)
{
	expect_protocol_error(&sup_bad_fields.list[_i], &whole_ops);
	expect_protocol_error(&sup_bad_fields.list[_i], &stream_ops);
}
END_TEST

/* Guards against libcurl, which drops what it has read after such a line
 * starts, and takes what follows for the rest of the head. */
START_TEST(line_that_begins_with_nul_is_a_protocol_error)
{
	expect_protocol_error(&sup_nul_lines.list[_i], &whole_ops);
}
END_TEST

static const char binary[] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
			     "\0a\n\0b\0";

/* Sends the answer in two parts; the second one after a turn of the loop. */
struct parts {
	struct wire_conn *conn;
	uv_timer_t timer;
	size_t first;
};

static void send_rest(uv_timer_t *timer)
{
	struct parts *parts = timer->data;

	wire_send_bytes(parts->conn, binary + parts->first,
			sizeof(binary) - 1 - parts->first);
}

static void send_binary(struct wire_conn *conn, const char *request, void *user)
{
	struct parts *parts = user;

	(void)request;
	parts->conn = conn;
	wire_send_bytes(conn, binary, parts->first);
	uv_timer_start(&parts->timer, send_rest, 10, 0);
}

/* Guards against NUL in a body that counts as one in the head. */
START_TEST(body_with_nul_is_complete)
{
	struct parts parts = {.first = (size_t)_i};
	struct fixture fixture;

	open_fixture(&fixture, send_binary, &parts, &whole_ops);
	uv_timer_init(&fixture.wire.loop, &parts.timer);
	parts.timer.data = &parts;
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	ck_assert_uint_eq(fixture.probe.data->len, 6);
	ck_assert_mem_eq(fixture.probe.data->str, "\0a\n\0b\0", 6);
	uv_close((uv_handle_t *)&parts.timer, NULL);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a body that is not the server's because its end or its coding
 * was misread. */
START_TEST(bad_framing_ends_the_request)
{
	struct fixture fixture;

	open_fixture(&fixture, send_message, (void *)&sup_bad_framing.list[_i],
		     &whole_ops);
	fixture.spec.timeout = TIMEOUT_MS;
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert_int_ne(fixture.probe.result.error, ERR_DEADLINE);
	close_fixture(&fixture);
}
END_TEST

START_TEST(rare_answer_is_complete)
{
	const struct sup_message *message = &sup_rare_answers.list[_i];
	struct fixture fixture;

	open_fixture(&fixture, send_message, (void *)message, &whole_ops);
	fixture.spec.timeout = TIMEOUT_MS;
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	ck_assert_int_eq(fixture.probe.result.status, message->status);
	ck_assert_str_eq(fixture.probe.data->str, message->body);
	close_fixture(&fixture);
}
END_TEST

/* What a server repeats without end. */
static const struct {
	const char *start;
	const char *repeated;
} floods[] = {
	{"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Long: ", "value"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	 "5\r\nbytes\r\n"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "2\r\nhi\r\n0\r\n",
	 "X-Field: value\r\n"},
	{"HTTP/1.1 500 X\r\n\r\n", "without end"},
	{"", "no HTTP at all "},
};

#define FLOOD_BYTES (2 << 20)

static void send_flood(struct wire_conn *conn, const char *request, void *user)
{
	int kind = *(int *)user;
	GString *out = g_string_new(floods[kind].start);

	(void)request;
	while (out->len < FLOOD_BYTES)
		g_string_append(out, floods[kind].repeated);
	wire_send(conn, out->str);
	g_string_free(out, TRUE);
}

/* Guards against bytes without end that are kept, or read until the deadline.
 */
START_TEST(flood_ends_the_request)
{
	struct fixture fixture;

	open_fixture(&fixture, send_flood, &_i, &whole_ops);
	fixture.spec.body_limit = FLOOD_BYTES / 4;
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert_int_ne(fixture.probe.result.error, ERR_DEADLINE);
	close_fixture(&fixture);
}
END_TEST

static void answer_ok(struct wire_conn *conn, const char *request, void *user)
{
	(void)request;
	(void)user;
	wire_answer(conn, 200, "", "ok");
}

/* Guards against bookings on an idle connection that may be closed. */
START_TEST(fresh_connection_is_never_reused)
{
	struct fixture fixture;

	open_fixture(&fixture, answer_ok, NULL, &whole_ops);
	run(&fixture);
	run(&fixture);
	ck_assert_uint_eq(wire_server_connections(fixture.server), 1);
	fixture.spec.fresh_connection = true;
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	ck_assert_uint_eq(wire_server_connections(fixture.server), 2);
	close_fixture(&fixture);
}
END_TEST

/* Answers the first request; closes the connection on each later one. */
static void answer_first(struct wire_conn *conn, const char *request,
			 void *user)
{
	unsigned *n = user;

	(void)request;
	if (++*n == 1)
		wire_answer(conn, 200, "", "ok");
	else
		wire_hang_up(conn);
}

/*
 * Guards against libcurl's automatic resend: if a reused connection closes
 * without a response, the request may have been executed.
 */
START_TEST(request_that_must_not_run_twice_is_sent_once)
{
	struct fixture fixture;
	unsigned n = 0;

	open_fixture(&fixture, answer_first, &n, &whole_ops);
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	fixture.spec.method = "PUT";
	run(&fixture);
	ck_assert(!fixture.probe.result.ok);
	ck_assert(fixture.probe.result.sent);
	ck_assert_int_eq(fixture.probe.result.error, ERR_TARGET_LOST);
	ck_assert_uint_eq(wire_server_requests(fixture.server), 2);
	close_fixture(&fixture);
}
END_TEST

/* Leaves the second request unanswered, on the first connection. */
static void answer_after_first(struct wire_conn *conn, const char *request,
			       void *user)
{
	unsigned *n = user;

	(void)request;
	if (++*n != 2)
		wire_answer(conn, 200, "", "ok");
}

/* Guards against reuse of connections to an address after a time-out. */
START_TEST(connections_are_not_reused_after_a_timeout)
{
	struct fixture fixture;
	unsigned n = 0;

	open_fixture(&fixture, answer_after_first, &n, &whole_ops);
	run(&fixture);
	fixture.spec.timeout = TIMEOUT_MS;
	run(&fixture);
	ck_assert_int_eq(fixture.probe.result.error, ERR_DEADLINE);
	fixture.spec.timeout = 5000;
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	ck_assert_uint_eq(wire_server_connections(fixture.server), 3);
	close_fixture(&fixture);
}
END_TEST

/*
 * Leaves the first request unanswered. If the second one uses the same
 * connection, the late response to the first one is sent before its own.
 */
struct late {
	struct wire_server *server;
	bool has_first;
};

static void answer_late(struct wire_conn *conn, const char *request, void *user)
{
	struct late *late = user;

	(void)request;
	if (!late->has_first) {
		late->has_first = true;
		return;
	}
	if (wire_server_connections(late->server) == 1)
		wire_answer(conn, 200, "", "late");
	wire_answer(conn, 200, "", "own");
}

/* Guards against a late response matched to the next request. */
START_TEST(late_answer_is_not_given_to_the_next_request)
{
	struct fixture fixture;
	struct late late = {NULL, false};

	open_fixture(&fixture, answer_late, &late, &whole_ops);
	late.server = fixture.server;
	fixture.spec.timeout = TIMEOUT_MS;
	run(&fixture);
	ck_assert_int_eq(fixture.probe.result.error, ERR_DEADLINE);
	ck_assert(fixture.probe.result.sent);
	fixture.spec.timeout = 5000;
	run(&fixture);
	ck_assert(fixture.probe.result.ok);
	ck_assert_str_eq(fixture.probe.data->str, "own");
	close_fixture(&fixture);
}
END_TEST

static const struct script endless = {
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
	false};

static bool has_data(void *user)
{
	return ((struct probe *)user)->data->len > 0;
}

/* Guards against a stalled stream that never times out. */
START_TEST(stalled_stream_times_out)
{
	struct fixture fixture;

	open_fixture(&fixture, run_script, (void *)&endless, &stream_ops);
	fixture.spec.timeout = 0;
	fixture.spec.idle_timeout = TIMEOUT_MS;
	start(&fixture);
	wire_run_until(&fixture.wire, has_data, &fixture.probe);
	ck_assert_str_eq(fixture.probe.data->str, "hi");
	ck_assert_uint_eq(fixture.probe.done, 0);
	wire_run_until(&fixture.wire, is_dropped, &fixture.probe);
	ck_assert_int_eq(fixture.probe.result.error, ERR_DEADLINE);
	close_fixture(&fixture);
}
END_TEST

/* Guards against use after free when a handler cancels its request. */
START_TEST(handler_may_cancel_its_request)
{
	struct fixture fixture;

	open_fixture(&fixture, run_script, (void *)&endless, &stream_ops);
	fixture.probe.cancel_in_data = true;
	run(&fixture);
	ck_assert_uint_eq(fixture.probe.done, 0);
	ck_assert_uint_eq(cli_count(fixture.client), 0);
	close_fixture(&fixture);
}
END_TEST

/* Guards against a stream that stays open after its handler rejects data. */
START_TEST(refused_data_ends_the_request)
{
	struct fixture fixture;

	open_fixture(&fixture, run_script, (void *)&endless, &stream_ops);
	fixture.probe.refuse_data = true;
	run(&fixture);
	ck_assert_uint_eq(fixture.probe.done, 1);
	ck_assert_int_eq(fixture.probe.result.error, ERR_PROTOCOL);
	close_fixture(&fixture);
}
END_TEST

/* Guards against handlers that leak when the client is dropped. */
START_TEST(dropped_client_drops_its_handlers)
{
	struct fixture fixture;

	open_fixture(&fixture, run_script, (void *)&endless, &stream_ops);
	start(&fixture);
	wire_run_until(&fixture.wire, has_data, &fixture.probe);
	close_fixture(&fixture);
	ck_assert_uint_eq(fixture.probe.dropped, 1);
	ck_assert_uint_eq(fixture.probe.done, 0);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("cli_wire");

	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(tcase, faults_map_to_exact_results, 0,
			    G_N_ELEMENTS(faults));
	tcase_add_test(tcase, refused_connection_is_reported_as_not_sent);
	tcase_add_test(tcase, headers_are_read);
	tcase_add_test(tcase, trailer_fields_are_ignored);
	tcase_add_loop_test(tcase, broken_head_is_no_response, 0,
			    G_N_ELEMENTS(broken_heads));
	tcase_add_loop_test(tcase, refusal_without_length_is_incomplete, 0,
			    G_N_ELEMENTS(unframed));
	tcase_add_loop_test(tcase, early_answer_that_is_reset_is_incomplete, 0,
			    G_N_ELEMENTS(early_answers) * MOMENTS);
	tcase_add_loop_test(tcase, bad_status_is_a_protocol_error, 0,
			    (int)sup_bad_status.n);
	tcase_add_loop_test(tcase, bad_field_is_a_protocol_error, 0,
			    (int)sup_bad_fields.n);
	tcase_add_loop_test(tcase,
			    line_that_begins_with_nul_is_a_protocol_error, 0,
			    (int)sup_nul_lines.n);
	tcase_add_loop_test(tcase, body_with_nul_is_complete, 1,
			    sizeof(binary) - 1);
	tcase_add_loop_test(tcase, bad_framing_ends_the_request, 0,
			    (int)sup_bad_framing.n);
	tcase_add_loop_test(tcase, rare_answer_is_complete, 0,
			    (int)sup_rare_answers.n);
	tcase_add_loop_test(tcase, flood_ends_the_request, 0,
			    G_N_ELEMENTS(floods));
	tcase_add_test(tcase, fresh_connection_is_never_reused);
	tcase_add_test(tcase, request_that_must_not_run_twice_is_sent_once);
	tcase_add_test(tcase, connections_are_not_reused_after_a_timeout);
	tcase_add_test(tcase, late_answer_is_not_given_to_the_next_request);
	tcase_add_test(tcase, stalled_stream_times_out);
	tcase_add_test(tcase, handler_may_cancel_its_request);
	tcase_add_test(tcase, refused_data_ends_the_request);
	tcase_add_test(tcase, dropped_client_drops_its_handlers);
	return sup_run_case("cli_wire", tcase);
}
