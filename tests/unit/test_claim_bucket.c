/* Tests the size of a bucket of claims, whose stored value has a limit. */
#include "state/claim_bucket.h"

#include <stdio.h>
#include <string.h>

#include "unit/unit_main.h"

#define BODY_BYTES (8 * 1024)

static struct claim_bucket bucket;
static uint8_t body[BODY_BYTES];

/* With the longer name, records alone reach the limit of bytes before that of
 * records. */
static const char *host = "a";
static const char long_host[] = "host-with-a-name-of-forty-characters-000";

static struct claim_record record_of(uint32_t number)
{
	struct claim_record record = {
		.owner = {.incarnation = 1, .attempt_id = number}};

	snprintf(record.owner.host, sizeof(record.owner.host), "%s", host);
	memcpy(record.key.bytes, &number, sizeof(number));
	return record;
}

static void claim(uint32_t number)
{
	struct claim_record record = record_of(number);
	bool changed = false;

	ck_assert_int_eq(claim_bucket_claim(&bucket, &record, &changed),
			 CLAIM_DECISION_GRANTED);
}

static void end(uint32_t number)
{
	struct claim_record record = record_of(number);
	bool changed = false;

	record.phase = CLAIM_PHASE_DONE;
	claim_result_set(&record.result, 200, "text/plain", body, BODY_BYTES,
			 BODY_BYTES);
	claim_bucket_end(&bucket, &record, false, &changed);
	claim_result_clear(&record.result);
	ck_assert(changed);
}

static size_t counted_again(void)
{
	struct buffer value = {0};
	struct claim_bucket read = {0};
	struct tgw_error error;
	size_t bytes;

	claim_bucket_pack(&bucket, &value);
	ck_assert_uint_le(value.size, CLAIM_BUCKET_BYTES_MAX);
	ck_assert_int_eq(claim_bucket_unpack(&read, value.data, value.size,
					     &error),
			 TGW_OK);
	bytes = read.packed_bytes;
	claim_bucket_clear(&read);
	buffer_free(&value);
	return bytes;
}

/* Runs more calls with bodies than there is room for. */
START_TEST(a_full_bucket_stays_below_its_limit)
{
	uint32_t count = 4 * CLAIM_BUCKET_BYTES_MAX / BODY_BYTES;

	for (uint32_t i = 0; i < count; i++) {
		claim(i);
		end(i);
		ck_assert_uint_eq(bucket.packed_bytes, counted_again());
	}
	ck_assert_uint_eq(bucket.count, count);
	claim_bucket_clear(&bucket);
}
END_TEST

/* The newest claims hold the only bodies, so that their own may have to go. */
START_TEST(a_record_whose_own_body_has_no_room_is_counted_without_it)
{
	uint32_t count = 0;
	struct claim_record record;
	bool changed = false;

	host = long_host;
	record = record_of(count);
	while (bucket.packed_bytes + BODY_BYTES < CLAIM_BUCKET_BYTES_MAX)
		claim(count++);
	for (uint32_t i = 0; i < 4; i++) {
		end(i);
		ck_assert_uint_eq(bucket.packed_bytes, counted_again());
	}
	ck_assert_int_eq(claim_bucket_claim(&bucket, &record, &changed),
			 CLAIM_DECISION_DONE);
	claim_bucket_clear(&bucket);
}
END_TEST

START_TEST(a_bucket_full_of_records_keeps_the_body_of_one_that_ends)
{
	struct claim_record record = record_of(CLAIM_BUCKET_RECORDS_MAX);
	bool changed = false;

	for (uint32_t i = 0; i < CLAIM_BUCKET_RECORDS_MAX; i++)
		claim(i);
	ck_assert_int_eq(claim_bucket_claim(&bucket, &record, &changed),
			 CLAIM_DECISION_FULL);
	end(0);
	record = record_of(0);
	ck_assert(
		!claim_bucket_find(&bucket, &record.key)->result.body_not_kept);
	claim_bucket_clear(&bucket);
}
END_TEST

static Suite *claim_bucket_suite(void)
{
	Suite *suite = suite_create("claim_bucket");
	TCase *tcase = tcase_create("size");

	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase, a_full_bucket_stays_below_its_limit);
	tcase_add_test(
		tcase,
		a_record_whose_own_body_has_no_room_is_counted_without_it);
	tcase_add_test(
		tcase,
		a_bucket_full_of_records_keeps_the_body_of_one_that_ends);
	suite_add_tcase(suite, tcase);
	return suite;
}

int main(void)
{
	return unit_main(claim_bucket_suite());
}
