/* Tests the judge of bad parts of prompts of the fault soak, as tables. */
#include "soak/part_judge.h"
#include "unit/unit_main.h"

#define S 1000000LL
#define FIRST_PART 3

static const struct {
	unsigned int crashes; /* one a second from 10 s on */
	int arrivals;	      /* from this time on, 0.1 s apart */
	unsigned int count;
	bool in_touch;
	bool broken;
} budget_rows[] = {
	{5, 18, 3, true, false},
	{5, 18, 4, true, true},
	{5, 18, 40, false, false},
	{4, 30, 40, true, false},
	/* Within the time to know. */
	{5, 14, 29, true, false},
	{9, 18, 4, true, true},
};

START_TEST(few_requests_may_reach_servers_after_the_fifth_crash)
{
	struct part_judge judge = {0};

	for (unsigned int i = 0; i < budget_rows[_i].crashes; i++)
		part_judge_crash(&judge, (10 + i) * S);
	for (unsigned int i = 0; i < budget_rows[_i].count; i++)
		part_judge_arrival(&judge,
				   budget_rows[_i].arrivals * S + i * S / 10,
				   budget_rows[_i].in_touch);
	ck_assert_int_eq(part_judge_breaks_budget(&judge),
			 budget_rows[_i].broken);
}
END_TEST

static const struct {
	unsigned int before;	   /* requests, of which */
	unsigned int before_begun; /* these began */
	unsigned int during;
	unsigned int during_begun;
	int sent; /* those during */
	bool broken;
} lost_rows[] = {
	{100, 100, 40, 20, 21, false},
	{100, 100, 40, 19, 21, true},
	{100, 50, 40, 10, 21, false},
	{100, 50, 40, 9, 21, true},
	{100, 100, 19, 0, 21, false},
	{19, 19, 40, 0, 21, false},
	/* Within twice the time to know. */
	{100, 100, 40, 0, 20, false},
};

START_TEST(sound_requests_begin_half_as_often_as_before)
{
	struct part_judge judge = {0};
	unsigned int group = PART_JUDGE_GROUPS;

	for (unsigned int i = 0; i < lost_rows[_i].before; i++)
		part_judge_sound(&judge, FIRST_PART, S,
				 i < lost_rows[_i].before_begun, false, false);
	/* Not to be compared with. */
	part_judge_sound(&judge, FIRST_PART, S, false, false, true);
	for (unsigned int i = 0; i < 5; i++)
		part_judge_crash(&judge, (10 + i) * S);
	for (unsigned int i = 0; i < lost_rows[_i].during; i++)
		part_judge_sound(&judge, FIRST_PART,
				 lost_rows[_i].sent * S + 1 - S / 2,
				 i < lost_rows[_i].during_begun, true, false);
	ck_assert_int_eq(part_judge_breaks_lost(&judge, &group),
			 lost_rows[_i].broken);
	if (lost_rows[_i].broken)
		ck_assert_uint_eq(group, FIRST_PART);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("soak_parts");
	TCase *tcase = tcase_create("judge");

	tcase_add_loop_test(
		tcase, few_requests_may_reach_servers_after_the_fifth_crash, 0,
		sizeof(budget_rows) / sizeof(budget_rows[0]));
	tcase_add_loop_test(tcase, sound_requests_begin_half_as_often_as_before,
			    0, sizeof(lost_rows) / sizeof(lost_rows[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
