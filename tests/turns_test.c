/* Turns of the event loop: their length, and the class of work that took it. */

#include <check.h>

#include "edge/trn_turns.h"
#include "support/runner.h"

/* Guards against counting the wait for input as work, and a path search also as
 * the request that needs it. */
START_TEST(turn_is_divided_between_classes_without_the_wait)
{
	struct trn_turns turns = {0};
	struct trn_turn turn;
	enum trn_class before;

	ck_assert_uint_eq(trn_end(&turns, 1000, 0, 10).total, 0);
	/* It waits for 500, and reads for 20. */
	ck_assert_int_eq(trn_switch(&turns, TRN_REQUESTS, 1520), TRN_OTHER);
	before = trn_switch(&turns, TRN_SEARCHES, 1530);
	ck_assert_int_eq(trn_switch(&turns, before, 1590), TRN_SEARCHES);
	trn_switch(&turns, TRN_TIMERS, 1595);
	turn = trn_end(&turns, 1605, 500, 70);
	ck_assert_uint_eq(turn.total, 105);
	ck_assert_uint_eq(turn.cpu, 60);
	ck_assert_uint_eq(turn.took[TRN_OTHER], 20);
	ck_assert_uint_eq(turn.took[TRN_REQUESTS], 15);
	ck_assert_uint_eq(turn.took[TRN_SEARCHES], 60);
	ck_assert_uint_eq(turn.took[TRN_TIMERS], 10);
	ck_assert_int_eq(trn_main_class(&turn), TRN_SEARCHES);
	/* The next turn begins with nothing of the last one. */
	turn = trn_end(&turns, 1705, 597, 71);
	ck_assert_uint_eq(turn.total, 3);
	ck_assert_int_eq(trn_main_class(&turn), TRN_OTHER);
}
END_TEST

/* Guards against a metric that shows a long turn of the past for ever, or hides
 * the longest one behind a later one. */
START_TEST(longest_turn_is_since_the_last_reading)
{
	struct trn_turns turns = {0};

	trn_end(&turns, 1000, 0, 0);
	trn_end(&turns, 1300, 0, 0);
	trn_end(&turns, 1400, 0, 0);
	ck_assert_uint_eq(trn_take_longest(&turns), 300);
	ck_assert_uint_eq(trn_take_longest(&turns), 0);
	trn_end(&turns, 1450, 0, 0);
	ck_assert_uint_eq(trn_take_longest(&turns), 50);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("turns");

	tcase_add_test(tcase, turn_is_divided_between_classes_without_the_wait);
	tcase_add_test(tcase, longest_turn_is_since_the_last_reading);
	return sup_run_case("turns", tcase);
}
