/* Long turns of the edge's event loop. */

#include <check.h>
#include <stdlib.h>
#include <string.h>

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

int main(void)
{
	TCase *tcase = tcase_create("turns_wire");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, long_turn_is_logged_and_exported);
	return sup_run_case("turns_wire", tcase);
}
