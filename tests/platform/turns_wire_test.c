/* Long turns of the edge's event loop. */

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/net.h"

#include "platform/support/stand_in.h"
#include "support/runner.h"

/* Longer than the pauses of a busy machine. */
#define LONG_MS 1000

static void block(uv_timer_t *timer)
{
	g_usleep(LONG_MS * 1000);
	uv_close((uv_handle_t *)timer, NULL);
}

static int read_longest_turn(struct platform_world *world)
{
	struct wire_client *client =
		wire_client_new(&world->wire, world->ready_address);
	const char *line;
	int value;

	wire_client_send(client, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
	wire_client_await(&world->wire, client, "\nwf_edge_longest_turn_ms ");
	line = strstr(client->received->str, "\nwf_edge_longest_turn_ms ");
	value = atoi(strchr(line, ' '));
	wire_client_drop(client);
	return value;
}

/* Guards against an edge that reads nothing for a long time, without a trace of
 * why. */
START_TEST(long_turn_is_logged_and_exported)
{
	struct platform_world world;
	uv_timer_t timer;

	world_open_plain(&world);
	/* Waiting is no work: the loop tells how long it has waited. */
	world_run(&world, LONG_MS);
	ck_assert_uint_gt(uv_metrics_idle_time(&world.wire.loop), 0);
	ck_assert_int_lt(read_longest_turn(&world), LONG_MS);
	uv_timer_init(&world.wire.loop, &timer);
	uv_timer_start(&timer, block, 0, 0);
	world_run(&world, LONG_MS / 10);
	ck_assert_int_ge(read_longest_turn(&world), LONG_MS);
	ck_assert_int_lt(read_longest_turn(&world), LONG_MS);
	ck_assert_ptr_nonnull(
		strstr(world.log_text->str, "\"subject\":\"loop\""));
	ck_assert_ptr_nonnull(strstr(world.log_text->str, "longest=timers"));
	world_close(&world);
}
END_TEST

#define CALLERS 40
#define STARTS_PER_TURN 8

/* Callers that have sent their requests before the edge reads any. */
struct burst {
	struct platform_world world;
	int callers[CALLERS];
	uv_prepare_t turn_end;
	/* Callers answered by the end of the last turn. */
	unsigned answered;
	/* Turns that answered any. */
	unsigned turns;
	unsigned most_in_turn;
	bool in_order;
	/* Callers that close after the first such turn. */
	unsigned leavers;
};

static bool has_answer(int caller)
{
	char byte;

	return recv(caller, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void leave(struct burst *burst)
{
	for (; burst->leavers; burst->leavers--) {
		close(burst->callers[CALLERS - burst->leavers]);
		burst->callers[CALLERS - burst->leavers] = -1;
	}
}

static void on_turn_end(uv_prepare_t *handle)
{
	struct burst *burst = handle->data;
	unsigned before = burst->answered;
	unsigned i;

	while (burst->answered < CALLERS &&
	       has_answer(burst->callers[burst->answered]))
		burst->answered++;
	for (i = burst->answered; i < CALLERS; i++)
		burst->in_order &= !has_answer(burst->callers[i]);
	if (burst->answered == before)
		return;
	burst->turns++;
	burst->most_in_turn =
		MAX(burst->most_in_turn, burst->answered - before);
	leave(burst);
}

/* Each request is answered when it is started: no route matches it. */
static void send_burst(struct burst *burst)
{
	const char text[] = "GET /none/ HTTP/1.1\r\nHost: h\r\n"
			    "X-Wagtailferry-Attempt-Id: b\r\n\r\n";
	struct sockaddr_in at;
	int i;

	memset(burst, 0, sizeof(*burst));
	world_open_plain(&burst->world);
	burst->in_order = true;
	burst->turn_end.data = burst;
	uv_prepare_init(&burst->world.wire.loop, &burst->turn_end);
	uv_prepare_start(&burst->turn_end, on_turn_end);
	ck_assert(net_parse_address(burst->world.address, &at));
	for (i = 0; i < CALLERS; i++) {
		burst->callers[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(connect(burst->callers[i],
					 (struct sockaddr *)&at, sizeof(at)),
				 0);
		ck_assert_int_gt(write(burst->callers[i], text, strlen(text)),
				 0);
	}
}

static void end_burst(struct burst *burst)
{
	int i;

	uv_close((uv_handle_t *)&burst->turn_end, NULL);
	world_close(&burst->world);
	for (i = 0; i < CALLERS; i++) {
		if (burst->callers[i] >= 0)
			close(burst->callers[i]);
	}
}

static bool is_first_part_answered(void *user)
{
	return ((struct burst *)user)->answered > 0;
}

static bool is_all_answered(void *user)
{
	return ((struct burst *)user)->answered == CALLERS;
}

/* Guards against a turn that starts all requests which arrived during a pause,
 * and against requests that overtake others or are forgotten. */
START_TEST(requests_read_together_are_started_in_order_over_turns)
{
	struct burst burst;

	send_burst(&burst);
	wire_run_until(&burst.world.wire, is_all_answered, &burst);
	ck_assert_uint_le(burst.most_in_turn, STARTS_PER_TURN);
	ck_assert_uint_ge(burst.turns, CALLERS / STARTS_PER_TURN);
	ck_assert(burst.in_order);
	end_burst(&burst);
}
END_TEST

/* Guards against starting, or freeing twice, held requests whose callers
 * left. */
START_TEST(held_requests_of_callers_that_left_are_not_started)
{
	struct burst burst;

	send_burst(&burst);
	burst.leavers = CALLERS / 2;
	wire_run_until(&burst.world.wire, is_first_part_answered, &burst);
	world_run(&burst.world, LONG_MS / 10);
	ck_assert_uint_eq(burst.answered, CALLERS / 2);
	ck_assert_ptr_nonnull(strstr(burst.world.log_text->str, "caller_left"));
	end_burst(&burst);
}
END_TEST

/* Guards against held requests that outlive the instance. */
START_TEST(held_requests_end_with_the_instance)
{
	struct burst burst;

	send_burst(&burst);
	wire_run_until(&burst.world.wire, is_first_part_answered, &burst);
	ck_assert_uint_lt(burst.answered, CALLERS);
	end_burst(&burst);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("turns_wire");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, long_turn_is_logged_and_exported);
	tcase_add_test(tcase,
		       requests_read_together_are_started_in_order_over_turns);
	tcase_add_test(tcase,
		       held_requests_of_callers_that_left_are_not_started);
	tcase_add_test(tcase, held_requests_end_with_the_instance);
	return sup_run_case("turns_wire", tcase);
}
