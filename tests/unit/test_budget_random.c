#include "fakes/budget_random_run.h"
#include "unit/unit_main.h"

static const struct budget_random_extras no_extras;
static const struct budget_random_extras truncates_runs = {.truncates_runs =
								   true};

START_TEST(soft_faults_leave_exact_bills)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_TRANSIENT, no_extras);
}
END_TEST

START_TEST(retries_are_billed_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, no_extras);
}
END_TEST

START_TEST(deaths_never_overspend)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_DEATHS, no_extras);
}
END_TEST

START_TEST(incomplete_runs_are_billed_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, truncates_runs);
}
END_TEST

START_TEST(incomplete_runs_never_overspend)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_DEATHS, truncates_runs);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_random");
	TCase *tcase = tcase_create("seeds");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, soft_faults_leave_exact_bills, 1, 41);
	tcase_add_loop_test(tcase, retries_are_billed_once, 1, 41);
	tcase_add_loop_test(tcase, deaths_never_overspend, 1, 61);
	tcase_add_loop_test(tcase, incomplete_runs_are_billed_once, 1, 61);
	tcase_add_loop_test(tcase, incomplete_runs_never_overspend, 1, 61);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
