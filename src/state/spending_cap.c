#include "state/spending_cap.h"

#include "tamarackgw/clock.h"

int64_t spending_cap_limit(const struct spending_cap *cap, int64_t now_us)
{
	int64_t age_us = now_us - cap->written_us;
	double limit = (double)cap->spendable_tokens;

	if (!cap->written_us || age_us >= cap->period_us)
		return INT64_MAX;
	if (age_us > 0)
		limit += (double)cap->tokens_per_s * (double)age_us /
			 TGW_US_PER_S;
	return limit < (double)cap->allotted_tokens ? (int64_t)limit
						    : INT64_MAX;
}

int64_t spending_cap_allows_at_us(const struct spending_cap *cap,
				  int64_t total_tokens)
{
	int64_t lacking = total_tokens - cap->spendable_tokens;
	double delay_us;

	if (!cap->written_us || lacking <= 0)
		return cap->written_us;
	if (!cap->tokens_per_s)
		return cap->written_us + cap->period_us;
	delay_us = (double)lacking * TGW_US_PER_S / (double)cap->tokens_per_s;
	if (delay_us >= (double)cap->period_us)
		return cap->written_us + cap->period_us;
	return cap->written_us + (int64_t)delay_us;
}

int64_t spending_cap_min_allotment(const struct spending_cap *cap,
				   int64_t now_us)
{
	return spending_cap_limit(cap, now_us) == INT64_MAX
		       ? 0
		       : cap->allotted_tokens;
}

int64_t spending_cap_unspent(const struct spending_cap *cap, int64_t dead_us)
{
	int64_t limit = spending_cap_limit(cap, dead_us);

	/* A clock that went back belongs to another boot. */
	if (limit == INT64_MAX || dead_us < cap->written_us)
		return 0;
	return cap->allotted_tokens - limit;
}
