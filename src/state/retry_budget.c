#include "state/retry_budget.h"

#include "tamarackgw/clock.h"

#define RETRY_THOUSANDTHS 1000
#define SHARE_THOUSANDTHS 200
#define IDLE_RETRIES_PER_S 2
#define CREDIT_MAX_THOUSANDTHS (INT64_C(20) * RETRY_THOUSANDTHS)

static void add(struct retry_budget *budget, int64_t thousandths)
{
	budget->credit_thousandths += thousandths;
	if (budget->credit_thousandths > CREDIT_MAX_THOUSANDTHS)
		budget->credit_thousandths = CREDIT_MAX_THOUSANDTHS;
}

void retry_budget_init(struct retry_budget *budget, int64_t now_us)
{
	budget->credit_thousandths = CREDIT_MAX_THOUSANDTHS;
	budget->refilled_us = now_us;
}

void retry_budget_on_first_attempt(struct retry_budget *budget)
{
	add(budget, SHARE_THOUSANDTHS);
}

bool retry_budget_take(struct retry_budget *budget, int64_t now_us)
{
	int64_t refill = (now_us - budget->refilled_us) * IDLE_RETRIES_PER_S *
			 RETRY_THOUSANDTHS / TGW_US_PER_S;

	if (refill > 0) {
		add(budget, refill);
		budget->refilled_us = now_us;
	}
	if (budget->credit_thousandths < RETRY_THOUSANDTHS)
		return false;
	budget->credit_thousandths -= RETRY_THOUSANDTHS;
	return true;
}
