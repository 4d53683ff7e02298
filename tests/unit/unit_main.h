/**
 * @file unit_main.h
 * Runs one suite of the check library as a program.
 */
#ifndef UNIT_UNIT_MAIN_H
#define UNIT_UNIT_MAIN_H

#include <check.h>
#include <stdlib.h>

static inline int unit_main(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
