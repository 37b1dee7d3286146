/*
 * Streams whose engine is lost while the engines that could take them are
 * full: they are moved at a bounded rate, and in one way at a time.
 */

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "platform/support/stand_in.h"
#include "support/runner.h"

#define KEY "Authorization: Token key1\r\n"
#define TOKENS "X-Wagtailferry-Token-Counts: 50,50\r\n"
#define HEADS 2
#define TAILS 8
/* Shortest time between a refusal and the next move of the same stream, less
 * the granularity of the clocks. */
#define MIN_BACKOFF_MS 95
#define MAX_ATTEMPTS 32

/* What the engines refused, in the order of time. */
struct attempts {
	clk_ms at[MAX_ATTEMPTS];
	bool is_order[MAX_ATTEMPTS];
	guint count;
};

static struct attempts attempts;

static struct worker *worker(struct platform_world *world, guint i)
{
	return world->workers->pdata[i];
}

static void record_attempt(struct platform_world *world, bool is_order)
{
	if (attempts.count == MAX_ATTEMPTS)
		return;
	attempts.at[attempts.count] = edg_now(world->edge);
	attempts.is_order[attempts.count++] = is_order;
}

/* Refuses each change of path because the last engine of the path is full, and
 * each new stream. */
static bool refuse_moves(struct worker *worker, struct wire_conn *conn,
			 const char *request)
{
	char *address;
	char *body;

	if (g_str_has_prefix(request, "GET /report"))
		return false;
	record_attempt(worker->world, g_str_has_prefix(request, "POST /order"));
	if (!g_str_has_prefix(request, "POST /order")) {
		wire_answer(conn, 503, "X-Wagtailferry-Not-Executed: 1\r\n",
			    "");
		return true;
	}
	address = g_strdup(g_strrstr(request, "127.0.0.1"));
	address[strcspn(address, "=")] = '\0';
	body = g_strdup_printf("{\"address\":\"%s\"}", address);
	wire_answer(conn, 409, "", body);
	g_free(address);
	g_free(body);
	return true;
}

static void open_engines(struct platform_world *world, guint heads, guint tails)
{
	guint i;

	memset(&attempts, 0, sizeof(attempts));
	world_open(world);
	world_put(world, "config", "main", world_config(1));
	for (i = 0; i < heads + tails; i++) {
		char *id = g_strdup_printf("e%u", i);

		world_worker(world, id, "model", i < heads ? 0 : 4,
			     i < heads ? 4 : 8);
		g_free(id);
	}
	world_start_ready_edge(world);
	world_run(world, 200);
	world_set_modes(world, WORKER_STALLS_STREAM);
}

/* Loses the second engine of the stream's path. */
static void lose_second_engine(struct platform_world *world)
{
	struct worker *head = worker(world, worker(world, 0)->requests ? 0 : 1);
	guint i;

	for (i = 0; i < HEADS; i++)
		worker(world, i)->script = refuse_moves;
	for (i = HEADS; i < HEADS + TAILS; i++) {
		const char *address =
			wire_server_address(worker(world, i)->server);

		if (strstr(head->last_request->str, address))
			head->stalled = address;
	}
	ck_assert_ptr_nonnull(head->stalled);
}

/* Guards against a stream for which a change of path is ordered again every 10
 * to 30 ms while each order is refused, with searches for each of them and a
 * takeover beside it. */
START_TEST(refused_stream_is_moved_again_after_a_growing_time)
{
	struct platform_world world;
	struct wire_client *client;
	clk_ms backoff = MIN_BACKOFF_MS;
	guint i;

	open_engines(&world, HEADS, TAILS);
	client = world_request(&world, "POST", "/stream/", KEY TOKENS, "");
	wire_client_await(&world.wire, client, "data: one");
	lose_second_engine(&world);
	world_run(&world, 1100);
	ck_assert_uint_ge(attempts.count, 2);
	ck_assert(attempts.is_order[0]);
	for (i = 1; i < attempts.count; i++) {
		ck_assert_int_ge(attempts.at[i] - attempts.at[i - 1], backoff);
		backoff = 2 * MIN_BACKOFF_MS;
	}
	/* At 0, 100, 300 and 700 ms, each with a search of either kind. */
	ck_assert_uint_le(attempts.count, 4);
	ck_assert_int_le(ctr_get(world.counters, "wf_edge_move_searches_total"),
			 8);
	wire_client_drop(client);
	world_close(&world);
}
END_TEST

/* Records and accepts changes of path. */
static bool accept_moves(struct worker *worker, struct wire_conn *conn,
			 const char *request)
{
	(void)conn;
	if (!g_str_has_prefix(request, "GET /report"))
		record_attempt(worker->world,
			       g_str_has_prefix(request, "POST /order"));
	return false;
}

#define STREAMS 4
/* Engines cut off their work on a lost path 2 s after the loss. */
#define TURN_MS 50

/* Guards against streams that wait for each other although there is room. */
START_TEST(streams_are_moved_at_once_when_there_is_room)
{
	struct platform_world world;
	struct wire_client *clients[STREAMS];
	guint i;

	open_engines(&world, HEADS, 1);
	for (i = 0; i < STREAMS; i++) {
		clients[i] = world_request(&world, "POST", "/stream/",
					   KEY TOKENS, "");
		wire_client_await(&world.wire, clients[i], "data: one");
	}
	world_worker(&world, "tail1", "model", 4, 8);
	world_worker(&world, "tail2", "model", 4, 8);
	/* A second report, when all streams have been silent for long. */
	world_run(&world, 300);
	for (i = 0; i < HEADS; i++) {
		worker(&world, i)->script = accept_moves;
		worker(&world, i)->stalled =
			wire_server_address(worker(&world, HEADS)->server);
	}
	world_run(&world, 1100);
	ck_assert_uint_eq(attempts.count, STREAMS);
	for (i = 0; i < STREAMS; i++) {
		ck_assert(attempts.is_order[i]);
		ck_assert_int_le(attempts.at[i] - attempts.at[0], TURN_MS);
		wire_client_drop(clients[i]);
	}
	world_close(&world);
}
END_TEST

/* Records and accepts changes of path, without an event. */
static bool accept_silently(struct worker *worker, struct wire_conn *conn,
			    const char *request)
{
	if (!g_str_has_prefix(request, "POST /order"))
		return accept_moves(worker, conn, request);
	record_attempt(worker->world, true);
	wire_answer(conn, 202, "", "{}");
	return true;
}

/* Guards against prefills of all streams at once when little memory is free. */
START_TEST(streams_are_moved_one_after_another_when_little_is_free)
{
	/* Two of them take most of an engine's memory. The second one has less
	 * output left. */
	static const char *const counts[] = {
		"X-Wagtailferry-Token-Counts: 22500,50\r\n" KEY,
		"X-Wagtailferry-Token-Counts: 22500,40\r\n" KEY};
	struct platform_world world;
	struct wire_client *clients[G_N_ELEMENTS(counts)];
	struct worker *head;
	guint i;

	open_engines(&world, 1, 1);
	head = worker(&world, 0);
	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		clients[i] = world_request(&world, "POST", "/stream/",
					   counts[i], "");
		wire_client_await(&world.wire, clients[i], "data: one");
	}
	world_worker(&world, "tail1", "model", 4, 8);
	head->script = accept_silently;
	head->stalled = wire_server_address(worker(&world, 1)->server);
	world_run(&world, 500);
	ck_assert_uint_eq(attempts.count, 1);
	/* The second stream goes on, and ends. */
	worker_resume_stream(head);
	wire_client_await(&world.wire, clients[1], "data: two");
	world_run(&world, TURN_MS);
	ck_assert_uint_eq(attempts.count, 2);
	ck_assert_int_eq(ctr_get(world.counters,
				 "wf_edge_moves_total{result=\"moved\"}"),
			 1);
	for (i = 0; i < G_N_ELEMENTS(counts); i++)
		wire_client_drop(clients[i]);
	world_close(&world);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("moves");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase,
		       refused_stream_is_moved_again_after_a_growing_time);
	tcase_add_test(tcase, streams_are_moved_at_once_when_there_is_room);
	tcase_add_test(tcase,
		       streams_are_moved_one_after_another_when_little_is_free);
	return sup_run_case("moves_wire", tcase);
}
