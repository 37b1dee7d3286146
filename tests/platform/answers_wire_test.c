/* Answers that a faulty target sends twice, breaks off or mixes up. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/support/stand_in.h"
#include "support/runner.h"

#define KEY "Authorization: Token key1\r\n"
#define SIGNED "X-Wagtailferry-Server-Stamp: sig\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define TOKENS "X-Wagtailferry-Token-Counts: 50,50\r\n"

/* One head, so that a request that it refuses can only return to it. */
static void open_one_head(struct platform_world *world)
{
	world_open(world);
	world_put(world, "config", "main", world_config(1));
	world_worker(world, "e1", "model", 0, 4);
	world_worker(world, "e2", "model", 4, 8);
	world_start_ready_edge(world);
}

static struct worker *worker(struct platform_world *world, guint i)
{
	return world->workers->pdata[i];
}

static bool is_call(const char *request)
{
	return g_str_has_prefix(request, "GET /report") ||
	       g_str_has_prefix(request, "POST /order");
}

/* Sends a head that repeats the id of the request, then the rest as it is. */
static void send_answer(struct wire_conn *conn, const char *request, int status,
			const char *rest)
{
	char *id = wire_header(request, "X-Wagtailferry-Attempt-Id");
	char *text = g_strdup_printf("HTTP/1.1 %d X\r\n"
				     "X-Wagtailferry-Attempt-Id: %s\r\n%s",
				     status, id, rest);

	wire_send(conn, text);
	g_free(text);
	g_free(id);
}

static void send_refusal(struct wire_conn *conn, const char *request)
{
	send_answer(conn, request, 503,
		    "X-Wagtailferry-Not-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n");
}

static bool is_answered(void *user)
{
	struct wire_client *client = user;

	return client->closed ||
	       strstr(client->received->str, "\r\n\r\n") != NULL;
}

/* Refuses the first request. Whatever follows on that connection gets the
 * refusal again before its answer. */
static bool repeat_refusal(struct worker *worker, struct wire_conn *conn,
			   const char *request)
{
	if (is_call(request))
		return false;
	if (!worker->step++) {
		worker->script_serial = wire_serial(conn);
		send_refusal(conn, request);
		return true;
	}
	if (wire_serial(conn) == worker->script_serial)
		send_refusal(conn, request);
	return false;
}

/* Guards against a repeated copy of the first refusal that is taken for the
 * answer to a second send to the same head: the caller is told that its request
 * was not run although the head runs it. */
START_TEST(repeated_refusal_does_not_answer_the_next_send)
{
	static const char *const paths[] = {"/final/", "/stream/"};
	struct platform_world world;
	struct wire_client *client;

	open_one_head(&world);
	worker(&world, 0)->script = repeat_refusal;
	client = world_request(&world, "POST", paths[_i], KEY TOKENS, "");
	wire_run_until(&world.wire, is_answered, client);
	ck_assert_uint_eq(worker(&world, 0)->requests, 2);
	ck_assert_msg(g_str_has_prefix(client->received->str, "HTTP/1.1 200 "),
		      "%s", client->received->str);
	wire_client_await(&world.wire, client, "data: two");
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

static char *report_text(void)
{
	const char *body = "{\"sequence\":0,\"busy\":false,\"pace\":1,"
			   "\"stalled\":[]}";

	return g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
}

/* Refuses orders; a connection that carried a report gets it once more before
 * that. */
static bool repeat_report(struct worker *worker, struct wire_conn *conn,
			  const char *request)
{
	char *report = report_text();

	if (g_str_has_prefix(request, "GET /report")) {
		worker->script_serial = wire_serial(conn);
		wire_send(conn, report);
	} else if (wire_serial(conn) == worker->script_serial) {
		wire_send(conn, report);
	}
	if (g_str_has_prefix(request, "POST /order"))
		wire_answer(conn, 409, "", "{}");
	g_free(report);
	return true;
}

static bool has_order_result(void *user)
{
	const GString *log = ((struct platform_world *)user)->log_text;

	return strstr(log->str, "refused") || strstr(log->str, "taken\"");
}

/* Guards against an order that its engine refused and that counts as taken,
 * because the engine repeated its report on the same connection. */
START_TEST(repeated_report_is_no_answer_to_an_order)
{
	struct platform_world world;

	world_open(&world);
	world_put(&world, "config", "main", world_config(1));
	world_worker(&world, "e1", "model", 0, 0);
	world_worker(&world, "e2", "model", 0, 0);
	worker(&world, 0)->script = repeat_report;
	worker(&world, 1)->script = repeat_report;
	world_start_ready_edge(&world);
	wire_run_until(&world.wire, has_order_result, &world);
	ck_assert_msg(strstr(world.log_text->str, "refused") != NULL, "%s",
		      world.log_text->str);
	ck_assert_ptr_null(strstr(world.log_text->str, "taken\""));
	world_close(&world);
}
END_TEST

/* Answers of the targets to one request, in the order of its sends; the last
 * one is repeated. */
struct answer {
	/* 0 if rest is sent alone. */
	int status;
	/* What follows the status line and the id. */
	const char *rest;
	enum { KEEP_OPEN, CLOSE, RESET, CLOSE_AND_RESET } action;
};

static const struct answer *answers;
static unsigned n_answers;
static unsigned n_sends;

static bool answer_in_order(struct worker *worker, struct wire_conn *conn,
			    const char *request)
{
	const struct answer *answer;

	(void)worker;
	if (is_call(request))
		return false;
	answer = &answers[MIN(n_sends, n_answers - 1)];
	n_sends++;
	if (answer->status)
		send_answer(conn, request, answer->status, answer->rest);
	else
		wire_send(conn, answer->rest);
	if (answer->action == CLOSE)
		wire_hang_up(conn);
	else if (answer->action == RESET)
		wire_reset(conn);
	else if (answer->action == CLOSE_AND_RESET)
		wire_end_and_reset(conn, "");
	return true;
}

/* Sends a request to two targets that answer so, and waits for the end of the
 * caller's connection, or for the text if there is one. */
static struct wire_client *ask(struct platform_world *world, const char *path,
			       const struct answer *expected, unsigned n,
			       const char *awaited)
{
	struct wire_client *client;

	answers = expected;
	n_answers = n;
	world_open_plain(world);
	worker(world, 0)->script = answer_in_order;
	worker(world, 1)->script = answer_in_order;
	client = world_request(world, "POST", path, KEY, "");
	if (awaited)
		wire_client_await(&world->wire, client, awaited);
	else
		wire_client_await_close(&world->wire, client);
	return client;
}

static bool has_complete_end(const struct wire_client *client)
{
	return g_str_has_suffix(client->received->str, "\r\n0\r\n\r\n");
}

#define FIRST_EVENT "11\r\nid: 1\ndata: one\n\n\r\n"

static const struct answer broken_stream = {
	200, SIGNED EVENTS CHUNKED "\r\n" FIRST_EVENT "8\r\nid: 2\nda\r\n",
	CLOSE};

static const struct answer wrong_continuations[] = {
	{500, SIGNED "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{500, "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{500, "\r\nerror\n\n", CLOSE},
	{503, SIGNED "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{503,
	 "X-Wagtailferry-Not-Executed: 1\r\nContent-Length: 7\r\n\r\nerror\n\n",
	 KEEP_OPEN},
	{421, "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{404, SIGNED EVENTS CHUNKED "\r\n7\r\nerror\n\n\r\n0\r\n\r\n",
	 KEEP_OPEN},
	{404, "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{200, EVENTS "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{200,
	 SIGNED EVENTS
	 "Content-Encoding: gzip\r\nContent-Length: 7\r\n\r\nerror\n\n",
	 KEEP_OPEN},
	{200,
	 SIGNED "Content-Type: text/html\r\nContent-Length: 7\r\n\r\nerror\n\n",
	 KEEP_OPEN},
	{200, SIGNED "Content-Type: application/json\r\n\r\n\"error\"\n\n",
	 CLOSE},
	{204, SIGNED "\r\n", KEEP_OPEN},
	{206, SIGNED EVENTS "Content-Length: 7\r\n\r\nerror\n\n", KEEP_OPEN},
	{103, "\r\nHTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nerror\n\n",
	 KEEP_OPEN},
	{200, "no field at all\r\n\r\nerror\n\n", CLOSE},
	/* The first run broke off inside an event, so there are more. */
	{200, SIGNED EVENTS CHUNKED "\r\n0\r\n\r\n", KEEP_OPEN},
	{200, SIGNED EVENTS "\r\n", CLOSE},
	{200, SIGNED EVENTS CHUNKED "\r\n5\r\n: a\n\n\r\n0\r\n\r\n", KEEP_OPEN},
	/* An error in the middle of the body. */
	{200,
	 SIGNED EVENTS CHUNKED
	 "\r\nHTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nerror\n\n",
	 CLOSE},
	{200, SIGNED EVENTS "\r\nHTTP/1.1 500 X\r\nX-A: error\r\n\r\nerror\n\n",
	 CLOSE},
	/* A run from the start: its events were delivered by the first. */
	{200,
	 SIGNED EVENTS CHUNKED "\r\n13\r\nid: 1\ndata: error\n\n\r\n0\r\n\r\n",
	 KEEP_OPEN},
	{200,
	 SIGNED EVENTS CHUNKED "\r\n13\r\nid: 0\ndata: error\n\n\r\n0\r\n\r\n",
	 KEEP_OPEN},
};

/* Guards against an answer of the second target that appears in the middle of
 * a stream, or that makes a stream look complete that was broken off. */
START_TEST(only_a_continuation_joins_a_broken_stream)
{
	struct platform_world world;
	const struct answer both[] = {broken_stream, wrong_continuations[_i]};
	struct wire_client *client = ask(&world, "/lines/", both, 2, NULL);
	const char *received = client->received->str;

	ck_assert_uint_eq(n_sends, 2);
	ck_assert_ptr_nonnull(strstr(received, "data: one"));
	ck_assert_msg(!strstr(received, "error"), "%s", received);
	ck_assert_ptr_null(strstr(received + 1, "HTTP/1.1"));
	ck_assert(!has_complete_end(client));
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Answers that end with their connection, and what the caller gets. */
struct ending {
	const char *path;
	struct answer first;
	unsigned sends;
	/* NULL if the caller's connection is closed instead. */
	const char *awaited;
};

#define EVENT_1 "id: 1\ndata: one\n\n"
#define EVENT_2 "id: 2\ndata: two\n\n"
#define UNFRAMED SIGNED EVENTS "\r\n"
#define LAST_CHUNK "\r\n0\r\n\r\n"
/* Signed answers whose body is an event, each with one fault. */
#define NO_STATUS                                             \
	"HTTP/1.1 000 X\r\n" SIGNED EVENTS "Content-Length: " \
	"17\r\n\r\n" EVENT_1
#define BLANK_IN_NAME                                   \
	"HTTP/1.1 200 X\r\nX Note: 1\r\n" SIGNED EVENTS \
	"Content-Length: 17\r\n\r\n" EVENT_1
#define CR_IN_NAME                                                     \
	"HTTP/1.1 200 X\r\n" SIGNED EVENTS "Content-Length: 17\r\n\rX" \
	"-Note: 1\r\n\r\n" EVENT_1
/* Valid, but rarely seen. */
#define RARE_HEAD                                                          \
	"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200\n" SIGNED EVENTS \
	"X_'Note|:\r\nX-Note: a\t(b) \"c\": \366\r\n"
#define OTHER_ID "HTTP/1.1 200 X\r\nX-Wagtailferry-Attempt-Id: other\r\n\r\n"

static const struct ending endings[] = {
	/* A stream that ends after an event is complete. */
	{"/lines/", {200, UNFRAMED EVENT_1 EVENT_2, CLOSE}, 1, LAST_CHUNK},
	{"/last/", {200, UNFRAMED EVENT_1 EVENT_2, CLOSE}, 1, LAST_CHUNK},
	/* One without any event has none of its pieces. */
	{"/lines/", {200, UNFRAMED, CLOSE}, 2, LAST_CHUNK},
	{"/last/", {200, UNFRAMED, CLOSE}, 1, NULL},
	{"/last/", {200, UNFRAMED ": wait\n\n", CLOSE}, 1, NULL},
	/* One that ends inside an event, or by a reset, is broken off. */
	{"/lines/", {200, UNFRAMED EVENT_1 "id: 2\nda", CLOSE}, 2, LAST_CHUNK},
	{"/lines/",
	 {200, UNFRAMED EVENT_1 "id: 2\ndata: two\n", CLOSE},
	 2,
	 LAST_CHUNK},
	{"/lines/", {200, UNFRAMED EVENT_1, RESET}, 2, LAST_CHUNK},
	{"/lines/", {200, UNFRAMED EVENT_1, CLOSE_AND_RESET}, 2, LAST_CHUNK},
	{"/last/", {200, UNFRAMED EVENT_1 "id: 2\nda", CLOSE}, 1, NULL},
	{"/last/",
	 {200, UNFRAMED EVENT_1 "id: 2\ndata: two\n", CLOSE},
	 1,
	 NULL},
	{"/last/", {200, UNFRAMED EVENT_1, CLOSE_AND_RESET}, 1, NULL},
	/* Answers that are no stream. */
	{"/read/", {200, SIGNED "\r\nbody", CLOSE}, 1, "body"},
	{"/once/", {200, SIGNED "\r\nbody", CLOSE}, 1, "body"},
	{"/read/", {200, SIGNED "\r\nbo", RESET}, 2, "body"},
	{"/read/", {200, SIGNED "\r\nbo", CLOSE_AND_RESET}, 2, "body"},
	{"/once/", {200, SIGNED "\r\nbody", RESET}, 1, "HTTP/1.1 502 "},
	{"/once/",
	 {200, SIGNED "\r\nbody", CLOSE_AND_RESET},
	 1,
	 "HTTP/1.1 502 "},
	/* The answer to another request, and bytes that are none. */
	{"/read/", {0, OTHER_ID "other", CLOSE}, 2, "body"},
	{"/once/", {0, OTHER_ID "other", CLOSE}, 1, "HTTP/1.1 502 "},
	{"/lines/", {0, OTHER_ID EVENT_1, CLOSE}, 2, LAST_CHUNK},
	{"/last/", {0, OTHER_ID EVENT_1, CLOSE}, 1, "HTTP/1.1 502 "},
	{"/read/", {0, "no answer at all ", KEEP_OPEN}, 2, "body"},
	{"/once/", {0, "no answer at all ", KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/last/", {0, "no answer at all ", KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/read/", {0, NO_STATUS, KEEP_OPEN}, 2, "body"},
	{"/once/", {0, NO_STATUS, KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/lines/", {0, NO_STATUS, KEEP_OPEN}, 2, LAST_CHUNK},
	{"/last/", {0, NO_STATUS, KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/read/", {0, BLANK_IN_NAME, KEEP_OPEN}, 2, "body"},
	{"/once/", {0, BLANK_IN_NAME, KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/lines/", {0, BLANK_IN_NAME, KEEP_OPEN}, 2, LAST_CHUNK},
	{"/last/", {0, BLANK_IN_NAME, KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/read/", {0, CR_IN_NAME, KEEP_OPEN}, 2, "body"},
	{"/once/", {0, CR_IN_NAME, KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/lines/", {0, CR_IN_NAME, KEEP_OPEN}, 2, LAST_CHUNK},
	{"/last/", {0, CR_IN_NAME, KEEP_OPEN}, 1, "HTTP/1.1 502 "},
	{"/read/", {0, RARE_HEAD "\r\nbody", CLOSE}, 1, "body"},
	{"/once/", {0, RARE_HEAD "\r\nbody", CLOSE}, 1, "body"},
	{"/lines/",
	 {0, RARE_HEAD "\r\n" EVENT_1 EVENT_2, CLOSE},
	 1,
	 LAST_CHUNK},
	{"/last/", {0, RARE_HEAD "\r\n" EVENT_1 EVENT_2, CLOSE}, 1, LAST_CHUNK},
};

/* Guards against an answer without a length that counts as complete although
 * it was broken off, and the reverse; and against passing it on so that its
 * caller can't tell. */
START_TEST(answer_without_length_is_complete_only_at_its_end)
{
	const struct ending *ending = &endings[_i];
	bool is_stream = !strcmp(ending->path, "/lines/") ||
			 !strcmp(ending->path, "/last/");
	const struct answer both[] = {
		ending->first,
		{200, is_stream ? UNFRAMED EVENT_2 : SIGNED "\r\nbody", CLOSE}};
	struct platform_world world;
	struct wire_client *client =
		ask(&world, ending->path, both, 2, ending->awaited);
	const char *received = client->received->str;

	ck_assert_uint_eq(n_sends, ending->sends);
	ck_assert_ptr_null(strstr(received, "other"));
	if (!ending->awaited)
		ck_assert(!has_complete_end(client));
	else if (strcmp(ending->awaited, LAST_CHUNK) != 0)
		ck_assert_ptr_nonnull(strstr(received, "Content-Length: "));
	else
		ck_assert_ptr_null(
			strstr(strstr(received, EVENT_2) + 1, "id: 2"));
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

#define UPLOAD_BYTES (8 << 20)
/* Reads of the upload before the answer. */
#define FIRST_READS 13
#define READ_STEP 4
#define MOMENTS 12

/* Answers inside the upload, and resets the connection. */
static void answer_early(struct wire_conn *conn, const char *request,
			 void *user)
{
	struct worker *worker = user;

	if (!worker->step || --worker->step)
		return;
	n_sends++;
	send_answer(conn, request, answers->status, answers->rest);
	wire_reset(conn);
}

static void open_with_large_bodies(struct platform_world *world)
{
	json_t *config = world_config(1);
	guint i;

	json_object_set_new(
		config, "limits",
		json_pack("{s:i}", "max-body-bytes", 2 * UPLOAD_BYTES));
	world_open(world);
	world_put(world, "config", "main", config);
	world_worker(world, "p1", "plain", 0, 0);
	world_worker(world, "p2", "plain", 0, 0);
	world_start_ready_edge(world);
	for (i = 0; i < world->workers->len; i++)
		wire_server_on_part(worker(world, i)->server, answer_early);
}

/* Guards against part of an answer without a length that reaches the caller of
 * a long upload as complete. */
START_TEST(early_answer_that_is_reset_is_not_complete)
{
	static const struct answer plain = {200, SIGNED "\r\nbo", RESET};
	static const struct answer stream = {200, UNFRAMED EVENT_1, RESET};
	bool is_stream = _i >= MOMENTS;
	char *body = g_strnfill(UPLOAD_BYTES, 'x');
	struct platform_world world;
	struct wire_client *client;
	guint i;

	answers = is_stream ? &stream : &plain;
	open_with_large_bodies(&world);
	for (i = 0; i < world.workers->len; i++)
		worker(&world, i)->step =
			FIRST_READS + READ_STEP * (guint)(_i % MOMENTS);
	client = world_request(&world, "POST", is_stream ? "/last/" : "/once/",
			       KEY, body);
	if (is_stream)
		wire_client_await_close(&world.wire, client);
	else
		wire_client_await(&world.wire, client, "HTTP/1.1 502 ");
	ck_assert_uint_eq(n_sends, 1);
	ck_assert(!has_complete_end(client));
	wire_client_drop(client);
	world_close(&world);
	g_free(body);
}
END_TEST

/* Guards against bytes of a body after the answer to HEAD, which the caller
 * takes for the next answer. */
START_TEST(answer_to_head_has_no_body)
{
	static const struct answer head = {200, SIGNED EVENTS CHUNKED "\r\n",
					   KEEP_OPEN};
	struct platform_world world;
	struct wire_client *client;

	answers = &head;
	n_answers = 1;
	world_open_plain(&world);
	worker(&world, 0)->script = answer_in_order;
	worker(&world, 1)->script = answer_in_order;
	client = world_request(&world, "HEAD", "/lines/", KEY, "");
	wire_run_until(&world.wire, is_answered, client);
	world_run(&world, 50);
	ck_assert(g_str_has_prefix(client->received->str, "HTTP/1.1 200 "));
	ck_assert(g_str_has_suffix(client->received->str, "\r\n\r\n"));
	ck_assert_ptr_null(strstr(client->received->str, "\r\n\r\n0"));
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("answers_wire");

	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(
		tcase, repeated_refusal_does_not_answer_the_next_send, 0, 2);
	tcase_add_test(tcase, repeated_report_is_no_answer_to_an_order);
	tcase_add_loop_test(tcase, only_a_continuation_joins_a_broken_stream, 0,
			    G_N_ELEMENTS(wrong_continuations));
	tcase_add_loop_test(tcase,
			    answer_without_length_is_complete_only_at_its_end,
			    0, G_N_ELEMENTS(endings));
	tcase_add_loop_test(tcase, early_answer_that_is_reset_is_not_complete,
			    0, 2 * MOMENTS);
	tcase_add_test(tcase, answer_to_head_has_no_body);
	return sup_run_case("answers_wire", tcase);
}
