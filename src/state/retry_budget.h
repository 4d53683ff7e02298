/**
 * @file retry_budget.h
 * Keeps retries to a share of the first attempts, so that they can't grow
 * into a storm.
 */
#ifndef STATE_RETRY_BUDGET_H
#define STATE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** How many retries are allowed, in thousandths of one. */
struct retry_limits {
	int64_t share_thousandths;	/**< for each first attempt */
	int64_t idle_thousandths_per_s; /**< without any */
	int64_t most_thousandths;	/**< saved up */
};

struct retry_budget {
	struct retry_limits limits;
	int64_t credit_thousandths;
	int64_t refilled_us;
};

void retry_budget_init(struct retry_budget *budget, int64_t now_us);

/** As above, with other limits than the standard ones. */
void retry_budget_init_limits(struct retry_budget *budget,
			      const struct retry_limits *limits,
			      int64_t now_us);

void retry_budget_on_first_attempt(struct retry_budget *budget);

/** @return whether one more retry may run; it is then spent */
bool retry_budget_take(struct retry_budget *budget, int64_t now_us);

#endif
