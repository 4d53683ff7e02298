/* Tests how hosts merge their records of requests that crashed servers: epochs,
 * lifts, duplicate reports, expiry and truncated values. */
#include "state/quarantine_table.h"

#include <string.h>

#include "state/quarantine_value.h"
#include "unit/unit_main.h"

static const struct tgw_fingerprint request = {{7}};

static struct quarantine_item item_of(uint64_t epoch, uint64_t server,
				      int64_t wall_us)
{
	struct quarantine_item item = {.fingerprint = request, .epoch = epoch};

	item.crash_count = server != 0;
	item.crashes[0].server_hash = server;
	item.crashes[0].wall_us = wall_us;
	return item;
}

START_TEST(an_update_of_an_older_epoch_is_ignored)
{
	struct quarantine_table table = {0};
	struct quarantine_item crashed = item_of(0, 1, 1000);
	struct quarantine_item lifted = crashed;

	quarantine_item_lift(&lifted);
	ck_assert(quarantine_table_merge(&table, &crashed, 0));
	ck_assert(quarantine_table_merge(&table, &lifted, 0));
	ck_assert(!quarantine_table_merge(&table, &crashed, 0));
	ck_assert_uint_eq(table.items[0].crash_count, 0);
	quarantine_table_free(&table);
}
END_TEST

START_TEST(a_lift_wins_over_epochs_that_the_operator_did_not_see)
{
	struct quarantine_table table = {0};
	struct quarantine_item seen = item_of(0, 1, 1000);
	struct quarantine_item unseen = item_of(3, 2, 2000);

	quarantine_item_lift(&seen);
	quarantine_table_merge(&table, &unseen, 0);
	ck_assert(quarantine_table_merge(&table, &seen, 0));
	ck_assert_uint_eq(table.items[0].crash_count, 0);
	quarantine_table_free(&table);
}
END_TEST

START_TEST(one_crash_reported_by_two_hosts_counts_once)
{
	struct quarantine_table table = {0};
	struct quarantine_item first = item_of(0, 1, 1000);
	struct quarantine_item again = item_of(0, 1, 2000);
	struct quarantine_item other = item_of(0, 2, 1500);

	quarantine_table_merge(&table, &first, 0);
	ck_assert(!quarantine_table_merge(&table, &again, 0));
	ck_assert(!quarantine_item_is_refused(&table.items[0], 2));
	ck_assert(quarantine_table_merge(&table, &other, 0));
	ck_assert(quarantine_item_is_refused(&table.items[0], 2));
	quarantine_table_free(&table);
}
END_TEST

START_TEST(a_suspicion_expires_but_a_refusal_does_not)
{
	struct quarantine_table table = {0};
	struct quarantine_item first = item_of(0, 1, 1000);
	struct quarantine_item second = item_of(0, 2, 2000);

	quarantine_table_merge(&table, &first, 10);
	quarantine_table_merge(&table, &second, 20);
	first.fingerprint.bytes[0]++;
	quarantine_table_merge(&table, &first, 20);
	quarantine_table_expire(&table, 21, 2);
	ck_assert_uint_eq(table.count, 1);
	ck_assert_uint_eq(table.items[0].crash_count, 2);
	quarantine_table_free(&table);
}
END_TEST

START_TEST(a_truncated_value_leaves_the_table_unchanged)
{
	struct quarantine_table table = {0};
	struct quarantine_table copy = {0};
	struct quarantine_item item = item_of(0, 1, 1000);
	struct buffer value = {0};
	bool changed;

	quarantine_table_merge(&table, &item, 0);
	quarantine_value_pack(&table, NULL, &value);
	for (size_t size = 0; size < value.size; size++)
		ck_assert_int_ne(quarantine_value_merge(&copy, NULL, value.data,
							size, 0, &changed,
							NULL),
				 TGW_OK);
	ck_assert_uint_eq(copy.count, 0);
	ck_assert_int_eq(quarantine_value_merge(&copy, NULL, value.data,
						value.size, 0, &changed, NULL),
			 TGW_OK);
	ck_assert_uint_eq(copy.items[0].crash_count, 1);
	buffer_free(&value);
	quarantine_table_free(&table);
	quarantine_table_free(&copy);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quarantine_table");
	TCase *tcase = tcase_create("merge");

	tcase_add_test(tcase, an_update_of_an_older_epoch_is_ignored);
	tcase_add_test(tcase,
		       a_lift_wins_over_epochs_that_the_operator_did_not_see);
	tcase_add_test(tcase, one_crash_reported_by_two_hosts_counts_once);
	tcase_add_test(tcase, a_suspicion_expires_but_a_refusal_does_not);
	tcase_add_test(tcase, a_truncated_value_leaves_the_table_unchanged);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
