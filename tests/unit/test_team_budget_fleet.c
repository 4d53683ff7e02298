/* Plays the load of a large fleet on its team budgets, in virtual time: many
 * small hosts on slow links, a few large ones, and teams of which some send all
 * their requests to one host. Checks what the callers of each team get, and how
 * many store calls it takes. */
#include "coordination/team_budget.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "unit/unit_main.h"

#define HOSTS 84
#define KEYS 4 /* as the edge's default */
#define FAST_HOSTS 8
#define TEAMS 24
#define SEEDS 8
/* Teams that send all their requests to one host; it is a slow one. */
#define ONE_HOST_TEAMS 10
/* 200 and 10 Mbit/s, less what the store's base64 adds. */
#define FAST_BYTES_PER_S 18750000
#define SLOW_BYTES_PER_S 937500
/* What is left of a slow link beside the traffic of a whole team. */
#define BUSY_BYTES_PER_S 93750
#define REQUEST_TOKENS INT64_C(2500)
#define REQUESTS_PER_S 30 /* of each team */
#define DAY_S 34
#define LEAD_S 12 /* from the start of the hosts to the first request */
/* A budget holds this percentage of a team's demand. */
#define PAID_PERCENT 130
#define STEP_US (1 * TGW_US_PER_MS)
#define MAX_WAIT_US (400 * TGW_US_PER_MS)
#define SERVICE_US (500 * TGW_US_PER_MS)

struct request {
	struct request *next;
	struct host *host;
	uint64_t process; /* of the host, when it arrived */
	int team;
	int64_t arrived_us;
};

struct host {
	struct fake_store store;
	struct team_budget *budgets;
	uint64_t process;
	struct request *waiting;
	bool notified;	/* waiting requests may try again */
	int64_t due_us; /* of the next tick */
};

struct tally {
	int64_t asked;
	int64_t served;
	int64_t spent_tokens;
};

static struct fake_world world;
static struct fake_store_server server;
static struct host hosts[HOSTS];
static struct tally tallies[TEAMS];
static char team_names[TEAMS][16];

static int64_t paid_tokens(void)
{
	return REQUEST_TOKENS * REQUESTS_PER_S * DAY_S * PAID_PERCENT / 100;
}

static void on_changed(void *arg)
{
	((struct host *)arg)->notified = true;
}

static void on_rescheduled(void *arg, int64_t due_us)
{
	struct host *host = arg;

	if (due_us < host->due_us)
		host->due_us = due_us;
}

static void on_closed(void *arg)
{
}

static void start_host(struct host *host)
{
	struct team_budget_settings settings = {
		.key_count = KEYS,
		.policy = {.ride_out_s = 25,
			   .hold_fraction = 0.9,
			   .host_count = 8},
	};
	struct team_budget_events events = {
		.changed = on_changed,
		.rescheduled = on_rescheduled,
		.closed = on_closed,
		.arg = host,
	};

	snprintf(settings.host, sizeof(settings.host), "host-%d",
		 (int)(host - hosts));
	host->process = tgw_random_u64(&world.random) | 1;
	host->budgets = team_budget_new(&settings, &host->store.store,
					&world.clock, host->process, &events);
	for (int i = 0; i < TEAMS; i++)
		team_budget_raise_paid_in(host->budgets, team_names[i],
					  paid_tokens());
}

static void drop_waiting(struct host *host)
{
	while (host->waiting) {
		struct request *request = host->waiting;

		host->waiting = request->next;
		free(request);
	}
}

static void kill_host(struct host *host)
{
	drop_waiting(host);
	team_budget_free(host->budgets);
	host->budgets = NULL;
	fake_store_reset(&host->store);
}

/* @param busy_bytes_per_s for the hosts that have a team to themselves */
static int64_t link_bytes_per_s(size_t host, int64_t busy_bytes_per_s)
{
	if (host < FAST_HOSTS)
		return FAST_BYTES_PER_S;
	return host < FAST_HOSTS + ONE_HOST_TEAMS ? busy_bytes_per_s
						  : SLOW_BYTES_PER_S;
}

static void start_fleet(uint64_t seed, int64_t busy_bytes_per_s)
{
	fake_world_init(&world, seed);
	fake_store_server_init(&server, &world);
	memset(hosts, 0, sizeof(hosts));
	memset(tallies, 0, sizeof(tallies));
	for (int i = 0; i < TEAMS; i++)
		snprintf(team_names[i], sizeof(team_names[i]), "team-%d", i);
	for (size_t i = 0; i < HOSTS; i++) {
		fake_store_init(&hosts[i].store, &server);
		hosts[i].store.link_bytes_per_s =
			link_bytes_per_s(i, busy_bytes_per_s);
		start_host(&hosts[i]);
	}
}

static void stop_fleet(void)
{
	for (size_t i = 0; i < HOSTS; i++)
		kill_host(&hosts[i]);
	fake_world_clear(&world);
	fake_store_server_clear(&server);
}

static void finish_request(void *arg)
{
	struct request *request = arg;
	struct host *host = request->host;

	if (host->budgets && host->process == request->process)
		team_budget_settle(host->budgets, team_names[request->team],
				   REQUEST_TOKENS, REQUEST_TOKENS);
	free(request);
}

/* @return whether the request no longer waits */
static bool try_request(struct request *request)
{
	struct tally *tally = &tallies[request->team];

	switch (team_budget_reserve(request->host->budgets,
				    team_names[request->team], REQUEST_TOKENS,
				    0)) {
	case TGW_OK:
		tally->served++;
		tally->spent_tokens += REQUEST_TOKENS;
		fake_world_after_or_release(&world, SERVICE_US, finish_request,
					    free, request);
		return true;
	case TGW_BUSY:
		if (world.now_us - request->arrived_us < MAX_WAIT_US)
			return false;
		free(request);
		return true;
	default:
		free(request);
		return true;
	}
}

static void retry_waiting(struct host *host)
{
	struct request **link = &host->waiting;

	if (!host->notified)
		return;
	host->notified = false;
	while (*link) {
		struct request *request = *link;
		struct request *next = request->next;

		if (try_request(request))
			*link = next;
		else
			link = &request->next;
	}
}

static void give_up_waiting(struct host *host)
{
	struct request **link = &host->waiting;

	while (*link) {
		struct request *request = *link;

		if (world.now_us - request->arrived_us < MAX_WAIT_US) {
			link = &request->next;
			continue;
		}
		*link = request->next;
		free(request);
	}
}

static struct host *host_of(int team)
{
	if (team < ONE_HOST_TEAMS)
		return &hosts[FAST_HOSTS + (size_t)team];
	return &hosts[tgw_random_below(&world.random, HOSTS)];
}

static void send_request(int team)
{
	struct request *request;
	struct host *host = host_of(team);

	tallies[team].asked++;
	if (!host->budgets)
		return;
	request = xcalloc(1, sizeof(*request));
	request->host = host;
	request->process = host->process;
	request->team = team;
	request->arrived_us = world.now_us;
	team_budget_record_demand(host->budgets, team_names[team],
				  REQUEST_TOKENS);
	if (try_request(request))
		return;
	request->next = host->waiting;
	host->waiting = request;
}

static void send_requests(void)
{
	const uint64_t steps_per_s = TGW_US_PER_S / STEP_US;

	for (int team = 0; team < TEAMS; team++)
		if (tgw_random_below(&world.random, steps_per_s) <
		    REQUESTS_PER_S)
			send_request(team);
}

static void tick(struct host *host)
{
	if (world.now_us < host->due_us)
		return;
	host->due_us = INT64_MAX;
	on_rescheduled(host, team_budget_tick(host->budgets));
}

static void play(int64_t duration_us, bool has_traffic)
{
	int64_t until_us = world.now_us + duration_us;

	while (world.now_us < until_us) {
		if (has_traffic)
			send_requests();
		for (size_t i = 0; i < HOSTS; i++) {
			if (!hosts[i].budgets)
				continue;
			retry_waiting(&hosts[i]);
			give_up_waiting(&hosts[i]);
			tick(&hosts[i]);
		}
		fake_world_advance(&world, STEP_US);
	}
}

static void check_no_overspending(void)
{
	for (int i = 0; i < TEAMS; i++)
		ck_assert_int_le(tallies[i].spent_tokens, paid_tokens());
}

/* Each team has at least this percentage of its requests served. */
static void check_served(int64_t percent)
{
	for (int i = 0; i < TEAMS; i++) {
		int64_t served = tallies[i].served * 100 / tallies[i].asked;

		ck_assert_msg(served >= percent,
			      "%s: %lld of %lld requests were served",
			      team_names[i], (long long)tallies[i].served,
			      (long long)tallies[i].asked);
	}
}

static void play_day(uint64_t seed, int64_t busy_bytes_per_s)
{
	start_fleet(seed, busy_bytes_per_s);
	play(LEAD_S * TGW_US_PER_S, false);
	play(DAY_S * TGW_US_PER_S, true);
	check_no_overspending();
	check_served(90);
	stop_fleet();
}

START_TEST(a_slow_link_does_not_starve_a_team_that_sends_to_one_host)
{
	play_day((uint64_t)_i, SLOW_BYTES_PER_S);
}
END_TEST

START_TEST(a_busy_link_does_not_starve_a_team_that_sends_to_one_host)
{
	play_day((uint64_t)_i, BUSY_BYTES_PER_S);
}
END_TEST

START_TEST(a_fleet_makes_few_store_calls_without_demand)
{
	uint64_t calls;

	start_fleet(1, SLOW_BYTES_PER_S);
	play(LEAD_S * TGW_US_PER_S, false);
	calls = server.reads + server.writes;
	play(DAY_S * TGW_US_PER_S, false);
	/* A host without demand reads each key once. */
	ck_assert_uint_le(server.reads + server.writes - calls, HOSTS * KEYS);
	stop_fleet();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("team_budget_fleet");
	TCase *tcase = tcase_create("load");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
		tcase,
		a_slow_link_does_not_starve_a_team_that_sends_to_one_host, 1,
		1 + SEEDS);
	tcase_add_loop_test(
		tcase,
		a_busy_link_does_not_starve_a_team_that_sends_to_one_host, 1,
		1 + SEEDS);
	tcase_add_test(tcase, a_fleet_makes_few_store_calls_without_demand);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
