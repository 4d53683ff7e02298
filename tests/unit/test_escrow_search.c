/* Tests that one or two faults never lead to an overspent budget or a wrong
 * charge. Injects every combination of up to two faults into a short run of a
 * failure domain's holder and witness. The faults are crashes, pauses longer
 * than every timeout, and lost responses and lost requests of store calls; each
 * is injected at every message and every store operation. */
#include <stdio.h>
#include <string.h>

#include "fakes/budget_fleet.h"
#include "unit/unit_main.h"

#define BUDGET "acme"
#define PAID_TOKENS 400
#define REQUESTS 6
#define BOUND_TOKENS 100
#define COST_TOKENS 45
#define REQUEST_GAP_US (INT64_C(150) * TGW_US_PER_MS)
#define RUN_US (INT64_C(1500) * TGW_US_PER_MS)
#define PAUSE_US (16 * TGW_US_PER_S)
#define POINTS_MAX 400

enum fault_kind {
	FAULT_LOSE_RESPONSE,
	FAULT_LOSE_REQUEST,
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_KIND_COUNT,
};

struct fault {
	size_t point;
	enum fault_kind kind;
	size_t host; /* index of one of the first domain's two hosts */
};

struct search {
	struct budget_fleet fleet;
	const struct fault *faults;
	size_t fault_count;
	size_t points;	     /* injection points passed so far */
	uint64_t operations; /* messages and store operations so far */
	size_t requests;
	bool killed;
};

static void apply(struct search *search, const struct fault *fault)
{
	struct fleet_host *host = search->fleet.hosts[fault->host];

	if (!host->is_up)
		return;
	switch (fault->kind) {
	case FAULT_LOSE_RESPONSE:
		host->store.lose_answers = 1;
		break;
	case FAULT_LOSE_REQUEST:
		host->store.lose_requests = 1;
		break;
	case FAULT_PAUSE:
		budget_fleet_pause(host, true);
		break;
	default:
		search->killed = true;
		budget_fleet_kill(host);
		break;
	}
}

static void check(struct search *search)
{
	struct fleet_balance balance;
	bool is_sound = budget_fleet_balance(&search->fleet, BUDGET, &balance);
	int64_t cost = budget_fleet_true_cost(&search->fleet, BUDGET);

	ck_assert_msg(is_sound && cost <= balance.paid_in_tokens,
		      "faults at %zu and %zu: spent %lld of %lld",
		      search->faults[0].point,
		      search->faults[search->fault_count - 1].point,
		      (long long)cost, (long long)balance.paid_in_tokens);
}

static void pass_point(struct search *search)
{
	search->points++;
	for (size_t i = 0; i < search->fault_count; i++)
		if (search->faults[i].point == search->points)
			apply(search, &search->faults[i]);
	check(search);
}

static void request_if_due(struct search *search, int64_t start_us)
{
	struct budget_fleet *fleet = &search->fleet;
	struct fleet_host *host = fleet->hosts[search->requests % 3];

	if (search->requests == REQUESTS ||
	    fleet->world.now_us - start_us <
		    (int64_t)search->requests * REQUEST_GAP_US)
		return;
	search->requests++;
	if (host->is_up && !host->is_paused)
		budget_fleet_request(host, BUDGET, search->requests,
				     BOUND_TOKENS, COST_TOKENS,
				     2 * REQUEST_GAP_US);
}

static void run_until(struct search *search, int64_t length_us)
{
	struct budget_fleet *fleet = &search->fleet;
	int64_t start_us = fleet->world.now_us;

	while (fake_world_step(&fleet->world, start_us + length_us)) {
		uint64_t operations = fleet->net.messages +
				      fleet->server.reads +
				      fleet->server.writes;

		request_if_due(search, start_us);
		if (operations == search->operations)
			continue;
		search->operations = operations;
		pass_point(search);
	}
}

/* Drains all hosts and checks the charges. Without a kill, exactly the true
 * cost is charged; with one, at least that. */
static void finish(struct search *search)
{
	struct budget_fleet *fleet = &search->fleet;
	struct fleet_balance balance;
	int64_t cost;

	fake_world_advance(&fleet->world, PAUSE_US);
	for (size_t i = 0; i < fleet->host_count; i++) {
		if (fleet->hosts[i]->is_paused)
			budget_fleet_pause(fleet->hosts[i], false);
		if (!fleet->hosts[i]->is_up)
			budget_fleet_restart(fleet->hosts[i]);
	}
	fake_world_advance(&fleet->world, 45 * TGW_US_PER_S);
	check(search);
	for (size_t i = 0; i < fleet->host_count; i++)
		budget_fleet_drain(fleet->hosts[i]);
	fake_world_advance(&fleet->world, 20 * TGW_US_PER_S);
	budget_fleet_balance(fleet, BUDGET, &balance);
	cost = budget_fleet_true_cost(fleet, BUDGET);
	ck_assert_msg(
		balance.charged_tokens >= cost &&
			(search->killed || balance.charged_tokens == cost),
		"faults %d and %d at %zu and %zu: cost %lld, charged %lld",
		(int)search->faults[0].kind,
		(int)search->faults[search->fault_count - 1].kind,
		search->faults[0].point,
		search->faults[search->fault_count - 1].point, (long long)cost,
		(long long)balance.charged_tokens);
}

/* @return the number of injection points that the run passed */
static size_t run(const struct fault *faults, size_t fault_count)
{
	struct search search = {.faults = faults, .fault_count = fault_count};

	budget_fleet_init(&search.fleet, 1, 1);
	budget_fleet_add(&search.fleet, "a1", "a");
	budget_fleet_add(&search.fleet, "a2", "a");
	budget_fleet_add(&search.fleet, "b1", "b");
	search.fleet.gone_after_us = 5 * TGW_US_PER_S;
	budget_fleet_start(&search.fleet);
	budget_fleet_top_up(&search.fleet, BUDGET, "pay-1", PAID_TOKENS);
	run_until(&search, RUN_US);
	finish(&search);
	budget_fleet_clear(&search.fleet);
	return search.points;
}

static struct fault fault_of(size_t number)
{
	return (struct fault){
		.point = 1 + number / (2 * FAULT_KIND_COUNT),
		.kind = (enum fault_kind)(number / 2 % FAULT_KIND_COUNT),
		.host = number % 2,
	};
}

static size_t count_faults(void)
{
	const struct fault none = {0};
	size_t points = run(&none, 1);

	ck_assert_uint_gt(points, 20);
	ck_assert_uint_lt(points, POINTS_MAX);
	return points * 2 * FAULT_KIND_COUNT;
}

START_TEST(no_single_fault_overspends_or_mischarges)
{
	size_t count = count_faults();

	for (size_t i = 0; i < count; i++) {
		struct fault fault = fault_of(i);

		run(&fault, 1);
	}
}
END_TEST

/* The pairs of faults are split into this many cases, by the first fault. */
#define PAIR_CASES 16

START_TEST(no_two_faults_overspend_or_mischarge)
{
	size_t count = count_faults();

	for (size_t i = (size_t)_i; i < count; i += PAIR_CASES)
		for (size_t j = i + 1; j < count; j++) {
			struct fault faults[] = {fault_of(i), fault_of(j)};

			run(faults, 2);
		}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("escrow_search");
	TCase *tcase = tcase_create("search");

	tcase_set_timeout(tcase, 250);
	tcase_add_test(tcase, no_single_fault_overspends_or_mischarges);
	tcase_add_loop_test(tcase, no_two_faults_overspend_or_mischarge, 0,
			    PAIR_CASES);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
