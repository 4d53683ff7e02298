/* Tests that faults never lead to an overspent team budget, whatever hosts that
 * start return of what their predecessors held. Injects each fault at each
 * store operation of a short run, and random pairs and triples of faults. */
#include "fakes/budget_faults.h"
#include "fakes/budget_rig.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define RANDOM_RUNS 1500

/* One kind of fault a test run. */
START_TEST(a_fault_at_any_store_operation_does_not_lead_to_overspending)
{
	for (uint64_t point = 0; point < BUDGET_FAULT_POINTS; point++) {
		struct budget_fault fault = {.point = point,
					     .kind = (enum budget_fault_kind)_i,
					     .host = point % BUDGET_RIG_HOSTS};

		budget_faults_run(&fault, 1, 0, "point", point);
	}
}
END_TEST

START_TEST(several_faults_do_not_lead_to_overspending)
{
	struct tgw_random random;

	tgw_random_init(&random, (uint64_t)_i + 1);
	for (uint64_t number = 0; number < RANDOM_RUNS / 10; number++) {
		struct budget_fault faults[BUDGET_FAULTS_MAX];
		size_t count =
			2 + tgw_random_below(&random, BUDGET_FAULTS_MAX - 1);

		for (size_t i = 0; i < count; i++)
			faults[i] = (struct budget_fault){
				.point = tgw_random_below(&random,
							  BUDGET_FAULT_POINTS),
				.kind = (enum budget_fault_kind)
					tgw_random_below(
						&random,
						BUDGET_FAULT_STORE_KIND_COUNT),
				.host = tgw_random_below(&random,
							 BUDGET_RIG_HOSTS),
			};
		budget_faults_run(faults, count, 0, "run",
				  (uint64_t)_i * 1000 + number);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("team_budget_search");
	TCase *tcase = tcase_create("faults");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(
		tcase,
		a_fault_at_any_store_operation_does_not_lead_to_overspending, 0,
		BUDGET_FAULT_STORE_KIND_COUNT);
	tcase_add_loop_test(tcase, several_faults_do_not_lead_to_overspending,
			    0, 10);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
