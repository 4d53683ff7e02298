/**
 * @file retry_budget.h
 * Limits retries to a fraction of the first attempts, which prevents retry
 * storms.
 */
#ifndef STATE_RETRY_BUDGET_H
#define STATE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** How many retries are allowed, in thousandths of a retry. */
struct retry_limits {
	int64_t per_attempt_thousandths;  /**< added by each first attempt */
	int64_t refill_thousandths_per_s; /**< added per second */
	int64_t max_thousandths;	  /**< maximum credit */
};

struct retry_budget {
	struct retry_limits limits;
	int64_t credit_thousandths;
	int64_t refilled_us;
};

/** Initializes the budget with the default limits and a full credit. */
void retry_budget_init(struct retry_budget *budget, int64_t now_us);

/** Initializes the budget with the given limits and a full credit. */
void retry_budget_init_limits(struct retry_budget *budget,
			      const struct retry_limits *limits,
			      int64_t now_us);

void retry_budget_on_first_attempt(struct retry_budget *budget);

/** @return whether one retry could be spent now */
bool retry_budget_has_credit(struct retry_budget *budget, int64_t now_us);

/** @return whether one retry could be spent now and leave the credit of
 * another, or the credit is full */
bool retry_budget_has_spare_credit(struct retry_budget *budget, int64_t now_us);

/** Spends the credit of one retry. @return false when the credit is too low */
bool retry_budget_spend(struct retry_budget *budget, int64_t now_us);

/** Takes back the credit of a retry that no server received. */
void retry_budget_return(struct retry_budget *budget);

#endif
