/* Plays cuts of all hosts from the store: hosts lend to each other what they
 * hold, and know when nothing is left. */
#include "fakes/team_fleet.h"

#include "coordination/team_budget_key.h"
#include "unit/unit_main.h"

#define HOSTS 7
#define DOMAINS 4
#define TEAMS 10
#define KEYS 4 /* as the edge's default */
#define SEEDS 4
#define REQUEST_TOKENS INT64_C(2500)
#define REQUESTS_PER_S 14 /* of each team */
#define LEAD_S 6
#define DAY_S 48
#define PAID_PERCENT 130

static bool callers_moved;

/* All callers come to the hosts of one failure domain. */
static size_t choose_host(int team, int64_t now_us, struct tgw_random *random)
{
	size_t host = (size_t)tgw_random_below(random, HOSTS);

	while (callers_moved && host % DOMAINS)
		host = (size_t)tgw_random_below(random, HOSTS);
	return host;
}

static void start_fleet(int seed)
{
	const struct team_fleet_settings settings = {
		.host_count = HOSTS,
		.domain_count = DOMAINS,
		.team_count = TEAMS,
		.key_count = KEYS,
		.request_tokens = REQUEST_TOKENS,
		.requests_per_s = REQUESTS_PER_S,
		.paid_tokens = REQUEST_TOKENS * REQUESTS_PER_S * DAY_S *
			       PAID_PERCENT / 100,
		.choose_host = choose_host,
	};

	callers_moved = false;
	team_fleet_start(&settings, (uint64_t)seed);
	team_fleet_play(LEAD_S * TGW_US_PER_S, false);
	team_fleet_play(10 * TGW_US_PER_S, true);
}

static void check_served(int64_t percent)
{
	ck_assert_int_ge(team_fleet_served_percent(), percent);
	team_fleet_check_no_overspending();
}

static int64_t held_tokens(void)
{
	int64_t tokens = 0;

	for (size_t host = 0; host < HOSTS; host++)
		for (int team = 0; team < TEAMS; team++)
			tokens += team_account_held(team_budget_find_account(
				team_fleet.hosts[host].budgets,
				team_fleet.team_names[team]));
	return tokens;
}

/* Without loans a third of them are served. The caps of the lenders end some
 * seconds after the store is lost. */
START_TEST(what_other_domains_hold_serves_callers_that_moved)
{
	start_fleet(_i);
	team_fleet_set_outage(true);
	team_fleet_play(4 * TGW_US_PER_S, false);
	callers_moved = true;
	team_fleet_reset_tallies();
	team_fleet_play(3 * TGW_US_PER_S, true);
	check_served(97);
	team_fleet_stop();
}
END_TEST

/* A cap of a host that has just lost the store is still in force, and can't be
 * raised. */
START_TEST(a_domain_that_loses_the_store_borrows_what_its_caps_withhold)
{
	start_fleet(_i);
	for (size_t host = 0; host < HOSTS; host += DOMAINS) {
		fake_store_set_partitioned(&team_fleet.hosts[host].store, true);
		team_budget_set_store_unreachable(
			team_fleet.hosts[host].budgets, true);
	}
	callers_moved = true;
	team_fleet_reset_tallies();
	team_fleet_play(3 * TGW_US_PER_S, true);
	check_served(97);
	team_fleet_stop();
}
END_TEST

/* While the caps of borrowers and lenders are still in force. */
START_TEST(callers_that_move_as_a_cut_begins_are_served_from_its_start)
{
	start_fleet(_i);
	callers_moved = true;
	team_fleet_reset_tallies();
	team_fleet_set_outage(true);
	team_fleet_play(2 * TGW_US_PER_S, true);
	check_served(90);
	team_fleet_stop();
}
END_TEST

START_TEST(hosts_refuse_only_when_the_fleet_has_nothing_left)
{
	start_fleet(_i);
	team_fleet_set_outage(true);
	callers_moved = true;
	team_fleet_play(25 * TGW_US_PER_S, true);
	/* Less than one request of each team at each of the hosts. */
	ck_assert_int_lt(held_tokens(), REQUEST_TOKENS * TEAMS);
	team_fleet_check_no_overspending();
	team_fleet_stop();
}
END_TEST

START_TEST(without_anything_left_a_refusal_comes_at_once_and_few_messages_go)
{
	struct team_fleet_tally *tally = &team_fleet.tallies[0];
	int64_t asked = 0;
	int64_t refused_us = 0;
	uint64_t messages;

	start_fleet(_i);
	team_fleet_set_outage(true);
	team_fleet_play(25 * TGW_US_PER_S, true);
	team_fleet_reset_tallies();
	messages = team_fleet.net.messages;
	team_fleet_play(10 * TGW_US_PER_S, true);
	for (int i = 0; i < TEAMS; i++) {
		asked += tally[i].asked;
		refused_us += tally[i].waited_us;
	}
	ck_assert_int_le(refused_us, asked * 5 * TGW_US_PER_MS);
	/* More than half of them pass between hosts and their relays. */
	ck_assert_uint_le(team_fleet.net.messages - messages,
			  5 * (uint64_t)asked / 2);
	team_fleet_stop();
}
END_TEST

START_TEST(a_lender_that_hangs_delays_no_request_for_long)
{
	start_fleet(_i);
	team_fleet_set_outage(true);
	team_fleet_play(4 * TGW_US_PER_S, false);
	team_fleet.hosts[1].end.receives_nothing = true;
	callers_moved = true;
	team_fleet_reset_tallies();
	team_fleet_play(2 * TGW_US_PER_S, true);
	check_served(97);
	team_fleet_stop();
}
END_TEST

START_TEST(loans_on_a_network_that_loses_messages_serve_callers)
{
	start_fleet(_i);
	team_fleet_set_outage(true);
	team_fleet_play(4 * TGW_US_PER_S, false);
	team_fleet.net.loss_per_1000 = 100;
	team_fleet.net.duplicate_per_1000 = 100;
	team_fleet.net.jitter_us = 10 * TGW_US_PER_MS;
	callers_moved = true;
	team_fleet_reset_tallies();
	team_fleet_play(2 * TGW_US_PER_S, true);
	check_served(95);
	team_fleet_stop();
}
END_TEST

/* Hosts that used another relay while the store was away report to it all that
 * they were asked for. */
START_TEST(the_demand_of_an_outage_is_not_taken_for_a_burst)
{
	double demand_per_s = 0;

	start_fleet(_i);
	for (int outage = 0; outage < 2; outage++) {
		team_fleet_set_outage(true);
		team_fleet_play(8 * TGW_US_PER_S, true);
		team_fleet_set_outage(false);
		team_fleet_play(3 * TGW_US_PER_S, true);
	}
	for (size_t host = 0; host < DOMAINS; host++) {
		struct team_budget *budgets = team_fleet.hosts[host].budgets;

		for (int team = 0; team < TEAMS; team++)
			demand_per_s += demand_forecast_per_s(
				&team_budget_find_account(
					 budgets, team_fleet.team_names[team])
					 ->demand,
				team_budget_now_us(budgets));
	}
	ck_assert_double_le(demand_per_s,
			    1.25 * REQUEST_TOKENS * REQUESTS_PER_S * TEAMS);
	team_fleet_stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_lending");
	TCase *tcase = tcase_create("outages");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
		tcase,
		callers_that_move_as_a_cut_begins_are_served_from_its_start, 1,
		1 + SEEDS);
	tcase_add_loop_test(
		tcase,
		a_domain_that_loses_the_store_borrows_what_its_caps_withhold, 1,
		1 + SEEDS);
	tcase_add_loop_test(tcase,
			    what_other_domains_hold_serves_callers_that_moved,
			    1, 1 + SEEDS);
	tcase_add_loop_test(tcase,
			    hosts_refuse_only_when_the_fleet_has_nothing_left,
			    1, 1 + SEEDS);
	tcase_add_loop_test(
		tcase,
		without_anything_left_a_refusal_comes_at_once_and_few_messages_go,
		1, 1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_lender_that_hangs_delays_no_request_for_long, 1,
			    1 + SEEDS);
	tcase_add_loop_test(
		tcase, loans_on_a_network_that_loses_messages_serve_callers, 1,
		1 + SEEDS);
	tcase_add_loop_test(tcase,
			    the_demand_of_an_outage_is_not_taken_for_a_burst, 1,
			    1 + SEEDS);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
