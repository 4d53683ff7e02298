/* Tests what a host takes its own store calls to tell of the store. */
#include "coordination/store_belief.h"

#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define NOW_US (100 * TGW_US_PER_S)

static void note(struct store_belief *belief, bool answered, int64_t began_us,
		 int64_t ended_us)
{
	const struct store_belief_evidence evidence = {
		.answered = answered,
		.source = STORE_BELIEF_BUDGETS,
		.began_us = began_us,
	};

	store_belief_note(belief, &evidence, ended_us);
}

START_TEST(without_a_call_the_store_is_not_taken_for_reachable)
{
	const struct store_belief belief = {0};

	ck_assert(!store_belief_reaches(&belief, NOW_US));
	ck_assert(!belief.unreachable);
}
END_TEST

START_TEST(an_old_answer_is_no_evidence)
{
	struct store_belief belief = {0};

	note(&belief, true, NOW_US, NOW_US);
	ck_assert(store_belief_reaches(&belief, NOW_US + TGW_US_PER_S));
	ck_assert(!store_belief_reaches(&belief, NOW_US + 4 * TGW_US_PER_S));
	ck_assert(!belief.unreachable);
}
END_TEST

/* The call began in the outage and timed out after it. */
START_TEST(a_call_that_began_before_the_last_answer_tells_no_outage)
{
	struct store_belief belief = {0};

	note(&belief, false, NOW_US, NOW_US + 10);
	ck_assert(belief.unreachable);
	note(&belief, true, NOW_US + 20, NOW_US + 30);
	note(&belief, false, NOW_US + 25, NOW_US + 500);
	ck_assert(!belief.unreachable);
	ck_assert_int_eq(belief.known_us, NOW_US + 30);
	note(&belief, false, NOW_US + 40, NOW_US + 600);
	ck_assert(belief.unreachable);
	ck_assert_int_eq(belief.changed_us, NOW_US + 600);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store_belief");
	TCase *tcase = tcase_create("evidence");

	tcase_add_test(tcase,
		       without_a_call_the_store_is_not_taken_for_reachable);
	tcase_add_test(tcase, an_old_answer_is_no_evidence);
	tcase_add_test(
		tcase,
		a_call_that_began_before_the_last_answer_tells_no_outage);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
