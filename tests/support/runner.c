#include "support/runner.h"

#include <stdlib.h>

int sup_run_case(const char *name, TCase *tcase)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
