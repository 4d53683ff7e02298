/* Tests what is kept of a budget for the more urgent requests: of one that
 * deaths of hosts have cut short, and as much as such requests need. */
#include <stdlib.h>

#include "state/team_account.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define PAID_TOKENS 1000000
#define NOW_US (100 * TGW_US_PER_S)
#define REQUEST_TOKENS 2000

static struct team_account *account;

static void setup(void)
{
	account = team_account_new("acme");
	account->paid_in_tokens = PAID_TOKENS;
}

static void teardown(void)
{
	free(account);
}

/* @param unsettled_tokens held by hosts, or lost */
static void view(int64_t free_tokens, int64_t unsettled_tokens)
{
	team_account_view(account, free_tokens, free_tokens + unsettled_tokens,
			  NOW_US);
}

static void demand(int32_t rank, int requests)
{
	for (int i = 0; i < requests; i++)
		team_account_record_demand(account, REQUEST_TOKENS, rank,
					   NOW_US);
}

static bool is_kept(int32_t rank)
{
	return team_account_is_kept(account, REQUEST_TOKENS, rank, NOW_US);
}

START_TEST(the_end_of_a_budget_that_was_cut_short_is_for_urgent_requests)
{
	demand(0, 10);
	demand(1, 10);
	demand(2, 10);
	view(60000, 300000);
	ck_assert(!is_kept(2));
	view(40000, 300000);
	ck_assert(is_kept(2));
	ck_assert(is_kept(1));
	ck_assert(!is_kept(0));
}
END_TEST

START_TEST(a_budget_that_lost_little_pays_all_requests_to_its_end)
{
	demand(0, 10);
	demand(1, 10);
	view(10000, 30000);
	ck_assert(!is_kept(1));
}
END_TEST

START_TEST(nothing_is_kept_without_more_urgent_requests)
{
	demand(1, 10);
	demand(2, 1);
	view(REQUEST_TOKENS, 300000);
	ck_assert(!is_kept(1));
	ck_assert(is_kept(2));
}
END_TEST

START_TEST(nothing_is_kept_before_the_budget_was_read)
{
	demand(0, 10);
	ck_assert(!is_kept(1));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("urgent_demand");
	TCase *tcase = tcase_create("rules");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(
		tcase,
		the_end_of_a_budget_that_was_cut_short_is_for_urgent_requests);
	tcase_add_test(tcase,
		       a_budget_that_lost_little_pays_all_requests_to_its_end);
	tcase_add_test(tcase, nothing_is_kept_without_more_urgent_requests);
	tcase_add_test(tcase, nothing_is_kept_before_the_budget_was_read);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
