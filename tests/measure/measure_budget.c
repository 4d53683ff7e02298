/**
 * @file measure_budget.c
 * Measures the budget agents in virtual time: overspend, false refusals against
 * baseline ledgers on the same arrivals, tokens stranded by dead hosts, and the
 * store and peer traffic at the design size.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/budget_fleet.h"
#include "measure/budget_arrivals.h"
#include "measure/budget_baselines.h"

#define DEFAULT_SEED 1
#define FLEET_DOMAINS 4
#define FLEET_HOSTS 8
#define FLEET_BUCKETS 64
#define FAULT_START_US (1800 * TGW_US_PER_S)
#define FAULT_END_US (5400 * TGW_US_PER_S)
#define KILL_INTERVAL_US (600 * TGW_US_PER_S)
#define RESTART_DELAY_US (60 * TGW_US_PER_S)
/* Paid-in tokens as a percentage of the cost of all requests. Every fourth
 * budget gets less than its requests cost. */
#define FUNDED_PERCENT 150
#define UNDERFUNDED_PERCENT 80
#define UNDERFUNDED_INTERVAL 4
#define MAX_BUDGETS 64

enum condition {
	CONNECTED,
	STORE_UNREACHABLE,
	DOMAIN_PARTITIONED,
	HOSTS_DYING,
	CONDITION_COUNT,
};

/* The names in the printed table. */
static const char *const condition_names[] = {"connected", "store out",
					      "domain cut off", "hosts dying"};

struct outcome {
	uint32_t requests;    /**< printed as asked */
	uint32_t served_best; /**< by BASELINE_ORACLE */
	/** Requests that this ledger served fewer than BASELINE_ORACLE, summed
	 * over the budgets. */
	uint32_t false_refusals;
	uint32_t split_false_refusals; /**< of BASELINE_FIXED_SPLIT */
	uint32_t store_false_refusals; /**< of BASELINE_STORE_WRITE */
	int64_t overspend_tokens;
	int64_t overbilled_tokens;
	int64_t underbilled_tokens;
	uint32_t deaths;
	/** Tokens that a death strands, as the seconds in which one host
	 * consumes them at its mean demand. */
	double stranded_s_per_death;
	struct tgw_budget_counters counters;
};

struct run {
	const struct arrival_plan *plan;
	enum condition condition;
	struct arrivals arrivals;
	int64_t paid_tokens[MAX_BUDGETS];
	struct budget_fleet fleet;
	uint32_t abandoned[MAX_BUDGETS]; /**< by the death of the entry host */
	uint32_t served[MAX_BUDGETS];
	uint32_t deaths;
};

static void budget_name(char name[TGW_NAME_SIZE], uint32_t index)
{
	snprintf(name, TGW_NAME_SIZE, "team-%u", index);
}

static void make_hosts(struct budget_fleet *fleet, int domains, int hosts)
{
	for (int i = 0; i < hosts; i++) {
		char name[TGW_NAME_SIZE];
		char domain[TGW_NAME_SIZE];

		snprintf(domain, sizeof(domain), "d%d", i * domains / hosts);
		snprintf(name, sizeof(name), "host-%02d", i);
		budget_fleet_add(fleet, name, domain);
	}
}

/* Selects an entry host that is up and not leaving. */
static struct fleet_host *choose_host(struct budget_fleet *fleet,
				      uint32_t choice)
{
	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host =
			fleet->hosts[(choice + i) % fleet->host_count];

		if (host->is_up && !host->is_leaving)
			return host;
	}
	return NULL;
}

static void start_run(struct run *run, uint64_t seed)
{
	uint32_t budgets = run->plan->budgets;

	arrivals_make(&run->arrivals, run->plan, seed);
	budget_fleet_init(&run->fleet, seed, FLEET_BUCKETS);
	make_hosts(&run->fleet, FLEET_DOMAINS, FLEET_HOSTS);
	budget_fleet_start(&run->fleet);
	for (uint32_t i = 0; i < budgets; i++) {
		char name[TGW_NAME_SIZE];
		int64_t percent = i % UNDERFUNDED_INTERVAL ==
						  UNDERFUNDED_INTERVAL - 1
					  ? UNDERFUNDED_PERCENT
					  : FUNDED_PERCENT;

		run->paid_tokens[i] =
			run->arrivals.demand_tokens[i] * percent / 100;
		budget_name(name, i);
		budget_fleet_top_up(&run->fleet, name, "monday",
				    run->paid_tokens[i]);
	}
}

static void set_fault(struct run *run, bool on)
{
	if (run->condition == STORE_UNREACHABLE)
		fake_store_server_set_outage(&run->fleet.server, on);
	if (run->condition == DOMAIN_PARTITIONED) {
		budget_fleet_set_group(&run->fleet, "d0", on);
		budget_fleet_partition_store(&run->fleet, "d0", on);
	}
}

/* Kills one host after the other, one every KILL_INTERVAL_US, and restarts each
 * after RESTART_DELAY_US. */
static void kill_and_restart_hosts(struct run *run, int64_t previous_us,
				   int64_t now_us)
{
	struct budget_fleet *fleet = &run->fleet;
	int64_t killed_us = now_us - RESTART_DELAY_US;
	int64_t previous_killed_us = previous_us - RESTART_DELAY_US;

	if (run->condition != HOSTS_DYING)
		return;
	if (now_us / KILL_INTERVAL_US != previous_us / KILL_INTERVAL_US)
		budget_fleet_kill(
			fleet->hosts[run->deaths++ % fleet->host_count]);
	if (previous_killed_us > 0 &&
	    killed_us / KILL_INTERVAL_US !=
		    previous_killed_us / KILL_INTERVAL_US)
		budget_fleet_restart(
			fleet->hosts[(run->deaths - 1) % fleet->host_count]);
}

static void run_arrivals(struct run *run)
{
	struct budget_fleet *fleet = &run->fleet;
	int64_t start_us = fleet->world.now_us;
	int64_t previous_us = 0;

	for (size_t i = 0; i < run->arrivals.count; i++) {
		const struct arrival *arrival = &run->arrivals.items[i];
		char name[TGW_NAME_SIZE];

		fake_world_advance(&fleet->world, start_us + arrival->at_us -
							  fleet->world.now_us);
		if (previous_us < FAULT_START_US &&
		    arrival->at_us >= FAULT_START_US)
			set_fault(run, true);
		if (previous_us < FAULT_END_US &&
		    arrival->at_us >= FAULT_END_US)
			set_fault(run, false);
		kill_and_restart_hosts(run, previous_us, arrival->at_us);
		previous_us = arrival->at_us;
		budget_name(name, arrival->budget);
		budget_fleet_request(choose_host(fleet, arrival->host_choice),
				     name, arrival->number,
				     arrival->bound_tokens,
				     arrival->cost_tokens, arrival->run_us);
	}
	set_fault(run, false);
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!fleet->hosts[i]->is_up)
			budget_fleet_restart(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 240 * TGW_US_PER_S);
}

static void count_served(struct run *run)
{
	struct budget_fleet *fleet = &run->fleet;

	for (size_t i = 0; i < fleet->request_count; i++) {
		const struct fleet_request *request = fleet->requests[i];
		/* The index after "team-"; see budget_name(). */
		uint32_t budget =
			(uint32_t)strtoul(request->budget + 5, NULL, 10);

		if (request->state == FLEET_ABANDONED)
			run->abandoned[budget]++;
		else if (request->status == TGW_OK)
			run->served[budget]++;
	}
}

/* Returns how many fewer requests were served than by the best ledger, without
 * those that their entry host's death abandoned. */
static uint32_t shortfall(const uint32_t *best, const uint32_t *served,
			  const uint32_t *abandoned, uint32_t budgets)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < budgets; i++)
		if (best[i] > served[i] + abandoned[i])
			sum += best[i] - served[i] - abandoned[i];
	return sum;
}

static void run_baselines(struct run *run, struct outcome *outcome)
{
	static const uint32_t none_abandoned[MAX_BUDGETS];
	uint32_t budgets = run->plan->budgets;
	uint32_t best[MAX_BUDGETS];
	uint32_t other[MAX_BUDGETS];
	struct baseline_faults faults = {
		.hosts = FLEET_HOSTS,
		.from_us = FAULT_START_US,
		.to_us = FAULT_END_US,
		.store_is_unreachable = run->condition == STORE_UNREACHABLE,
		.first_hosts_are_partitioned = run->condition ==
					       DOMAIN_PARTITIONED,
	};

	baseline_run(BASELINE_ORACLE, &run->arrivals, budgets, run->paid_tokens,
		     &faults, best);
	for (uint32_t i = 0; i < budgets; i++)
		outcome->served_best += best[i];
	outcome->requests = (uint32_t)run->arrivals.count;
	outcome->false_refusals =
		shortfall(best, run->served, run->abandoned, budgets);
	baseline_run(BASELINE_FIXED_SPLIT, &run->arrivals, budgets,
		     run->paid_tokens, &faults, other);
	outcome->split_false_refusals =
		shortfall(best, other, none_abandoned, budgets);
	baseline_run(BASELINE_STORE_WRITE, &run->arrivals, budgets,
		     run->paid_tokens, &faults, other);
	outcome->store_false_refusals =
		shortfall(best, other, none_abandoned, budgets);
}

static int64_t positive(int64_t tokens)
{
	return tokens > 0 ? tokens : 0;
}

/* Drains all hosts, after which all tokens that are not free were charged, and
 * compares the charges with the true costs. */
static void check_billing(struct run *run, struct outcome *outcome)
{
	struct budget_fleet *fleet = &run->fleet;
	int64_t demand_tokens = 0;
	int64_t overcharged_tokens = 0;

	for (size_t i = 0; i < fleet->host_count; i++)
		budget_fleet_drain(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 120 * TGW_US_PER_S);
	for (uint32_t i = 0; i < run->plan->budgets; i++) {
		char name[TGW_NAME_SIZE];
		struct fleet_balance balance;
		int64_t cost;

		budget_name(name, i);
		budget_fleet_balance(fleet, name, &balance);
		cost = budget_fleet_true_cost(fleet, name);
		outcome->overspend_tokens +=
			positive(cost - balance.paid_in_tokens);
		outcome->underbilled_tokens +=
			positive(cost - balance.charged_tokens);
		overcharged_tokens += positive(balance.charged_tokens - cost);
		demand_tokens += cost;
	}
	outcome->deaths = run->deaths;
	if (!run->deaths) {
		outcome->overbilled_tokens = overcharged_tokens;
		return;
	}
	outcome->stranded_s_per_death =
		(double)overcharged_tokens / run->deaths /
		((double)demand_tokens / FLEET_HOSTS /
		 ((double)run->plan->length_us / (double)TGW_US_PER_S));
}

static struct outcome run_condition(const struct arrival_plan *plan,
				    enum condition condition, uint64_t seed)
{
	struct run *run = xcalloc(1, sizeof(*run));
	struct outcome outcome = {0};

	run->plan = plan;
	run->condition = condition;
	start_run(run, seed);
	run_arrivals(run);
	count_served(run);
	run_baselines(run, &outcome);
	outcome.counters = budget_fleet_counters(&run->fleet);
	check_billing(run, &outcome);
	budget_fleet_clear(&run->fleet);
	arrivals_free(&run->arrivals);
	free(run);
	return outcome;
}

static double percent(uint32_t count, uint32_t total)
{
	return total ? 100.0 * count / total : 0;
}

static void print_outcome(const struct arrival_plan *plan,
			  enum condition condition,
			  const struct outcome *outcome)
{
	printf("%-10s %-14s %7u %7u %8.3f %8.3f %8.3f %9lld %9lld %9lld "
	       "%8.2f %7llu\n",
	       plan->user, condition_names[condition], outcome->requests,
	       outcome->served_best,
	       percent(outcome->false_refusals, outcome->requests),
	       percent(outcome->split_false_refusals, outcome->requests),
	       percent(outcome->store_false_refusals, outcome->requests),
	       (long long)outcome->overspend_tokens,
	       (long long)outcome->overbilled_tokens,
	       (long long)outcome->underbilled_tokens,
	       outcome->stranded_s_per_death,
	       (unsigned long long)outcome->counters.reversed_duplicates);
}

/* The figures of the last printed line. */
struct summary {
	int64_t overspend_tokens;
	int64_t billed_twice_tokens;
	int64_t billed_never_tokens;
	double connected_pct;
	double partition_pct;
	double split_pct;
	double stranded_s;
};

static double larger(double a, double b)
{
	return a > b ? a : b;
}

static void add_outcome(struct summary *summary, enum condition condition,
			const struct outcome *outcome)
{
	double false_pct = percent(outcome->false_refusals, outcome->requests);

	summary->overspend_tokens += outcome->overspend_tokens;
	summary->billed_twice_tokens += outcome->overbilled_tokens;
	summary->billed_never_tokens += outcome->underbilled_tokens;
	if (condition == CONNECTED)
		summary->connected_pct =
			larger(summary->connected_pct, false_pct);
	if (condition == STORE_UNREACHABLE || condition == DOMAIN_PARTITIONED) {
		summary->partition_pct =
			larger(summary->partition_pct, false_pct);
		summary->split_pct =
			larger(summary->split_pct,
			       percent(outcome->split_false_refusals,
				       outcome->requests));
	}
	summary->stranded_s =
		larger(summary->stranded_s, outcome->stranded_s_per_death);
}

static void run_all_conditions(uint64_t seed, struct summary *summary)
{
	static const struct arrival_plan *const plans[] = {&dvigalka_monday,
							   &boilercert_monday};

	/* The all-knowing ledger is BASELINE_ORACLE. */
	printf("Monday mornings: %d hosts, %d domains; refusals in %% of the "
	       "requests, against an all-knowing ledger\n",
	       FLEET_HOSTS, FLEET_DOMAINS);
	printf("%-10s %-14s %7s %7s %8s %8s %8s %9s %9s %9s %8s %7s\n", "user",
	       "condition", "asked", "best", "false", "split", "a write",
	       "overspent", "overbill", "unbilled", "s/death", "revers.");
	for (size_t i = 0; i < 2; i++)
		for (int c = 0; c < CONDITION_COUNT; c++) {
			struct outcome outcome = run_condition(
				plans[i], (enum condition)c, seed);

			print_outcome(plans[i], (enum condition)c, &outcome);
			add_outcome(summary, (enum condition)c, &outcome);
		}
}

/* A tenth of the design size: a tenth of the hosts, budgets, buckets and
 * requests, so that the load of each host is that of the design size. */
#define SCALE 10
#define DESIGN_HOSTS 330
#define SCALED_HOSTS 33
#define DESIGN_DOMAINS 6
#define DESIGN_BUDGETS 120000
#define DESIGN_BUCKETS 4096
#define DESIGN_REQUESTS_PER_S 7600
#define DESIGN_WARM_UP_US (300 * TGW_US_PER_S)
#define DESIGN_LENGTH_US (900 * TGW_US_PER_S)

static const struct arrival_kind design_kinds[] = {
	{20, 4000, 700, 20 * TGW_US_PER_S},
	{80, 800, 100, 3 * TGW_US_PER_S},
};

static double average_value_bytes(const struct fake_store_server *server)
{
	double sum = 0;

	for (size_t i = 0; i < server->key_count; i++)
		sum += (double)server->keys[i].value_size;
	return server->key_count ? sum / (double)server->key_count : 0;
}

static double run_design_size(uint64_t seed)
{
	static const struct arrival_plan plan = {
		.user = "design",
		.kinds = design_kinds,
		.kind_count = 2,
		.budgets = DESIGN_BUDGETS / SCALE,
		.zipf_exponent = 0.9,
		.requests_per_s = (double)DESIGN_REQUESTS_PER_S / SCALE,
		.burst_factor = 1,
		.length_us = DESIGN_LENGTH_US,
	};
	struct arrivals arrivals;
	struct budget_fleet *fleet = xcalloc(1, sizeof(*fleet));
	struct tgw_budget_counters before = {0};
	struct tgw_budget_counters after;
	uint64_t writes_before = 0;
	uint64_t reads_before = 0;
	double seconds = (double)(DESIGN_LENGTH_US - DESIGN_WARM_UP_US) /
			 (double)TGW_US_PER_S;
	double writes_per_s;
	double reads_per_s;
	double value_bytes;
	double peer_bytes;
	int64_t start_us;
	bool is_warm = false;

	arrivals_make(&arrivals, &plan, seed);
	budget_fleet_init(fleet, seed, DESIGN_BUCKETS / SCALE);
	fleet->keeps_requests = false;
	make_hosts(fleet, DESIGN_DOMAINS, SCALED_HOSTS);
	budget_fleet_start(fleet);
	for (uint32_t i = 0; i < plan.budgets; i++) {
		char name[TGW_NAME_SIZE];

		budget_name(name, i);
		budget_fleet_top_up(fleet, name, "first",
				    arrivals.demand_tokens[i] * 20 + 1000000);
	}
	start_us = fleet->world.now_us;
	for (size_t i = 0; i < arrivals.count; i++) {
		const struct arrival *arrival = &arrivals.items[i];
		char name[TGW_NAME_SIZE];

		if (!is_warm && arrival->at_us >= DESIGN_WARM_UP_US) {
			is_warm = true;
			before = budget_fleet_counters(fleet);
			writes_before = fleet->server.writes;
			reads_before = fleet->server.reads;
		}
		fake_world_advance(&fleet->world, start_us + arrival->at_us -
							  fleet->world.now_us);
		budget_name(name, arrival->budget);
		budget_fleet_request(choose_host(fleet, arrival->host_choice),
				     name, arrival->number,
				     arrival->bound_tokens,
				     arrival->cost_tokens, arrival->run_us);
	}
	after = budget_fleet_counters(fleet);
	writes_per_s = (double)(fleet->server.writes - writes_before) * SCALE /
		       seconds;
	reads_per_s =
		(double)(fleet->server.reads - reads_before) * SCALE / seconds;
	value_bytes = average_value_bytes(&fleet->server);
	peer_bytes = (double)(after.peer_bytes_sent - before.peer_bytes_sent) /
		     seconds / SCALED_HOSTS;
	printf("\ndesign size, run at a tenth: %d hosts, %d budgets, %d "
	       "buckets, %d requests/s; figures for the whole\n",
	       DESIGN_HOSTS, DESIGN_BUDGETS, DESIGN_BUCKETS,
	       DESIGN_REQUESTS_PER_S);
	printf("store writes/s %.0f, reads/s %.0f, ledger value %.0f bytes\n",
	       writes_per_s, reads_per_s, value_bytes);
	printf("a host: peer bytes/s %.0f in %.1f messages/s, ledger bytes/s "
	       "%.0f as base64\n",
	       peer_bytes,
	       (double)(after.peer_messages_sent - before.peer_messages_sent) /
		       seconds / SCALED_HOSTS,
	       (writes_per_s + reads_per_s) / DESIGN_HOSTS * value_bytes * 4 /
		       3);
	printf("refused: %llu exhausted, %llu unavailable, of %llu reserved\n",
	       (unsigned long long)after.refused_exhausted,
	       (unsigned long long)after.refused_unavailable,
	       (unsigned long long)after.reserved);
	budget_fleet_clear(fleet);
	arrivals_free(&arrivals);
	free(fleet);
	return writes_per_s;
}

int main(int argc, char **argv)
{
	uint64_t seed = DEFAULT_SEED;
	struct summary summary = {0};
	double writes_per_s;

	if (argc == 3 && !strcmp(argv[1], "--seed"))
		seed = strtoull(argv[2], NULL, 10);
	else if (argc != 1) {
		fprintf(stderr, "usage: measure_budget [--seed N]\n");
		return 2;
	}
	run_all_conditions(seed, &summary);
	writes_per_s = run_design_size(seed);
	printf("overspend_tokens=%lld false_refusals_connected_pct=%.3f "
	       "false_refusals_partition_pct=%.3f "
	       "baseline_split_false_refusals_partition_pct=%.3f "
	       "stranded_s_per_death=%.2f "
	       "store_writes_per_s_at_design_size=%.0f billed_twice=%lld "
	       "billed_never=%lld\n",
	       (long long)summary.overspend_tokens, summary.connected_pct,
	       summary.partition_pct, summary.split_pct, summary.stranded_s,
	       writes_per_s, (long long)summary.billed_twice_tokens,
	       (long long)summary.billed_never_tokens);
	return 0;
}
