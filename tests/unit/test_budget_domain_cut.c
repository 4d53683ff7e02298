#include "fakes/budget_random_run.h"
#include "unit/unit_main.h"

static const struct budget_random_extras splits_domains = {.splits_domains =
								   true};
static const struct budget_random_extras cuts_both = {
	.splits_domains = true,
	.truncates_runs = true,
};

START_TEST(soft_faults_leave_exact_bills)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_TRANSIENT,
			  splits_domains);
}
END_TEST

START_TEST(retries_are_billed_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, splits_domains);
}
END_TEST

START_TEST(deaths_never_overspend)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_DEATHS, splits_domains);
}
END_TEST

START_TEST(incomplete_runs_are_billed_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, cuts_both);
}
END_TEST

/* Seeds that once failed: reservations that their owners did not know of stayed
 * open, or were billed at their bound. */
static const uint64_t retry_regression_seeds[] = {139, 285, 466, 536,
						  570, 637, 652};
static const uint64_t death_regression_seeds[] = {121};

START_TEST(retry_regressions)
{
	budget_random_run(retry_regression_seeds[_i], BUDGET_RANDOM_RETRIES,
			  splits_domains);
}
END_TEST

START_TEST(death_regressions)
{
	budget_random_run(death_regression_seeds[_i], BUDGET_RANDOM_DEATHS,
			  splits_domains);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_domain_cut");
	TCase *tcase = tcase_create("seeds");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, soft_faults_leave_exact_bills, 1, 41);
	tcase_add_loop_test(tcase, retries_are_billed_once, 1, 101);
	tcase_add_loop_test(tcase, deaths_never_overspend, 1, 61);
	tcase_add_loop_test(tcase, incomplete_runs_are_billed_once, 1, 61);
	tcase_add_loop_test(tcase, retry_regressions, 0, 7);
	tcase_add_loop_test(tcase, death_regressions, 0, 1);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
