/* The client of targets against targets that misbehave. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "edge/hup.h"
#include "support/runner.h"
#include "support/wire/wire.h"

#define TIMEOUT_MS 400
#define ID_HEADER "X-Id"

struct probe {
	struct wire_loop wire;
	struct ctr_set *counters;
	struct hup_client *client;
	struct wire_server *server;
	struct hup_exchange *exchange;
	GString *data;
	int status;
	unsigned heads;
	unsigned ends;
	enum hup_end how;
	bool cancel_in_data;
	/* What the server does with each request. */
	int step;
};

static void on_head(void *user, const struct hup_response *response)
{
	struct probe *probe = user;

	probe->heads++;
	probe->status = response->status;
}

static void on_data(void *user, const char *bytes, size_t len)
{
	struct probe *probe = user;

	g_string_append_len(probe->data, bytes, (gssize)len);
	if (probe->cancel_in_data) {
		hup_cancel(probe->exchange);
		probe->ends++;
	}
}

static void on_end(void *user, enum hup_end how)
{
	struct probe *probe = user;

	probe->ends++;
	probe->how = how;
}

static const struct hup_ops ops = {on_head, on_data, on_end};

static void setup(struct probe *probe, wire_handler handler)
{
	memset(probe, 0, sizeof(*probe));
	wire_open(&probe->wire);
	probe->counters = ctr_new();
	probe->data = g_string_new(NULL);
	probe->client = hup_new(&probe->wire.loop, probe->counters);
	if (handler)
		probe->server = wire_server_new(&probe->wire, handler, probe);
}

static void teardown(struct probe *probe)
{
	hup_drop(probe->client);
	if (probe->server)
		wire_server_drop(probe->server);
	wire_close(&probe->wire);
	ctr_drop(probe->counters);
	g_string_free(probe->data, TRUE);
}

static bool has_ended(void *user)
{
	return ((struct probe *)user)->ends > 0;
}

static void send_to(struct probe *probe, const char *address, const char *id,
		    clk_ms max_idle)
{
	struct hup_request request = {
		.address = address,
		.bytes = g_string_new("GET / HTTP/1.1\r\nHost: t\r\n\r\n"),
		.max_idle = max_idle,
		.timeout = TIMEOUT_MS,
		.id_header = ID_HEADER,
		.id = id,
	};

	probe->ends = 0;
	probe->heads = 0;
	g_string_truncate(probe->data, 0);
	probe->exchange = hup_send(probe->client, &request, &ops, probe);
	wire_until(&probe->wire, has_ended, probe);
}

static void request(struct probe *probe, const char *id)
{
	send_to(probe, wire_server_address(probe->server), id, 60000);
}

struct answer {
	/* What the target sends. */
	const char *bytes;
	enum { STAY, END, RESET, END_AND_RESET } then;
	enum hup_end how;
	const char *body;
};

static const struct answer answers[] = {
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", STAY, HUP_COMPLETE,
	 "ok"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	 "\r\n",
	 STAY, HUP_COMPLETE, "ok"},
	/* Without a length the end of the connection ends the answer ... */
	{"HTTP/1.1 200 OK\r\n\r\nok", END, HUP_COMPLETE, "ok"},
	/* ... but not its reset. */
	{"HTTP/1.1 200 OK\r\n\r\nok", RESET, HUP_BROKEN, NULL},
	{"HTTP/1.1 200 OK\r\n\r\nok", END_AND_RESET, HUP_BROKEN, NULL},
	{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", END, HUP_BROKEN,
	 NULL},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", END,
	 HUP_BROKEN, NULL},
	{"HTTP/1.1 200 OK\r\nContent-Le", END, HUP_BROKEN, NULL},
	{"", END, HUP_BROKEN, NULL},
	{"", RESET, HUP_BROKEN, NULL},
	{"no HTTP at all\r\n\r\n", STAY, HUP_GARBLED, NULL},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	 STAY, HUP_GARBLED, NULL},
	{"", STAY, HUP_TIMED_OUT, NULL},
	{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", STAY, HUP_TIMED_OUT,
	 NULL},
	/* An answer to another request arrives first. */
	{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
	 "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
	 STAY, HUP_COMPLETE, "ok"},
	{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad", STAY,
	 HUP_TIMED_OUT, NULL},
	{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad", END,
	 HUP_BROKEN, NULL},
	{"HTTP/1.1 103 Early Hints\r\n\r\n"
	 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	 STAY, HUP_COMPLETE, "ok"},
};

static void answer_as_told(struct wire_conn *conn, const char *text, void *user)
{
	const struct answer *answer = &answers[((struct probe *)user)->step];

	(void)text;
	if (answer->then == END_AND_RESET) {
		wire_end_and_reset(conn, answer->bytes);
		return;
	}
	wire_send(conn, answer->bytes);
	if (answer->then == END)
		wire_hang_up(conn);
	else if (answer->then == RESET)
		wire_reset(conn);
}

/* Guards against a broken or foreign answer that is taken as whole. */
START_TEST(answers_end_as_they_should)
{
	const struct answer *answer = &answers[_i];
	struct probe probe;

	setup(&probe, answer_as_told);
	probe.step = _i;
	request(&probe, "1");
	ck_assert_int_eq(probe.how, answer->how);
	if (answer->body)
		ck_assert_str_eq(probe.data->str, answer->body);
	ck_assert_str_ne(probe.data->str, "bad");
	teardown(&probe);
}
END_TEST

static void answer_twice_at_first(struct wire_conn *conn, const char *text,
				  void *user)
{
	struct probe *probe = user;

	(void)text;
	wire_answer(conn, 200, "X-Id: 1\r\n", "one");
	if (!probe->step++)
		wire_answer(conn, 200, "X-Id: 1\r\n", "extra");
}

/* Guards against bytes behind an answer that are taken for the next one. */
START_TEST(connection_with_extra_bytes_is_not_used_again)
{
	struct probe probe;

	setup(&probe, answer_twice_at_first);
	request(&probe, "1");
	ck_assert_int_eq(probe.how, HUP_COMPLETE);
	ck_assert_str_eq(probe.data->str, "one");
	request(&probe, "1");
	ck_assert_str_eq(probe.data->str, "one");
	ck_assert_uint_eq(wire_server_connections(probe.server), 2);
	teardown(&probe);
}
END_TEST

static void answer_plainly(struct wire_conn *conn, const char *text, void *user)
{
	struct probe *probe = user;

	(void)text;
	wire_answer(conn, 200, probe->step ? "Connection: close\r\n" : "",
		    "ok");
}

START_TEST(whole_answer_leaves_its_connection_for_the_next)
{
	struct probe probe;

	setup(&probe, answer_plainly);
	request(&probe, "1");
	request(&probe, "2");
	ck_assert_uint_eq(wire_server_connections(probe.server), 1);
	/* Requests that can't be repeated take no old connection. */
	send_to(&probe, wire_server_address(probe.server), "3", 0);
	ck_assert_uint_eq(wire_server_connections(probe.server), 2);
	teardown(&probe);
}
END_TEST

START_TEST(connection_that_its_target_ends_is_not_used_again)
{
	struct probe probe;

	setup(&probe, answer_plainly);
	probe.step = 1;
	request(&probe, "1");
	request(&probe, "2");
	ck_assert_uint_eq(wire_server_connections(probe.server), 2);
	teardown(&probe);
}
END_TEST

/* Guards against a proof of not having run where none is. */
START_TEST(refused_connection_was_not_sent)
{
	struct probe probe;
	char *address;

	setup(&probe, NULL);
	address = wire_refused_address(&probe.wire);
	send_to(&probe, address, "1", 0);
	ck_assert_int_eq(probe.how, HUP_NOT_SENT);
	send_to(&probe, "no address", "1", 0);
	ck_assert_int_eq(probe.how, HUP_NOT_SENT);
	g_free(address);
	teardown(&probe);
}
END_TEST

START_TEST(cancelled_exchange_makes_no_further_call)
{
	struct probe probe;

	setup(&probe, answer_plainly);
	probe.cancel_in_data = true;
	request(&probe, "1");
	ck_assert_uint_eq(probe.ends, 1);
	probe.cancel_in_data = false;
	request(&probe, "2");
	ck_assert_int_eq(probe.how, HUP_COMPLETE);
	ck_assert_uint_eq(wire_server_connections(probe.server), 2);
	teardown(&probe);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("edge_upstream_wire");

	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(tcase, answers_end_as_they_should, 0,
			    G_N_ELEMENTS(answers));
	tcase_add_test(tcase, connection_with_extra_bytes_is_not_used_again);
	tcase_add_test(tcase, whole_answer_leaves_its_connection_for_the_next);
	tcase_add_test(tcase,
		       connection_that_its_target_ends_is_not_used_again);
	tcase_add_test(tcase, refused_connection_was_not_sent);
	tcase_add_test(tcase, cancelled_exchange_makes_no_further_call);
	return sup_run_case("edge_upstream_wire", tcase);
}
