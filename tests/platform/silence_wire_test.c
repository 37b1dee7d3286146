/* Targets that fall silent for a moment and go on: no answer ends for it. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/support/stand_in.h"
#include "support/runner.h"

#define KEY "Authorization: Token key1\r\n"
#define TOKENS "X-Wagtailferry-Token-Counts: 50,50\r\n"
/* Beyond all time limits of the edge's stall detection. */
#define SILENCE_MS 1200
/* Beyond the time for which it waits for a report. */
#define REPORT_WAIT_MS 500

static struct worker *worker(struct platform_world *world, guint i)
{
	return world->workers->pdata[i];
}

/* Engines for all layers: heads of the first half and as many others. */
static void open_engines(struct platform_world *world, unsigned heads)
{
	unsigned i;

	world_open(world);
	world_put(world, "config", "main", world_config(1));
	for (i = 0; i < heads; i++) {
		char *head = g_strdup_printf("head%u", i);
		char *tail = g_strdup_printf("tail%u", i);

		world_worker(world, head, "model", 0, 4);
		world_worker(world, tail, "model", 4, 8);
		g_free(head);
		g_free(tail);
	}
	world_start_ready_edge(world);
	for (i = 0; i < world->workers->len; i++)
		worker(world, i)->mode = WORKER_STALLS_STREAM;
}

/* Opens a stream, and silences its head after the first event. */
static struct wire_client *open_silent_stream(struct platform_world *world,
					      const char *path,
					      struct worker **head)
{
	struct wire_client *client =
		world_request(world, "POST", path, KEY TOKENS, "");
	guint i = 0;

	wire_client_await(&world->wire, client, "data: one");
	while (!worker(world, i)->requests)
		i++;
	*head = worker(world, i);
	(*head)->is_late = true;
	return client;
}

static void expect_rest(struct platform_world *world,
			struct wire_client *client, struct worker *head)
{
	ck_assert_msg(!client->closed, "the stream was cut off");
	worker_release_late(head);
	worker_resume_stream(head);
	wire_client_await(&world->wire, client,
			  "id: 2\ndata: two\n\n\r\n0\r\n\r\n");
	wire_client_drop(client);
}

/* Guards against a stream that is cut off beside a change of the configuration
 * because its engine is silent and no other path exists. */
START_TEST(silent_engine_without_alternative_keeps_its_stream)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *head;

	open_engines(&world, 1);
	client = open_silent_stream(&world, "/stream/", &head);
	world_put(&world, "config", "main", world_config(2));
	world_run(&world, SILENCE_MS);
	ck_assert_int_eq(ctr_get(world.counters, "wf_edge_config_version"), 2);
	expect_rest(&world, client, head);
	ck_assert_uint_eq(world_total_requests(&world), 1);
	world_close(&world);
}
END_TEST

/* Guards against cutting off a stream that can't be resumed elsewhere. */
START_TEST(silent_engine_keeps_a_stream_that_may_not_be_resumed)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *head;

	open_engines(&world, 2);
	client = open_silent_stream(&world, "/final/", &head);
	world_run(&world, SILENCE_MS);
	expect_rest(&world, client, head);
	ck_assert_uint_eq(world_total_requests(&world), 1);
	world_close(&world);
}
END_TEST

/* Guards against cutting off a stream because the other head is full. */
START_TEST(silent_engine_keeps_a_stream_that_other_heads_refuse)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *head;
	guint i;

	open_engines(&world, 3);
	client = open_silent_stream(&world, "/stream/", &head);
	for (i = 0; i < world.workers->len; i++) {
		if (worker(&world, i) != head)
			worker(&world, i)->mode = WORKER_REFUSES;
	}
	world_run(&world, SILENCE_MS);
	ck_assert_uint_gt(world_total_requests(&world), 1);
	expect_rest(&world, client, head);
	world_close(&world);
}
END_TEST

static bool has_two_requests(void *user)
{
	struct platform_world *world = user;
	unsigned kept = 0;
	guint i;

	for (i = 0; i < world->workers->len; i++)
		kept += worker(world, i)->late_requests->len > 0 &&
			!worker(world, i)->requests;
	return kept > 0;
}

/* Guards against losing a stream whose engine breaks off after another head has
 * got the stream and before that answers. */
START_TEST(stream_continues_at_the_head_that_got_it_during_the_silence)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *head;
	guint i;

	open_engines(&world, 2);
	client = open_silent_stream(&world, "/stream/", &head);
	for (i = 0; i < world.workers->len; i++)
		worker(&world, i)->is_late = true;
	wire_run_until(&world.wire, has_two_requests, &world);
	wire_hang_up(head->stream);
	world_run(&world, 50);
	ck_assert(!client->closed);
	for (i = 0; i < world.workers->len; i++)
		worker_release_late(worker(&world, i));
	wire_client_await(&world.wire, client,
			  "id: 2\ndata: two\n\n\r\n0\r\n\r\n");
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Answers all, so that the caller gets it if the run counts. */
static bool answer_400(struct worker *worker, struct wire_conn *conn,
		       const char *request)
{
	(void)worker;
	if (!g_str_has_prefix(request, "POST /stream/"))
		return false;
	wire_answer(conn, 400, "X-Wagtailferry-Server-Stamp: sig\r\n", "later");
	return true;
}

static bool answer_500(struct worker *worker, struct wire_conn *conn,
		       const char *request)
{
	(void)worker;
	(void)request;
	wire_answer(conn, 500, "X-Wagtailferry-Server-Stamp: sig\r\n",
		    "earlier");
	return true;
}

static bool has_late_request(void *user)
{
	return ((struct worker *)user)->late_requests->len > 0;
}

static bool has_any_late_request(void *user)
{
	struct platform_world *world = user;

	return has_late_request(worker(world, 0)) ||
	       has_late_request(worker(world, 2));
}

/* Guards against an answer made of the bodies of two runs: the silent one fails
 * while another head has the request. */
START_TEST(answer_after_a_takeover_has_only_its_own_body)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *first;
	struct worker *second;
	guint i;

	open_engines(&world, 2);
	for (i = 0; i < world.workers->len; i++)
		worker(&world, i)->is_late = true;
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	wire_run_until(&world.wire, has_any_late_request, &world);
	first = worker(&world, has_late_request(worker(&world, 0)) ? 0 : 2);
	second = worker(&world, first == worker(&world, 0) ? 2 : 0);
	wire_run_until(&world.wire, has_late_request, second);
	first->script = answer_500;
	worker_release_late(first);
	world_run(&world, 100);
	ck_assert_uint_eq(client->received->len, 0);
	second->script = answer_400;
	worker_release_late(second);
	wire_client_await(&world.wire, client, "later");
	ck_assert_ptr_null(strstr(client->received->str, "earlier"));
	ck_assert_ptr_nonnull(strstr(client->received->str, "HTTP/1.1 400"));
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Number of engines on the path of the head's request that count as down. */
static unsigned count_down(struct platform_world *world,
			   const struct worker *head)
{
	const GPtrArray *targets = flt_targets(edg_fleet(world->edge));
	unsigned count = 0;
	guint i;

	for (i = 0; i < targets->len; i++) {
		const struct flt_target *target = targets->pdata[i];

		count += strstr(head->last_request->str, target->address) &&
			 target->down_until > edg_now(world->edge);
	}
	return count;
}

/* Guards against cutting off a stream because the other heads are silent. */
START_TEST(silent_engines_keep_their_streams)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *head;
	guint i;

	open_engines(&world, 2);
	client = open_silent_stream(&world, "/stream/", &head);
	for (i = 0; i < world.workers->len; i++)
		worker(&world, i)->is_late = true;
	world_run(&world, SILENCE_MS);
	ck_assert_uint_eq(count_down(&world, head), 2);
	expect_rest(&world, client, head);
	ck_assert_uint_eq(count_down(&world, head), 0);
	world_close(&world);
}
END_TEST

/* Guards against cutting off a stream whose second engine is silent when no
 * other engine holds its layers. */
START_TEST(silent_second_engine_keeps_its_stream)
{
	struct platform_world world;
	struct wire_client *client;

	open_engines(&world, 1);
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	wire_client_await(&world.wire, client, "data: one");
	worker(&world, 1)->is_late = true;
	world_run(&world, SILENCE_MS);
	worker_release_late(worker(&world, 1));
	expect_rest(&world, client, worker(&world, 0));
	ck_assert_uint_eq(world_total_requests(&world), 1);
	world_close(&world);
}
END_TEST

/* Guards against ending a request that waits for its first event. */
START_TEST(silent_engine_keeps_a_request_without_an_event)
{
	struct platform_world world;
	struct wire_client *client;
	guint i;

	open_engines(&world, 1);
	for (i = 0; i < world.workers->len; i++)
		worker(&world, i)->is_late = true;
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	world_run(&world, SILENCE_MS);
	ck_assert_uint_eq(client->received->len, 0);
	for (i = 0; i < world.workers->len; i++)
		worker_release_late(worker(&world, i));
	wire_client_await(&world.wire, client, "0\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(client->received->str, "HTTP/1.1 200"));
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* The head besides the one given that has the stream, or NULL. */
static struct worker *find_next_head(struct platform_world *world,
				     const struct worker *head)
{
	guint i;

	for (i = 0; i < world->workers->len; i++) {
		if (worker(world, i) != head && worker(world, i)->requests)
			return worker(world, i);
	}
	return NULL;
}

static bool has_next_head(void *user)
{
	struct platform_world *world = user;
	guint i;

	for (i = 0; i < world->workers->len; i++) {
		if (worker(world, i)->is_late)
			return find_next_head(world, worker(world, i)) != NULL;
	}
	return false;
}

/* Guards against runs on more living heads than the route allows, because one
 * that is silent counts as ended. */
START_TEST(silent_heads_count_against_the_limit)
{
	struct platform_world world;
	struct wire_client *client;
	struct worker *first;
	struct worker *second;
	guint heads = 0;
	guint i;

	open_engines(&world, 3);
	client = open_silent_stream(&world, "/stream/", &first);
	wire_run_until(&world.wire, has_next_head, &world);
	second = find_next_head(&world, first);
	world_run(&world, REPORT_WAIT_MS);
	worker_release_late(first);
	second->is_late = true;
	world_run(&world, SILENCE_MS);
	for (i = 0; i < world.workers->len; i++)
		heads += worker(&world, i)->requests > 0;
	ck_assert_uint_eq(heads, 2);
	expect_rest(&world, client, second);
	world_close(&world);
}
END_TEST

/* Guards against ending an answer that a plain target delays. */
START_TEST(silent_plain_target_keeps_its_request)
{
	struct platform_world world;
	struct wire_client *client;

	world_open(&world);
	world_put(&world, "config", "main", world_config(1));
	world_worker(&world, "p1", "plain", 0, 0);
	world_start_ready_edge(&world);
	worker(&world, 0)->is_late = true;
	client = world_request(&world, "POST", "/once/", KEY, "");
	world_run(&world, SILENCE_MS);
	world_put(&world, "config", "main", world_config(2));
	ck_assert_uint_eq(client->received->len, 0);
	worker_release_late(worker(&world, 0));
	wire_client_await(&world.wire, client, "body");
	ck_assert_uint_eq(world_total_requests(&world), 1);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Opens a stream and stalls its second engine, of which another one then
 * appears. The head, the only one, refuses to change the path. */
static struct wire_client *open_stalled_stream(struct platform_world *world)
{
	struct wire_client *client;
	struct worker *head;

	open_engines(world, 1);
	client = world_request(world, "POST", "/stream/", KEY TOKENS, "");
	wire_client_await(&world->wire, client, "data: one");
	head = worker(world, 0);
	head->order_status = 409;
	head->stalled = wire_server_address(worker(world, 1)->server);
	world_worker(world, "tail1", "model", 4, 8);
	return client;
}

static bool has_second_request(void *user)
{
	return ((struct worker *)user)->requests > 1;
}

/* Guards against a stream that waits for a lost engine until its caller leaves:
 * its head refuses to change the path, and no other head exists. */
START_TEST(lost_second_engine_costs_no_stream_of_a_head_that_keeps_its_path)
{
	struct platform_world world;
	struct wire_client *client = open_stalled_stream(&world);
	struct worker *head = worker(&world, 0);

	head->mode = WORKER_ANSWERS;
	wire_run_until(&world.wire, has_second_request, head);
	ck_assert_ptr_null(strstr(head->last_request->str, head->stalled));
	ck_assert_ptr_nonnull(
		strstr(head->last_request->str, "Last-Event-Id: 1\r\n"));
	wire_client_await(&world.wire, client,
			  "id: 2\ndata: two\n\n\r\n0\r\n\r\n");
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Guards against restarting a stream whose engine is silent for about a
 * second, which sound ones are. */
START_TEST(sound_second_engine_keeps_its_run_for_a_second)
{
	struct platform_world world;
	struct wire_client *client = open_stalled_stream(&world);
	struct worker *head = worker(&world, 0);

	world_run(&world, 1100);
	expect_rest(&world, client, head);
	ck_assert_uint_eq(head->requests, 1);
	world_close(&world);
}
END_TEST

static bool is_any_down(void *user)
{
	struct platform_world *world = user;

	return count_down(world, worker(world, 0)) > 0;
}

/* Guards against giving up a run because an engine of its path was suspected
 * once, when a later report doesn't name it. */
START_TEST(engine_that_is_not_found_lost_again_keeps_its_run)
{
	struct platform_world world;
	struct wire_client *client = open_stalled_stream(&world);
	struct worker *head = worker(&world, 0);

	wire_run_until(&world.wire, is_any_down, &world);
	head->stalled = NULL;
	world_run(&world, 1500);
	expect_rest(&world, client, head);
	ck_assert_uint_eq(head->requests, 1);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("silence");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase,
		       silent_engine_without_alternative_keeps_its_stream);
	tcase_add_test(tcase,
		       silent_engine_keeps_a_stream_that_may_not_be_resumed);
	tcase_add_test(tcase,
		       silent_engine_keeps_a_stream_that_other_heads_refuse);
	tcase_add_test(tcase, silent_engines_keep_their_streams);
	tcase_add_test(
		tcase,
		stream_continues_at_the_head_that_got_it_during_the_silence);
	tcase_add_test(tcase, answer_after_a_takeover_has_only_its_own_body);
	tcase_add_test(tcase, silent_second_engine_keeps_its_stream);
	tcase_add_test(tcase, silent_engine_keeps_a_request_without_an_event);
	tcase_add_test(tcase, silent_heads_count_against_the_limit);
	tcase_add_test(tcase, silent_plain_target_keeps_its_request);
	tcase_add_test(
		tcase,
		lost_second_engine_costs_no_stream_of_a_head_that_keeps_its_path);
	tcase_add_test(tcase, sound_second_engine_keeps_its_run_for_a_second);
	tcase_add_test(tcase,
		       engine_that_is_not_found_lost_again_keeps_its_run);
	return sup_run_case("silence_wire", tcase);
}
