#ifndef RUNNER_H
#define RUNNER_H

/* The main part of a test program with one test case. */

#include <check.h>

/*
 * Runs the tests of a case in a suite of that name and frees both. Returns
 * the exit code of the program. CK_VERBOSITY and CK_RUN_CASE are check's own.
 */
int sup_run_case(const char *name, TCase *tcase);

#endif
