/* Tests spending caps: what they allow with time, what a successor returns by
 * them, and the encoding of their record. */
#include "state/spending_cap.h"

#include <string.h>

#include "state/budget_pool.h"
#include "state/cap_record.h"
#include "state/team_account.h"
#include "state/team_account_cap.h"
#include "state/team_account_transfer.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define WRITTEN_US (100 * TGW_US_PER_S)
#define PERIOD_US (3 * TGW_US_PER_S)
#define PROCESS 7

static const struct spending_cap cap = {
	.spendable_tokens = 1000,
	.tokens_per_s = 100,
	.allotted_tokens = 5000,
	.written_us = WRITTEN_US,
	.period_us = PERIOD_US,
};

static struct cap_record record;
static struct buffer bytes;

static void setup(void)
{
	memset(&bytes, 0, sizeof(bytes));
	record = (struct cap_record){
		.host_id = budget_pool_host_id("host-1", PROCESS),
		.boot = 77,
		.written_us = WRITTEN_US,
		.period_us = PERIOD_US,
	};
	cap_record_add(&record, "acme", &cap);
	cap_record_encode(&record, &bytes);
}

static void teardown(void)
{
	cap_record_clear(&record);
	buffer_free(&bytes);
}

START_TEST(a_cap_allows_more_with_time)
{
	ck_assert_int_eq(spending_cap_limit(&cap, WRITTEN_US), 1000);
	ck_assert_int_eq(spending_cap_limit(&cap, WRITTEN_US + TGW_US_PER_S),
			 1100);
	ck_assert_int_eq(spending_cap_limit(&cap, WRITTEN_US + PERIOD_US - 1),
			 1299);
}
END_TEST

START_TEST(a_cap_ends_after_its_period)
{
	ck_assert_int_eq(spending_cap_limit(&cap, WRITTEN_US + PERIOD_US),
			 INT64_MAX);
	ck_assert_int_eq(
		spending_cap_min_allotment(&cap, WRITTEN_US + PERIOD_US), 0);
	ck_assert_int_eq(spending_cap_unspent(&cap, WRITTEN_US + PERIOD_US), 0);
}
END_TEST

START_TEST(a_cap_ends_when_it_allows_the_allotment)
{
	struct spending_cap fast = cap;

	fast.tokens_per_s = 4000;
	ck_assert_int_eq(spending_cap_limit(&fast, WRITTEN_US + TGW_US_PER_S),
			 INT64_MAX);
	ck_assert_int_eq(spending_cap_unspent(&fast, WRITTEN_US + TGW_US_PER_S),
			 0);
}
END_TEST

START_TEST(without_a_cap_nothing_is_limited_or_returned)
{
	struct spending_cap none = {0};

	ck_assert_int_eq(spending_cap_limit(&none, WRITTEN_US), INT64_MAX);
	ck_assert_int_eq(spending_cap_unspent(&none, WRITTEN_US), 0);
}
END_TEST

START_TEST(a_clock_that_went_back_returns_nothing)
{
	ck_assert_int_eq(spending_cap_unspent(&cap, WRITTEN_US - 1), 0);
}
END_TEST

START_TEST(a_cap_tells_when_it_allows_a_total)
{
	ck_assert_int_eq(spending_cap_allows_at_us(&cap, 900), WRITTEN_US);
	ck_assert_int_eq(spending_cap_allows_at_us(&cap, 1100),
			 WRITTEN_US + TGW_US_PER_S);
	ck_assert_int_eq(spending_cap_allows_at_us(&cap, 4000),
			 WRITTEN_US + PERIOD_US);
}
END_TEST

START_TEST(a_record_is_the_same_after_decoding)
{
	struct cap_record copy;

	ck_assert_int_eq(cap_record_decode(&copy, bytes.data, bytes.size, NULL),
			 TGW_OK);
	ck_assert_uint_eq(copy.host_id, record.host_id);
	ck_assert_uint_eq(copy.boot, 77);
	ck_assert_int_eq(copy.written_us, WRITTEN_US);
	ck_assert_int_eq(copy.period_us, PERIOD_US);
	ck_assert_mem_eq(cap_record_find(&copy, "acme"), &cap, sizeof(cap));
	ck_assert_ptr_null(cap_record_find(&copy, "other"));
	cap_record_clear(&copy);
}
END_TEST

START_TEST(each_damaged_byte_of_a_record_is_noticed)
{
	for (size_t at = 0; at < bytes.size; at++) {
		for (int bit = 0; bit < 8; bit++) {
			struct cap_record copy;

			bytes.data[at] = (char)(bytes.data[at] ^ 1 << bit);
			ck_assert_msg(cap_record_decode(&copy, bytes.data,
							bytes.size,
							NULL) != TGW_OK,
				      "byte %zu, bit %d", at, bit);
			ck_assert_uint_eq(copy.entry_count, 0);
			bytes.data[at] = (char)(bytes.data[at] ^ 1 << bit);
		}
	}
}
END_TEST

START_TEST(a_truncated_record_is_noticed)
{
	for (size_t size = 1; size < bytes.size; size++) {
		struct cap_record copy;

		ck_assert_int_eq(cap_record_decode(&copy, bytes.data, size,
						   NULL),
				 TGW_CORRUPT);
	}
}
END_TEST

/* A pool with a process of host-1 that took 5000 of 8000 tokens. */
static void make_pool(struct budget_pool *pool, uint32_t process)
{
	struct pooled_budget *budget;

	memset(pool, 0, sizeof(*pool));
	budget = budget_pool_raise_paid_in(pool, "acme", 8000);
	budget->taken_tokens = 5000;
	budget->settled_tokens = 500;
	budget_pool_record_write(pool, budget_pool_host_id("host-1", process),
				 1);
}

START_TEST(a_successor_returns_what_the_cap_withheld_once)
{
	uint64_t id = budget_pool_host_id("host-1", PROCESS + 1);
	struct budget_pool pool;

	make_pool(&pool, PROCESS);
	ck_assert_int_eq(budget_pool_replace_earlier(&pool, id, &record,
						     WRITTEN_US + TGW_US_PER_S),
			 3900);
	ck_assert_int_eq(budget_pool_find(&pool, "acme")->taken_tokens, 1100);
	ck_assert_uint_eq(pool.host_count, 0);
	ck_assert_int_eq(budget_pool_replace_earlier(&pool, id, &record,
						     WRITTEN_US + TGW_US_PER_S),
			 0);
	budget_pool_clear(&pool);
}
END_TEST

START_TEST(the_record_of_another_process_returns_nothing)
{
	uint64_t id = budget_pool_host_id("host-1", PROCESS + 2);
	struct budget_pool pool;

	make_pool(&pool, PROCESS + 1);
	ck_assert_int_eq(
		budget_pool_replace_earlier(&pool, id, &record, WRITTEN_US), 0);
	ck_assert_int_eq(budget_pool_find(&pool, "acme")->taken_tokens, 5000);
	budget_pool_clear(&pool);
}
END_TEST

START_TEST(a_record_of_more_than_was_taken_returns_nothing)
{
	uint64_t id = budget_pool_host_id("host-1", PROCESS + 1);
	struct budget_pool pool;

	make_pool(&pool, PROCESS);
	budget_pool_find(&pool, "acme")->taken_tokens = 3000;
	ck_assert_int_eq(
		budget_pool_replace_earlier(&pool, id, &record, WRITTEN_US), 0);
	budget_pool_clear(&pool);
}
END_TEST

START_TEST(an_allotment_is_not_lowered_below_a_cap_in_force)
{
	struct team_account *account = team_account_new("acme");
	struct team_account_policy policy = {.ride_out_s = 12,
					     .hold_fraction = 0.2,
					     .loss_fraction = 1.0,
					     .host_count = 4};
	struct pooled_budget budget = {
		.name = "acme", .paid_in_tokens = 8000, .taken_tokens = 5000};
	struct team_account_target target;

	account->paid_in_tokens = 8000;
	account->confirmed.allotted_tokens = 5000;
	account->proposed = account->confirmed;
	account->confirmed_cap = cap;
	team_account_decide(account, &budget, 4, &policy, WRITTEN_US, &target);
	ck_assert_int_lt(target.wanted_tokens, 5000);
	ck_assert_int_eq(target.allotted_tokens, 5000);
	team_account_decide(account, &budget, 4, &policy,
			    WRITTEN_US + PERIOD_US, &target);
	ck_assert_int_lt(target.allotted_tokens, 5000);
	free(account);
}
END_TEST

/* They may be spent at once, and must not replace what a successor returns. */
START_TEST(a_cap_counts_tokens_received_after_it_as_spent)
{
	struct team_account *account = team_account_new("acme");

	account->paid_in_tokens = 8000;
	account->confirmed.allotted_tokens = 5000;
	account->proposed = account->confirmed;
	account->confirmed_cap = cap;
	team_account_receive(account, 2000);
	ck_assert_int_eq(team_account_available(account, WRITTEN_US), 3000);
	ck_assert_int_eq(team_account_capped_allotment(account, WRITTEN_US) -
				 account->received_tokens,
			 5000);
	ck_assert_int_eq(spending_cap_unspent(&account->confirmed_cap,
					      WRITTEN_US),
			 spending_cap_unspent(&cap, WRITTEN_US));
	free(account);
}
END_TEST

START_TEST(a_process_that_was_replaced_keeps_no_cap)
{
	struct team_account *account = team_account_new("acme");
	struct team_account_policy policy = {.ride_out_s = 12,
					     .hold_fraction = 0.2,
					     .loss_fraction = 1.0,
					     .host_count = 4};
	struct pooled_budget budget = {
		.name = "acme", .paid_in_tokens = 8000, .taken_tokens = 7000};
	struct team_account_target target;

	account->paid_in_tokens = 8000;
	account->confirmed.allotted_tokens = 5000;
	account->proposed = account->confirmed;
	account->confirmed_cap = cap;
	team_account_forfeit(account);
	ck_assert_int_eq(team_account_limit(account), 0);
	team_account_decide(account, &budget, 4, &policy, WRITTEN_US, &target);
	ck_assert_int_le(target.allotted_tokens, 1000);
	free(account);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("spending_cap");
	TCase *tcase = tcase_create("caps");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_cap_allows_more_with_time);
	tcase_add_test(tcase, a_cap_ends_after_its_period);
	tcase_add_test(tcase, a_cap_ends_when_it_allows_the_allotment);
	tcase_add_test(tcase, without_a_cap_nothing_is_limited_or_returned);
	tcase_add_test(tcase, a_clock_that_went_back_returns_nothing);
	tcase_add_test(tcase, a_cap_tells_when_it_allows_a_total);
	tcase_add_test(tcase, a_record_is_the_same_after_decoding);
	tcase_add_test(tcase, each_damaged_byte_of_a_record_is_noticed);
	tcase_add_test(tcase, a_truncated_record_is_noticed);
	tcase_add_test(tcase, a_successor_returns_what_the_cap_withheld_once);
	tcase_add_test(tcase, the_record_of_another_process_returns_nothing);
	tcase_add_test(tcase, a_record_of_more_than_was_taken_returns_nothing);
	tcase_add_test(tcase, an_allotment_is_not_lowered_below_a_cap_in_force);
	tcase_add_test(tcase, a_cap_counts_tokens_received_after_it_as_spent);
	tcase_add_test(tcase, a_process_that_was_replaced_keeps_no_cap);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
