#include "state/retry_budget.h"

#include "tamarackgw/clock.h"

#define THOUSANDTHS_PER_RETRY 1000
/* A retry that can wait is made while there is credit for this many. */
#define SPARE_RETRIES 2

static const struct retry_limits default_limits = {
	.per_attempt_thousandths = 200,
	.refill_thousandths_per_s = 2000,
	.max_thousandths = 20000,
};

static void add_credit(struct retry_budget *budget, int64_t thousandths)
{
	budget->credit_thousandths += thousandths;
	if (budget->credit_thousandths > budget->limits.max_thousandths)
		budget->credit_thousandths = budget->limits.max_thousandths;
}

void retry_budget_init(struct retry_budget *budget, int64_t now_us)
{
	retry_budget_init_limits(budget, &default_limits, now_us);
}

void retry_budget_init_limits(struct retry_budget *budget,
			      const struct retry_limits *limits, int64_t now_us)
{
	budget->limits = *limits;
	budget->credit_thousandths = limits->max_thousandths;
	budget->refilled_us = now_us;
}

void retry_budget_on_first_attempt(struct retry_budget *budget)
{
	add_credit(budget, budget->limits.per_attempt_thousandths);
}

static void refill(struct retry_budget *budget, int64_t now_us)
{
	int64_t thousandths = (now_us - budget->refilled_us) *
			      budget->limits.refill_thousandths_per_s /
			      TGW_US_PER_S;

	if (thousandths <= 0)
		return;
	add_credit(budget, thousandths);
	budget->refilled_us = now_us;
}

bool retry_budget_has_credit(struct retry_budget *budget, int64_t now_us)
{
	refill(budget, now_us);
	return budget->credit_thousandths >= THOUSANDTHS_PER_RETRY;
}

bool retry_budget_has_spare_credit(struct retry_budget *budget, int64_t now_us)
{
	int64_t max_thousandths = budget->limits.max_thousandths;
	int64_t needed_thousandths = SPARE_RETRIES * THOUSANDTHS_PER_RETRY;

	if (needed_thousandths > max_thousandths)
		needed_thousandths = max_thousandths;
	return retry_budget_has_credit(budget, now_us) &&
	       budget->credit_thousandths >= needed_thousandths;
}

bool retry_budget_spend(struct retry_budget *budget, int64_t now_us)
{
	if (!retry_budget_has_credit(budget, now_us))
		return false;
	budget->credit_thousandths -= THOUSANDTHS_PER_RETRY;
	return true;
}

void retry_budget_return(struct retry_budget *budget)
{
	add_credit(budget, THOUSANDTHS_PER_RETRY);
}
