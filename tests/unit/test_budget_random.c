/* Runs the budget agents under random faults. Partitions occur only between
 * failure domains; test_budget_domain_cut.c has those within a domain. No
 * budget may be overspent, and each request has to be charged its cost, or more
 * if a host died. */
#include "fakes/budget_random_run.h"
#include "unit/unit_main.h"

static const struct budget_random_extras no_extras;
static const struct budget_random_extras truncates_runs = {.truncates_runs =
								   true};

START_TEST(transient_faults_leave_exact_charges)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_TRANSIENT, no_extras);
}
END_TEST

START_TEST(retries_are_charged_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, no_extras);
}
END_TEST

START_TEST(host_deaths_never_overspend)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_DEATHS, no_extras);
}
END_TEST

START_TEST(incomplete_runs_are_charged_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, truncates_runs);
}
END_TEST

START_TEST(incomplete_runs_and_host_deaths_never_overspend)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_DEATHS, truncates_runs);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_random");
	TCase *tcase = tcase_create("seeds");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, transient_faults_leave_exact_charges, 1, 41);
	tcase_add_loop_test(tcase, retries_are_charged_once, 1, 41);
	tcase_add_loop_test(tcase, host_deaths_never_overspend, 1, 61);
	tcase_add_loop_test(tcase, incomplete_runs_are_charged_once, 1, 61);
	tcase_add_loop_test(
		tcase, incomplete_runs_and_host_deaths_never_overspend, 1, 61);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
