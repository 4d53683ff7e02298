/**
 * @file budget_arrivals.h
 * Generates the requests of a Monday morning. Each ledger that is compared gets
 * the same ones.
 */
#ifndef MEASURE_BUDGET_ARRIVALS_H
#define MEASURE_BUDGET_ARRIVALS_H

#include <stddef.h>
#include <stdint.h>

/** A kind of request. */
struct arrival_kind {
	uint32_t weight;
	int64_t bound_tokens;
	/** Mean cost. Costs are uniform between 0.5 and 1.5 times the mean. */
	int64_t cost_tokens;
	int64_t run_us; /**< at the mean cost; proportional to the cost */
};

struct arrival {
	int64_t at_us;
	uint32_t budget;
	uint32_t host_choice; /**< random; selects the entry host */
	uint64_t number;      /**< from 1; a retry has its request's number */
	int64_t bound_tokens;
	int64_t cost_tokens;
	int64_t run_us;
};

/** The load of one user's morning. */
struct arrival_plan {
	const char *user;
	const struct arrival_kind *kinds;
	size_t kind_count;
	uint32_t budgets;
	/** The n-th budget has the weight n^-zipf_exponent. */
	double zipf_exponent;
	double requests_per_s; /**< mean, without retries */
	double burst_factor;   /**< rate at the start over rate at the end */
	int64_t length_us;
	uint32_t retry_per_1000; /**< requests retried once at a random host */
};

struct arrivals {
	size_t count;
	struct arrival *items;	/**< by time */
	int64_t *demand_tokens; /**< total cost by budget, without retries */
};

extern const struct arrival_plan dvigalka_monday;
extern const struct arrival_plan boilercert_monday;

void arrivals_make(struct arrivals *arrivals, const struct arrival_plan *plan,
		   uint64_t seed);
void arrivals_free(struct arrivals *arrivals);

#endif
