/* Turns of waiting requests: urgency, lateness, fairness, size, time limits. */

#include <check.h>
#include <string.h>

#include "sched/adm_turn.h"
#include "support/runner.h"

#define OBJECTIVE_MS 500
#define TIMEOUT_MS 20000
#define SERVICE "swan"

static struct adm_waiter pool[32];
static unsigned n_pool;

static struct adm_waiter waiter_of(const char *org, unsigned urgency,
				   double tokens)
{
	struct adm_waiter waiter = {
		.service = SERVICE,
		.org = org,
		.urgency = urgency,
		.tokens = tokens,
		.in_time_until = 250,
		.wait_until = 250,
	};

	return waiter;
}

/* Adds one to those that wait. It is valid until the turns are closed. */
static struct adm_waiter *add(struct adm_turns *turns, const char *org,
			      unsigned urgency, double tokens)
{
	struct adm_waiter *waiter = &pool[n_pool++];

	*waiter = waiter_of(org, urgency, tokens);
	adm_turn_put(turns, waiter);
	return waiter;
}

static struct adm_waiter *serve_next(struct adm_turns *turns)
{
	struct adm_waiter *next = adm_turn_next(turns);

	if (next)
		adm_turn_serve(turns, next);
	return next;
}

/* Removes those that still wait. */
static void close_turns(struct adm_turns *turns)
{
	adm_turn_begin(turns, 0);
	while (serve_next(turns))
		;
	n_pool = 0;
	adm_turns_drop(turns);
}

/* Guards against new requests, also of a caller that repeats at once, that take
 * what becomes free before requests that wait for it. */
START_TEST(new_request_does_not_overtake)
{
	struct adm_turns *turns = adm_turns_new(8);

	add(turns, "a", 2, 100);
	ck_assert(!adm_turn_may_go(turns, SERVICE, 2));
	ck_assert(!adm_turn_may_go(turns, SERVICE, 9));
	ck_assert(adm_turn_may_go(turns, SERVICE, 1));
	ck_assert(adm_turn_may_go(turns, "heron", 9));
	serve_next(turns);
	ck_assert(adm_turn_may_go(turns, SERVICE, 9));
	close_turns(turns);
}
END_TEST

/* Guards against late requests that make requests late which were in time, and
 * against late ones of a high urgency that are served last. */
START_TEST(late_requests_follow_those_in_time)
{
	struct adm_turns *turns = adm_turns_new(8);
	struct adm_waiter late = waiter_of("a", 0, 100);
	struct adm_waiter *other = add(turns, "d", 1, 100);
	struct adm_waiter *aging = add(turns, "b", 0, 100);
	struct adm_waiter *fresh;

	late.is_late = true;
	adm_turn_put(turns, &late);
	fresh = add(turns, "c", 0, 100);
	aging->in_time_until = 50;
	adm_turn_begin(turns, 100);
	ck_assert_ptr_eq(serve_next(turns), fresh);
	adm_turn_begin(turns, 400);
	ck_assert_ptr_eq(serve_next(turns), &late);
	ck_assert_ptr_eq(serve_next(turns), aging);
	ck_assert_ptr_eq(serve_next(turns), other);
	close_turns(turns);
}
END_TEST

/* Guards against late requests that take what becomes free while those that can
 * be in time have to wait for it, and against late ones that never get it. */
START_TEST(late_requests_are_held_back_while_others_wait)
{
	struct adm_turns *turns = adm_turns_new(8);
	struct adm_waiter late = waiter_of("a", 0, 100);
	struct adm_waiter *fresh = add(turns, "b", 1, 100);

	late.is_late = true;
	adm_turn_put(turns, &late);
	adm_turn_begin(turns, 100);
	ck_assert(adm_turn_may_go(turns, SERVICE, 0));
	ck_assert(!adm_turn_may_go(turns, SERVICE, 1));
	fresh->in_time_until = 250;
	adm_turn_remove(turns, fresh);
	ck_assert_ptr_null(adm_turn_next(turns));
	adm_turn_begin(turns, 399);
	ck_assert_ptr_null(adm_turn_next(turns));
	adm_turn_begin(turns, 400);
	ck_assert_ptr_eq(serve_next(turns), &late);
	close_turns(turns);
}
END_TEST

/* Guards against a full queue that refuses urgent requests, and against urgent
 * ones that are refused for others. */
START_TEST(least_urgent_is_refused_when_full)
{
	struct adm_turns *turns = adm_turns_new(3);
	struct adm_room room = {.ends = 100};
	struct adm_waiter *urgent = add(turns, "a", 1, 100);
	struct adm_waiter *first = add(turns, "b", 5, 100);
	struct adm_waiter *last;

	ck_assert_ptr_null(adm_turn_victim(turns, 0));
	last = add(turns, "b", 5, 100);
	ck_assert_ptr_eq(adm_turn_victim(turns, 4), last);
	ck_assert_ptr_null(adm_turn_victim(turns, 5));
	ck_assert(adm_turn_may_wait(turns, &room, 0, 0, urgent));
	ck_assert(!adm_turn_may_wait(turns, &room, 0, 0, first));
	close_turns(turns);
}
END_TEST

/* Guards against waiting in vain, and against refusing a late request again. */
START_TEST(wait_is_limited_by_the_objective_unless_late)
{
	struct adm_turns *turns = adm_turns_new(8);
	struct adm_room fast = {.ends = 15}; /* one in 100 ms */
	struct adm_room slow = {.ends = 3};  /* one in 500 ms */
	struct adm_turn_times times = {.objective = OBJECTIVE_MS,
				       .deadline = TIMEOUT_MS};
	struct adm_waiter waiter = waiter_of("a", 0, 100);

	adm_turn_set_times(turns, &fast, 0, &times, &waiter);
	ck_assert_int_eq(waiter.wait_until, 250);
	ck_assert(adm_turn_may_wait(turns, &fast, 0, 0, &waiter));
	ck_assert(!adm_turn_may_wait(turns, &fast, 0, 300, &waiter));
	ck_assert(!adm_turn_may_wait(turns, &slow, 0, 0, &waiter));
	times.lost = 100;
	adm_turn_set_times(turns, &fast, 0, &times, &waiter);
	ck_assert(!waiter.is_late);
	adm_turn_set_times(turns, &slow, 0, &times, &waiter);
	ck_assert(waiter.is_late);
	ck_assert_int_eq(waiter.wait_until, 1000);
	ck_assert(adm_turn_may_wait(turns, &slow, 0, 0, &waiter));
	times.deadline = 400;
	adm_turn_set_times(turns, &slow, 0, &times, &waiter);
	ck_assert_int_eq(waiter.wait_until, 400);
	ck_assert(!adm_turn_may_wait(turns, &slow, 0, 0, &waiter));
	adm_turns_drop(turns);
}
END_TEST

/* Guards against an organisation with many waiting requests that causes those
 * of others to be refused on arrival. */
START_TEST(backlog_of_one_organisation_is_no_wait_for_another)
{
	struct adm_turns *turns = adm_turns_new(16);
	struct adm_room room = {.ends = 45}; /* one in 33 ms */
	struct adm_waiter more = waiter_of("large", 1, 100);
	struct adm_waiter other = waiter_of("small", 1, 100);
	unsigned i;

	for (i = 0; i < 8; i++)
		add(turns, "large", 1, 100);
	ck_assert(!adm_turn_may_wait(turns, &room, 0, 0, &more));
	ck_assert(adm_turn_may_wait(turns, &room, 0, 0, &other));
	close_turns(turns);
}
END_TEST

/* Guards against urgent requests without end that leave nothing to others. */
START_TEST(one_dequeue_in_eight_is_for_the_oldest)
{
	struct adm_turns *turns = adm_turns_new(32);
	struct adm_waiter *old = add(turns, "a", 9, 100);
	struct adm_waiter *urgent[16];
	unsigned i;

	for (i = 0; i < 16; i++)
		urgent[i] = add(turns, "a", 0, 100);
	adm_turn_begin(turns, 0);
	for (i = 0; i < 7; i++)
		ck_assert_ptr_eq(serve_next(turns), urgent[i]);
	ck_assert_ptr_eq(serve_next(turns), old);
	close_turns(turns);
}
END_TEST

/* Guards against a large request that holds up smaller ones, and against one
 * that smaller ones pass without end. */
START_TEST(large_request_is_passed_a_few_times)
{
	struct adm_turns *turns = adm_turns_new(8);
	struct adm_waiter *large = add(turns, "a", 0, 1000);
	struct adm_waiter new = waiter_of("b", 0, 100);
	struct adm_waiter *small[4];
	unsigned i;

	ck_assert(adm_turn_is_behind_larger(turns, &new));
	for (i = 0; i < 4; i++)
		small[i] = add(turns, "b", 0, 100);
	ck_assert(!adm_turn_is_behind_larger(turns, &new));
	for (i = 0; i < 2; i++) {
		adm_turn_begin(turns, 0);
		ck_assert_ptr_eq(adm_turn_next(turns), large);
		adm_turn_rule_out(turns, SERVICE, 1000);
		ck_assert_ptr_eq(serve_next(turns), small[i]);
	}
	ck_assert_ptr_null(adm_turn_next(turns));
	adm_turn_begin(turns, 50);
	ck_assert_ptr_eq(adm_turn_next(turns), large);
	adm_turn_rule_out(turns, SERVICE, 1000);
	ck_assert_ptr_null(adm_turn_next(turns));
	adm_turn_begin(turns, 150);
	adm_turn_rule_out(turns, SERVICE, 1000);
	ck_assert_ptr_eq(serve_next(turns), small[2]);
	close_turns(turns);
}
END_TEST

/* Four times the usual traffic for 8 s. */
#define USUAL_INTERVAL_MS 40
#define BURST_FROM_MS 2000
#define BURST_UNTIL_MS 10000
#define END_MS 20000
#define MAX_CALLS 2000
#define CAPACITY_TOKENS 6000.0
#define RUN_MS 1000
#define N_KINDS 6 /* three urgencies, two organisations */
#define LARGE N_KINDS
#define MAX_TRIES 8

struct call {
	struct adm_waiter waiter;
	clk_ms started;
	clk_ms at;  /* next arrival */
	clk_ms end; /* of its run */
	unsigned kind;
	unsigned attempts;
};

/* One instance in virtual time. The engines have room for about 40 requests of
 * 1 s; 25 arrive per second, 100 in the burst. */
struct burst {
	struct adm_turns *turns;
	struct adm_room room;
	GRand *rand;
	struct call calls[MAX_CALLS];
	size_t n_calls;
	double free_tokens;
	double offered[N_KINDS + 1];
	double served[N_KINDS + 1];
};

static bool try_start(struct burst *burst, struct call *call, clk_ms now)
{
	if (burst->free_tokens < call->waiter.tokens)
		return false;
	burst->free_tokens -= call->waiter.tokens;
	call->end = now + RUN_MS;
	burst->served[call->kind]++;
	burst->served[LARGE] += call->waiter.tokens > 100;
	return true;
}

/* Callers return once when they are told to; those of the larger organisation
 * in the middle urgency repeat at once. */
static void refuse(struct burst *burst, struct call *call, clk_ms now)
{
	bool repeats = call->kind == 2;
	clk_ms after = adm_room_return_after(&burst->room, now,
					     adm_turn_count(burst->turns), 6000,
					     g_rand_double(burst->rand));

	if (++call->attempts < (repeats ? 60 : 2))
		call->at = now + (repeats ? 5 : after);
}

static void arrive(struct burst *burst, struct call *call, clk_ms now)
{
	struct adm_waiter *waiter = &call->waiter;
	struct adm_turn_times times = {
		.started = now,
		.lost = now - call->started < 600 ? 0 : now - call->started,
		.objective = OBJECTIVE_MS,
		.deadline = call->started + TIMEOUT_MS,
	};

	if (adm_turn_may_go(burst->turns, SERVICE, waiter->urgency) &&
	    try_start(burst, call, now))
		return;
	adm_turn_set_times(burst->turns, &burst->room, now, &times, waiter);
	if (adm_turn_may_wait(burst->turns, &burst->room, now, 0, waiter))
		adm_turn_put(burst->turns, waiter);
	else
		refuse(burst, call, now);
}

static void play_round(struct burst *burst, clk_ms now)
{
	unsigned tries;

	adm_turn_begin(burst->turns, now);
	for (tries = 0; tries < MAX_TRIES; tries++) {
		struct adm_waiter *next = adm_turn_next(burst->turns);

		if (!next)
			break;
		if (try_start(burst, next->owner, now))
			adm_turn_serve(burst->turns, next);
		else
			adm_turn_rule_out(burst->turns, SERVICE, next->tokens);
	}
}

static void new_call(struct burst *burst, clk_ms now)
{
	struct call *call = &burst->calls[burst->n_calls++];
	unsigned urgency = g_rand_int_range(burst->rand, 0, 3);
	bool is_small_org = !g_rand_int_range(burst->rand, 0, 4);
	bool is_large = !g_rand_int_range(burst->rand, 0, 10);

	call->waiter = waiter_of(is_small_org ? "small" : "large", urgency,
				 is_large ? 600 : 100);
	call->waiter.owner = call;
	call->started = call->at = now;
	call->kind = 2 * urgency + is_small_org;
	burst->offered[call->kind]++;
	burst->offered[LARGE] += is_large;
}

static void play_step(struct burst *burst, clk_ms now)
{
	bool has_ended = false;
	size_t i;

	for (i = 0; i < burst->n_calls; i++) {
		struct call *call = &burst->calls[i];

		if (call->end == now && now) {
			burst->free_tokens += call->waiter.tokens;
			adm_room_record_end(&burst->room, now);
			has_ended = true;
		}
		if (adm_turn_is_waiting(&call->waiter) &&
		    call->waiter.wait_until <= now) {
			adm_turn_remove(burst->turns, &call->waiter);
			refuse(burst, call, now);
		}
	}
	if (has_ended || now % 25 == 0)
		play_round(burst, now);
	for (i = 0; i < burst->n_calls; i++) {
		if (burst->calls[i].at == now)
			arrive(burst, &burst->calls[i], now);
	}
}

static void play_burst(struct burst *burst, unsigned seed)
{
	clk_ms now;

	memset(burst, 0, sizeof(*burst));
	burst->turns = adm_turns_new(256);
	burst->rand = g_rand_new_with_seed(seed);
	burst->free_tokens = CAPACITY_TOKENS;
	for (now = 0; now < END_MS; now++) {
		bool is_high = now >= BURST_FROM_MS && now < BURST_UNTIL_MS;

		if (now % (USUAL_INTERVAL_MS / (is_high ? 4 : 1)) == 0)
			new_call(burst, now);
		play_step(burst, now);
	}
	close_turns(burst->turns);
	g_rand_free(burst->rand);
}

/* Part of the requests of n kinds, from the first one on, that were served. */
static double part(const struct burst *burst, unsigned first, unsigned n)
{
	double served = 0, offered = 0;
	unsigned i;

	for (i = first; i < first + n; i++) {
		served += burst->served[i];
		offered += burst->offered[i];
	}
	return served / offered;
}

/*
 * Replays four times the usual traffic for 8 s. Guards against urgent requests
 * that are served less often than others, a kind that starves, large requests
 * that never get their turn, and a small organisation that is served less than
 * half as often as a large one whose callers repeat at once.
 */
START_TEST(overload_is_served_by_urgency_and_nobody_starves)
{
	struct burst *burst = g_new(struct burst, 1);
	double all;
	unsigned i;

	play_burst(burst, 4711 + (unsigned)_i);
	all = part(burst, 0, N_KINDS);
	for (i = 0; i < N_KINDS; i++)
		ck_assert_double_ge(part(burst, i, 1), all / 4);
	ck_assert_double_ge(part(burst, LARGE, 1), all / 2);
	ck_assert_double_gt(part(burst, 0, 2), part(burst, 2, 2));
	ck_assert_double_gt(part(burst, 2, 2), part(burst, 4, 2));
	for (i = 0; i < N_KINDS; i += 2)
		ck_assert_double_ge(part(burst, i + 1, 1),
				    part(burst, i, 1) / 2);
	g_free(burst);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("adm_turn");

	tcase_add_test(tcase, new_request_does_not_overtake);
	tcase_add_test(tcase, late_requests_follow_those_in_time);
	tcase_add_test(tcase, late_requests_are_held_back_while_others_wait);
	tcase_add_test(tcase, least_urgent_is_refused_when_full);
	tcase_add_test(tcase, wait_is_limited_by_the_objective_unless_late);
	tcase_add_test(tcase,
		       backlog_of_one_organisation_is_no_wait_for_another);
	tcase_add_test(tcase, one_dequeue_in_eight_is_for_the_oldest);
	tcase_add_test(tcase, large_request_is_passed_a_few_times);
	tcase_add_loop_test(
		tcase, overload_is_served_by_urgency_and_nobody_starves, 0, 4);
	return sup_run_case("adm_turn", tcase);
}
