#include "fakes/budget_random_run.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "fakes/budget_fleet.h"

#define STEPS 400
#define DOMAINS 3
#define BUDGETS 3
#define BUCKETS 2
#define INITIAL_TOP_UP_TOKENS 6000
#define TOP_UP_TOKENS 1500

struct run {
	struct budget_fleet fleet;
	struct tgw_random random;
	enum budget_random_faults faults;
	struct budget_random_extras extras;
	uint64_t seed;
	uint64_t next_number;
	uint64_t top_up_count;
	size_t kills;
};

static uint64_t random_below(struct run *run, uint64_t bound)
{
	return tgw_random_below(&run->random, bound);
}

static const char *budget_name(uint64_t index)
{
	static const char *const names[BUDGETS] = {"acme", "bravo", "coda"};

	return names[index];
}

static void top_up(struct run *run, uint64_t budget, int64_t tokens)
{
	char id[32];

	snprintf(id, sizeof(id), "pay-%d", (int)++run->top_up_count);
	budget_fleet_top_up(&run->fleet, budget_name(budget), id, tokens);
}

static void start_run(struct run *run, uint64_t seed,
		      enum budget_random_faults faults)
{
	memset(run, 0, sizeof(*run));
	run->seed = seed;
	run->faults = faults;
	tgw_random_init(&run->random,
			seed * BUDGET_RANDOM_FAULTS_COUNT + faults);
	budget_fleet_init(&run->fleet, seed, BUCKETS);
	for (int d = 0; d < DOMAINS; d++) {
		char domain[2] = {(char)('a' + d), '\0'};
		uint64_t hosts = 1 + random_below(run, 3);

		for (uint64_t h = 0; h < hosts; h++) {
			char name[8];

			snprintf(name, sizeof(name), "%s%u", domain,
				 (unsigned int)(h & 7));
			budget_fleet_add(&run->fleet, name, domain);
		}
	}
	budget_fleet_start(&run->fleet);
	for (uint64_t i = 0; i < BUDGETS; i++)
		top_up(run, i, INITIAL_TOP_UP_TOKENS);
}

static struct fleet_host *pick_host(struct run *run)
{
	return run->fleet.hosts[random_below(run, run->fleet.host_count)];
}

static void do_request(struct run *run)
{
	struct fleet_host *host = pick_host(run);
	uint64_t number = ++run->next_number;
	int64_t bound;
	int64_t cost;
	int64_t run_us =
		TGW_US_PER_MS + (int64_t)random_below(run, 5 * TGW_US_PER_S);
	struct fleet_request *request;

	if (!host->is_up || host->is_paused || host->is_leaving)
		return;
	if (run->faults != BUDGET_RANDOM_TRANSIENT && number > 4 &&
	    !random_below(run, 4))
		number -= 1 + random_below(run, 4);
	/* Both are derived from the number, so that a retry has the same bound
	 * and cost as its request. */
	bound = 20 + (int64_t)(number * 7919 % 200);
	cost = 1 + (int64_t)(number * 104729 % (uint64_t)bound);
	request = budget_fleet_request(host, budget_name(number % BUDGETS),
				       number, bound, cost, run_us);
	if (run->extras.truncates_runs && run_us % 3 == 0) {
		request->is_partial = true;
		request->cost_tokens = 1 + cost / 2;
	}
}

static void do_host_fault(struct run *run)
{
	struct fleet_host *host = pick_host(run);
	uint64_t kind =
		random_below(run, run->faults == BUDGET_RANDOM_DEATHS ? 5 : 3);

	if (host->is_leaving)
		return;
	if (!host->is_up) {
		budget_fleet_restart(host);
	} else if (host->is_paused || kind == 0) {
		budget_fleet_pause(host, !host->is_paused);
	} else if (kind == 1) {
		host->store.lose_answers = (unsigned int)random_below(run, 3);
	} else if (kind == 2) {
		host->store.lose_requests = (unsigned int)random_below(run, 3);
	} else {
		run->kills++;
		budget_fleet_kill(host);
		if (kind == 4)
			budget_fleet_restart(host);
	}
}

static void do_network_fault(struct run *run)
{
	char domain[2] = {(char)('a' + random_below(run, DOMAINS)), '\0'};

	switch (random_below(run, run->extras.splits_domains ? 6 : 5)) {
	case 0:
		budget_fleet_set_group(&run->fleet, domain,
				       random_below(run, 3));
		break;
	case 1:
		budget_fleet_partition_store(&run->fleet, domain,
					     random_below(run, 2));
		break;
	case 2:
		fake_store_server_set_outage(&run->fleet.server,
					     !random_below(run, 3));
		break;
	case 3:
		run->fleet.net.loss_per_1000 = (uint32_t)random_below(run, 200);
		run->fleet.net.duplicate_per_1000 =
			(uint32_t)random_below(run, 200);
		run->fleet.net.jitter_us = (int64_t)random_below(run, 50000);
		break;
	case 4:
		run->fleet.server.latency_us =
			(int64_t)random_below(run, 400000);
		break;
	default:
		/* Partitions a host from its failure domain while both sides
		 * reach the store. */
		pick_host(run)->end.group = random_below(run, 3);
		break;
	}
}

static void check_invariants(struct run *run)
{
	for (uint64_t i = 0; i < BUDGETS; i++) {
		struct fleet_balance balance;
		int64_t cost =
			budget_fleet_true_cost(&run->fleet, budget_name(i));

		ck_assert_msg(
			budget_fleet_balance(&run->fleet, budget_name(i),
					     &balance),
			"seed %d: the ledger bucket violates its invariant",
			(int)run->seed);
		ck_assert_msg(cost <= balance.paid_in_tokens,
			      "seed %d: %s spent %lld of %lld", (int)run->seed,
			      budget_name(i), (long long)cost,
			      (long long)balance.paid_in_tokens);
	}
}

static void step(struct run *run)
{
	uint64_t kind = random_below(run, 100);
	int64_t max_us = random_below(run, 20) ? TGW_US_PER_S
					       : 40 * TGW_US_PER_S;

	if (kind < 84)
		do_request(run);
	else if (kind < 90)
		do_host_fault(run);
	else if (kind < 96)
		do_network_fault(run);
	else
		top_up(run, random_below(run, BUDGETS), TOP_UP_TOKENS);
	fake_world_advance(&run->fleet.world,
			   (int64_t)random_below(run, (uint64_t)max_us));
	check_invariants(run);
}

static void remove_faults(struct run *run)
{
	struct budget_fleet *fleet = &run->fleet;

	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host = fleet->hosts[i];

		host->end.group = 0;
		host->store.lose_answers = 0;
		host->store.lose_requests = 0;
		fake_store_set_partitioned(&host->store, false);
		if (host->is_paused)
			budget_fleet_pause(host, false);
		if (!host->is_up)
			budget_fleet_restart(host);
	}
	fleet->net.loss_per_1000 = 0;
	fleet->net.duplicate_per_1000 = 0;
	fleet->net.jitter_us = 0;
	fake_store_server_set_outage(&fleet->server, false);
	fleet->server.latency_us = 3000;
	fake_world_advance(&fleet->world, 180 * TGW_US_PER_S);
	check_invariants(run);
}

/* Drains all hosts, so that no line stays open and all tokens that are not free
 * were charged. */
static void check_charges(struct run *run)
{
	struct budget_fleet *fleet = &run->fleet;

	for (size_t i = 0; i < fleet->host_count; i++)
		budget_fleet_drain(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 120 * TGW_US_PER_S);
	for (uint64_t i = 0; i < BUDGETS; i++) {
		struct fleet_balance balance;
		int64_t cost = budget_fleet_true_cost(fleet, budget_name(i));

		budget_fleet_balance(fleet, budget_name(i), &balance);
		ck_assert_msg(!balance.open_lines,
			      "seed %d: after the drain a ledger line of %s is "
			      "still open",
			      (int)run->seed, budget_name(i));
		ck_assert_msg(
			balance.charged_tokens >= cost &&
				(run->kills || balance.charged_tokens == cost),
			"seed %d faults %d: %s cost %lld, charged %lld",
			(int)run->seed, (int)run->faults, budget_name(i),
			(long long)cost, (long long)balance.charged_tokens);
	}
}

void budget_random_run(uint64_t seed, enum budget_random_faults faults,
		       struct budget_random_extras extras)
{
	struct run run;

	start_run(&run, seed, faults);
	run.extras = extras;
	for (int i = 0; i < STEPS; i++)
		step(&run);
	remove_faults(&run);
	check_charges(&run);
	budget_fleet_clear(&run.fleet);
}
