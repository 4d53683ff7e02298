/**
 * @file measure_route.c
 * Measures the router in virtual time on Monday's burst: against a random
 * choice and the least reported load on the same arrivals, then with faults.
 * Also measures bookings under faults and the store calls of claims.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "measure/booking_run.h"
#include "measure/route_run.h"

#define SEEDS_DEFAULT 2

static const char *const policy_names[POLICY_COUNT] = {"router", "random",
						       "least load"};
static const struct route_faults no_faults;
static uint64_t seeds = SEEDS_DEFAULT;

struct totals {
	struct route_result policies[POLICY_COUNT];
	struct route_result faulty;
	uint64_t max_servers_lost;
	double best_hit_ratio; /**< sum over fleets */
	double hit_ratio;      /**< sum over fleets */
	int fleets;
};

/* All members of struct route_result have 64 bits. */
static void add_result(struct route_result *sum,
		       const struct route_result *result)
{
	uint64_t *to = (uint64_t *)sum;
	const uint64_t *from = (const uint64_t *)result;

	for (size_t i = 0; i < sizeof(*sum) / sizeof(uint64_t); i++)
		to[i] += from[i];
}

static double ratio(uint64_t count, uint64_t total)
{
	return total ? (double)count / (double)total : 0;
}

static double late_pct(const struct route_result *result)
{
	uint64_t arrived = result->arrived[TGW_URGENCY_IMMEDIATE] +
			   result->arrived[TGW_URGENCY_HIGH];
	uint64_t in_time = result->in_time[TGW_URGENCY_IMMEDIATE] +
			   result->in_time[TGW_URGENCY_HIGH];

	return 100 * (1 - ratio(in_time, arrived));
}

static uint64_t completed(const struct route_result *result)
{
	uint64_t sum = 0;

	for (int i = 0; i < TGW_URGENCY_COUNT; i++)
		sum += result->in_time[i];
	return sum;
}

static void print_result(const char *shape, const char *policy,
			 const struct route_result *result,
			 double best_hit_ratio)
{
	printf("%-10s %-10s", shape, policy);
	for (int i = 0; i < TGW_URGENCY_COUNT; i++)
		printf(" %6.2f", 100 * (1 - ratio(result->in_time[i],
						  result->arrived[i])));
	printf(" %6.2f %6.2f %6.2f %7llu %5.3f %5.3f\n", late_pct(result),
	       100 * (1 - ratio(result->reads_in_time, result->reads_arrived)),
	       100 * (1 - ratio(result->small_in_time, result->small_arrived)),
	       (unsigned long long)completed(result),
	       ratio(result->found_blocks, result->looked_up_blocks),
	       best_hit_ratio);
}

static void run_shape(const struct fleet_shape *shape, struct totals *totals)
{
	struct route_result sums[POLICY_COUNT];
	double best_hit_ratio = 0;

	memset(sums, 0, sizeof(sums));
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		struct workload workload;

		workload_make(&workload, shape, seed);
		best_hit_ratio +=
			workload_best_hit_ratio(&workload) / (double)seeds;
		for (int policy = 0; policy < POLICY_COUNT; policy++)
			route_run(&workload, (enum route_policy)policy,
				  &no_faults, seed, &sums[policy]);
		workload_free(&workload);
	}
	for (int policy = 0; policy < POLICY_COUNT; policy++) {
		print_result(shape->name, policy_names[policy], &sums[policy],
			     best_hit_ratio);
		add_result(&totals->policies[policy], &sums[policy]);
	}
	totals->hit_ratio += ratio(sums[POLICY_ROUTER].found_blocks,
				   sums[POLICY_ROUTER].looked_up_blocks);
	totals->best_hit_ratio += best_hit_ratio;
	totals->fleets++;
}

/* Runs a crashing request and a drain during the same burst. */
static void run_faults(const struct fleet_shape *shape, struct totals *totals)
{
	static const struct route_faults faults = {.crashing_request = true,
						   .drain = true};

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		struct route_result result;
		struct workload workload;

		memset(&result, 0, sizeof(result));
		workload_make(&workload, shape, seed);
		route_run(&workload, POLICY_ROUTER, &faults, seed, &result);
		workload_free(&workload);
		printf("%-10s seed %llu: servers lost %llu, others refused "
		       "%llu, cut off %llu, new work until %.2f s after "
		       "the drain, urgent late %.2f%%\n",
		       shape->name, (unsigned long long)seed,
		       (unsigned long long)result.servers_lost,
		       (unsigned long long)result.others_refused,
		       (unsigned long long)result.stopped_requests,
		       (double)result.new_work_after_drain_us / TGW_US_PER_S,
		       late_pct(&result));
		totals->faulty.stopped_requests += result.stopped_requests;
		if (result.servers_lost > totals->max_servers_lost)
			totals->max_servers_lost = result.servers_lost;
		if (result.new_work_after_drain_us >
		    totals->faulty.new_work_after_drain_us)
			totals->faulty.new_work_after_drain_us =
				result.new_work_after_drain_us;
	}
}

/* Runs bookings under faults, without and with tickets. */
static void run_bookings(struct booking_result *sum)
{
	printf("\nbookings: cut off for a third of the time in one domain of "
	       "four, with pauses, deaths, lost answers and messages\n");
	for (int tickets = 0; tickets <= 1; tickets++) {
		struct booking_result result;

		memset(&result, 0, sizeof(result));
		for (uint64_t seed = 1; seed <= seeds; seed++)
			booking_run(tickets, seed, &result);
		printf("%-16s %llu sent, %llu answered, %llu unknown, %llu ran "
		       "twice, %llu false \"not run\"; during the cut %llu "
		       "sent, %llu not run (%.1f%%); store writes %llu\n",
		       tickets ? "with tickets" : "without tickets",
		       (unsigned long long)result.bookings,
		       (unsigned long long)result.answered,
		       (unsigned long long)result.unknown,
		       (unsigned long long)result.ran_twice,
		       (unsigned long long)result.false_not_run,
		       (unsigned long long)result.partition_bookings,
		       (unsigned long long)result.partition_not_run,
		       100 * ratio(result.partition_not_run,
				   result.partition_bookings),
		       (unsigned long long)result.store_writes);
		sum->ran_twice += result.ran_twice;
		sum->false_not_run +=
			result.false_not_run + result.false_recorded;
	}
}

/* Prints the store calls that claims cause at the design size. */
static void run_store_calls(void)
{
	static const uint32_t rates[] = {50, 200, 400};

	printf("\nstore calls a second of 330 hosts in 6 domains\n");
	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		double reads = 0;

		printf("%3u bookings/s:", rates[i]);
		printf(" each host by itself %.0f writes",
		       booking_store_writes(330, 6, rates[i], 16, false,
					    &reads));
		printf(" %.0f reads; by one host a bucket", reads);
		for (uint32_t buckets = 64; buckets >= 16; buckets /= 2)
			printf(", %u buckets %.0f writes", buckets,
			       booking_store_writes(330, 6, rates[i], buckets,
						    true, &reads));
		printf(" %.0f reads\n", reads);
	}
}

int main(int argc, char **argv)
{
	struct totals totals;
	uint64_t best_baseline;
	struct booking_result bookings = {0};

	if (argc > 1)
		seeds = strtoull(argv[1], NULL, 10);
	memset(&totals, 0, sizeof(totals));
	printf("late: share not answered within the deadline, in %%\n");
	printf("%-10s %-10s %6s %6s %6s %6s %6s %6s %6s %7s %5s %5s\n", "fleet",
	       "policy", "immed", "high", "normal", "batch", "urgent", "reads",
	       "small", "in time", "hits", "best");
	for (size_t i = 0; i < fleet_shape_count; i++)
		run_shape(&fleet_shapes[i], &totals);
	printf("\na crashing request, sent again to two hosts at a time, and a "
	       "drain\n");
	for (size_t i = 0; i < fleet_shape_count; i++)
		run_faults(&fleet_shapes[i], &totals);
	best_baseline = completed(&totals.policies[POLICY_RANDOM]);
	if (completed(&totals.policies[POLICY_LEAST_LOAD]) > best_baseline)
		best_baseline = completed(&totals.policies[POLICY_LEAST_LOAD]);
	run_bookings(&bookings);
	run_store_calls();
	printf("late_urgent_pct=%.3f late_urgent_pct_random=%.3f "
	       "late_urgent_pct_least_load=%.3f prefix_hit_ratio=%.3f "
	       "prefix_hit_ratio_best=%.3f completed_ratio_vs_best_baseline="
	       "%.3f ran_twice=%llu false_not_run=%llu cut_off=%llu servers_lost_to_crashing_request=%llu "
	       "new_work_after_drain_s=%.2f\n",
	       late_pct(&totals.policies[POLICY_ROUTER]),
	       late_pct(&totals.policies[POLICY_RANDOM]),
	       late_pct(&totals.policies[POLICY_LEAST_LOAD]),
	       totals.hit_ratio / totals.fleets,
	       totals.best_hit_ratio / totals.fleets,
	       ratio(completed(&totals.policies[POLICY_ROUTER]), best_baseline),
	       (unsigned long long)bookings.ran_twice,
	       (unsigned long long)bookings.false_not_run,
	       (unsigned long long)totals.faulty.stopped_requests,
	       (unsigned long long)totals.max_servers_lost,
	       (double)totals.faulty.new_work_after_drain_us / TGW_US_PER_S);
	return 0;
}
