/* Upper bound of the throughput. */

#include <check.h>
#include <stdlib.h>

#include <wagtailferry/sched.h>

#include "support/runner.h"

#define NEAR(a, b) ck_assert_double_eq_tol(a, b, 1e-3)

/* Guards against a bound that ignores the scarcest range. */
START_TEST(scarcest_range_sets_the_bound)
{
	struct bnd_engine engines[] = {
		{0, 3, 0, 100}, {0, 3, 0, 50}, {4, 7, 0, 90}, {8, 11, 0, 200}};

	NEAR(bnd_throughput(12, engines, 4, NULL, 0), 90);
}
END_TEST

/* Guards against a bound above zero for a model that is not covered. */
START_TEST(uncovered_layer_gives_zero)
{
	struct bnd_engine engines[] = {{0, 3, 0, 100}, {5, 11, 0, 100}};

	NEAR(bnd_throughput(12, engines, 2, NULL, 0), 0);
	NEAR(bnd_throughput(12, engines, 0, NULL, 0), 0);
}
END_TEST

/*
 * Guards against engines with overlapping ranges that count in full for each
 * layer: 8 layers at 100/s and 8 at 100/s make 1600 layers/s over 12 layers.
 */
START_TEST(overlapping_engines_share_their_work)
{
	struct bnd_engine engines[] = {{0, 7, 0, 100}, {4, 11, 0, 100}};

	NEAR(bnd_throughput(12, engines, 2, NULL, 0), 1600.0 / 12);
}
END_TEST

/* Guards against links that do not limit what crosses them. */
START_TEST(links_limit_tokens_between_sites)
{
	struct bnd_engine engines[] = {
		{0, 5, 0, 100}, {6, 11, 1, 100}, {6, 11, 0, 30}};
	struct bnd_link links[] = {{0, 1, 40}, {1, 0, 40}};

	NEAR(bnd_throughput(12, engines, 3, NULL, 0), 100);
	NEAR(bnd_throughput(12, engines, 3, links, 2), 70);
}
END_TEST

/* Guards against a bound that a random feasible assignment exceeds. */
START_TEST(bound_is_not_below_an_assignment)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i + 1);
	struct bnd_engine engines[30];
	double by_layer[12] = {0};
	double least = G_MAXDOUBLE;
	double bound;
	unsigned i;
	unsigned k;

	for (i = 0; i < 30; i++) {
		engines[i].first_layer = (unsigned)g_rand_int_range(rand, 0, 9);
		engines[i].last_layer = engines[i].first_layer + 3;
		engines[i].site = 0;
		engines[i].rate = g_rand_double_range(rand, 10, 100);
		for (k = 0; k < 4; k++)
			by_layer[engines[i].first_layer + k] += engines[i].rate;
	}
	for (i = 0; i < 12; i++)
		least = MIN(least, by_layer[i]);
	bound = bnd_throughput(12, engines, 30, NULL, 0);
	ck_assert_double_ge(bound * 1.00001, least);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("bnd");

	tcase_add_test(tcase, scarcest_range_sets_the_bound);
	tcase_add_test(tcase, uncovered_layer_gives_zero);
	tcase_add_test(tcase, overlapping_engines_share_their_work);
	tcase_add_test(tcase, links_limit_tokens_between_sites);
	tcase_add_loop_test(tcase, bound_is_not_below_an_assignment, 0, 20);
	return sup_run_case("bnd", tcase);
}
