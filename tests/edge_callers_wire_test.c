/* HTTP server for callers: malformed requests, limits, streams and draining. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "edge/hsv_server.h"
#include "support/runner.h"
#include "support/wire/wire.h"

static const struct hsv_limits limits = {
	.header_bytes = 2000,
	.body_bytes = 5000,
	.header_timeout = 500,
	.idle_timeout = 1500,
	.connections = 4,
	.all_body_bytes = 6000,
};

struct probe {
	struct wire_loop wire;
	struct ctr_set *counters;
	struct hsv_server *server;
	char *address;
	struct hsv_request *request;
	unsigned requests;
	unsigned disconnects;
	/* Header fields of the last request, counted when it was delivered. */
	unsigned fields;
	bool is_field_of_trailer;
	/* Respond at once with the received body. */
	bool echoes_body;
};

static void on_request(void *user, struct hsv_request *request)
{
	struct probe *probe = user;

	probe->requests++;
	probe->request = request;
	probe->fields = request->headers.fields->len;
	probe->is_field_of_trailer =
		hdr_get(&request->headers, "X-Trailer") != NULL;
	if (probe->echoes_body)
		hsv_respond(request, 200, "X-Own: 1\r\n", request->body->str,
			    request->body->len);
}

static void on_disconnected(void *user, struct hsv_request *request)
{
	struct probe *probe = user;

	ck_assert_ptr_eq(request, probe->request);
	probe->disconnects++;
}

static const struct hsv_ops ops = {on_request, on_disconnected};

static void setup(struct probe *probe)
{
	GError *error = NULL;

	memset(probe, 0, sizeof(*probe));
	wire_open(&probe->wire);
	probe->counters = ctr_new();
	probe->address = wire_reserve_address(&probe->wire);
	probe->server = hsv_new(&probe->wire.loop, &limits, probe->counters,
				&ops, probe);
	ck_assert(hsv_listen(probe->server, probe->address, &error));
	probe->echoes_body = true;
}

static void teardown(struct probe *probe)
{
	hsv_drop(probe->server);
	wire_close(&probe->wire);
	ctr_drop(probe->counters);
	g_free(probe->address);
}

struct malformed_request {
	const char *bytes;
	const char *expected;
};

#define HEAD "POST /x HTTP/1.1\r\nHost: h\r\n"

static const struct malformed_request malformed_requests[] = {
	{HEAD "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
	 "HTTP/1.1 400 "},
	{HEAD "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	 "HTTP/1.1 400 "},
	{HEAD "Transfer-Encoding: chunked, identity\r\n\r\n", "HTTP/1.1 400 "},
	{HEAD "Transfer-Encoding: xchunked\r\n\r\n", "HTTP/1.1 400 "},
	{HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400 "},
	{HEAD "Content-Length: -1\r\n\r\n", "HTTP/1.1 400 "},
	{HEAD "Content-Length: 1x\r\n\r\na", "HTTP/1.1 400 "},
	{HEAD "Bad Name: 1\r\n\r\n", "HTTP/1.1 400 "},
	{HEAD "Bad\t: 1\r\n\r\n", "HTTP/1.1 400 "},
	{"POST /x HTTP/1.1\r\n\r\n", "HTTP/1.1 400 "},
	{HEAD "Host: h2\r\n\r\n", "HTTP/1.1 400 "},
	{"POST x HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400 "},
	{"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400 "},
	{"nonsense\r\n\r\n", "HTTP/1.1 400 "},
	{HEAD "Content-Length: 5001\r\n\r\n", "HTTP/1.1 413 "},
	{HEAD "Transfer-Encoding: chunked\r\n\r\nffff\r\n", NULL},
};

/* Guards against request smuggling: requests that two parsers interpret
 * differently. */
START_TEST(malformed_requests_are_rejected)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, malformed_requests[_i].bytes);
	if (malformed_requests[_i].expected)
		wire_client_await(&probe.wire, client,
				  malformed_requests[_i].expected);
	else
		wire_client_await(&probe.wire, client, "HTTP/1.1 408 ");
	if (malformed_requests[_i].expected) {
		wire_client_await(&probe.wire, client, "Connection: close");
		wire_client_await_close(&probe.wire, client);
	}
	ck_assert_uint_eq(probe.requests, 0);
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

START_TEST(large_header_is_rejected)
{
	struct probe probe;
	struct wire_client *client;
	char *filler = g_strnfill(2100, 'a');
	char *text = g_strdup_printf(HEAD "X-Fill: %s\r\n\r\n", filler);

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, text);
	wire_client_await(&probe.wire, client, "HTTP/1.1 431 ");
	ck_assert_uint_eq(probe.requests, 0);
	g_free(filler);
	g_free(text);
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against many callers exhausting the memory together. */
START_TEST(total_body_size_is_bounded)
{
	struct probe probe;
	struct wire_client *first;
	struct wire_client *second;
	char *filler = g_strnfill(4000, 'a');

	setup(&probe);
	first = wire_client_new(&probe.wire, probe.address);
	second = wire_client_new(&probe.wire, probe.address);
	wire_client_send(first, HEAD "Content-Length: 4001\r\n\r\n");
	wire_client_send(first, filler);
	wire_client_send(second, HEAD "Content-Length: 4000\r\n\r\n");
	wire_client_send(second, filler);
	wire_client_await(&probe.wire, second, "HTTP/1.1 503 ");
	wire_client_send(first, "a");
	wire_client_await(&probe.wire, first, "HTTP/1.1 200 ");
	g_free(filler);
	wire_client_drop(first);
	wire_client_drop(second);
	teardown(&probe);
}
END_TEST

START_TEST(slow_header_times_out)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, "GET /x HTTP/1.1\r\nHo");
	wire_client_await(&probe.wire, client, "HTTP/1.1 408 ");
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

START_TEST(idle_connection_is_closed_without_a_response)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_await_close(&probe.wire, client);
	ck_assert_str_eq(client->received->str, "");
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

static void expect_one_answer(struct probe *probe, struct wire_client *client)
{
	g_string_truncate(client->received, 0);
	wire_client_send(client, HEAD "Content-Length: 3\r\n\r\none");
	wire_client_await(&probe->wire, client, "one");
}

/* Longer than the time for which callers may rely on an earlier limit. */
#define LOWER_LIMIT_GRACE_MS 5200

/* Guards against closing connections that callers still use because a new
 * configuration, which they don't know yet, has lowered the idle timeout. */
START_TEST(lowered_idle_timeout_spares_connections_in_use)
{
	struct hsv_limits lower = limits;
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	expect_one_answer(&probe, client);
	wire_run_for(&probe.wire, limits.idle_timeout / 2);
	lower.idle_timeout = limits.idle_timeout / 4;
	hsv_set_limits(probe.server, &lower);
	wire_run_for(&probe.wire, limits.idle_timeout / 4);
	ck_assert(!client->closed);
	expect_one_answer(&probe, client);
	wire_run_for(&probe.wire, limits.idle_timeout * 4 / 5);
	ck_assert(!client->closed);
	wire_run_for(&probe.wire, limits.idle_timeout / 5 + 350);
	ck_assert(client->closed);
	wire_client_drop(client);
	wire_run_for(&probe.wire, LOWER_LIMIT_GRACE_MS);
	client = wire_client_new(&probe.wire, probe.address);
	expect_one_answer(&probe, client);
	wire_run_for(&probe.wire, lower.idle_timeout + 350);
	ck_assert(client->closed);
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against closing a connection as idle while a request waits in its
 * socket because the process did not run for a while. */
START_TEST(request_that_arrived_before_the_idle_timeout_is_answered)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	expect_one_answer(&probe, client);
	wire_run_for(&probe.wire, limits.idle_timeout / 2);
	g_string_truncate(client->received, 0);
	wire_client_send(client, HEAD "Content-Length: 3\r\n\r\ntwo");
	g_usleep((gulong)limits.idle_timeout * 1000);
	wire_client_await(&probe.wire, client, "two");
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against the same when a stop closes idle connections. */
START_TEST(request_that_arrived_before_the_listener_closes_is_answered)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	expect_one_answer(&probe, client);
	hsv_close_after_responses(probe.server);
	g_string_truncate(client->received, 0);
	wire_client_send(client, HEAD "Content-Length: 3\r\n\r\ntwo");
	hsv_stop_accepting(probe.server);
	wire_client_await(&probe.wire, client, "two");
	wire_client_await_close(&probe.wire, client);
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

static bool has_request(void *user)
{
	return ((struct probe *)user)->requests > 0;
}

/* Guards against dropping the next request of a caller whose stream began
 * before a stop: its head did not say that the connection closes. */
START_TEST(request_after_a_stream_that_a_stop_met_is_answered)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	probe.echoes_body = false;
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, HEAD "Content-Length: 3\r\n\r\none");
	wire_run_until(&probe.wire, has_request, &probe);
	hsv_begin_chunked(probe.request, 200, "");
	hsv_close_after_responses(probe.server);
	hsv_send_chunk(probe.request, "piece", 5);
	hsv_end_chunked(probe.request);
	wire_client_await(&probe.wire, client, "0\r\n\r\n");
	probe.echoes_body = true;
	wire_client_send(client, HEAD "Content-Length: 3\r\n\r\ntwo");
	wire_client_await(&probe.wire, client, "two");
	ck_assert_ptr_nonnull(
		strstr(client->received->str, "Connection: close"));
	wire_client_await_close(&probe.wire, client);
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against a 408 for a request that arrived in time, after a pause of the
 * process. */
START_TEST(header_that_arrived_before_its_timeout_is_read)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, HEAD "Content-Le");
	wire_run_for(&probe.wire, limits.header_timeout / 2);
	wire_client_send(client, "ngth: 3\r\n\r\ntwo");
	g_usleep((gulong)limits.header_timeout * 2000);
	wire_client_await(&probe.wire, client, "two");
	ck_assert_ptr_null(strstr(client->received->str, "408"));
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against responses in the wrong order, and body bytes that are parsed
 * as a request. */
START_TEST(pipelined_requests_are_answered_in_order)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client,
			 HEAD "Content-Length: 3\r\n\r\none" HEAD
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "3\r\ntwo\r\n0\r\n\r\n" HEAD
			      "Connection: close\r\nContent-Length: 5\r\n\r\n"
			      "three");
	wire_client_await(&probe.wire, client, "three");
	wire_client_await_close(&probe.wire, client);
	ck_assert_uint_eq(probe.requests, 3);
	ck_assert(strstr(client->received->str, "one") <
		  strstr(client->received->str, "two"));
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against fields behind a body that count as fields of that request,
 * after its head was checked, or of the next one. */
START_TEST(trailer_fields_are_of_no_request)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, HEAD "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\none\r\n0\r\n"
				      "X-Trailer: 1\r\nHost: other\r\n"
				      "X-Trailer: 2\r\n\r\n");
	wire_client_await(&probe.wire, client, "one");
	ck_assert_uint_eq(probe.fields, 2);
	ck_assert(!probe.is_field_of_trailer);
	wire_client_send(client, HEAD "Content-Length: 3\r\n\r\ntwo");
	wire_client_await(&probe.wire, client, "two");
	ck_assert_uint_eq(probe.fields, 2);
	ck_assert(!probe.is_field_of_trailer);
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against a trailer section that fills the memory. */
START_TEST(large_trailer_is_rejected)
{
	char *value = g_strnfill(limits.header_bytes, 'v');
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, HEAD "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\none\r\n0\r\nX-Trailer: ");
	wire_client_send(client, value);
	wire_client_await(&probe.wire, client, "HTTP/1.1 431 ");
	ck_assert_uint_eq(probe.requests, 0);
	wire_client_drop(client);
	teardown(&probe);
	g_free(value);
}
END_TEST

/* Guards against idle connections that each keep the memory of their largest
 * request, until the process exceeds its memory. */
START_TEST(idle_connection_keeps_no_large_request)
{
	const size_t body_len = 4000;
	char *body = g_strnfill(body_len, 'b');
	char *field = g_strnfill(1500, 'f');
	char *text = g_strdup_printf(HEAD "X-Field: %s\r\nContent-Length: %zu"
					  "\r\n\r\n%s",
				     field, body_len, body);
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, text);
	wire_client_await(&probe.wire, client, body);
	ck_assert_uint_lt(probe.request->body->allocated_len, body_len);
	ck_assert_uint_eq(probe.request->headers.fields->len, 0);
	ck_assert_ptr_null(probe.request->url);
	wire_client_drop(client);
	teardown(&probe);
	g_free(text);
	g_free(field);
	g_free(body);
}
END_TEST

#define MANY_REQUESTS 40
#define LARGE_BODY_BYTES 4000

static bool has_many_requests(void *user)
{
	return ((struct probe *)user)->requests == MANY_REQUESTS;
}

/* Guards against losing pipelined bytes beyond the buffer, after which the next
 * request is never complete. */
START_TEST(pipelined_requests_beyond_the_buffer_are_answered)
{
	char *body = g_strnfill(LARGE_BODY_BYTES, 'b');
	GString *text = g_string_new(NULL);
	struct probe probe;
	struct wire_client *client;
	unsigned i;

	setup(&probe);
	probe.echoes_body = false;
	client = wire_client_new(&probe.wire, probe.address);
	for (i = 0; i < MANY_REQUESTS; i++)
		g_string_append_printf(text,
				       HEAD "Content-Length: %d\r\n\r\n%s",
				       LARGE_BODY_BYTES, body);
	wire_client_send(client, text->str);
	wire_run_for(&probe.wire, 200);
	ck_assert_uint_eq(probe.requests, 1);
	probe.echoes_body = true;
	hsv_respond(probe.request, 200, "", "", 0);
	wire_run_until(&probe.wire, has_many_requests, &probe);
	wire_client_drop(client);
	teardown(&probe);
	g_string_free(text, TRUE);
	g_free(body);
}
END_TEST

START_TEST(expect_100_continue_is_answered)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, HEAD "Expect: 100-continue\r\n"
				      "Content-Length: 2\r\n\r\n");
	wire_client_await(&probe.wire, client, "HTTP/1.1 100 ");
	wire_client_send(client, "ok");
	wire_client_await(&probe.wire, client, "HTTP/1.1 200 ");
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

static bool has_disconnected(void *user)
{
	return ((struct probe *)user)->disconnects > 0;
}

/* Guards against targets that keep working for disconnected callers. */
START_TEST(disconnect_is_reported_while_a_request_runs)
{
	struct probe probe;
	struct wire_client *client;

	setup(&probe);
	probe.echoes_body = false;
	client = wire_client_new(&probe.wire, probe.address);
	wire_client_send(client, HEAD "Content-Length: 0\r\n\r\n");
	wire_run_until(&probe.wire, has_request, &probe);
	wire_client_drop(client);
	wire_run_until(&probe.wire, has_disconnected, &probe);
	teardown(&probe);
}
END_TEST

/* Starts a response and sends one event. */
static struct wire_client *begin_stream(struct probe *probe)
{
	struct wire_client *client;

	setup(probe);
	probe->echoes_body = false;
	client = wire_client_new(&probe->wire, probe->address);
	wire_client_send(client, HEAD "Content-Length: 0\r\n\r\n");
	wire_run_until(&probe->wire, has_request, probe);
	hsv_begin_chunked(probe->request, 200, "");
	ck_assert(hsv_send_chunk(probe->request, "event", 5));
	return client;
}

/* Guards against an aborted stream that looks complete. */
START_TEST(aborted_stream_has_no_last_chunk)
{
	struct probe probe;
	struct wire_client *client;

	client = begin_stream(&probe);
	wire_client_await(&probe.wire, client, "event");
	hsv_abort(probe.request);
	wire_client_await_close(&probe.wire, client);
	ck_assert_ptr_null(strstr(client->received->str, "0\r\n\r\n"));
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

START_TEST(stream_ends_with_its_last_chunk)
{
	struct probe probe;
	struct wire_client *client;

	client = begin_stream(&probe);
	hsv_end_chunked(probe.request);
	wire_client_await(&probe.wire, client, "5\r\nevent\r\n0\r\n\r\n");
	wire_client_drop(client);
	teardown(&probe);
}
END_TEST

/* Guards against requests interrupted by draining. */
START_TEST(drain_completes_requests_and_closes_idle_connections)
{
	struct probe probe;
	struct wire_client *idle;
	struct wire_client *busy;

	setup(&probe);
	probe.echoes_body = false;
	idle = wire_client_new(&probe.wire, probe.address);
	busy = wire_client_new(&probe.wire, probe.address);
	wire_client_send(busy, HEAD "Content-Length: 0\r\n\r\n");
	wire_run_until(&probe.wire, has_request, &probe);
	hsv_close_after_responses(probe.server);
	hsv_stop_accepting(probe.server);
	wire_client_await_close(&probe.wire, idle);
	ck_assert(!busy->closed);
	hsv_respond(probe.request, 200, "", "done", 4);
	wire_client_await(&probe.wire, busy, "done");
	ck_assert_ptr_nonnull(strstr(busy->received->str, "Connection: close"));
	wire_client_await_close(&probe.wire, busy);
	wire_client_drop(idle);
	wire_client_drop(busy);
	teardown(&probe);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("edge_callers_wire");

	tcase_set_timeout(tcase, 40);
	tcase_add_loop_test(tcase, malformed_requests_are_rejected, 0,
			    G_N_ELEMENTS(malformed_requests) - 1);
	tcase_add_test(tcase, large_header_is_rejected);
	tcase_add_test(tcase, total_body_size_is_bounded);
	tcase_add_test(tcase, slow_header_times_out);
	tcase_add_test(tcase, idle_connection_is_closed_without_a_response);
	tcase_add_test(tcase, lowered_idle_timeout_spares_connections_in_use);
	tcase_add_test(
		tcase,
		request_that_arrived_before_the_idle_timeout_is_answered);
	tcase_add_test(
		tcase,
		request_that_arrived_before_the_listener_closes_is_answered);
	tcase_add_test(tcase,
		       request_after_a_stream_that_a_stop_met_is_answered);
	tcase_add_test(tcase, header_that_arrived_before_its_timeout_is_read);
	tcase_add_test(tcase, pipelined_requests_are_answered_in_order);
	tcase_add_test(tcase, trailer_fields_are_of_no_request);
	tcase_add_test(tcase, large_trailer_is_rejected);
	tcase_add_test(tcase, idle_connection_keeps_no_large_request);
	tcase_add_test(tcase,
		       pipelined_requests_beyond_the_buffer_are_answered);
	tcase_add_test(tcase, expect_100_continue_is_answered);
	tcase_add_test(tcase, disconnect_is_reported_while_a_request_runs);
	tcase_add_test(tcase, aborted_stream_has_no_last_chunk);
	tcase_add_test(tcase, stream_ends_with_its_last_chunk);
	tcase_add_test(tcase,
		       drain_completes_requests_and_closes_idle_connections);
	return sup_run_case("edge_callers_wire", tcase);
}
