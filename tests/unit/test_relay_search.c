/* Tests that hosts that move tokens of a budget to each other never overspend
 * it. Two failure domains of two hosts each; the network loses, repeats and
 * reorders messages, and delivers some seconds late, also to later processes.
 * Injects each fault at each point of a short run, and random pairs and triples
 * of faults. */
#include "fakes/budget_faults.h"
#include "fakes/budget_rig.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define SEEDS 2
#define RANDOM_RUNS 2000
#define RANDOM_PARTS 10

/* One kind of fault a test run. */
START_TEST(a_fault_at_any_point_does_not_lead_to_overspending)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		for (uint64_t point = 0; point < BUDGET_FAULT_POINTS; point++) {
			struct budget_fault fault = {
				.point = point,
				.kind = (enum budget_fault_kind)_i,
				.host = point % BUDGET_RIG_HOSTS};

			budget_faults_run(&fault, 1, seed, "point",
					  seed * 1000 + point);
		}
	}
}
END_TEST

START_TEST(several_faults_do_not_lead_to_overspending)
{
	struct tgw_random random;

	tgw_random_init(&random, (uint64_t)_i + 1);
	for (uint64_t number = 0; number < RANDOM_RUNS / RANDOM_PARTS;
	     number++) {
		struct budget_fault faults[BUDGET_FAULTS_MAX];
		uint64_t seed = 1 + (uint64_t)_i * RANDOM_RUNS + number;
		size_t count =
			2 + tgw_random_below(&random, BUDGET_FAULTS_MAX - 1);

		for (size_t i = 0; i < count; i++)
			faults[i] = (struct budget_fault){
				.point = tgw_random_below(&random,
							  BUDGET_FAULT_POINTS),
				.kind = (enum budget_fault_kind)
					tgw_random_below(
						&random,
						BUDGET_FAULT_KIND_COUNT),
				.host = tgw_random_below(&random,
							 BUDGET_RIG_HOSTS),
			};
		budget_faults_run(faults, count, seed, "run", seed);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("relay_search");
	TCase *tcase = tcase_create("faults");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    a_fault_at_any_point_does_not_lead_to_overspending,
			    0, BUDGET_FAULT_KIND_COUNT);
	tcase_add_loop_test(tcase, several_faults_do_not_lead_to_overspending,
			    0, RANDOM_PARTS);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
