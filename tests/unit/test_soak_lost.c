/* Tests the judge of lost requests of the fault soak, as a table. */
#include "soak/lost_judge.h"
#include "unit/unit_main.h"

#define MS 1000LL
#define GRACE_MS 6000

/* All times in ms; the request begins at 10,000 and has 8,000. */
struct row {
	const char *name;
	enum lost_work work;
	int work_at;
	int whole_at; /* 0: never */
	int ended_at;
	unsigned int arrivals;
	int worked_until;
	bool complete;
	enum lost_verdict verdict;
};

#define BEGUN 10000
#define LONG_AGO (-100000)

static const struct row rows[] = {
	{"an answer is one at any time", LOST_STOP, 10000, 10010, 10100, 1,
	 10090, true, LOST_ANSWERED},
	{"nothing near", LOST_CHANGE, LONG_AGO, 10010, 10100, 1, 10100, false,
	 LOST_CUT_ALONE},
	{"crosses the close", LOST_STOP, 9000, 10010, 10210, 0, 0, false,
	 LOST_UNREAD},
	{"was left unread for too long", LOST_STOP, 9000, 10010, 10211, 0, 0,
	 false, LOST_CUT_AT_STOP},
	{"was passed on", LOST_STOP, 9000, 10010, 10011, 1, 10011, false,
	 LOST_CUT_AT_STOP},
	{"was not sent whole", LOST_STOP, 9000, 0, 13000, 0, 0, false,
	 LOST_UNREAD},
	{"the last moment of a stop", LOST_STOP, 4000, 10010, 11000, 1, 10500,
	 false, LOST_CUT_AT_STOP},
	{"after a stop", LOST_STOP, 3999, 10010, 11000, 1, 10500, false,
	 LOST_CUT_ALONE},
	{"a server works into the last sixth of a stop", LOST_STOP, 7000, 10010,
	 12000, 1, 12000, false, LOST_TIME_OVER},
	{"its server had answered before", LOST_STOP, 7000, 10010, 12000, 1,
	 11999, false, LOST_CUT_AT_STOP},
	{"was sent too late in the stop for that", LOST_STOP, 6999, 10010,
	 12000, 1, 12000, false, LOST_CUT_AT_STOP},
	{"cut after a reload", LOST_RELOAD, 8000, 10010, 17900, 1, 17900, false,
	 LOST_CUT_AT_RELOAD},
	{"sent long after a reload", LOST_RELOAD, 7999, 10010, 10500, 1, 10500,
	 false, LOST_CUT_ALONE},
	{"cut before a reload", LOST_RELOAD, 10501, 10010, 10500, 1, 10500,
	 false, LOST_CUT_ALONE},
	{"beside a change", LOST_CHANGE, 8000, 10010, 11000, 1, 11000, false,
	 LOST_CUT_BESIDE_CHANGE},
	{"long after a change", LOST_CHANGE, 7999, 10010, 11000, 1, 11000,
	 false, LOST_CUT_ALONE},
	{"beside a change, and late", LOST_CHANGE, 15000, 10010, 15600, 1,
	 15600, false, LOST_TIME_OVER},
	{"beside a change, and just not late", LOST_CHANGE, 15000, 10010, 15599,
	 1, 15599, false, LOST_CUT_BESIDE_CHANGE},
	{"late at a stop", LOST_STOP, 15000, 10010, 17979, 1, 17979, false,
	 LOST_CUT_AT_STOP},
	{"its time is up", LOST_STOP, 15000, 10010, 17980, 1, 17980, false,
	 LOST_TIME_OVER},
};

static struct lost_end make_end(const struct row *row)
{
	return (struct lost_end){
		.begun_us = BEGUN * MS,
		.whole_us = row->whole_at * MS,
		.ended_us = row->ended_at * MS,
		.limit_us = 8000 * MS,
		.arrivals = row->arrivals,
		.worked_until_us = row->worked_until * MS,
		.complete = row->complete,
	};
}

START_TEST(each_row_gets_its_verdict)
{
	const struct row *row = &rows[_i];
	struct lost_judge judge = {.grace_us = GRACE_MS * MS};
	struct lost_end end = make_end(row);

	lost_judge_plan(&judge, row->work, row->work_at * MS);
	ck_assert_msg(lost_judge_end(&judge, &end) == row->verdict, "%s",
		      row->name);
	lost_judge_free(&judge);
}
END_TEST

/* When a request that a host answered at `ended` may have no answer of a
 * server: as for one that a stop cuts. */
static const struct {
	const char *name;
	int stop_at;
	int ended_at;
	int worked_until;
	bool outlasts;
} stop_rows[] = {
	{"a server works to the end of the stop", 7000, 12400, 12400, true},
	{"the stop has time left", 7000, 11999, 11999, false},
	{"its server had answered before", 7000, 12400, 11999, false},
	{"was sent too late in the stop for that", 6999, 12400, 12400, false},
	{"there was no stop", LONG_AGO, 12400, 12400, false},
};

START_TEST(only_work_to_the_end_of_a_stop_excuses_a_gateway_error)
{
	struct lost_judge judge = {.grace_us = GRACE_MS * MS};
	struct lost_end end = {
		.begun_us = BEGUN * MS,
		.whole_us = BEGUN * MS,
		.ended_us = stop_rows[_i].ended_at * MS,
		.limit_us = 8000 * MS,
		.arrivals = 1,
		.worked_until_us = stop_rows[_i].worked_until * MS,
		.complete = true,
	};

	lost_judge_plan(&judge, LOST_STOP, stop_rows[_i].stop_at * MS);
	ck_assert_msg(lost_judge_outlasts_stop(&judge, &end) ==
			      stop_rows[_i].outlasts,
		      "%s", stop_rows[_i].name);
	lost_judge_free(&judge);
}
END_TEST

static void end_many(struct lost_judge *judge, int at_ms, unsigned int count,
		     bool complete)
{
	struct lost_end end = {.begun_us = at_ms * MS,
			       .whole_us = at_ms * MS,
			       .ended_us = at_ms * MS + MS,
			       .limit_us = 8000 * MS,
			       .arrivals = 1,
			       .complete = complete};

	while (count--)
		lost_judge_end(judge, &end);
}

START_TEST(cuts_beside_changes_count_above_three_times_the_other_rate)
{
	struct lost_judge judge = {0};

	lost_judge_plan(&judge, LOST_CHANGE, 50000 * MS);
	end_many(&judge, 10000, 99, true);
	end_many(&judge, 10000, 1, false);
	end_many(&judge, 51000, 97, true);
	end_many(&judge, 51000, 3, false);
	ck_assert(!lost_judge_cuts_beside_changes(&judge));
	end_many(&judge, 51000, 1, false);
	ck_assert(lost_judge_cuts_beside_changes(&judge));
	lost_judge_free(&judge);
}
END_TEST

START_TEST(any_cut_beside_changes_counts_if_there_is_none_elsewhere)
{
	struct lost_judge judge = {0};

	lost_judge_plan(&judge, LOST_CHANGE, 50000 * MS);
	end_many(&judge, 51000, 1, false);
	ck_assert(lost_judge_cuts_beside_changes(&judge));
	lost_judge_free(&judge);
}
END_TEST

START_TEST(a_fourth_request_cut_on_a_kept_connection_counts)
{
	struct lost_judge judge = {0};
	struct lost_end end = {.begun_us = 10000 * MS,
			       .whole_us = 10000 * MS,
			       .ended_us = 11000 * MS,
			       .limit_us = 8000 * MS,
			       .arrivals = 1};

	for (int i = 0; i < 9; i++)
		lost_judge_end(&judge, &end);
	ck_assert(!lost_judge_cuts_kept(&judge));
	end.served_before = 1;
	for (int i = 0; i < 3; i++)
		lost_judge_end(&judge, &end);
	ck_assert(!lost_judge_cuts_kept(&judge));
	lost_judge_end(&judge, &end);
	ck_assert(lost_judge_cuts_kept(&judge));
	lost_judge_free(&judge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("soak_lost");
	TCase *tcase = tcase_create("judge");

	tcase_add_loop_test(tcase, each_row_gets_its_verdict, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_loop_test(
		tcase, only_work_to_the_end_of_a_stop_excuses_a_gateway_error,
		0, sizeof(stop_rows) / sizeof(stop_rows[0]));
	tcase_add_test(
		tcase,
		cuts_beside_changes_count_above_three_times_the_other_rate);
	tcase_add_test(
		tcase,
		any_cut_beside_changes_counts_if_there_is_none_elsewhere);
	tcase_add_test(tcase, a_fourth_request_cut_on_a_kept_connection_counts);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
