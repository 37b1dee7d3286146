#ifndef RUNNER_H
#define RUNNER_H

/* sup: support of tests. Runs a test program with one test case. */

#include <check.h>

/*
 * Runs the tests of a case in a suite of that name and frees both. Returns
 * the exit code of the program. check reads CK_VERBOSITY and CK_RUN_CASE.
 */
int sup_run_case(const char *name, TCase *tcase);

#endif
