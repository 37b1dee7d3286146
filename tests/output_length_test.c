/*
 * Tests of the expected output length. Guards against classes that are expected
 * to be as short as their hints although their outputs are longer, and against
 * a few odd outputs that change the expectation.
 */

#include <check.h>
#include <stdlib.h>

#include "forward/output_length.h"
#include "support/runner.h"

static struct oln_lengths lengths;

/* Records outputs of a class per hint of 100, among as many of another class
 * that are as long as their hints. unit is what a token counts. */
static double expect_after(uint64_t class, unsigned n, double output,
			   double unit)
{
	uint64_t usual = oln_class("usual", "route");

	while (n--) {
		oln_record(&lengths, class, 100, output * unit);
		oln_record(&lengths, usual, 100, 99 * unit);
		oln_record(&lengths, usual, 100, 101 * unit);
	}
	return oln_expect(&lengths, class, 100, 1000);
}

START_TEST(class_with_longer_outputs_is_corrected)
{
	uint64_t class = oln_class("org", "route");

	ck_assert_double_eq(expect_after(class, 0, 0, 1), 100);
	ck_assert_double_le(expect_after(class, 1, 10000, 1), 116);
	ck_assert_double_ge(expect_after(class, 200, 250, 1), 230);
	ck_assert_double_le(expect_after(class, 200, 1e9, 1), 401);
	ck_assert_double_ge(expect_after(class, 200, 1, 1), 24);
	ck_assert_double_le(expect_after(class, 0, 0, 1), 30);
}
END_TEST

/* Guards against a wrong estimate of the tokens per event that makes all
 * requests expected too long or too short. */
START_TEST(unit_of_the_output_does_not_matter)
{
	uint64_t class = oln_class("org", "route");
	uint64_t usual = oln_class("usual", "route");
	double expected = expect_after(class, 400, 200, 0.25);

	ck_assert_double_ge(expected, 180);
	ck_assert_double_le(expected, 220);
	expected = oln_expect(&lengths, usual, 100, 1000);
	ck_assert_double_ge(expected, 90);
	ck_assert_double_le(expected, 110);
}
END_TEST

START_TEST(other_classes_and_the_limit_are_kept)
{
	uint64_t class = oln_class("org", "route");
	uint64_t other = oln_class("org", "other");

	expect_after(class, 100, 300, 1);
	ck_assert_double_eq(oln_expect(&lengths, class, 100, 150), 150);
	ck_assert_double_eq(oln_expect(&lengths, other, 100, 1000), 100);
	oln_record(&lengths, class, 0, 100);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("output_length");

	tcase_add_test(tcase, class_with_longer_outputs_is_corrected);
	tcase_add_test(tcase, unit_of_the_output_does_not_matter);
	tcase_add_test(tcase, other_classes_and_the_limit_are_kept);
	return sup_run_case("output_length", tcase);
}
