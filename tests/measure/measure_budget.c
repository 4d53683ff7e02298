/* Overspend, false refusals, what deaths strand, and what it costs: the
 * budget agents on virtual time, against other ledgers on the same arrivals.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/budget_fleet.h"
#include "measure/budget_arrivals.h"
#include "measure/budget_baselines.h"

#define DEFAULT_SEED 1
#define TODAY_DOMAINS 4
#define TODAY_HOSTS 8
#define TODAY_BUCKETS 64
#define FAULT_FROM_US (1800 * TGW_US_PER_S)
#define FAULT_TO_US (5400 * TGW_US_PER_S)
#define KILL_EVERY_US (600 * TGW_US_PER_S)
#define REPLACE_AFTER_US (60 * TGW_US_PER_S)
/* Every fourth budget holds less than the morning asks for. */
#define PLENTY_PERCENT 150
#define SHORT_PERCENT 80
#define SHORT_EACH 4
#define MAX_BUDGETS 64

enum condition {
	CONNECTED,
	STORE_OUT,
	CUT_OFF,
	DYING,
	CONDITION_COUNT,
};

static const char *const condition_names[] = {"connected", "store out",
					      "domain cut off", "hosts dying"};

struct outcome {
	uint32_t asked;
	uint32_t served_best;
	uint32_t false_refusals; /**< fewer served than the best ledger */
	uint32_t false_split;
	uint32_t false_store;
	int64_t overspend_tokens;
	int64_t overbilled_tokens;
	int64_t underbilled_tokens;
	uint32_t deaths;
	double stranded_s_per_death;
	struct tgw_budget_counters counters;
};

struct morning {
	const struct arrival_plan *plan;
	enum condition condition;
	struct arrivals arrivals;
	int64_t paid_tokens[MAX_BUDGETS];
	struct budget_fleet fleet;
	uint32_t abandoned[MAX_BUDGETS];
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

static struct fleet_host *place(struct budget_fleet *fleet, uint32_t point)
{
	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host =
			fleet->hosts[(point + i) % fleet->host_count];

		if (host->is_up && !host->is_leaving)
			return host;
	}
	return NULL;
}

static void start_morning(struct morning *morning, uint64_t seed)
{
	uint32_t budgets = morning->plan->budgets;

	arrivals_make(&morning->arrivals, morning->plan, seed);
	budget_fleet_init(&morning->fleet, seed, TODAY_BUCKETS);
	make_hosts(&morning->fleet, TODAY_DOMAINS, TODAY_HOSTS);
	budget_fleet_start(&morning->fleet);
	for (uint32_t i = 0; i < budgets; i++) {
		char name[TGW_NAME_SIZE];
		int64_t percent = i % SHORT_EACH == SHORT_EACH - 1
					  ? SHORT_PERCENT
					  : PLENTY_PERCENT;

		morning->paid_tokens[i] =
			morning->arrivals.demand_tokens[i] * percent / 100;
		budget_name(name, i);
		budget_fleet_top_up(&morning->fleet, name, "monday",
				    morning->paid_tokens[i]);
	}
}

static void set_fault(struct morning *morning, bool on)
{
	if (morning->condition == STORE_OUT)
		fake_store_server_set_outage(&morning->fleet.server, on);
	if (morning->condition == CUT_OFF) {
		budget_fleet_set_group(&morning->fleet, "d0", on);
		budget_fleet_partition_store(&morning->fleet, "d0", on);
	}
}

/* Kills one host after the other, each replaced a minute later. */
static void do_deaths(struct morning *morning, int64_t before_us,
		      int64_t now_us)
{
	struct budget_fleet *fleet = &morning->fleet;
	int64_t late_us = now_us - REPLACE_AFTER_US;
	int64_t late_before_us = before_us - REPLACE_AFTER_US;

	if (morning->condition != DYING)
		return;
	if (now_us / KILL_EVERY_US != before_us / KILL_EVERY_US)
		budget_fleet_kill(
			fleet->hosts[morning->deaths++ % fleet->host_count]);
	if (late_before_us > 0 &&
	    late_us / KILL_EVERY_US != late_before_us / KILL_EVERY_US)
		budget_fleet_restart(fleet->hosts[(morning->deaths - 1) %
						  fleet->host_count]);
}

static void run_arrivals(struct morning *morning)
{
	struct budget_fleet *fleet = &morning->fleet;
	int64_t start_us = fleet->world.now_us;
	int64_t before_us = 0;

	for (size_t i = 0; i < morning->arrivals.count; i++) {
		const struct arrival *arrival = &morning->arrivals.items[i];
		char name[TGW_NAME_SIZE];

		fake_world_advance(&fleet->world, start_us + arrival->at_us -
							  fleet->world.now_us);
		if (before_us < FAULT_FROM_US &&
		    arrival->at_us >= FAULT_FROM_US)
			set_fault(morning, true);
		if (before_us < FAULT_TO_US && arrival->at_us >= FAULT_TO_US)
			set_fault(morning, false);
		do_deaths(morning, before_us, arrival->at_us);
		before_us = arrival->at_us;
		budget_name(name, arrival->budget);
		budget_fleet_request(place(fleet, arrival->place), name,
				     arrival->number, arrival->bound_tokens,
				     arrival->cost_tokens, arrival->run_us);
	}
	set_fault(morning, false);
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!fleet->hosts[i]->is_up)
			budget_fleet_restart(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 240 * TGW_US_PER_S);
}

static void count_served(struct morning *morning)
{
	struct budget_fleet *fleet = &morning->fleet;

	for (size_t i = 0; i < fleet->request_count; i++) {
		const struct fleet_request *request = fleet->requests[i];
		uint32_t budget =
			(uint32_t)strtoul(request->budget + 5, NULL, 10);

		if (request->state == FLEET_ABANDONED)
			morning->abandoned[budget]++;
		else if (request->status == TGW_OK)
			morning->served[budget]++;
	}
}

static uint32_t shortfall(const uint32_t *best, const uint32_t *served,
			  const uint32_t *excused, uint32_t budgets)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < budgets; i++)
		if (best[i] > served[i] + excused[i])
			sum += best[i] - served[i] - excused[i];
	return sum;
}

static void compare(struct morning *morning, struct outcome *outcome)
{
	static const uint32_t nobody[MAX_BUDGETS];
	uint32_t budgets = morning->plan->budgets;
	uint32_t best[MAX_BUDGETS];
	uint32_t other[MAX_BUDGETS];
	struct baseline_faults faults = {
		.hosts = TODAY_HOSTS,
		.from_us = FAULT_FROM_US,
		.to_us = FAULT_TO_US,
		.store_is_out = morning->condition == STORE_OUT,
		.first_is_cut_off = morning->condition == CUT_OFF,
	};

	baseline_run(BASELINE_ALL_KNOWING, &morning->arrivals, budgets,
		     morning->paid_tokens, &faults, best);
	for (uint32_t i = 0; i < budgets; i++)
		outcome->served_best += best[i];
	outcome->asked = (uint32_t)morning->arrivals.count;
	outcome->false_refusals =
		shortfall(best, morning->served, morning->abandoned, budgets);
	baseline_run(BASELINE_FIXED_SPLIT, &morning->arrivals, budgets,
		     morning->paid_tokens, &faults, other);
	outcome->false_split = shortfall(best, other, nobody, budgets);
	baseline_run(BASELINE_STORE_WRITE, &morning->arrivals, budgets,
		     morning->paid_tokens, &faults, other);
	outcome->false_store = shortfall(best, other, nobody, budgets);
}

static int64_t positive(int64_t tokens)
{
	return tokens > 0 ? tokens : 0;
}

/* Stops all hosts as planned; what is not free then was billed. */
static void settle_bills(struct morning *morning, struct outcome *outcome)
{
	struct budget_fleet *fleet = &morning->fleet;
	int64_t demand_tokens = 0;
	int64_t difference = 0;

	for (size_t i = 0; i < fleet->host_count; i++)
		budget_fleet_drain(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 120 * TGW_US_PER_S);
	for (uint32_t i = 0; i < morning->plan->budgets; i++) {
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
		difference += positive(balance.charged_tokens - cost);
		demand_tokens += cost;
	}
	outcome->deaths = morning->deaths;
	if (!morning->deaths) {
		outcome->overbilled_tokens = difference;
		return;
	}
	outcome->stranded_s_per_death =
		(double)difference / morning->deaths /
		((double)demand_tokens / TODAY_HOSTS /
		 ((double)morning->plan->length_us / (double)TGW_US_PER_S));
}

static struct outcome run_morning(const struct arrival_plan *plan,
				  enum condition condition, uint64_t seed)
{
	struct morning *morning = xcalloc(1, sizeof(*morning));
	struct outcome outcome = {0};

	morning->plan = plan;
	morning->condition = condition;
	start_morning(morning, seed);
	run_arrivals(morning);
	count_served(morning);
	compare(morning, &outcome);
	outcome.counters = budget_fleet_counters(&morning->fleet);
	settle_bills(morning, &outcome);
	budget_fleet_clear(&morning->fleet);
	arrivals_free(&morning->arrivals);
	free(morning);
	return outcome;
}

static double percent(uint32_t part, uint32_t whole)
{
	return whole ? 100.0 * part / whole : 0;
}

static void print_outcome(const struct arrival_plan *plan,
			  enum condition condition,
			  const struct outcome *outcome)
{
	printf("%-10s %-14s %7u %7u %8.3f %8.3f %8.3f %9lld %9lld %9lld "
	       "%8.2f %7llu\n",
	       plan->user, condition_names[condition], outcome->asked,
	       outcome->served_best,
	       percent(outcome->false_refusals, outcome->asked),
	       percent(outcome->false_split, outcome->asked),
	       percent(outcome->false_store, outcome->asked),
	       (long long)outcome->overspend_tokens,
	       (long long)outcome->overbilled_tokens,
	       (long long)outcome->underbilled_tokens,
	       outcome->stranded_s_per_death,
	       (unsigned long long)outcome->counters.reversed_duplicates);
}

/* What the last line sums up. */
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
	double false_pct = percent(outcome->false_refusals, outcome->asked);

	summary->overspend_tokens += outcome->overspend_tokens;
	summary->billed_twice_tokens += outcome->overbilled_tokens;
	summary->billed_never_tokens += outcome->underbilled_tokens;
	if (condition == CONNECTED)
		summary->connected_pct =
			larger(summary->connected_pct, false_pct);
	if (condition == STORE_OUT || condition == CUT_OFF) {
		summary->partition_pct =
			larger(summary->partition_pct, false_pct);
		summary->split_pct =
			larger(summary->split_pct,
			       percent(outcome->false_split, outcome->asked));
	}
	summary->stranded_s =
		larger(summary->stranded_s, outcome->stranded_s_per_death);
}

static void run_mornings(uint64_t seed, struct summary *summary)
{
	static const struct arrival_plan *const plans[] = {&dvigalka_monday,
							   &boilercert_monday};

	printf("Monday mornings: %d hosts, %d domains; refusals in %% of the "
	       "requests, against an all-knowing ledger\n",
	       TODAY_HOSTS, TODAY_DOMAINS);
	printf("%-10s %-14s %7s %7s %8s %8s %8s %9s %9s %9s %8s %7s\n", "user",
	       "condition", "asked", "best", "false", "split", "a write",
	       "overspent", "overbill", "unbilled", "s/death", "revers.");
	for (size_t i = 0; i < 2; i++)
		for (int c = 0; c < CONDITION_COUNT; c++) {
			struct outcome outcome =
				run_morning(plans[i], (enum condition)c, seed);

			print_outcome(plans[i], (enum condition)c, &outcome);
			add_outcome(summary, (enum condition)c, &outcome);
		}
}

/* A tenth of the design size: each host has as much to do as there. */
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
		.skew = 0.9,
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
		budget_fleet_request(place(fleet, arrival->place), name,
				     arrival->number, arrival->bound_tokens,
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
	run_mornings(seed, &summary);
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
