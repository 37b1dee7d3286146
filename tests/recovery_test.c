/*
 * Replays the loss of an engine by several hundred streams without a network.
 * Guards against prefills of all of them at once, which delay each other until
 * all callers have left, against orders that are repeated as soon as they are
 * refused, and against streams that wait although there is room.
 */

#include <check.h>
#include <stdlib.h>

#include "forward/recovery.h"
#include "support/fleet.h"
#include "support/runner.h"

#define STREAMS 400
/* Callers leave after this time without an event. */
#define SILENCE_LIMIT_MS 2000
/* An engine refuses after this time. */
#define REFUSAL_MS 10
/* Orders of a stream at 0, 100, 300, 700 and 1500 ms at the earliest. */
#define MAX_ORDERS 5
/* Layers of the lost engine. */
#define LAYERS 20
#define MAX_TOKENS 2000

enum stage { WAITING, MOVING, REFUSING, MOVED };

struct stream {
	struct rcv_stream state;
	enum stage stage;
	unsigned events;
	double remaining;
	double work;
	/* Work left of its prefill. */
	double left;
	clk_ms refused_at;
	clk_ms ordered_at;
	clk_ms moved_at;
	unsigned orders;
};

/* The engines, as all streams together see them. */
struct world {
	struct stream streams[STREAMS];
	struct rcv_moves moves;
	clk_ms now;
	/* Memory, and the prefill work that the engines do in a ms. */
	double free;
	double rate;
	double most_ordered;
	unsigned most_in_progress;
};

static void world_init(struct world *world, double free, double rate)
{
	GRand *rand = g_rand_new_with_seed(4711);
	guint i;

	*world = (struct world){.free = free, .rate = rate};
	for (i = 0; i < STREAMS; i++) {
		struct stream *stream = &world->streams[i];

		stream->events = (unsigned)g_rand_int_range(rand, 0, 100);
		stream->remaining = g_rand_int_range(rand, 10, 300);
		stream->work =
			LAYERS * g_rand_double_range(rand, 200, MAX_TOKENS);
		rcv_wait(&world->moves, &stream->state);
	}
	g_rand_free(rand);
}

static GArray *list_losses(struct world *world)
{
	GArray *losses = g_array_new(FALSE, FALSE, sizeof(struct rcv_loss));
	guint i;

	for (i = 0; i < STREAMS; i++) {
		struct stream *stream = &world->streams[i];
		struct rcv_loss loss = {stream, &stream->state, stream->events,
					stream->remaining, stream->work};

		if (stream->state.is_waiting)
			g_array_append_val(losses, loss);
	}
	rcv_sort(losses);
	return losses;
}

/* The engines refuse what does not fit in their memory. */
static void order(struct world *world, struct stream *stream)
{
	bool fits = stream->work <= world->free;

	rcv_start(&world->moves, &stream->state, stream->work);
	ck_assert_int_ge(world->now - stream->ordered_at,
			 stream->orders ? REFUSAL_MS + 100 : 0);
	stream->ordered_at = world->now;
	stream->orders++;
	stream->left = stream->work;
	stream->refused_at = world->now + REFUSAL_MS;
	stream->stage = fits ? MOVING : REFUSING;
	if (fits)
		world->free -= stream->work;
}

static void start_moves(struct world *world)
{
	GArray *losses = list_losses(world);
	double limit = rcv_limit(world->free, 1);
	guint i;

	for (i = 0; i < losses->len; i++) {
		struct rcv_loss *loss =
			&g_array_index(losses, struct rcv_loss, i);
		enum rcv_decision decision =
			rcv_decide(&world->moves, loss, world->now, limit);

		if (decision == RCV_NO_BUDGET)
			break;
		if (decision != RCV_MOVE)
			continue;
		order(world, loss->owner);
		if (world->moves.in_progress > 1)
			ck_assert_double_le(world->moves.ordered, limit);
	}
	world->most_in_progress =
		MAX(world->most_in_progress, world->moves.in_progress);
	g_array_unref(losses);
}

static void prefill(struct world *world)
{
	unsigned sharing = 0;
	guint i;

	for (i = 0; i < STREAMS; i++)
		sharing += world->streams[i].stage == MOVING;
	for (i = 0; i < STREAMS; i++) {
		struct stream *stream = &world->streams[i];

		if (stream->stage == REFUSING &&
		    world->now >= stream->refused_at) {
			stream->stage = WAITING;
			rcv_refuse(&world->moves, &stream->state, world->now);
		}
		if (stream->stage != MOVING)
			continue;
		stream->left -= world->rate / sharing;
		if (stream->left > 0)
			continue;
		stream->stage = MOVED;
		stream->moved_at = world->now;
		rcv_end(&world->moves, &stream->state);
	}
}

/* Runs until the callers have left; freed is the memory that other streams free
 * in a ms. */
static void run(struct world *world, double freed)
{
	for (; world->now < SILENCE_LIMIT_MS; world->now++) {
		start_moves(world);
		prefill(world);
		world->free += freed;
	}
}

static unsigned count_moved(const struct world *world)
{
	unsigned count = 0;
	guint i;

	for (i = 0; i < STREAMS; i++)
		count += world->streams[i].stage == MOVED;
	return count;
}

static double all_work(const struct world *world)
{
	double sum = 0;
	guint i;

	for (i = 0; i < STREAMS; i++)
		sum += world->streams[i].work;
	return sum;
}

START_TEST(all_streams_move_at_once_when_there_is_room)
{
	struct world world;

	world_init(&world, 0, 1);
	world.free = 4 * all_work(&world);
	start_moves(&world);
	ck_assert_uint_eq(world.moves.in_progress, STREAMS);
	ck_assert_uint_eq(world.moves.waiting, 0);
}
END_TEST

/* The memory holds 1/4 of the streams, and the engines prefill 1/4 of the work
 * in the time for which callers wait. */
START_TEST(callers_with_most_to_lose_are_saved_when_there_is_little_room)
{
	struct world world;
	unsigned late = 0;
	guint i;
	guint j;

	world_init(&world, 0, 0);
	world.free = all_work(&world) / 4;
	world.rate = all_work(&world) / 4 / SILENCE_LIMIT_MS;
	run(&world, 0);
	/* At least 8/10 of what the engines can prefill. */
	ck_assert_uint_ge(count_moved(&world), STREAMS / 4 * 8 / 10);
	for (i = 0; i < STREAMS; i++) {
		const struct stream *one = &world.streams[i];

		ck_assert_uint_le(one->orders, MAX_ORDERS);
		for (j = 0; j < STREAMS; j++)
			late += one->stage == MOVED &&
				!world.streams[j].orders &&
				world.streams[j].events > one->events;
	}
	/* None was passed over for one with less to lose. */
	ck_assert_uint_eq(late, 0);
}
END_TEST

/* Nothing is free at first: the engines refuse, and streams that end make room
 * little by little. */
START_TEST(full_engines_get_few_orders)
{
	struct world world;
	unsigned orders = 0;
	guint i;

	world_init(&world, 0, 0);
	world.rate = all_work(&world) / SILENCE_LIMIT_MS;
	run(&world, all_work(&world) / 4 / SILENCE_LIMIT_MS);
	for (i = 0; i < STREAMS; i++) {
		orders += world.streams[i].orders;
		ck_assert_uint_le(world.streams[i].orders, MAX_ORDERS);
	}
	/* Refusals come one after another, not from all streams at once. */
	ck_assert_uint_le(orders,
			  SILENCE_LIMIT_MS / REFUSAL_MS + count_moved(&world));
	ck_assert_uint_ge(count_moved(&world), STREAMS / 4 * 8 / 10);
}
END_TEST

START_TEST(time_after_a_refusal_doubles_until_an_event)
{
	static const clk_ms times[] = {100, 200, 400, 800, 800};
	struct rcv_moves moves = {0};
	struct rcv_stream stream = {0};
	struct rcv_loss loss = {NULL, &stream, 1, 1, 50};
	clk_ms now = 5000;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(times); i++) {
		rcv_start(&moves, &stream, 50);
		ck_assert_double_eq(moves.ordered, 50);
		rcv_refuse(&moves, &stream, now);
		ck_assert_uint_eq(moves.in_progress, 0);
		ck_assert_uint_eq(moves.waiting, 1);
		ck_assert_int_eq(
			rcv_decide(&moves, &loss, now + times[i] - 1, 1e9),
			RCV_TOO_EARLY);
		now += times[i];
		ck_assert_int_eq(rcv_decide(&moves, &loss, now, 0), RCV_MOVE);
	}
	rcv_end(&moves, &stream);
	ck_assert_uint_eq(moves.waiting, 0);
	rcv_refuse(&moves, &stream, now);
	ck_assert_int_eq(stream.not_before, now + times[0]);
}
END_TEST

/* Guards against a move that is counted twice, or never ends, in the budget. */
START_TEST(replaced_move_is_counted_once)
{
	struct rcv_moves moves = {0};
	struct rcv_stream streams[2] = {0};
	struct rcv_loss loss = {NULL, &streams[0], 1, 1, 80};

	rcv_start(&moves, &streams[0], 50);
	rcv_start(&moves, &streams[1], 20);
	/* Its present work of 50 would be replaced. */
	ck_assert_int_eq(rcv_decide(&moves, &loss, 0, 100), RCV_MOVE);
	ck_assert_int_eq(rcv_decide(&moves, &loss, 0, 99), RCV_NO_BUDGET);
	rcv_start(&moves, &streams[0], 80);
	ck_assert_uint_eq(moves.in_progress, 2);
	ck_assert_double_eq(moves.ordered, 100);
	rcv_end(&moves, &streams[0]);
	rcv_end(&moves, &streams[0]);
	rcv_end(&moves, &streams[1]);
	ck_assert_uint_eq(moves.in_progress, 0);
	ck_assert_double_eq(moves.ordered, 0);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("recovery");

	tcase_add_test(tcase, all_streams_move_at_once_when_there_is_room);
	tcase_add_test(
		tcase,
		callers_with_most_to_lose_are_saved_when_there_is_little_room);
	tcase_add_test(tcase, full_engines_get_few_orders);
	tcase_add_test(tcase, time_after_a_refusal_doubles_until_an_event);
	tcase_add_test(tcase, replaced_move_is_counted_once);
	return sup_run_case("recovery", tcase);
}
