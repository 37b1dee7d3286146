/* Tests of the load driver against two fake entry instances. */

#include "support/child.h"
#include "support/http.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

static struct sup_child entries[2];

/* Runs the driver; returns its exit code and its figures. */
static int run_driver(const char *more, json_t **figures)
{
	char *command = g_strdup_printf(
		"%s/load_driver --targets %s,%s --rate 400 --requests 40 "
		"--timeout-ms 10000 --repeat-share 1 %s",
		sup_build_dir(), entries[0].address, entries[1].address, more);
	char *output = NULL;
	gint status = -1;

	ck_assert(g_spawn_command_line_sync(command, &output, NULL, &status,
					    NULL));
	*figures = json_loads(output, 0, NULL);
	ck_assert_ptr_nonnull(*figures);
	g_free(output);
	g_free(command);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static json_int_t sum(const json_t *figures, const char *outcome)
{
	static const char *const kinds[] = {"short", "long", "booking",
					    "repeated_booking"};
	json_int_t n = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		n += sup_json_int(json_object_get(figures, kinds[i]), outcome);
	return n;
}

static void start(void)
{
	ck_assert(sup_start_fake(&entries[0], "entry", NULL));
	ck_assert(sup_start_fake(&entries[1], "entry", NULL));
}

static void stop(void)
{
	ck_assert_int_eq(sup_stop(&entries[0]), 0);
	ck_assert_int_eq(sup_stop(&entries[1]), 0);
}

struct outcome_case {
	const char *path;
	const char *fault;
	const char *options;
	const char *outcome; /* expected of all requests of the kind */
	const char *kind;
	int exit_code;
};

#define MODEL "/v1/chat"
#define SERVICE "/v1/services/"
#define ONLY_SHORT "--booking-share 0 --long-share 0"
#define ONLY_LONG "--booking-share 0 --long-share 1"
#define ONLY_BOOKINGS "--booking-share 1 --repeat-share 0"
#define TIMES_OUT " --timeout-ms 400"

static const struct outcome_case outcome_cases[] = {
	{NULL, NULL, ONLY_SHORT, "complete", "short", 0},
	{NULL, NULL, ONLY_LONG, "complete", "long", 0},
	{NULL, NULL, ONLY_BOOKINGS, "complete", "booking", 0},
	{MODEL, "cut", ONLY_SHORT, "incomplete", "short", 1},
	{MODEL, "half_open", ONLY_SHORT TIMES_OUT, "timeout", "short", 1},
	{MODEL, "silent", ONLY_SHORT TIMES_OUT, "timeout", "short", 1},
	{MODEL, "twice", ONLY_SHORT, "wrong", "short", 1},
	{MODEL, "out_of_order", ONLY_SHORT, "wrong", "short", 1},
	{MODEL, "outage", ONLY_SHORT, "error", "short", 0},
	{MODEL, "refused", ONLY_SHORT, "failed", "short", 1},
	{SERVICE, "cut", ONLY_BOOKINGS, "incomplete", "booking", 1},
	{SERVICE, "silent", ONLY_BOOKINGS TIMES_OUT, "timeout", "booking", 1},
	{SERVICE, "refused", ONLY_BOOKINGS, "failed", "booking", 1},
	{NULL, NULL, ONLY_BOOKINGS " --service second", "wrong", "booking", 1},
	{NULL, NULL, ONLY_BOOKINGS " --service full", "refused_not_run",
	 "booking", 0},
};

/* Guards against a driver that counts a bad answer as complete. */
START_TEST(test_outcome)
{
	const struct outcome_case *outcome = &outcome_cases[_i];
	json_t *figures;
	char *fault;
	int i;

	start();
	for (i = 0; outcome->fault && i < 2; i++) {
		fault = g_strdup_printf(
			"{\"path\":\"%s\",\"fault\":\"%s\",\"count\":0}",
			outcome->path, outcome->fault);
		ck_assert(sup_set_fault(entries[i].address, fault));
		g_free(fault);
	}
	ck_assert_int_eq(run_driver(outcome->options, &figures),
			 outcome->exit_code);
	ck_assert_int_eq(sup_json_int(json_object_get(figures, outcome->kind),
				      outcome->outcome),
			 40);
	json_decref(figures);
	stop();
}
END_TEST

/* Guards against requests without an outcome and repeats that are not sent. */
START_TEST(test_mix)
{
	json_t *figures;
	const json_t *bookings;

	start();
	ck_assert_int_eq(run_driver("--booking-share 0.4 --long-share 0.3 "
				    "--poisson --seed 7",
				    &figures),
			 0);
	bookings = json_object_get(figures, "booking");
	ck_assert_int_eq(sum(figures, "sent"), sum(figures, "complete"));
	ck_assert_int_gt(sup_json_int(bookings, "sent"), 0);
	ck_assert_int_eq(
		sup_json_int(json_object_get(figures, "repeated_booking"),
			     "sent"),
		sup_json_int(bookings, "sent"));
	ck_assert_int_gt(sup_json_int(figures, "short.token_gap.n"), 0);
	json_decref(figures);
	stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("load");
	TCase *tcase = tcase_create("load");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, test_outcome, 0,
			    (int)G_N_ELEMENTS(outcome_cases));
	tcase_add_test(tcase, test_mix);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
