/* Tests what a host takes for the usual and the present time of work at a
 * server, and for the pauses of streams there. */
#include "state/pause_model.h"
#include "state/server_speed.h"

#include <string.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define START_US (100 * TGW_US_PER_S)

/* Reports in the order of their arrival, and what is known after them. */
static const struct {
	const char *name;
	struct {
		int64_t at_ms;
		uint32_t percent;
	} reports[4];
	size_t count;
	int64_t now_ms;
	uint32_t usual;
	uint32_t present;
} cases[] = {
	{"no report", {{0}}, 0, 0, 0, 0},
	{"a slow server", {{0, 170}}, 1, 0, 170, 170},
	{"a busy neighbour", {{0, 70}, {500, 175}}, 2, 600, 70, 175},
	{"which was busy at first", {{0, 175}, {500, 70}}, 2, 600, 70, 70},
	{"an old report", {{0, 70}, {500, 175}}, 2, 900, 70, 70},
	{"a machine that stays slower",
	 {{0, 70}, {31000, 140}, {62000, 140}, {62100, 150}},
	 4,
	 62100,
	 140,
	 150},
	{"absurd figures", {{0, 70}, {10, 0}, {20, 1000000}}, 3, 20, 70, 70},
};

START_TEST(the_lowest_report_is_usual_and_the_last_one_present)
{
	struct server_speed speed = {0};
	int64_t now_us = START_US + cases[_i].now_ms * TGW_US_PER_MS;

	for (size_t i = 0; i < cases[_i].count; i++)
		server_speed_report(&speed, cases[_i].reports[i].percent,
				    START_US + cases[_i].reports[i].at_ms *
						       TGW_US_PER_MS);
	ck_assert_msg(server_speed_usual_percent(&speed) == cases[_i].usual,
		      "%s", cases[_i].name);
	ck_assert_msg(server_speed_present_percent(&speed, now_us) ==
			      cases[_i].present,
		      "%s", cases[_i].name);
}
END_TEST

START_TEST(few_streams_say_nothing_of_the_pauses)
{
	struct pause_model model = {0};

	for (int i = 0; i < 9; i++)
		pause_model_add(&model, "chat", 500, 100);
	ck_assert(pause_model_long_pause_ms(&model, "chat") == 0);
	ck_assert(pause_model_long_pause_ms(&model, "other") == 0);
}
END_TEST

/* One stream in five pauses for 600 ms at a usual server, the others for 100.
 */
START_TEST(pauses_are_expected_in_proportion_to_the_time_of_work)
{
	struct pause_model model = {0};
	struct tgw_random random;

	tgw_random_init(&random, (uint64_t)_i + 1);
	for (int i = 0; i < 400; i++) {
		int64_t pause_ms = tgw_random_below(&random, 5) ? 100 : 600;
		uint32_t percent = i % 2 ? 70 : 170;

		pause_model_add(&model, "chat", pause_ms * percent / 100,
				percent);
		pause_model_add(&model, "short", 1, percent);
	}
	ck_assert(pause_model_long_pause_ms(&model, "chat") > 400);
	ck_assert(pause_model_long_pause_ms(&model, "chat") < 800);
	ck_assert(pause_model_long_pause_ms(&model, "short") < 10);
}
END_TEST

START_TEST(a_route_that_calms_down_is_expected_to_be_calm)
{
	struct pause_model model = {0};

	for (int i = 0; i < 50; i++)
		pause_model_add(&model, "chat", 2000, 100);
	for (int i = 0; i < 300; i++)
		pause_model_add(&model, "chat", 50, 100);
	ck_assert(pause_model_long_pause_ms(&model, "chat") < 100);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("server_speed");
	TCase *tcase = tcase_create("reports");

	tcase_add_loop_test(tcase,
			    the_lowest_report_is_usual_and_the_last_one_present,
			    0, sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tcase, few_streams_say_nothing_of_the_pauses);
	tcase_add_loop_test(
		tcase, pauses_are_expected_in_proportion_to_the_time_of_work, 0,
		10);
	tcase_add_test(tcase, a_route_that_calms_down_is_expected_to_be_calm);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
