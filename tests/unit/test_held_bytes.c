/* Tests how much of servers' answers a host may hold. */
#include "state/held_bytes.h"

#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define KB ((int64_t)1024)
#define MB (1024 * KB)
#define ANSWERS 2000

START_TEST(the_limit_is_a_share_of_the_memory)
{
	struct held_bytes held;

	held_bytes_init(&held, 260, 25, HELD_BYTES_ANSWER_MAX);
	ck_assert_int_le(held.limit_bytes, 65 * MB);
	ck_assert_int_gt(held.limit_bytes, 64 * MB);
	held_bytes_init(&held, 0, 25, HELD_BYTES_ANSWER_MAX);
	ck_assert_int_eq(held.limit_bytes, 64 * MB);
}
END_TEST

START_TEST(one_answer_has_a_limit_of_its_own)
{
	struct held_bytes held;

	held_bytes_init(&held, 260, 25, HELD_BYTES_ANSWER_MAX);
	ck_assert_int_eq(held_bytes_check(&held, 0, 256 * KB), HELD_FITS);
	ck_assert_int_eq(held_bytes_check(&held, 256 * KB, 512 * KB),
			 HELD_ITEM_TOO_LARGE);
	ck_assert_int_eq(held_bytes_limit(&held, HELD_ITEM_TOO_LARGE),
			 256 * KB);
}
END_TEST

START_TEST(what_an_answer_holds_counts_until_it_is_given_back)
{
	struct held_bytes held;
	int64_t own_bytes = 0;

	held_bytes_init(&held, 260, 25, HELD_BYTES_ANSWER_MAX);
	held_bytes_record(&held, &own_bytes, 256 * KB);
	held_bytes_record(&held, &own_bytes, 128 * KB);
	ck_assert_int_eq(held.total_bytes, 128 * KB);
	ck_assert_int_eq(held.peak_bytes, 256 * KB);
	held_bytes_record(&held, &own_bytes, 0);
	ck_assert_int_eq(held.total_bytes, 0);
}
END_TEST

/* Each answer stays below its own limit, and grows until it may not. */
START_TEST(many_answers_stay_below_the_limit_of_the_host)
{
	static int64_t own_bytes[ANSWERS];
	struct held_bytes held;
	struct tgw_random random;
	int64_t most;

	tgw_random_init(&random, (uint64_t)_i);
	held_bytes_init(&held, 64, 25, HELD_BYTES_ANSWER_MAX);
	most = held.limit_bytes + ANSWERS * HELD_BYTES_ITEM_MIN;
	for (int step = 0; step < 20 * ANSWERS; step++) {
		int64_t *own = &own_bytes[tgw_random_below(&random, ANSWERS)];
		int64_t next = *own ? 2 * *own : 256;

		if (held_bytes_check(&held, *own, next) == HELD_FITS)
			held_bytes_record(&held, own, next);
		else if (tgw_random_below(&random, 4) == 0)
			held_bytes_record(&held, own, 0);
		ck_assert_int_le(held.total_bytes, most);
	}
	ck_assert_int_gt(held.peak_bytes, held.limit_bytes / 2);
	for (int i = 0; i < ANSWERS; i++)
		held_bytes_record(&held, &own_bytes[i], 0);
	ck_assert_int_eq(held.total_bytes, 0);
}
END_TEST

/* The others hold all that the host may hold, and a small event still fits. */
START_TEST(a_small_event_fits_at_a_full_host)
{
	struct held_bytes held;
	int64_t others_bytes = 0;

	held_bytes_init(&held, 64, 25, HELD_BYTES_ANSWER_MAX);
	held_bytes_record(&held, &others_bytes, held.limit_bytes);
	ck_assert_int_eq(held_bytes_check(&held, 0, 8 * KB), HELD_FITS);
	ck_assert_int_eq(held_bytes_check(&held, 8 * KB, 16 * KB),
			 HELD_HOST_FULL);
	ck_assert_int_eq(held_bytes_limit(&held, HELD_HOST_FULL),
			 held.limit_bytes);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("held_bytes");
	TCase *tcase = tcase_create("held_bytes");

	tcase_add_test(tcase, the_limit_is_a_share_of_the_memory);
	tcase_add_test(tcase, one_answer_has_a_limit_of_its_own);
	tcase_add_test(tcase,
		       what_an_answer_holds_counts_until_it_is_given_back);
	tcase_add_loop_test(
		tcase, many_answers_stay_below_the_limit_of_the_host, 0, 8);
	tcase_add_test(tcase, a_small_event_fits_at_a_full_host);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
