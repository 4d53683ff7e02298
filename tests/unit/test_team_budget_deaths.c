/* Plays days on which all processes of a small fleet die several times. A
 * budget has to pay for the requests that follow, as it does without deaths. */
#include "fakes/team_fleet.h"
#include "unit/unit_main.h"

#define HOSTS 6
#define TEAMS 10
#define KEYS 4		/* as the edge's default */
#define DOMAINS 4	/* of hosts that move tokens to each other */
#define RELAY_DOMAINS 2 /* each of them has three hosts that may be relays */
#define CUTS 33
#define MEAN_SEEDS 32
#define SEEDS 8
#define OUTAGE_SEEDS 56
#define REQUEST_TOKENS INT64_C(2500)
#define REQUESTS_PER_S 14 /* of each team */
#define LEAD_S 10	  /* from the start of the hosts to the first request */
#define DAY_S 60
/* A budget holds this percentage of a team's demand. */
#define PAID_PERCENT 130
#define DOWN_US (500 * TGW_US_PER_MS)
#define LAST_DOWN_US (1000 * TGW_US_PER_MS)
/* The fleet has recovered after this time. */
#define RECOVERY_S 12
#define MIN_SERVED_PERCENT 25
/* The default loss_percent, and the part of what is left of it that hosts
 * hold. */
#define LOSS_PERCENT 35
#define ROOM_PERCENT 70
#define POWER_LOSSES 10
#define RANKS 10 /* of requests, all equally often */
#define END_S 8
#define URGENT_SERVED_PERCENT 90

static void start_fleet_with(int seed, size_t domain_count, bool follows_keys)
{
	const struct team_fleet_settings settings = {
		.host_count = HOSTS,
		.domain_count = domain_count,
		.follows_keys = follows_keys,
		.team_count = TEAMS,
		.key_count = KEYS,
		.request_tokens = REQUEST_TOKENS,
		.requests_per_s = REQUESTS_PER_S,
		.paid_tokens = REQUEST_TOKENS * REQUESTS_PER_S * DAY_S *
			       PAID_PERCENT / 100,
	};

	team_fleet_start(&settings, (uint64_t)seed);
	team_fleet_play(LEAD_S * TGW_US_PER_S, false);
}

/* Half of the seeds are played without messages between hosts. */
static void start_fleet(int seed)
{
	start_fleet_with(seed, seed > SEEDS ? DOMAINS : 0, false);
}

static void play_s(int64_t duration_s)
{
	team_fleet_play(duration_s * TGW_US_PER_S, true);
}

static void play_day(int seed, void (*strike)(int64_t down_us))
{
	start_fleet(seed);
	play_s(10);
	strike(DOWN_US);
	play_s(8);
	strike(DOWN_US);
	play_s(8);
	strike(DOWN_US);
	play_s(8);
	team_fleet_kill_all(LAST_DOWN_US);
	play_s(RECOVERY_S);
	team_fleet_reset_tallies();
	play_s(12);
	ck_assert_int_ge(team_fleet_served_percent(), MIN_SERVED_PERCENT);
	team_fleet_check_no_overspending();
	team_fleet_stop();
}

static int64_t demand_tokens(int64_t duration_us)
{
	return REQUEST_TOKENS * REQUESTS_PER_S * TEAMS * duration_us /
	       TGW_US_PER_S;
}

/* @return the tokens that are lost with a death of all hosts */
static int64_t strand(void (*strike)(int64_t down_us))
{
	int64_t before = team_fleet_stranded_tokens();

	strike(DOWN_US);
	play_s(8);
	return team_fleet_stranded_tokens() - before;
}

/* Nothing tells for which part of the time while they were down the processes
 * still lived. */
START_TEST(a_kill_of_all_processes_strands_two_seconds_of_demand)
{
	start_fleet(_i);
	play_s(10);
	for (int kill = 0; kill < 4; kill++)
		ck_assert_int_le(strand(team_fleet_kill_all),
				 demand_tokens(2 * TGW_US_PER_S + DOWN_US));
	team_fleet_stop();
}
END_TEST

/* The hosts have recorded caps again by then. */
START_TEST(a_kill_after_an_outage_strands_two_seconds_of_demand)
{
	start_fleet(_i);
	play_s(8);
	for (int outage = 0; outage < 2; outage++) {
		team_fleet_set_outage(true);
		play_s(8);
		team_fleet_set_outage(false);
		play_s(4);
	}
	ck_assert_int_le(strand(team_fleet_kill_all),
			 demand_tokens(2 * TGW_US_PER_S + DOWN_US));
	team_fleet_stop();
}
END_TEST

/* Hosts lose and regain the store one by one, find that out by their own calls,
 * and turn to other relays. Soon after that all of them are killed.
 * @return the tokens that are lost */
static int64_t strand_after_cuts(int seed)
{
	int64_t stranded;

	start_fleet_with(seed, RELAY_DOMAINS, true);
	play_s(8);
	for (int i = 0; i < CUTS; i++) {
		struct fake_store *store =
			&team_fleet
				 .hosts[tgw_random_below(
					 &team_fleet.world.random, HOSTS)]
				 .store;

		if (store->partitioned)
			fake_store_set_partitioned(store, false);
		else
			store->partitioned = true;
		team_fleet_play(300 * TGW_US_PER_MS, true);
	}
	for (size_t i = 0; i < HOSTS; i++)
		fake_store_set_partitioned(&team_fleet.hosts[i].store, false);
	team_fleet_play(1500 * TGW_US_PER_MS, true);
	stranded = strand(team_fleet_kill_all);
	team_fleet_check_no_overspending();
	team_fleet_stop();
	return stranded;
}

START_TEST(
	kills_after_changes_of_relays_strand_two_seconds_of_demand_in_the_mean)
{
	int64_t stranded = 0;

	for (int seed = 1; seed <= MEAN_SEEDS; seed++)
		stranded += strand_after_cuts(seed);
	ck_assert_int_le(stranded / MEAN_SEEDS,
			 demand_tokens(2 * TGW_US_PER_S + DOWN_US));
}
END_TEST

START_TEST(a_kill_after_changes_of_relays_strands_two_seconds_of_demand)
{
	ck_assert_int_le(strand_after_cuts(_i),
			 demand_tokens(2 * TGW_US_PER_S + DOWN_US));
}
END_TEST

/* All losses together strand no more than the stated part of what was paid in,
 * each of them a stated part of what is left of that. */
START_TEST(any_number_of_power_losses_strands_a_stated_part_of_a_budget)
{
	int64_t bound = 0;
	int64_t stranded = 0;

	start_fleet(_i);
	bound = team_fleet.settings.paid_tokens * TEAMS * LOSS_PERCENT / 100;
	play_s(10);
	for (int loss = 0; loss < POWER_LOSSES; loss++) {
		int64_t lost = strand(team_fleet_power_off_all);

		ck_assert_int_le(lost, (bound - stranded) * ROOM_PERCENT / 100 +
					       demand_tokens(2 * TGW_US_PER_S));
		stranded += lost;
		ck_assert_int_le(stranded, bound);
	}
	team_fleet_check_no_overspending();
	team_fleet_stop();
}
END_TEST

START_TEST(a_budget_pays_after_all_processes_were_killed_four_times)
{
	play_day(_i, team_fleet_kill_all);
}
END_TEST

START_TEST(a_budget_pays_after_all_hosts_lost_power_three_times)
{
	play_day(_i, team_fleet_power_off_all);
}
END_TEST

/* Budgets of the whole demand, of which three power losses take so much that
 * the rest does not last. */
START_TEST(urgent_requests_are_served_to_the_end_of_a_budget_that_was_cut_short)
{
	const struct team_fleet_settings settings = {
		.host_count = HOSTS,
		.domain_count = DOMAINS,
		.team_count = TEAMS,
		.key_count = KEYS,
		.request_tokens = REQUEST_TOKENS,
		.requests_per_s = REQUESTS_PER_S,
		.paid_tokens = REQUEST_TOKENS * REQUESTS_PER_S * DAY_S,
		.rank_count = RANKS,
	};
	int64_t asked = 0;
	int64_t served = 0;

	team_fleet_start(&settings, (uint64_t)_i);
	play_s(10);
	for (int loss = 0; loss < 3; loss++) {
		team_fleet_power_off_all(DOWN_US);
		play_s(8);
	}
	play_s(DAY_S - 10 - 3 * 8 - END_S);
	team_fleet_reset_tallies();
	play_s(END_S);
	for (int team = 0; team < TEAMS; team++) {
		asked += team_fleet.tallies[team].urgent_asked;
		served += team_fleet.tallies[team].urgent_served;
	}
	ck_assert_int_ge(served * 100, asked * URGENT_SERVED_PERCENT);
	team_fleet_check_no_overspending();
	team_fleet_stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("team_budget_deaths");
	TCase *tcase = tcase_create("days");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
		tcase, a_budget_pays_after_all_processes_were_killed_four_times,
		1, 1 + 2 * SEEDS);
	tcase_add_loop_test(
		tcase, a_budget_pays_after_all_hosts_lost_power_three_times, 1,
		1 + 2 * SEEDS);
	tcase_add_loop_test(
		tcase, a_kill_of_all_processes_strands_two_seconds_of_demand, 1,
		1 + 2 * SEEDS);
	tcase_add_loop_test(
		tcase, a_kill_after_an_outage_strands_two_seconds_of_demand, 1,
		1 + OUTAGE_SEEDS);
	tcase_add_test(
		tcase,
		kills_after_changes_of_relays_strand_two_seconds_of_demand_in_the_mean);
	tcase_add_loop_test(
		tcase,
		a_kill_after_changes_of_relays_strands_two_seconds_of_demand, 1,
		1 + 2 * SEEDS);
	tcase_add_loop_test(
		tcase,
		any_number_of_power_losses_strands_a_stated_part_of_a_budget, 1,
		1 + 2 * SEEDS);
	tcase_add_loop_test(
		tcase,
		urgent_requests_are_served_to_the_end_of_a_budget_that_was_cut_short,
		1, 1 + SEEDS);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
