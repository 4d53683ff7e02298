/**
 * @file budget_arrivals.h
 * Requests of a Monday morning, the same for every ledger that is compared.
 */
#ifndef MEASURE_BUDGET_ARRIVALS_H
#define MEASURE_BUDGET_ARRIVALS_H

#include <stddef.h>
#include <stdint.h>

/** A sort of request. */
struct arrival_kind {
	uint32_t weight;
	int64_t bound_tokens;
	int64_t cost_tokens; /**< mean; uniform between half and one and half */
	int64_t run_us;	     /**< for the mean cost */
};

struct arrival {
	int64_t at_us;
	uint32_t budget;
	uint32_t place;	 /**< picks the host among those that are up */
	uint64_t number; /**< the same for a retry */
	int64_t bound_tokens;
	int64_t cost_tokens;
	int64_t run_us;
};

/** What a user's morning looks like. */
struct arrival_plan {
	const char *user;
	const struct arrival_kind *kinds;
	size_t kind_count;
	uint32_t budgets;
	double skew; /**< the n-th budget's weight is n to the minus skew */
	double requests_per_s;
	double burst_factor; /**< at the start, over the rate at the end */
	int64_t length_us;
	uint32_t retry_per_1000; /**< sent once more, elsewhere */
};

struct arrivals {
	size_t count;
	struct arrival *items;	/**< by time */
	int64_t *demand_tokens; /**< cost of each budget's requests */
};

extern const struct arrival_plan dvigalka_monday;
extern const struct arrival_plan boilercert_monday;

void arrivals_make(struct arrivals *arrivals, const struct arrival_plan *plan,
		   uint64_t seed);
void arrivals_free(struct arrivals *arrivals);

#endif
