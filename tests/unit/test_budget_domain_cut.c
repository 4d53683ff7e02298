/* Runs the budget agents under random faults that include partitions within a
 * failure domain. No budget may be overspent, and each request has to be
 * charged its cost, or more if a host died. Some seeds are kept because they
 * failed before. */
#include "fakes/budget_random_run.h"
#include "unit/unit_main.h"

static const struct budget_random_extras splits_domains = {.splits_domains =
								   true};
static const struct budget_random_extras splits_and_truncates = {
	.splits_domains = true,
	.truncates_runs = true,
};

START_TEST(transient_faults_leave_exact_charges)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_TRANSIENT,
			  splits_domains);
}
END_TEST

START_TEST(retries_are_charged_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES, splits_domains);
}
END_TEST

START_TEST(host_deaths_never_overspend)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_DEATHS, splits_domains);
}
END_TEST

START_TEST(incomplete_runs_are_charged_once)
{
	budget_random_run((uint64_t)_i, BUDGET_RANDOM_RETRIES,
			  splits_and_truncates);
}
END_TEST

/* With these seeds, reservations that their owners did not know of once stayed
 * open, or were charged their bound. */
static const uint64_t failed_retry_seeds[] = {139, 285, 466, 536,
					      570, 637, 652};
static const uint64_t failed_death_seeds[] = {121};

START_TEST(earlier_failures_with_retries_do_not_recur)
{
	budget_random_run(failed_retry_seeds[_i], BUDGET_RANDOM_RETRIES,
			  splits_domains);
}
END_TEST

START_TEST(earlier_failures_with_host_deaths_do_not_recur)
{
	budget_random_run(failed_death_seeds[_i], BUDGET_RANDOM_DEATHS,
			  splits_domains);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_domain_cut");
	TCase *tcase = tcase_create("seeds");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, transient_faults_leave_exact_charges, 1, 41);
	tcase_add_loop_test(tcase, retries_are_charged_once, 1, 101);
	tcase_add_loop_test(tcase, host_deaths_never_overspend, 1, 61);
	tcase_add_loop_test(tcase, incomplete_runs_are_charged_once, 1, 61);
	tcase_add_loop_test(tcase, earlier_failures_with_retries_do_not_recur,
			    0, 7);
	tcase_add_loop_test(
		tcase, earlier_failures_with_host_deaths_do_not_recur, 0, 1);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
