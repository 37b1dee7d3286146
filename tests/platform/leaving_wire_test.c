/* Targets that say in their answers that they are leaving or want no requests
 * for some time. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/support/stand_in.h"
#include "support/runner.h"

#define KEY "Authorization: Token key1\r\n"
#define TOKENS "X-Wagtailferry-Token-Counts: 50,50\r\n"
#define LEAVING "Server-Leaving: 1\r\n"
/* The least time that the platform allows after the first such answer. */
#define DRAIN_MS 2000
#define HEARTBEAT_MS 400

static struct worker *worker(struct platform_world *world, guint i)
{
	return world->workers->pdata[i];
}

static bool has_answer_head(void *user)
{
	struct wire_client *client = user;

	return strstr(client->received->str, "\r\n\r\n") != NULL;
}

static int read_status(const struct wire_client *client)
{
	return atoi(client->received->str + strlen("HTTP/1.1 "));
}

/* Sends a request and returns the status of the answer. */
static int ask(struct platform_world *world, const char *path)
{
	struct wire_client *client =
		world_request(world, "POST", path, KEY TOKENS, "");
	int status;

	wire_run_until(&world->wire, has_answer_head, client);
	status = read_status(client);
	wire_client_drop(client);
	return status;
}

/* Sends requests until the worker has received one. */
static void reach(struct platform_world *world, const struct worker *one,
		  const char *path)
{
	unsigned before = one->requests;
	int i;

	for (i = 0; i < 50 && one->requests == before; i++)
		ask(world, path);
	ck_assert_uint_gt(one->requests, before);
}

/* Writes a worker's entry as its heartbeat does, "ready". */
static void write_entry(struct platform_world *world, struct worker *one)
{
	static int sequence;

	json_object_set_new(one->entry, "sequence", json_integer(++sequence));
	world_put(world, "servers", one->id, json_deep_copy(one->entry));
}

static bool is_restart_seen(void *user)
{
	const struct worker *one = user;
	const struct flt_target *target =
		flt_find(edg_fleet(one->world->edge), one->id);

	return target && target->started_at == 2000;
}

static void write_entry_after_restart(struct platform_world *world,
				      struct worker *one)
{
	json_object_set_new(one->entry, "born", json_integer(2000));
	write_entry(world, one);
	wire_run_until(&world->wire, is_restart_seen, one);
}

static bool is_listed(void *user)
{
	const struct worker *one = user;

	return flt_find(edg_fleet(one->world->edge), one->id) != NULL;
}

static bool is_unlisted(void *user)
{
	return !is_listed(user);
}

/* Waits until a request may no longer reach the leaving worker, whose entry is
 * written again meanwhile and then listed anew. */
static void wait_until_left(struct platform_world *world, struct worker *one)
{
	clk_ms waited;

	for (waited = 0; waited < DRAIN_MS; waited += HEARTBEAT_MS) {
		write_entry(world, one);
		world_run(world, HEARTBEAT_MS);
	}
	world->store_mode = STORE_GONE;
	json_array_clear(world->events);
	write_entry(world, one);
	world_run(world, HEARTBEAT_MS);
	world->store_mode = STORE_ANSWERS;
	world_run(world, HEARTBEAT_MS);
}

/* Guards against requests to a worker that has said in any answer that it is
 * leaving, while its entry still says that it is ready. */
START_TEST(leaving_worker_gets_no_more_requests)
{
	static const enum worker_mode modes[] = {
		WORKER_ANSWERS, WORKER_FAILS, WORKER_REFUSES,
		WORKER_REFUSES_WITHOUT_PROOF, WORKER_UNSIGNED};
	struct platform_world world;
	struct worker *one;
	unsigned before;
	int i;

	world_open_plain(&world);
	one = worker(&world, 0);
	one->mode = modes[_i];
	one->fields = LEAVING;
	reach(&world, one, "/read/");
	one->mode = WORKER_ANSWERS;
	wait_until_left(&world, one);
	before = one->requests;
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(ask(&world, "/read/"), 200);
	/* Not even when no other target is left. */
	worker(&world, 1)->mode = WORKER_REFUSES;
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(ask(&world, "/read/"), 503);
	ck_assert_uint_eq(one->requests, before);
	ck_assert_ptr_nonnull(strstr(world.log_text->str, "\"leaving\""));
	one->fields = NULL;
	write_entry_after_restart(&world, one);
	ck_assert_int_eq(ask(&world, "/read/"), 200);
	world_close(&world);
}
END_TEST

/* Guards against the same after the entry expired and was written again. */
START_TEST(leaving_worker_stays_excluded_when_listed_anew)
{
	struct platform_world world;
	struct worker *one;
	unsigned before;
	int i;

	world_open_plain(&world);
	one = worker(&world, 0);
	one->fields = LEAVING;
	reach(&world, one, "/read/");
	world_delete(&world, "servers", "p1");
	wait_until_left(&world, one);
	before = one->requests;
	worker(&world, 1)->mode = WORKER_REFUSES;
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(ask(&world, "/read/"), 503);
	ck_assert_uint_eq(one->requests, before);
	world_close(&world);
}
END_TEST

/* Guards against reading the notice only when an answer has ended: that of a
 * stream may take minutes. */
START_TEST(leaving_head_gets_no_more_streams)
{
	struct platform_world world;
	struct worker *one;
	struct wire_client *client;
	unsigned before;
	int i;

	world_open_engines(&world);
	one = worker(&world, 0);
	one->fields = LEAVING;
	one->mode = WORKER_STALLS_STREAM;
	worker(&world, 1)->mode = WORKER_REFUSES;
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	wire_client_await(&world.wire, client, "data: one");
	ck_assert_uint_eq(one->requests, 1);
	one->mode = WORKER_ANSWERS;
	wait_until_left(&world, one);
	before = one->requests;
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(ask(&world, "/stream/"), 503);
	ck_assert_uint_eq(one->requests, before);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Sends a stream and returns whether its path includes the engine. */
static bool is_on_path(struct platform_world *world, const char *address)
{
	struct worker *first = worker(world, 0);
	struct worker *second = worker(world, 1);

	g_string_truncate(first->last_request, 0);
	g_string_truncate(second->last_request, 0);
	ck_assert_int_eq(ask(world, "/stream/"), 200);
	return strstr(first->last_request->str, address) ||
	       strstr(second->last_request->str, address);
}

/* Guards against ignoring the notice in an engine's report: an engine in the
 * middle of paths answers no requests. */
START_TEST(engine_whose_report_says_leaving_gets_no_more_paths)
{
	struct platform_world world;
	struct worker *third;
	struct wire_client *client;
	const char *address;
	int i;

	world_open_engines(&world);
	third = worker(&world, 2);
	address = wire_server_address(third->server);
	third->fields = LEAVING;
	worker(&world, 0)->mode = WORKER_STALLS_STREAM;
	worker(&world, 1)->mode = WORKER_STALLS_STREAM;
	for (i = 0; i < 8; i++) {
		client = world_request(&world, "POST", "/stream/", KEY TOKENS,
				       "");
		wire_client_await(&world.wire, client, "data: one");
		world_run(&world, 300);
		wire_client_drop(client);
	}
	worker(&world, 0)->mode = WORKER_ANSWERS;
	worker(&world, 1)->mode = WORKER_ANSWERS;
	ck_assert_ptr_nonnull(strstr(world.log_text->str, "target e3"));
	wait_until_left(&world, third);
	for (i = 0; i < 8; i++)
		ck_assert(!is_on_path(&world, address));
	world_close(&world);
}
END_TEST

/* Guards against layers that are ordered at an engine that is leaving. */
START_TEST(leaving_engine_is_not_ordered_to_load_layers)
{
	struct platform_world world;
	guint i;

	world_open(&world);
	world_put(&world, "config", "main", world_config(1));
	for (i = 0; i < 3; i++) {
		char *id = g_strdup_printf("e%u", i + 1);

		world_worker(&world, id, "model", 0, 0);
		g_free(id);
	}
	worker(&world, 0)->fields = LEAVING;
	world_start_edge(&world);
	wire_run_until(&world.wire, world_holds_all_layers, &world);
	ck_assert_uint_eq(worker(&world, 0)->orders->len, 0);
	ck_assert_int_eq(ask(&world, "/stream/"), 200);
	world_close(&world);
}
END_TEST

/* A refusal that asks for no more requests for CLOSED_MS. */
#define CLOSED_MS 1500
#define RETURN "Retry-After: 1.5\r\n"

/* Sends a request that must be refused at once, to return when the target is
 * open again. */
static void expect_return_time(struct platform_world *world, const char *path,
			       clk_ms least, clk_ms most)
{
	clk_ms began = edg_now(world->edge);
	struct wire_client *client =
		world_request(world, "POST", path, KEY TOKENS, "");
	double after;
	char *text;

	wire_run_until(&world->wire, has_answer_head, client);
	ck_assert_int_eq(read_status(client), 503);
	ck_assert_int_lt(edg_now(world->edge) - began, 300);
	text = wire_header(client->received->str, "Retry-After");
	ck_assert_ptr_nonnull(text);
	after = g_ascii_strtod(text, NULL) * CLK_SECOND;
	ck_assert_double_ge(after, (double)least);
	ck_assert_double_le(after, (double)most);
	g_free(text);
	wire_client_drop(client);
}

/* Guards against requests to a worker that has refused one and wants no others
 * for some time, also if no other worker is left. */
START_TEST(closed_worker_gets_no_requests_until_it_opens)
{
	static const enum worker_mode modes[] = {WORKER_REFUSES,
						 WORKER_REFUSES_WITHOUT_PROOF};
	struct platform_world world;
	struct worker *one;
	struct worker *two;
	clk_ms closed_at;

	world_open_plain(&world);
	one = worker(&world, 0);
	two = worker(&world, 1);
	one->mode = modes[_i];
	two->mode = modes[_i];
	one->fields = RETURN;
	two->fields = "Retry-After: 60\r\n";
	closed_at = edg_now(world.edge);
	while (!one->requests || !two->requests)
		ask(&world, "/read/");
	one->mode = WORKER_ANSWERS;
	two->mode = WORKER_ANSWERS;
	one->fields = NULL;
	two->fields = NULL;
	while (edg_now(world.edge) - closed_at < CLOSED_MS - 100) {
		clk_ms left = CLOSED_MS - (edg_now(world.edge) - closed_at);

		expect_return_time(&world, "/read/", left - 50, CLOSED_MS + 10);
		expect_return_time(&world, "/lines/", left - 100,
				   CLOSED_MS + 10);
		write_entry(&world, one);
		world_run(&world, 100);
	}
	ck_assert_uint_eq(one->requests, 1);
	ck_assert_ptr_nonnull(strstr(world.log_text->str, "\"closed\""));
	world_run(&world, 200);
	ck_assert_int_eq(ask(&world, "/read/"), 200);
	ck_assert_uint_eq(one->requests, 2);
	ck_assert_uint_eq(two->requests, 1);
	write_entry_after_restart(&world, two);
	one->mode = WORKER_REFUSES;
	reach(&world, two, "/read/");
	world_close(&world);
}
END_TEST

/* Guards against a worker that excludes itself by a value that is no number of
 * seconds, and one that is ignored because it is large. */
START_TEST(malformed_closed_time_is_ignored)
{
	static const char *const values[] = {
		"-5",	"nan", "inf",
		"0x10", "1e9", "1.2.3",
		"soon", "",    "Sat, 05 Dec 2026 06:00:00 GMT"};
	struct platform_world world;
	struct flt_target *target;
	size_t i;

	world_open_plain(&world);
	worker(&world, 0)->mode = WORKER_REFUSES;
	worker(&world, 1)->mode = WORKER_REFUSES;
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		char *field = g_strdup_printf("Retry-After: %s\r\n", values[i]);

		worker(&world, 0)->fields = field;
		reach(&world, worker(&world, 0), "/read/");
		worker(&world, 0)->fields = NULL;
		g_free(field);
	}
	target = flt_find(edg_fleet(world.edge), "p1");
	ck_assert_int_eq(target->closed_until, 0);
	worker(&world, 0)->fields =
		"Retry-After: 99999999999999999999999999999999\r\n";
	reach(&world, worker(&world, 0), "/read/");
	ck_assert_int_gt(target->closed_until, edg_now(world.edge));
	ck_assert_int_le(target->closed_until,
			 edg_now(world.edge) + 5 * CLK_MINUTE);
	world_close(&world);
}
END_TEST

/* Guards against the same for heads of paths: streams must neither reach them
 * nor wait beyond the time at which they could start in time. */
START_TEST(closed_heads_get_no_streams_until_they_open)
{
	struct platform_world world;
	struct worker *heads[2];
	unsigned before;
	guint i;

	world_open_engines(&world);
	for (i = 0; i < 2; i++) {
		heads[i] = worker(&world, i);
		heads[i]->mode = WORKER_REFUSES;
		heads[i]->fields = RETURN;
	}
	while (!heads[0]->requests || !heads[1]->requests)
		ask(&world, "/stream/");
	before = heads[0]->requests + heads[1]->requests;
	heads[0]->mode = WORKER_ANSWERS;
	heads[1]->mode = WORKER_ANSWERS;
	for (i = 0; i < 5; i++) {
		expect_return_time(&world, "/stream/", 600, CLOSED_MS + 10);
		world_run(&world, 100);
	}
	ck_assert_uint_eq(heads[0]->requests + heads[1]->requests, before);
	world_run(&world, 1000);
	ck_assert_int_eq(ask(&world, "/stream/"), 200);
	world_close(&world);
}
END_TEST

/* Guards against closing the head for an engine of its path that refused, and
 * against further paths through that engine. */
START_TEST(closed_engine_of_a_path_is_left_out)
{
	struct platform_world world;
	struct worker *third;
	const char *address;
	char *fields;
	guint i;

	world_open_engines(&world);
	third = worker(&world, 2);
	address = wire_server_address(third->server);
	fields =
		g_strdup_printf("At-Server: %s\r\nRetry-After: 3\r\n", address);
	for (i = 0; i < 2; i++) {
		worker(&world, i)->mode = WORKER_REFUSES;
		worker(&world, i)->fields = fields;
	}
	ask(&world, "/stream/");
	for (i = 0; i < 2; i++) {
		worker(&world, i)->mode = WORKER_ANSWERS;
		worker(&world, i)->fields = NULL;
	}
	/* Longer than a full engine is avoided. */
	world_run(&world, 700);
	for (i = 0; i < 2; i++)
		ck_assert(!flt_is_closed(
			flt_find(edg_fleet(world.edge), worker(&world, i)->id),
			edg_now(world.edge)));
	world_delete(&world, "servers", "e4");
	wire_run_until(&world.wire, is_unlisted, worker(&world, 3));
	/* The layers are held, if only by the closed engine. */
	expect_return_time(&world, "/stream/", 2000, 3010);
	ck_assert_ptr_null(strstr(world.log_text->str, "no_path"));
	write_entry(&world, worker(&world, 3));
	wire_run_until(&world.wire, is_listed, worker(&world, 3));
	for (i = 0; i < 4; i++)
		ck_assert(!is_on_path(&world, address));
	g_free(fields);
	world_close(&world);
}
END_TEST

/* Guards against orders to an engine that wants no requests, and against layers
 * that stay missing once it is open. */
START_TEST(orders_wait_until_a_closed_engine_opens)
{
	struct platform_world world;
	clk_ms closed_at;

	world_open(&world);
	world_put(&world, "config", "main", world_config(1));
	world_worker(&world, "e1", "model", 0, 0);
	world_worker(&world, "e2", "model", 0, 0);
	world_start_edge(&world);
	wire_run_until(&world.wire, is_listed, worker(&world, 0));
	closed_at = edg_now(world.edge);
	ck_assert(flt_mark_closed(edg_fleet(world.edge), closed_at, "e1", 1000,
				  CLOSED_MS));
	world_run(&world, CLOSED_MS - 100);
	ck_assert_uint_eq(worker(&world, 0)->orders->len, 0);
	ck_assert_uint_eq(worker(&world, 1)->orders->len, 1);
	wire_run_until(&world.wire, world_holds_all_layers, &world);
	ck_assert_int_ge(edg_now(world.edge) - closed_at, CLOSED_MS);
	world_close(&world);
}
END_TEST

/* Guards against a series of queries to engines that want no requests, while a
 * stream on them is silent. */
START_TEST(closed_engines_are_queried_once)
{
	struct platform_world world;
	struct wire_client *client;
	guint i;

	world_open_engines(&world);
	for (i = 0; i < 4; i++)
		worker(&world, i)->mode = WORKER_STALLS_STREAM;
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	wire_client_await(&world.wire, client, "data: one");
	for (i = 0; i < 4; i++)
		ck_assert(flt_mark_closed(edg_fleet(world.edge),
					  edg_now(world.edge),
					  worker(&world, i)->id, 1000, 5000));
	world_run(&world, 2500);
	/* One to each of the two engines of the path. */
	ck_assert_int_eq(ctr_get(world.counters, "wf_platform_reports_total"),
			 2);
	ck_assert_uint_eq(
		worker(&world, 0)->requests + worker(&world, 1)->requests, 1);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Guards against sending a broken stream again to its head when that wants no
 * requests: its run counts against the limit, so no other head may run it. */
START_TEST(broken_stream_is_not_sent_again_to_closed_heads)
{
	struct platform_world world;
	struct wire_client *client;
	guint i;

	world_open_engines(&world);
	for (i = 0; i < 2; i++)
		worker(&world, i)->mode = WORKER_BREAKS_STREAM;
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	wire_client_await(&world.wire, client, "data: one");
	for (i = 0; i < 2; i++)
		flt_mark_closed(edg_fleet(world.edge), edg_now(world.edge),
				worker(&world, i)->id, 1000, 5000);
	wire_client_await_close(&world.wire, client);
	ck_assert_uint_le(worker(&world, 0)->requests, 1);
	ck_assert_uint_le(worker(&world, 1)->requests, 1);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* How an instance knows that a worker leaves or wants no requests. */
enum notice {
	NOTICE_ENTRY,
	NOTICE_ANSWER,
	NOTICE_REMOVED,
	NOTICE_CLOSED,
	N_NOTICES,
};

static bool may_get_none(void *user)
{
	const struct worker *one = user;
	struct edg_edge *edge = one->world->edge;
	const struct flt_target *target = flt_find(edg_fleet(edge), one->id);

	return !target || !flt_may_send(target, edg_now(edge));
}

/* Waits until no request may reach the worker. */
static void leave(struct platform_world *world, struct worker *one,
		  enum notice notice)
{
	if (notice == NOTICE_ENTRY) {
		json_object_set_new(one->entry, "state",
				    json_string("draining"));
		write_entry(world, one);
	} else if (notice == NOTICE_ANSWER) {
		ck_assert(flt_mark_leaving(edg_fleet(world->edge),
					   edg_now(world->edge), one->id,
					   1000));
	} else if (notice == NOTICE_REMOVED) {
		world_delete(world, "servers", one->id);
	} else {
		ck_assert(flt_mark_closed(edg_fleet(world->edge),
					  edg_now(world->edge), one->id, 1000,
					  60000));
	}
	wire_run_until(&world->wire, may_get_none, one);
}

/* The first head that gets a stream breaks it off, the other one stalls it. */
static bool break_first_stream(struct worker *one, struct wire_conn *conn,
			       const char *request)
{
	guint i;

	(void)conn;
	if (!strstr(request, "/stream/") || one->mode == WORKER_STALLS_STREAM)
		return false;
	for (i = 0; i < 2; i++) {
		if (worker(one->world, i) != one)
			worker(one->world, i)->mode = WORKER_STALLS_STREAM;
	}
	return false;
}

static bool is_stalled(void *user)
{
	struct platform_world *world = user;

	return worker(world, 0)->stream || worker(world, 1)->stream;
}

/* Opens a stream that one living head has broken off and that the other one
 * runs, silent, after its first event: both are as many as the route allows.
 * Returns the second head. From then on heads answer. */
static struct worker *open_at_second_head(struct platform_world *world,
					  struct wire_client **client)
{
	struct worker *second;
	unsigned i;

	world_open_engines(world);
	for (i = 0; i < 2; i++) {
		worker(world, i)->mode = WORKER_BREAKS_STREAM;
		worker(world, i)->script = break_first_stream;
	}
	*client = world_request(world, "POST", "/stream/", KEY TOKENS, "");
	wire_run_until(&world->wire, is_stalled, world);
	second = worker(world, worker(world, 0)->stream ? 0 : 1);
	for (i = 0; i < 2; i++) {
		worker(world, i)->mode = WORKER_ANSWERS;
		worker(world, i)->script = NULL;
	}
	return second;
}

/* Guards against sending a stream that breaks off to its head once more after
 * that has left; the one before, which goes on, may get it. */
START_TEST(broken_stream_is_not_sent_again_to_a_head_that_leaves)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *second = open_at_second_head(&world, &client);
	struct worker *first =
		worker(&world, second == worker(&world, 0) ? 1 : 0);
	unsigned before = second->requests;
	unsigned before_first = first->requests;

	leave(&world, second, (enum notice)_i);
	wire_hang_up(second->stream);
	wire_client_await(&world.wire, client,
			  "id: 2\ndata: two\n\n\r\n0\r\n\r\n");
	ck_assert_uint_eq(second->requests, before);
	ck_assert_uint_eq(first->requests, before_first + 1);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* The same if both leave: the stream ends at once. */
START_TEST(broken_stream_of_heads_that_leave_ends)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *second = open_at_second_head(&world, &client);
	unsigned before = world_total_requests(&world);

	leave(&world, worker(&world, 0), (enum notice)_i);
	leave(&world, worker(&world, 1), (enum notice)_i);
	wire_hang_up(second->stream);
	wire_client_await_close(&world.wire, client);
	ck_assert_uint_eq(world_total_requests(&world), before);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Guards against sending a stream to its head once more along an engine that
 * has left, because that is on its present path. */
START_TEST(stream_sent_again_to_its_head_avoids_engines_that_leave)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *head = open_at_second_head(&world, &client);
	struct worker *tail = worker(&world, 2);
	unsigned before = head->requests;

	if (!strstr(head->last_request->str, wire_server_address(tail->server)))
		tail = worker(&world, 3);
	ck_assert_ptr_nonnull(strstr(head->last_request->str,
				     wire_server_address(tail->server)));
	leave(&world, tail, (enum notice)_i);
	wire_hang_up(head->stream);
	wire_client_await(&world.wire, client,
			  "id: 2\ndata: two\n\n\r\n0\r\n\r\n");
	ck_assert_uint_eq(head->requests, before + 1);
	ck_assert_ptr_null(strstr(head->last_request->str,
				  wire_server_address(tail->server)));
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("leaving_wire");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, leaving_worker_gets_no_more_requests, 0, 5);
	tcase_add_test(tcase, leaving_worker_stays_excluded_when_listed_anew);
	tcase_add_test(tcase, leaving_head_gets_no_more_streams);
	tcase_add_test(tcase,
		       engine_whose_report_says_leaving_gets_no_more_paths);
	tcase_add_test(tcase, leaving_engine_is_not_ordered_to_load_layers);
	tcase_add_loop_test(
		tcase, closed_worker_gets_no_requests_until_it_opens, 0, 2);
	tcase_add_test(tcase, malformed_closed_time_is_ignored);
	tcase_add_test(tcase, closed_heads_get_no_streams_until_they_open);
	tcase_add_test(tcase, closed_engine_of_a_path_is_left_out);
	tcase_add_test(tcase, orders_wait_until_a_closed_engine_opens);
	tcase_add_test(tcase, closed_engines_are_queried_once);
	tcase_add_test(tcase, broken_stream_is_not_sent_again_to_closed_heads);
	tcase_add_loop_test(
		tcase, broken_stream_is_not_sent_again_to_a_head_that_leaves, 0,
		N_NOTICES);
	tcase_add_loop_test(tcase, broken_stream_of_heads_that_leave_ends, 0,
			    N_NOTICES);
	tcase_add_loop_test(
		tcase, stream_sent_again_to_its_head_avoids_engines_that_leave,
		0, N_NOTICES);
	return sup_run_case("leaving_wire", tcase);
}
