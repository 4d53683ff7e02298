/**
 * @file measure_outage.c
 * Measures in virtual time what callers get of their teams' budgets while the
 * store is away, and after hosts died: days with cuts, kills and losses of
 * power, and with teams that move or burst, under several policies of how much
 * hosts hold.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/team_fleet.h"

#define HOSTS 7
#define DOMAINS 4
#define TEAMS 10
#define KEYS 4
#define REQUEST_TOKENS INT64_C(2500)
#define REQUESTS_PER_S 14 /* of each team */
#define LEAD_S 6	  /* from the start of the hosts to the first request */
#define DAY_S 48
/* A budget holds this percentage of a team's demand. */
#define PAID_PERCENT 130
#define DEFAULT_SEEDS 4
#define DOWN_US (1000 * TGW_US_PER_MS)
#define MAX_EVENTS 6
/* Each team sends this percentage of its requests to one failure domain, the
 * next one after each period. */
#define MOVING_PERCENT 80
#define MOVING_PERIOD_US (9 * TGW_US_PER_S)
/* Two teams send so many times their requests for a while. */
#define BURST_FACTOR 7
#define BURST_TEAMS 2
#define BURST_START_US (16 * TGW_US_PER_S)
#define BURST_END_US (22 * TGW_US_PER_S)
/* The last seconds of a day, in which a fleet has recovered from deaths. */
#define END_S 8

enum event_kind {
	EVENT_NONE,
	EVENT_CUT,
	EVENT_KILL,
	EVENT_POWER,
};

struct event {
	enum event_kind kind;
	int64_t at_s; /**< of the day */
	int64_t for_s;
};

/** One day. */
struct day {
	const char *name;
	bool moves;
	bool bursts;
	struct event events[MAX_EVENTS];
};

static const struct day days[] = {
	{"calm", false, false, {{EVENT_NONE, 0, 0}}},
	{"cut 12 s", false, false, {{EVENT_CUT, 16, 12}}},
	{"two cuts of 8 s",
	 false,
	 false,
	 {{EVENT_CUT, 5, 8}, {EVENT_CUT, 23, 8}}},
	{"moving, calm", true, false, {{EVENT_NONE, 0, 0}}},
	{"moving, cut 12 s", true, false, {{EVENT_CUT, 16, 12}}},
	{"burst, calm", false, true, {{EVENT_NONE, 0, 0}}},
	{"burst, cut 12 s", false, true, {{EVENT_CUT, 14, 12}}},
	{"moving, burst, cut", true, true, {{EVENT_CUT, 14, 12}}},
	{"a kill", false, false, {{EVENT_KILL, 20, 0}}},
	{"three kills",
	 false,
	 false,
	 {{EVENT_KILL, 10, 0}, {EVENT_KILL, 18, 0}, {EVENT_KILL, 26, 0}}},
	{"a power loss", false, false, {{EVENT_POWER, 20, 0}}},
	{"two power losses",
	 false,
	 false,
	 {{EVENT_POWER, 12, 0}, {EVENT_POWER, 24, 0}}},
	{"three power losses",
	 false,
	 false,
	 {{EVENT_POWER, 10, 0}, {EVENT_POWER, 18, 0}, {EVENT_POWER, 26, 0}}},
	{"five power losses",
	 false,
	 false,
	 {{EVENT_POWER, 8, 0},
	  {EVENT_POWER, 14, 0},
	  {EVENT_POWER, 20, 0},
	  {EVENT_POWER, 26, 0},
	  {EVENT_POWER, 32, 0}}},
	{"power loss, cut",
	 false,
	 false,
	 {{EVENT_POWER, 10, 0}, {EVENT_CUT, 20, 12}}},
	{"cut, power loss",
	 false,
	 false,
	 {{EVENT_CUT, 8, 12}, {EVENT_POWER, 28, 0}}},
	{"two cuts, kill each",
	 false,
	 false,
	 {{EVENT_CUT, 6, 8},
	  {EVENT_KILL, 18, 0},
	  {EVENT_CUT, 24, 8},
	  {EVENT_KILL, 36, 0}}},
	{"three kills, moving",
	 true,
	 false,
	 {{EVENT_KILL, 10, 0}, {EVENT_KILL, 18, 0}, {EVENT_KILL, 26, 0}}},
};

#define DAY_COUNT (sizeof(days) / sizeof(days[0]))

/** What callers got on one day, summed over the seeds. */
struct outcome {
	int64_t asked;
	int64_t served;
	int64_t cut_asked; /**< while the store was away */
	int64_t cut_served;
	int64_t cut_waited_us;
	int64_t end_asked;
	int64_t end_served;
	int64_t paid_tokens;
	int64_t stranded_tokens;
	int64_t overspent_tokens;
	uint64_t store_calls;
	uint64_t messages;
	uint64_t cut_messages;
};

static int64_t day_started_us;

static int64_t day_us(int64_t now_us)
{
	return now_us - day_started_us;
}

static uint64_t burst_rate(int team, int64_t now_us)
{
	int64_t at_us = day_us(now_us);

	if (team < BURST_TEAMS && at_us >= BURST_START_US &&
	    at_us < BURST_END_US)
		return REQUESTS_PER_S * BURST_FACTOR;
	return REQUESTS_PER_S;
}

static size_t moving_host(int team, int64_t now_us, struct tgw_random *random)
{
	size_t domain =
		(size_t)(day_us(now_us) / MOVING_PERIOD_US + team) % DOMAINS;
	size_t host = (size_t)tgw_random_below(random, HOSTS);

	if (tgw_random_below(random, 100) >= MOVING_PERCENT)
		return host;
	while (host % DOMAINS != domain)
		host = (size_t)tgw_random_below(random, HOSTS);
	return host;
}

static void count(struct team_fleet_tally *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (int team = 0; team < TEAMS; team++) {
		sum->asked += team_fleet.tallies[team].asked;
		sum->served += team_fleet.tallies[team].served;
		sum->waited_us += team_fleet.tallies[team].waited_us;
	}
}

static void play_cut(int64_t for_s, struct outcome *outcome)
{
	struct team_fleet_tally before;
	struct team_fleet_tally after;
	uint64_t messages = team_fleet.net.messages;

	count(&before);
	team_fleet_set_outage(true);
	team_fleet_play(for_s * TGW_US_PER_S - TEAM_FLEET_NOTICE_US, true);
	count(&after);
	team_fleet_set_outage(false);
	outcome->cut_messages += team_fleet.net.messages - messages;
	outcome->cut_asked += after.asked - before.asked;
	outcome->cut_served += after.served - before.served;
	outcome->cut_waited_us += after.waited_us - before.waited_us;
}

static void play_event(const struct event *event, struct outcome *outcome)
{
	switch (event->kind) {
	case EVENT_NONE:
		break;
	case EVENT_CUT:
		play_cut(event->for_s, outcome);
		break;
	case EVENT_KILL:
		team_fleet_kill_all(DOWN_US);
		break;
	case EVENT_POWER:
		team_fleet_power_off_all(DOWN_US);
		break;
	}
}

/* Plays until this second of the day. */
static void play_until(int64_t second)
{
	int64_t left_us =
		second * TGW_US_PER_S - day_us(team_fleet.world.now_us);

	if (left_us > 0)
		team_fleet_play(left_us, true);
}

static void start_day(const struct day *day,
		      const struct team_account_policy *policy, uint64_t seed)
{
	struct team_fleet_settings settings = {
		.host_count = HOSTS,
		.domain_count = DOMAINS,
		.team_count = TEAMS,
		.key_count = KEYS,
		.request_tokens = REQUEST_TOKENS,
		.requests_per_s = REQUESTS_PER_S,
		.paid_tokens = REQUEST_TOKENS * REQUESTS_PER_S * DAY_S *
			       PAID_PERCENT / 100,
		.policy = policy,
		.rate = day->bursts ? burst_rate : NULL,
		.choose_host = day->moves ? moving_host : NULL,
	};

	team_fleet_start(&settings, seed);
	team_fleet_play(LEAD_S * TGW_US_PER_S, false);
	day_started_us = team_fleet.world.now_us;
}

static void play_day(const struct day *day,
		     const struct team_account_policy *policy, uint64_t seed,
		     struct outcome *outcome)
{
	struct team_fleet_tally sum;
	struct team_fleet_tally end;

	start_day(day, policy, seed);
	for (size_t i = 0; i < MAX_EVENTS; i++) {
		play_until(day->events[i].at_s);
		play_event(&day->events[i], outcome);
	}
	play_until(DAY_S - END_S);
	count(&sum);
	play_until(DAY_S);
	count(&end);
	outcome->asked += end.asked;
	outcome->served += end.served;
	outcome->end_asked += end.asked - sum.asked;
	outcome->end_served += end.served - sum.served;
	outcome->paid_tokens += team_fleet.settings.paid_tokens * TEAMS;
	outcome->stranded_tokens += team_fleet_stranded_tokens();
	outcome->overspent_tokens += team_fleet_overspent_tokens();
	outcome->store_calls += team_fleet_store_calls();
	outcome->messages += team_fleet.net.messages;
	team_fleet_stop();
}

static double ratio(int64_t part, int64_t whole)
{
	return whole ? (double)part / (double)whole : 1.0;
}

static void print_day(const struct day *day, const struct outcome *outcome)
{
	int64_t cut_refused = outcome->cut_asked - outcome->cut_served;

	printf("%-20s %6.3f", day->name,
	       ratio(outcome->served, outcome->asked));
	if (outcome->cut_asked)
		printf(" %6.3f %7.0f %6.2f",
		       ratio(outcome->cut_served, outcome->cut_asked),
		       ratio(outcome->cut_waited_us, cut_refused) *
			       (cut_refused ? 1 : 0) / TGW_US_PER_MS,
		       ratio((int64_t)outcome->cut_messages,
			     outcome->cut_asked));
	else
		printf(" %6s %7s %6s", "-", "-", "-");
	printf(" %6.3f %8.3f %9lld %6.2f %6.2f\n",
	       ratio(outcome->end_served, outcome->end_asked),
	       ratio(outcome->stranded_tokens, outcome->paid_tokens),
	       (long long)outcome->overspent_tokens,
	       ratio((int64_t)outcome->messages, outcome->asked),
	       ratio((int64_t)outcome->store_calls, outcome->asked));
	fflush(stdout);
}

/* The figures of all days: the last line of the output. */
struct summary {
	int64_t cut_asked;
	int64_t cut_served;
	int64_t overspent_tokens;
	int day_count;
	double served_sum;
	double least_end;
	double most_stranded;
};

static void add_day(struct summary *summary, const struct outcome *outcome)
{
	double end = ratio(outcome->end_served, outcome->end_asked);
	double stranded = ratio(outcome->stranded_tokens, outcome->paid_tokens);

	summary->day_count++;
	summary->cut_asked += outcome->cut_asked;
	summary->cut_served += outcome->cut_served;
	summary->overspent_tokens += outcome->overspent_tokens;
	summary->served_sum += ratio(outcome->served, outcome->asked);
	if (end < summary->least_end)
		summary->least_end = end;
	if (stranded > summary->most_stranded)
		summary->most_stranded = stranded;
}

static void measure(const struct team_account_policy *policy, long seeds)
{
	struct summary summary = {.least_end = 1.0};

	printf("%d hosts in %d failure domains, %d teams, budgets of %d in 100 "
	       "of %d s of demand; %ld seeds\n",
	       HOSTS, DOMAINS, TEAMS, PAID_PERCENT, DAY_S, seeds);
	printf("%-20s %6s %6s %7s %6s %6s %8s %9s %6s %6s\n", "day", "served",
	       "in cut", "wait ms", "msg", "at end", "stranded", "overspent",
	       "msg", "calls");
	for (size_t i = 0; i < DAY_COUNT; i++) {
		struct outcome outcome = {0};

		for (long seed = 1; seed <= seeds; seed++)
			play_day(&days[i], policy, (uint64_t)seed, &outcome);
		print_day(&days[i], &outcome);
		add_day(&summary, &outcome);
	}
	printf("served_mean=%.3f served_in_cuts=%.3f least_served_at_end=%.3f "
	       "most_stranded=%.3f overspend_tokens=%lld\n",
	       summary.served_sum / summary.day_count,
	       ratio(summary.cut_served, summary.cut_asked), summary.least_end,
	       summary.most_stranded, (long long)summary.overspent_tokens);
}

int main(int argc, char **argv)
{
	struct team_account_policy policy = {
		.ride_out_s = 12,
		.hold_fraction = 0.5,
		.loss_fraction = 0.35,
		.host_count = 8,
	};
	long seeds = DEFAULT_SEEDS;
	int option;

	while ((option = getopt(argc, argv, "s:h:l:")) != -1) {
		switch (option) {
		case 's':
			seeds = strtol(optarg, NULL, 10);
			break;
		case 'h':
			policy.hold_fraction = strtod(optarg, NULL);
			break;
		case 'l':
			policy.loss_fraction = strtod(optarg, NULL);
			break;
		default:
			fprintf(stderr, "measure_outage [-s SEEDS] [-h "
					"FRACTION_HELD] [-l FRACTION_LOST]\n");
			return 2;
		}
	}
	measure(&policy, seeds);
	return 0;
}
