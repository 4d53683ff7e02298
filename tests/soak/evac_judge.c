#include "soak/evac_judge.h"

#include <string.h>

#define WINDOW_US 1000000
#define ARRIVALS (EVAC_JUDGE_RATE_MAX + 1)

void evac_judge_change(struct evac_judge_domain *domain, bool evacuated,
		       int64_t at_us)
{
	domain->evacuated = evacuated;
	domain->changed_us = at_us;
	domain->use.idle_us = 0;
}

enum evac_judge_arrival evac_judge_arrived(
	const struct evac_judge_domain *domain, int64_t at_us, int64_t bound_us,
	bool in_touch, int64_t started_us)
{
	int64_t due_us = domain->changed_us + bound_us;

	if (!domain->evacuated || at_us <= due_us)
		return EVAC_JUDGE_ALLOWED;
	if (started_us > due_us)
		return EVAC_JUDGE_NOT_KNOWN_AT_START;
	return in_touch ? EVAC_JUDGE_LATE : EVAC_JUDGE_ALLOWED;
}

bool evac_judge_is_open(const struct evac_judge_domain *domain, int64_t at_us,
			int64_t bound_us)
{
	return !domain->evacuated && at_us > domain->changed_us + bound_us;
}

void evac_judge_warmup_begin(struct evac_judge_warmup *warmup, int64_t at_us,
			     int64_t duration_us, int64_t learn_us)
{
	bool lasts = at_us < warmup->until_us;

	warmup->until_us = at_us + duration_us;
	if (lasts)
		return;
	warmup->from_us = at_us + learn_us;
	warmup->count = 0;
}

bool evac_judge_warmup_arrived(struct evac_judge_warmup *warmup, int64_t at_us)
{
	unsigned int next;

	if (at_us < warmup->from_us || at_us >= warmup->until_us)
		return false;
	warmup->arrivals_us[warmup->count++ % ARRIVALS] = at_us;
	if (warmup->count < ARRIVALS)
		return false;
	next = warmup->count % ARRIVALS;
	return at_us - warmup->arrivals_us[next] < WINDOW_US;
}

void evac_judge_used(struct evac_judge_use *use)
{
	use->idle_us = 0;
}

bool evac_judge_unused(struct evac_judge_use *use, int64_t span_us,
		       int64_t limit_us)
{
	bool was_idle = use->idle_us > limit_us;

	use->idle_us += span_us;
	return !was_idle && use->idle_us > limit_us;
}
