/* Tests which failure domains count as evacuated when news of them are late,
 * repeated, or without a version. */
#include "state/evacuations.h"

#include <stdio.h>

#include "unit/unit_main.h"

static struct evacuations evacuations;

/* News as they arrive, and whether the domain is evacuated after them. */
static const struct {
	const char *name;
	struct {
		bool active;
		int64_t version;
	} news[4];
	size_t count;
	bool evacuated;
} cases[] = {
	{"asked for", {{true, 5}}, 1, true},
	{"taken back", {{true, 5}, {false, 6}}, 2, false},
	{"asked for again", {{true, 5}, {false, 6}, {true, 7}}, 3, true},
	{"a late request", {{true, 5}, {false, 7}, {true, 6}}, 3, false},
	{"a late end", {{true, 5}, {true, 8}, {false, 7}}, 3, true},
	{"a repeated request", {{true, 5}, {false, 6}, {true, 5}}, 3, false},
	{"an end without a version", {{true, 5}, {false, 0}}, 2, false},
	{"a request after such an end",
	 {{true, 5}, {false, 0}, {true, 6}},
	 3,
	 true},
	{"an end of what was never asked for", {{false, 4}}, 1, false},
};

START_TEST(the_latest_version_counts)
{
	for (size_t i = 0; i < cases[_i].count; i++)
		evacuations_set(&evacuations, "east", cases[_i].news[i].active,
				cases[_i].news[i].version);
	ck_assert_msg(evacuations_has(&evacuations, "east") ==
			      cases[_i].evacuated,
		      "%s", cases[_i].name);
	ck_assert(!evacuations_has(&evacuations, "west"));
	ck_assert_uint_eq(evacuations_count(&evacuations), cases[_i].evacuated);
}
END_TEST

START_TEST(only_changes_are_reported)
{
	ck_assert_int_eq(evacuations_set(&evacuations, "east", true, 5),
			 EVACUATIONS_CHANGED);
	ck_assert_int_eq(evacuations_set(&evacuations, "east", true, 6),
			 EVACUATIONS_UNCHANGED);
	ck_assert_int_eq(evacuations_set(&evacuations, "west", true, 7),
			 EVACUATIONS_CHANGED);
	ck_assert_uint_eq(evacuations_count(&evacuations), 2);
}
END_TEST

/* Guards against a write beyond the array by an operator's script. */
START_TEST(too_many_domains_are_refused)
{
	char name[TGW_NAME_SIZE];

	for (int i = 0; i < EVACUATIONS_MAX; i++) {
		snprintf(name, sizeof(name), "domain-%d", i);
		ck_assert_int_eq(evacuations_set(&evacuations, name, true, 1),
				 EVACUATIONS_CHANGED);
	}
	ck_assert_int_eq(evacuations_set(&evacuations, "one-more", true, 1),
			 EVACUATIONS_FULL);
	ck_assert(!evacuations_has(&evacuations, "one-more"));
}
END_TEST

/* Guards against an evacuation that is ignored because of many earlier ones
 * that have ended. */
START_TEST(ended_evacuations_make_room_for_others)
{
	char name[TGW_NAME_SIZE];

	for (int i = 0; i < 2 * EVACUATIONS_MAX; i++) {
		snprintf(name, sizeof(name), "domain-%d", i);
		ck_assert_int_eq(evacuations_set(&evacuations, name, true,
						 2 * i + 1),
				 EVACUATIONS_CHANGED);
		ck_assert_int_eq(evacuations_set(&evacuations, name, false,
						 2 * i + 2),
				 EVACUATIONS_CHANGED);
	}
	/* A late repetition of the last evacuation does not begin it again. */
	ck_assert_int_eq(evacuations_set(&evacuations, name, true,
					 2 * (2 * EVACUATIONS_MAX - 1) + 1),
			 EVACUATIONS_UNCHANGED);
	ck_assert_uint_eq(evacuations_count(&evacuations), 0);
}
END_TEST

static void setup(void)
{
	evacuations = (struct evacuations){0};
}

int main(void)
{
	Suite *suite = suite_create("evacuations");
	TCase *tcase = tcase_create("news");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_add_loop_test(tcase, the_latest_version_counts, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tcase, only_changes_are_reported);
	tcase_add_test(tcase, too_many_domains_are_refused);
	tcase_add_test(tcase, ended_evacuations_make_room_for_others);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
