/* The scenario language of prepaid budgets, for tests/scenarios/budget. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/budget_fleet.h"
#include "scenario/scenario.h"

#define BUCKETS 4

struct budget_world {
	struct budget_fleet fleet;
	uint64_t next_number;
};

static struct fleet_host *host_of(struct budget_world *world,
				  const struct scenario_step *step, size_t word)
{
	struct fleet_host *host =
		budget_fleet_find(&world->fleet, step->words[word]);

	if (!host)
		scenario_fail(step, "there is no host '%s'", step->words[word]);
	return host;
}

static int64_t number_option(const struct scenario_step *step, const char *name,
			     const char *fallback)
{
	return strtoll(scenario_option(step, name, fallback), NULL, 10);
}

/* fleet DOMAINS HOSTS seed=N: hosts a1, a2, ... b1, ... */
static void run_fleet(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	int64_t domains = scenario_number(step, 1);
	int64_t hosts = scenario_number(step, 2);

	budget_fleet_init(&world->fleet,
			  (uint64_t)number_option(step, "seed", "1"), BUCKETS);
	for (int64_t d = 0; d < domains; d++)
		for (int64_t h = 1; h <= hosts; h++) {
			char name[TGW_NAME_SIZE];
			char domain[2] = "";

			domain[0] = (char)('a' + d);
			snprintf(name, sizeof(name), "%s%d", domain, (int)h);
			budget_fleet_add(&world->fleet, name, domain);
		}
	budget_fleet_start(&world->fleet);
}

static void run_advance(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	fake_world_advance(&world->fleet.world, scenario_time_us(step, 1));
}

static void run_top_up(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	budget_fleet_top_up(&world->fleet, step->words[1], step->words[2],
			    scenario_number(step, 3));
}

/* request HOST BUDGET [key=N] [bound=N] [cost=N] [run=MS]: makes a request and
 * prints its outcome 4 s later. */
static void run_request(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct fleet_host *host = host_of(world, step, 1);
	int64_t number = number_option(step, "key", "0");
	struct fleet_request *request;

	if (!number)
		number = (int64_t)(1000000 + ++world->next_number);
	request = budget_fleet_request(host, step->words[2], (uint64_t)number,
				       number_option(step, "bound", "100"),
				       number_option(step, "cost", "60"),
				       number_option(step, "run", "1000") *
					       TGW_US_PER_MS);
	fake_world_advance(&world->fleet.world, 4 * TGW_US_PER_S);
	if (request->state == FLEET_REPLAYED)
		printf("already settled\n");
	else
		printf("%s%s\n", tgw_status_name(request->status),
		       request->reuses_reservation ? ", already reserved" : "");
}

/* load BUDGET COUNT [bound=N] [cost=N] [hosts=PREFIX] [gap=MS]: spreads COUNT
 * requests over the running hosts whose names start with PREFIX, and prints how
 * many were granted. */
static void run_load(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct budget_fleet *fleet = &world->fleet;
	const char *prefix = scenario_option(step, "hosts", "");
	int64_t count = scenario_number(step, 2);
	int64_t gap_us = number_option(step, "gap", "100") * TGW_US_PER_MS;
	size_t first = fleet->request_count;
	size_t at = 0;
	int64_t granted = 0;

	for (int64_t i = 0; i < count; i++) {
		struct fleet_host *host;

		do {
			host = fleet->hosts[at++ % fleet->host_count];
		} while (!host->is_up || host->is_paused || host->is_leaving ||
			 strncmp(host->name, prefix, strlen(prefix)));
		budget_fleet_request(host, step->words[1],
				     1000000 + ++world->next_number,
				     number_option(step, "bound", "100"),
				     number_option(step, "cost", "60"),
				     TGW_US_PER_S);
		fake_world_advance(&fleet->world, gap_us);
	}
	fake_world_advance(&fleet->world, 4 * TGW_US_PER_S);
	for (size_t i = first; i < fleet->request_count; i++)
		if (fleet->requests[i]->status == TGW_OK)
			granted++;
	printf("%lld of %lld granted\n", (long long)granted, (long long)count);
}

static void run_kill(void *arg, const struct scenario_step *step)
{
	budget_fleet_kill(host_of(arg, step, 1));
}

static void run_restart(void *arg, const struct scenario_step *step)
{
	budget_fleet_restart(host_of(arg, step, 1));
}

static void run_pause(void *arg, const struct scenario_step *step)
{
	budget_fleet_pause(host_of(arg, step, 1), true);
}

static void run_resume(void *arg, const struct scenario_step *step)
{
	budget_fleet_pause(host_of(arg, step, 1), false);
}

/* drain HOST: a planned stop; prints after 10 s whether the host is drained,
 * and kills it. */
static void run_drain(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct fleet_host *host = host_of(world, step, 1);

	budget_fleet_drain(host);
	fake_world_advance(&world->fleet.world, 10 * TGW_US_PER_S);
	printf("%s\n",
	       tgw_budget_is_drained(host->agent) ? "drained" : "not drained");
	budget_fleet_kill(host);
}

/* cut DOMAIN GROUP: the domain reaches only hosts of the same group. */
static void run_cut(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	budget_fleet_set_group(&world->fleet, step->words[1],
			       (size_t)scenario_number(step, 2));
}

/* heal DOMAIN: ends the partitions that cut and cut-store started. */
static void run_heal(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	budget_fleet_set_group(&world->fleet, step->words[1], 0);
	budget_fleet_partition_store(&world->fleet, step->words[1], false);
}

static void run_cut_store(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	budget_fleet_partition_store(&world->fleet, step->words[1], true);
}

static void run_outage(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	fake_store_server_set_outage(&world->fleet.server,
				     !strcmp(step->words[1], "on"));
}

/* lose-answers HOST COUNT: the host's next writes to the store take effect, but
 * their responses are lost. */
static void run_lose_answers(void *arg, const struct scenario_step *step)
{
	host_of(arg, step, 1)->store.lose_answers =
		(unsigned int)scenario_number(step, 2);
}

/* lose-requests HOST COUNT: the host's next writes are lost without effect. */
static void run_lose_requests(void *arg, const struct scenario_step *step)
{
	host_of(arg, step, 1)->store.lose_requests =
		(unsigned int)scenario_number(step, 2);
}

/* net [lose=N] [double=N] [jitter=MS]: how many of 1000 messages are lost and
 * duplicated, and the maximum random delay. */
static void run_net(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct fake_net *net = &world->fleet.net;

	net->loss_per_1000 = (uint32_t)number_option(step, "lose", "0");
	net->duplicate_per_1000 = (uint32_t)number_option(step, "double", "0");
	net->jitter_us = number_option(step, "jitter", "0") * TGW_US_PER_MS;
}

/* slow-store MS: sets the latency of the store. */
static void run_slow_store(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;

	world->fleet.server.latency_us =
		scenario_number(step, 1) * TGW_US_PER_MS;
}

static void run_balance(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct fleet_balance balance;
	bool is_valid =
		budget_fleet_balance(&world->fleet, step->words[1], &balance);

	printf("paid %lld, true cost %lld, ledger %s\n",
	       (long long)balance.paid_in_tokens,
	       (long long)budget_fleet_true_cost(&world->fleet, step->words[1]),
	       is_valid ? "sound" : "BROKEN");
	printf("open lines %zu settled %lld; closed lines %zu; charged %lld\n",
	       balance.open_lines, (long long)balance.settled_tokens,
	       balance.closed_lines, (long long)balance.charged_tokens);
}

/* bill BUDGET: drains all running hosts after 90 s, and prints the tokens
 * charged to the budget 60 s later as its bill. */
static void run_bill(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct budget_fleet *fleet = &world->fleet;
	struct fleet_balance balance;
	int64_t cost;

	fake_world_advance(&fleet->world, 90 * TGW_US_PER_S);
	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i]->is_up)
			budget_fleet_drain(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 60 * TGW_US_PER_S);
	budget_fleet_balance(fleet, step->words[1], &balance);
	cost = budget_fleet_true_cost(fleet, step->words[1]);
	printf("paid %lld, true cost %lld, billed %lld, open lines %zu\n",
	       (long long)balance.paid_in_tokens, (long long)cost,
	       (long long)balance.charged_tokens, balance.open_lines);
}

static void run_counters(void *arg, const struct scenario_step *step)
{
	struct budget_world *world = arg;
	struct tgw_budget_counters counters =
		budget_fleet_counters(&world->fleet);

	printf("write-offs %llu, read-backs %llu, reversed %llu, duplicates "
	       "%llu, by bound %llu\n",
	       (unsigned long long)counters.write_offs,
	       (unsigned long long)counters.ledger_read_backs,
	       (unsigned long long)counters.reversed_duplicates,
	       (unsigned long long)counters.duplicate_keys,
	       (unsigned long long)counters.settled_bound);
}

static const struct scenario_verb verbs[] = {
	{"fleet", 2, 3, run_fleet},
	{"advance", 1, 1, run_advance},
	{"top-up", 3, 3, run_top_up},
	{"request", 2, 6, run_request},
	{"load", 2, 6, run_load},
	{"kill", 1, 1, run_kill},
	{"restart", 1, 1, run_restart},
	{"pause", 1, 1, run_pause},
	{"resume", 1, 1, run_resume},
	{"drain", 1, 1, run_drain},
	{"cut", 2, 2, run_cut},
	{"cut-store", 1, 1, run_cut_store},
	{"heal", 1, 1, run_heal},
	{"outage", 1, 1, run_outage},
	{"lose-answers", 2, 2, run_lose_answers},
	{"lose-requests", 2, 2, run_lose_requests},
	{"net", 0, 3, run_net},
	{"slow-store", 1, 1, run_slow_store},
	{"balance", 1, 1, run_balance},
	{"bill", 1, 1, run_bill},
	{"counters", 0, 0, run_counters},
	{NULL, 0, 0, NULL},
};

int main(int argc, char **argv)
{
	struct budget_world world = {0};
	int status;

	if (argc != 2)
		return 2;
	status = scenario_run(argv[1], verbs, &world);
	if (world.fleet.host_count)
		budget_fleet_clear(&world.fleet);
	return status;
}
