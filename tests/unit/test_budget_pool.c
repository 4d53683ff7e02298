/* Tests the pool that hosts take their allotments of prepaid budgets from: its
 * encoding, and the conversion of values that earlier versions wrote. */
#include "state/budget_pool.h"

#include <string.h>

#include "state/budget_pool_codec.h"
#include "state/ledger_codec.h"
#include "unit/unit_main.h"

static struct budget_pool pool;
static struct buffer bytes;

static void setup(void)
{
	struct pooled_budget *budget;

	memset(&pool, 0, sizeof(pool));
	memset(&bytes, 0, sizeof(bytes));
	pool.key_count = 4;
	budget_pool_raise_paid_in(&pool, "zulu", 500);
	budget = budget_pool_raise_paid_in(&pool, "acme", 1000);
	budget->taken_tokens = 400;
	budget->settled_tokens = 300;
	budget->demanded_tokens = 350;
	budget->requested_tokens = 20;
	budget_pool_record_write(&pool, budget_pool_host_id("host-1", 7), 3);
	budget_pool_codec_encode(&pool, &bytes);
}

static void teardown(void)
{
	budget_pool_clear(&pool);
	buffer_free(&bytes);
}

START_TEST(a_pool_is_the_same_after_decoding)
{
	struct budget_pool copy;
	const struct pooled_budget *budget;
	const struct pool_host *host;

	ck_assert_int_eq(budget_pool_codec_decode(&copy, bytes.data, bytes.size,
						  NULL),
			 TGW_OK);
	ck_assert_uint_eq(copy.key_count, 4);
	ck_assert_uint_eq(copy.budget_count, 2);
	budget = budget_pool_find(&copy, "acme");
	ck_assert_ptr_nonnull(budget);
	ck_assert_mem_eq(budget, budget_pool_find(&pool, "acme"),
			 sizeof(*budget));
	ck_assert_int_eq(pooled_budget_free_tokens(budget), 600);
	host = budget_pool_find_host(&copy, budget_pool_host_id("host-1", 7));
	ck_assert_ptr_nonnull(host);
	ck_assert_uint_eq(host->sequence, 3);
	budget_pool_clear(&copy);
}
END_TEST

START_TEST(an_absent_value_is_an_empty_pool)
{
	struct budget_pool copy;

	ck_assert_int_eq(budget_pool_codec_decode(&copy, NULL, 0, NULL),
			 TGW_OK);
	ck_assert_uint_eq(copy.budget_count, 0);
	ck_assert_uint_eq(copy.host_count, 0);
}
END_TEST

START_TEST(each_damaged_byte_is_noticed)
{
	for (size_t at = 0; at < bytes.size; at++) {
		for (int bit = 0; bit < 8; bit++) {
			struct budget_pool copy;
			struct tgw_error error = {0};
			enum tgw_status status;

			bytes.data[at] = (char)(bytes.data[at] ^ 1 << bit);
			status = budget_pool_codec_decode(&copy, bytes.data,
							  bytes.size, &error);
			ck_assert_msg(status != TGW_OK, "byte %zu, bit %d", at,
				      bit);
			ck_assert_uint_eq(copy.budget_count, 0);
			ck_assert(*error.message);
			bytes.data[at] = (char)(bytes.data[at] ^ 1 << bit);
		}
	}
}
END_TEST

START_TEST(a_truncated_value_is_noticed)
{
	for (size_t size = 1; size < bytes.size; size++) {
		struct budget_pool copy;

		ck_assert_int_eq(budget_pool_codec_decode(&copy, bytes.data,
							  size, NULL),
				 TGW_CORRUPT);
	}
}
END_TEST

START_TEST(more_taken_than_paid_in_is_corrupt)
{
	struct budget_pool copy;
	struct tgw_error error;

	budget_pool_find(&pool, "acme")->taken_tokens = 1001;
	bytes.size = 0;
	budget_pool_codec_encode(&pool, &bytes);
	ck_assert_int_eq(budget_pool_codec_decode(&copy, bytes.data, bytes.size,
						  &error),
			 TGW_CORRUPT);
	ck_assert_ptr_nonnull(strstr(error.message, "'acme'"));
	ck_assert_ptr_nonnull(strstr(error.message, "1001 of 1000"));
}
END_TEST

START_TEST(a_newer_format_asks_for_an_upgrade)
{
	struct budget_pool copy;
	struct tgw_error error;

	/* An array of three elements, of which the first is the version. */
	bytes.data[1] = BUDGET_POOL_FORMAT_VERSION + 1;
	ck_assert_int_eq(budget_pool_codec_decode(&copy, bytes.data, bytes.size,
						  &error),
			 TGW_NEWER_FORMAT);
	ck_assert_ptr_nonnull(strstr(error.message, "upgrade"));
}
END_TEST

START_TEST(a_new_process_of_a_host_replaces_the_earlier_one)
{
	uint64_t earlier = budget_pool_host_id("host-1", 7);
	uint64_t later = budget_pool_host_id("host-1", 8);
	uint64_t other = budget_pool_host_id("host-2", 7);

	budget_pool_record_write(&pool, other, 1);
	budget_pool_record_write(&pool, later, 1);
	ck_assert_uint_eq(pool.host_count, 2);
	ck_assert_ptr_null(budget_pool_find_host(&pool, earlier));
	ck_assert_ptr_nonnull(budget_pool_find_host(&pool, later));
	ck_assert_ptr_nonnull(budget_pool_find_host(&pool, other));
}
END_TEST

static void write_earlier_version(struct buffer *value)
{
	struct ledger_bucket bucket = {0};
	struct ledger_line *line;
	struct ledger_allotment *allotment;
	int budget = ledger_bucket_raise_paid_in(&bucket, "acme", 1000);

	bucket.budgets[budget].folded_tokens = 100;
	line = ledger_bucket_add_line(&bucket, 5);
	allotment = ledger_line_obtain_allotment(line, (uint32_t)budget);
	allotment->allotted_tokens = 250;
	allotment->settled_tokens = 30;
	ledger_codec_encode(&bucket, value);
	ledger_bucket_clear(&bucket);
}

START_TEST(allotments_of_the_earlier_format_stay_taken)
{
	struct budget_pool copy;
	struct buffer value = {0};
	const struct pooled_budget *budget;

	write_earlier_version(&value);
	ck_assert_int_eq(budget_pool_codec_decode(&copy, value.data, value.size,
						  NULL),
			 TGW_OK);
	budget = budget_pool_find(&copy, "acme");
	ck_assert_ptr_nonnull(budget);
	ck_assert_uint_eq(copy.key_count, 1);
	ck_assert_int_eq(budget->paid_in_tokens, 1000);
	ck_assert_int_eq(budget->taken_tokens, 350);
	ck_assert_int_eq(budget->settled_tokens, 130);
	budget_pool_clear(&copy);
	buffer_free(&value);
}
END_TEST

START_TEST(programs_of_the_earlier_format_refuse_a_pool)
{
	struct ledger_bucket bucket;

	ck_assert_int_eq(ledger_codec_decode(&bucket, bytes.data, bytes.size,
					     NULL),
			 TGW_NEWER_FORMAT);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_pool");
	TCase *tcase = tcase_create("pool");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_pool_is_the_same_after_decoding);
	tcase_add_test(tcase, an_absent_value_is_an_empty_pool);
	tcase_add_test(tcase, each_damaged_byte_is_noticed);
	tcase_add_test(tcase, a_truncated_value_is_noticed);
	tcase_add_test(tcase, more_taken_than_paid_in_is_corrupt);
	tcase_add_test(tcase, a_newer_format_asks_for_an_upgrade);
	tcase_add_test(tcase, a_new_process_of_a_host_replaces_the_earlier_one);
	tcase_add_test(tcase, allotments_of_the_earlier_format_stay_taken);
	tcase_add_test(tcase, programs_of_the_earlier_format_refuse_a_pool);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
