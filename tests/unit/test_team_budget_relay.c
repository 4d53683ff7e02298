/* Plays the load of large fleets whose hosts move tokens of team budgets to
 * each other, in virtual time: what callers get, and how many store calls it
 * takes, with relays that die, stop, hang or lose the store. */
#include <string.h>

#include "coordination/budget_relay.h"
#include "fakes/team_fleet.h"
#include "unit/unit_main.h"

#define KEYS 4 /* as the edge's default */
#define DOMAINS 6
#define SMALL_FLEET 36
#define LARGE_FLEET 300
#define TEAMS 24
#define SEEDS 4
#define REQUEST_TOKENS INT64_C(2500)
#define REQUESTS_PER_S 30 /* of each team */
#define DAY_S 34
#define LEAD_S 12 /* from the start of the hosts to the first request */
/* A budget holds this percentage of a team's demand. */
#define PAID_PERCENT 130
#define ONE_HOST_TEAMS 10

static void start_fleet_with(size_t host_count, uint64_t seed,
			     bool follows_keys)
{
	const struct team_fleet_settings settings = {
		.host_count = host_count,
		.domain_count = DOMAINS,
		.follows_keys = follows_keys,
		.team_count = TEAMS,
		.key_count = KEYS,
		.request_tokens = REQUEST_TOKENS,
		.requests_per_s = REQUESTS_PER_S,
		.paid_tokens = REQUEST_TOKENS * REQUESTS_PER_S * DAY_S *
			       PAID_PERCENT / 100,
		.one_host_team_count = ONE_HOST_TEAMS,
		.first_one_team_host = DOMAINS,
	};

	team_fleet_start(&settings, seed);
	team_fleet_play(LEAD_S * TGW_US_PER_S, false);
}

static void start_fleet(size_t host_count, uint64_t seed)
{
	start_fleet_with(host_count, seed, false);
}

/* Its hosts follow the store's keys through their relays. */
static void start_following_fleet(size_t host_count, uint64_t seed)
{
	start_fleet_with(host_count, seed, true);
}

static void play_s(int64_t duration_s)
{
	team_fleet_play(duration_s * TGW_US_PER_S, true);
}

static void check_served(int64_t percent)
{
	for (int i = 0; i < TEAMS; i++) {
		const struct team_fleet_tally *tally = &team_fleet.tallies[i];

		ck_assert_msg(tally->served * 100 >= tally->asked * percent,
			      "%s: %lld of %lld requests were served",
			      team_fleet.team_names[i],
			      (long long)tally->served,
			      (long long)tally->asked);
	}
	team_fleet_check_no_overspending();
}

START_TEST(a_fleet_serves_all_that_its_budgets_cover)
{
	start_fleet(LARGE_FLEET, (uint64_t)_i);
	play_s(DAY_S);
	check_served(99);
	ck_assert_uint_lt(team_fleet.server.conflicts * 10,
			  team_fleet.server.writes);
	team_fleet_stop();
}
END_TEST

static uint64_t calls_of_a_day(size_t host_count)
{
	uint64_t calls;

	start_fleet(host_count, 1);
	/* Each host reads once what its previous process left. */
	calls = team_fleet_store_calls();
	play_s(DAY_S);
	calls = team_fleet_store_calls() - calls;
	team_fleet_stop();
	return calls;
}

START_TEST(store_calls_do_not_grow_with_the_hosts)
{
	ck_assert_uint_le(calls_of_a_day(LARGE_FLEET),
			  2 * calls_of_a_day(SMALL_FLEET));
}
END_TEST

START_TEST(the_first_request_of_a_team_at_a_host_is_served)
{
	start_fleet(LARGE_FLEET, (uint64_t)_i);
	/* Many of the requests are the first one. */
	play_s(1);
	team_fleet_play(TEAM_FLEET_MAX_WAIT_US, false);
	check_served(100);
	team_fleet_stop();
}
END_TEST

START_TEST(the_death_of_a_relay_does_not_stop_its_domain)
{
	start_fleet(LARGE_FLEET, (uint64_t)_i);
	play_s(8);
	team_fleet_reset_tallies();
	for (size_t domain = 0; domain < DOMAINS; domain += 2) {
		team_fleet_kill_host(team_fleet_relay(domain));
		play_s(4);
	}
	check_served(95);
	for (size_t domain = 0; domain < DOMAINS; domain += 2)
		team_fleet_start_host(team_fleet_relay(domain));
	team_fleet_reset_tallies();
	play_s(8);
	check_served(95);
	team_fleet_stop();
}
END_TEST

/* Its addresses accept messages, but it does not run. */
START_TEST(a_relay_that_hangs_does_not_stop_its_domain)
{
	start_fleet(LARGE_FLEET, (uint64_t)_i);
	play_s(8);
	team_fleet_reset_tallies();
	for (size_t domain = 0; domain < DOMAINS; domain += 2)
		team_fleet_relay(domain)->end.receives_nothing = true;
	play_s(8);
	check_served(95);
	for (size_t domain = 0; domain < DOMAINS; domain += 2)
		team_fleet_relay(domain)->end.receives_nothing = false;
	play_s(8);
	check_served(95);
	team_fleet_stop();
}
END_TEST

START_TEST(lost_and_late_messages_cost_few_requests)
{
	start_fleet(LARGE_FLEET, (uint64_t)_i);
	team_fleet.net.loss_per_1000 = 100;
	team_fleet.net.duplicate_per_1000 = 100;
	team_fleet.net.jitter_us = 20 * TGW_US_PER_MS;
	play_s(16);
	check_served(97);
	team_fleet_stop();
}
END_TEST

/* A store outage for some hosts is not one for their callers. */
START_TEST(a_relay_serves_hosts_that_do_not_reach_the_store)
{
	start_fleet(LARGE_FLEET, (uint64_t)_i);
	play_s(4);
	team_fleet_reset_tallies();
	for (size_t i = DOMAINS; i < LARGE_FLEET; i++) {
		struct team_fleet_host *host = &team_fleet.hosts[i];

		fake_store_set_partitioned(&host->store, true);
		team_budget_set_store_unreachable(host->budgets, true);
	}
	play_s(12);
	check_served(98);
	team_fleet_stop();
}
END_TEST

static void cut_from_store(struct team_fleet_host *host, bool cut)
{
	fake_store_set_partitioned(&host->store, cut);
	team_budget_set_store_unreachable(host->budgets, cut);
}

/* The others of its domain reach the store. */
START_TEST(a_relay_that_loses_the_store_does_not_stop_its_domain)
{
	start_fleet(SMALL_FLEET, (uint64_t)_i);
	play_s(1);
	team_fleet_reset_tallies();
	for (size_t domain = 0; domain < DOMAINS; domain++)
		cut_from_store(team_fleet_relay(domain), true);
	play_s(20);
	check_served(97);
	for (size_t domain = 0; domain < DOMAINS; domain++)
		cut_from_store(team_fleet_relay(domain), false);
	play_s(8);
	check_served(97);
	team_fleet_stop();
}
END_TEST

/* The hosts of other domains reach the store. */
START_TEST(a_domain_without_the_store_is_served_by_others)
{
	start_fleet(SMALL_FLEET, (uint64_t)_i);
	play_s(1);
	team_fleet_reset_tallies();
	for (size_t i = 0; i < SMALL_FLEET; i += DOMAINS)
		cut_from_store(&team_fleet.hosts[i], true);
	play_s(20);
	check_served(97);
	team_fleet_stop();
}
END_TEST

static uint64_t relay_changes(size_t host)
{
	return team_budget_get_counters(team_fleet.hosts[host].budgets)
		->relay_changes;
}

/* Through another host it learns of what the store says, and that is no
 * evidence that it reaches it by itself. */
START_TEST(a_relay_without_the_store_stays_with_another_one)
{
	struct team_fleet_host *host = team_fleet_relay(0);
	uint64_t changes;

	start_following_fleet(SMALL_FLEET, (uint64_t)_i);
	play_s(1);
	team_fleet_reset_tallies();
	changes = relay_changes(0);
	fake_store_set_partitioned(&host->store, true);
	play_s(8);
	ck_assert(store_mirror_follows_relay(host->keys.mirror));
	ck_assert_uint_le(relay_changes(0) - changes, 1);
	check_served(97);
	fake_store_set_partitioned(&host->store, false);
	play_s(3);
	ck_assert_str_eq(team_budget_relay(host->budgets), "host-0");
	team_fleet_stop();
}
END_TEST

/* Hosts find out by their own calls, one after the other. */
static void play_outage_s(int64_t duration_s)
{
	team_fleet.server.outage = true;
	play_s(duration_s);
	fake_store_server_set_outage(&team_fleet.server, false);
}

static uint64_t relay_changes_of_all(void)
{
	uint64_t changes = 0;

	for (size_t i = 0; i < team_fleet.settings.host_count; i++)
		changes += relay_changes(i);
	return changes;
}

/* Another host that is asked does not reach the store either. */
START_TEST(an_outage_of_the_store_does_not_change_the_relays)
{
	uint64_t changes;

	start_following_fleet(SMALL_FLEET, (uint64_t)_i);
	play_s(4);
	changes = relay_changes_of_all();
	for (int i = 0; i < 3; i++) {
		play_outage_s(8);
		play_s(4);
	}
	/* One host in ten may be wrong about its relay in an outage, and turn
	 * back. */
	ck_assert_uint_le(relay_changes_of_all() - changes,
			  (uint64_t)3 * 2 * SMALL_FLEET / 10);
	team_fleet_check_no_overspending();
	team_fleet_stop();
}
END_TEST

/* The store answers some calls of some hosts. */
START_TEST(a_store_that_comes_and_goes_changes_few_relays)
{
	const int64_t seconds = 24;
	uint64_t changes;

	start_following_fleet(SMALL_FLEET, (uint64_t)_i);
	play_s(4);
	changes = relay_changes_of_all();
	for (int64_t i = 0; i < seconds * 4; i++) {
		struct team_fleet_host *host =
			&team_fleet.hosts[tgw_random_below(
				&team_fleet.world.random, SMALL_FLEET)];

		host->store.partitioned = !host->store.partitioned;
		team_fleet_play(TGW_US_PER_S / 4, true);
	}
	for (size_t i = 0; i < SMALL_FLEET; i++)
		fake_store_set_partitioned(&team_fleet.hosts[i].store, false);
	/* A host changes its relay at most every two seconds. */
	ck_assert_uint_le(relay_changes_of_all() - changes,
			  SMALL_FLEET * seconds / 2);
	team_fleet_check_no_overspending();
	team_fleet_stop();
}
END_TEST

/* The reply to a host's last report was lost when that turned to another one.
 */
START_TEST(a_relay_that_is_used_again_is_not_taken_for_silent)
{
	struct team_fleet_host *first = team_fleet_relay(0);
	struct team_fleet_host *second = &team_fleet.hosts[DOMAINS];

	start_fleet(LARGE_FLEET, (uint64_t)_i);
	cut_from_store(first, true);
	play_s(2);
	cut_from_store(first, false);
	second->end.sends_nothing = true;
	play_s(2);
	second->end.sends_nothing = false;
	play_s(20);
	cut_from_store(first, true);
	play_s(2);
	for (size_t i = DOMAINS; i < LARGE_FLEET; i += DOMAINS)
		ck_assert_str_eq(team_budget_relay(team_fleet.hosts[i].budgets),
				 "host-6");
	team_fleet_stop();
}
END_TEST

/* A message has 12 of the 24 teams. A host may send each second 50 reports of
 * two messages and, for each of as many that it receives, a reply of two. A
 * host and one that may be its relay may repeat 20 replies to each other. */
#define REPORT_MESSAGES 2
#define MAX_RELAYS (BUDGET_RELAY_CANDIDATES + BUDGET_RELAY_OTHERS)
#define MESSAGES_PER_HOST_S                                              \
	(50 * REPORT_MESSAGES + 50 * REPORT_MESSAGES * REPORT_MESSAGES + \
	 2 * MAX_RELAYS * 20 * REPORT_MESSAGES)

static void check_messages_of_play_s(int64_t duration_s)
{
	for (int64_t second = 0; second < duration_s; second++) {
		uint64_t before = team_fleet.net.messages;

		play_s(1);
		ck_assert_uint_le(team_fleet.net.messages - before,
				  SMALL_FLEET * MESSAGES_PER_HOST_S);
	}
}

static void cut_all_from_store(bool cut)
{
	for (size_t i = 0; i < SMALL_FLEET; i++)
		cut_from_store(&team_fleet.hosts[i], cut);
}

static const int64_t full_link_latencies_ms[] = {1, 60, 120, 200};

/* While the store is away its relays change, and hosts hold tokens that others
 * have not received yet: all the longer when their links are full. */
START_TEST(a_store_outage_does_not_lead_to_a_flood_of_messages)
{
	start_fleet(SMALL_FLEET, 1);
	check_messages_of_play_s(4);
	team_fleet.net.latency_us = full_link_latencies_ms[_i] * TGW_US_PER_MS;
	cut_all_from_store(true);
	check_messages_of_play_s(8);
	cut_all_from_store(false);
	check_messages_of_play_s(4);
	team_fleet_check_no_overspending();
	team_fleet_stop();
}
END_TEST

/* @param first ranks before all others for this host */
static void set_first(size_t host, size_t first)
{
	struct peer_host peers[SMALL_FLEET];

	memcpy(peers, team_fleet.peers, sizeof(peers));
	peers[first].memory_mb = 2 * TEAM_FLEET_MAX_HOSTS;
	team_budget_set_hosts(team_fleet.hosts[host].budgets, peers,
			      SMALL_FLEET);
}

/* Their lists of hosts differ: each ranks the other one first. */
START_TEST(two_hosts_do_not_pass_tokens_back_and_forth)
{
	uint64_t given = 0;

	start_fleet(SMALL_FLEET, (uint64_t)_i);
	set_first(0, DOMAINS);
	play_s(16);
	check_served(97);
	for (size_t i = 0; i < SMALL_FLEET; i++)
		given += team_budget_get_counters(team_fleet.hosts[i].budgets)
				 ->given_tokens;
	/* All tokens of all teams pass few hosts. */
	ck_assert_uint_le(given,
			  UINT64_C(3) * TEAMS *
				  (uint64_t)team_fleet.settings.paid_tokens);
	team_fleet_stop();
}
END_TEST

static void stop_host(struct team_fleet_host *host)
{
	team_budget_close(host->budgets);
	for (int i = 0; i < 40 && !host->closed; i++)
		team_fleet_play(100 * TGW_US_PER_MS, false);
	ck_assert(host->closed);
	team_fleet_kill_host(host);
}

START_TEST(hosts_that_stop_strand_nothing)
{
	start_fleet(SMALL_FLEET, (uint64_t)_i);
	play_s(4);
	/* Let the open requests end. */
	team_fleet_play(2 * TGW_US_PER_S, false);
	for (size_t i = SMALL_FLEET; i > 0; i--)
		stop_host(&team_fleet.hosts[i - 1]);
	ck_assert_int_eq(team_fleet_stranded_tokens(), 0);
	team_fleet_stop();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("team_budget_relay");
	TCase *tcase = tcase_create("load");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, a_fleet_serves_all_that_its_budgets_cover, 1,
			    1 + SEEDS);
	tcase_add_test(tcase, store_calls_do_not_grow_with_the_hosts);
	tcase_add_loop_test(tcase,
			    the_first_request_of_a_team_at_a_host_is_served, 1,
			    1 + SEEDS);
	tcase_add_loop_test(tcase,
			    the_death_of_a_relay_does_not_stop_its_domain, 1,
			    1 + SEEDS);
	tcase_add_loop_test(tcase, a_relay_that_hangs_does_not_stop_its_domain,
			    1, 1 + SEEDS);
	tcase_add_loop_test(tcase, lost_and_late_messages_cost_few_requests, 1,
			    1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_relay_serves_hosts_that_do_not_reach_the_store, 1,
			    1 + SEEDS);
	tcase_add_loop_test(
		tcase, a_relay_that_loses_the_store_does_not_stop_its_domain, 1,
		1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_domain_without_the_store_is_served_by_others, 1,
			    1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_relay_without_the_store_stays_with_another_one, 1,
			    1 + SEEDS);
	tcase_add_loop_test(tcase,
			    an_outage_of_the_store_does_not_change_the_relays,
			    1, 1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_store_that_comes_and_goes_changes_few_relays, 1,
			    1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_relay_that_is_used_again_is_not_taken_for_silent,
			    1, 1 + SEEDS);
	tcase_add_loop_test(tcase,
			    a_store_outage_does_not_lead_to_a_flood_of_messages,
			    0,
			    sizeof(full_link_latencies_ms) /
				    sizeof(full_link_latencies_ms[0]));
	tcase_add_loop_test(tcase, two_hosts_do_not_pass_tokens_back_and_forth,
			    1, 1 + SEEDS);
	tcase_add_loop_test(tcase, hosts_that_stop_strand_nothing, 1,
			    1 + SEEDS);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
