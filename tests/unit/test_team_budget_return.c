/* Plays a store that returns from an earlier copy, in virtual time: what hosts
 * took since is counted again, and no budget is overspent. */
#include "fakes/team_fleet.h"
#include "unit/unit_main.h"

#define HOSTS 6
#define TEAMS 4
#define KEYS 4
#define REQUEST_TOKENS INT64_C(2500)
#define REQUESTS_PER_S 20 /* of each team */
#define LEAD_S 10	  /* from the start of the hosts to the first request */
/* Budgets pay for this time, and all are spent at the end of the play. */
#define PAID_S 20
#define PLAY_S 35
#define PAID_TOKENS (REQUEST_TOKENS * REQUESTS_PER_S * PAID_S)
#define MAX_LOST_PERCENT 2
/* Hosts take tokens again after this. */
#define RECOVERY_S 3
#define MIN_SERVED_PERCENT 90
#define SEEDS 4

static const int64_t ages_ms[] = {100, 300, 1000, 2000, 5000, 10000};

#define AGES (int)(sizeof(ages_ms) / sizeof(ages_ms[0]))
#define CASES (2 * SEEDS * AGES)

static void start_fleet(int number, int64_t paid_tokens)
{
	const struct team_fleet_settings settings = {
		.host_count = HOSTS,
		/* With and without messages between hosts. */
		.domain_count = number % 2 ? 2 : 0,
		.follows_keys = true,
		.team_count = TEAMS,
		.key_count = KEYS,
		.request_tokens = REQUEST_TOKENS,
		.requests_per_s = REQUESTS_PER_S,
		.paid_tokens = paid_tokens,
	};

	team_fleet_start(&settings, (uint64_t)(number / 2 % SEEDS + 1));
	team_fleet_play(LEAD_S * TGW_US_PER_S, false);
}

static int64_t age_us(int number)
{
	return ages_ms[number / 2 / SEEDS] * TGW_US_PER_MS;
}

static void play_s(int64_t duration_s)
{
	team_fleet_play(duration_s * TGW_US_PER_S, true);
}

/* Tells how many tokens were spent twice, with the case. */
static void check_no_overspending(int number)
{
	ck_assert_msg(!team_fleet_overspent_tokens(),
		      "case %d: %lld tokens spent twice", number,
		      (long long)team_fleet_overspent_tokens());
}

static void check_lost(int number)
{
	int64_t lost = team_fleet_stranded_tokens();

	ck_assert_msg(lost * 100 <= PAID_TOKENS * TEAMS * MAX_LOST_PERCENT,
		      "case %d: %lld tokens lost", number, (long long)lost);
}

static void return_to_copy(int64_t since_us)
{
	fake_store_server_copy(&team_fleet.server);
	team_fleet_play(since_us, true);
	fake_store_server_return(&team_fleet.server);
}

START_TEST(a_return_of_the_store_leads_to_no_overspending)
{
	start_fleet(_i, PAID_TOKENS);
	play_s(4);
	return_to_copy(age_us(_i));
	play_s(PLAY_S);
	check_no_overspending(_i);
	check_lost(_i);
	team_fleet_stop();
}
END_TEST

START_TEST(returns_in_a_row_lead_to_no_overspending)
{
	start_fleet(_i, PAID_TOKENS);
	play_s(2);
	for (int i = 0; i < 3; i++) {
		return_to_copy(age_us(_i) / 3);
		team_fleet_play(i * 700 * TGW_US_PER_MS, true);
	}
	play_s(PLAY_S);
	check_no_overspending(_i);
	team_fleet_stop();
}
END_TEST

/* The second copy lacks what is counted again just then. */
START_TEST(a_return_during_a_recount_leads_to_no_overspending)
{
	start_fleet(_i, PAID_TOKENS);
	play_s(4);
	return_to_copy(age_us(_i));
	team_fleet_play((_i + 1) * 37 * TGW_US_PER_MS, true);
	fake_store_server_return(&team_fleet.server);
	play_s(PLAY_S);
	check_no_overspending(_i);
	team_fleet_stop();
}
END_TEST

START_TEST(a_return_after_an_outage_leads_to_no_overspending)
{
	start_fleet(_i, PAID_TOKENS);
	play_s(4);
	fake_store_server_copy(&team_fleet.server);
	team_fleet_play(age_us(_i), true);
	team_fleet_set_outage(true);
	play_s(2);
	fake_store_server_return(&team_fleet.server);
	team_fleet_set_outage(false);
	play_s(PLAY_S);
	check_no_overspending(_i);
	team_fleet_stop();
}
END_TEST

/* The copy has nearly all of each budget free, of which nearly nothing is left:
 * nobody may take of it before the others have counted again. */
START_TEST(a_return_at_the_end_of_a_budget_leads_to_no_overspending)
{
	int64_t since_us = age_us(_i) + TGW_US_PER_S;

	start_fleet(_i,
		    REQUEST_TOKENS * REQUESTS_PER_S * since_us / TGW_US_PER_S);
	return_to_copy(since_us);
	play_s(8);
	check_no_overspending(_i);
	team_fleet_stop();
}
END_TEST

START_TEST(hosts_take_tokens_again_soon_after_a_return)
{
	start_fleet(_i, 10 * PAID_TOKENS);
	play_s(4);
	return_to_copy(age_us(_i));
	play_s(RECOVERY_S);
	team_fleet_reset_tallies();
	play_s(5);
	ck_assert_int_ge(team_fleet_served_percent(), MIN_SERVED_PERCENT);
	check_no_overspending(_i);
	team_fleet_stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("team_budget_return");
	TCase *tcase = tcase_create("fleet");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    a_return_of_the_store_leads_to_no_overspending, 0,
			    CASES);
	tcase_add_loop_test(tcase, returns_in_a_row_lead_to_no_overspending, 0,
			    CASES);
	tcase_add_loop_test(tcase,
			    a_return_during_a_recount_leads_to_no_overspending,
			    0, CASES);
	tcase_add_loop_test(tcase,
			    a_return_after_an_outage_leads_to_no_overspending,
			    0, CASES);
	tcase_add_loop_test(
		tcase, a_return_at_the_end_of_a_budget_leads_to_no_overspending,
		0, CASES);
	tcase_add_loop_test(tcase, hosts_take_tokens_again_soon_after_a_return,
			    0, CASES);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
