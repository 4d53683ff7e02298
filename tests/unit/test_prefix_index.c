/* Tests which blocks of prompts a server is taken to hold. */
#include "state/prefix_index.h"

#include "unit/unit_main.h"

#define DAY_US (INT64_C(24) * 3600 * TGW_US_PER_S)
#define BLOCKS 4
#define CERTAIN (1000 * BLOCKS)
#define UNCERTAIN (500 * BLOCKS)

static const uint64_t hashes[BLOCKS] = {UINT64_C(0x1111111100000001),
					UINT64_C(0x2222222200000002),
					UINT64_C(0x3333333300000003),
					UINT64_C(0x4444444400000004)};
static struct prefix_index prefix;

static void teardown(void)
{
	prefix_index_free(&prefix);
}

static int64_t matched(void)
{
	return prefix_index_match(&prefix, hashes, BLOCKS);
}

START_TEST(blocks_stay_certain_after_weeks_of_uptime)
{
	for (int64_t day = 1; day <= 1000; day++) {
		prefix_index_add(&prefix, hashes, BLOCKS, day * DAY_US);
		ck_assert_int_eq(matched(), CERTAIN);
	}
}
END_TEST

START_TEST(blocks_after_an_old_gap_are_certain)
{
	ck_assert(prefix_index_record_sequence(&prefix, 1, DAY_US));
	ck_assert(prefix_index_record_sequence(&prefix, 3, DAY_US));
	for (int64_t day = 2; day <= 1000; day++) {
		prefix_index_add(&prefix, hashes, BLOCKS, day * DAY_US);
		ck_assert_int_eq(matched(), CERTAIN);
	}
}
END_TEST

START_TEST(blocks_before_a_gap_count_half)
{
	for (int64_t day = 1; day <= 1000; day++) {
		int64_t now_us = day * DAY_US;

		prefix_index_add(&prefix, hashes, BLOCKS, now_us);
		ck_assert(prefix_index_record_sequence(
			&prefix, 2 * (uint64_t)day, now_us + TGW_US_PER_S));
		ck_assert_int_eq(matched(), day > 1 ? UNCERTAIN : CERTAIN);
	}
}
END_TEST

static Suite *prefix_index_suite(void)
{
	Suite *suite = suite_create("prefix_index");
	TCase *tcase = tcase_create("uptime");

	tcase_add_checked_fixture(tcase, NULL, teardown);
	tcase_add_test(tcase, blocks_stay_certain_after_weeks_of_uptime);
	tcase_add_test(tcase, blocks_after_an_old_gap_are_certain);
	tcase_add_test(tcase, blocks_before_a_gap_count_half);
	suite_add_tcase(suite, tcase);
	return suite;
}

int main(void)
{
	return unit_main(prefix_index_suite());
}
