#include "measure/budget_arrivals.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/random.h"

#define MAX_RETRY_DELAY_S 60

/* Service-history summaries, answers on parts and codes, triage tags. */
static const struct arrival_kind dvigalka_kinds[] = {
	{20, 6000, 2400, 25 * TGW_US_PER_S},
	{50, 1500, 400, 5 * TGW_US_PER_S},
	{30, 400, 90, TGW_US_PER_S},
};

/* Certification reports, code questions, defect classes. */
static const struct arrival_kind boilercert_kinds[] = {
	{35, 16000, 7000, 60 * TGW_US_PER_S},
	{40, 2000, 600, 7 * TGW_US_PER_S},
	{25, 500, 120, 2 * TGW_US_PER_S},
};

const struct arrival_plan dvigalka_monday = {
	.user = "dvigalka",
	.kinds = dvigalka_kinds,
	.kind_count = 3,
	.budgets = 10,
	.zipf_exponent = 1.3,
	.requests_per_s = 3,
	.burst_factor = 3,
	.length_us = 2 * 3600 * TGW_US_PER_S,
	.retry_per_1000 = 20,
};

const struct arrival_plan boilercert_monday = {
	.user = "boilercert",
	.kinds = boilercert_kinds,
	.kind_count = 3,
	.budgets = 10,
	.zipf_exponent = 1.3,
	.requests_per_s = 2,
	.burst_factor = 4,
	.length_us = 2 * 3600 * TGW_US_PER_S,
	.retry_per_1000 = 20,
};

static uint32_t pick_budget(const double *cumulative, uint32_t count,
			    double point)
{
	uint32_t low = 0;
	uint32_t high = count - 1;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (cumulative[middle] < point)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static double *cumulate_weights(const struct arrival_plan *plan)
{
	double *cumulative = xcalloc(plan->budgets, sizeof(cumulative[0]));
	double sum = 0;

	for (uint32_t i = 0; i < plan->budgets; i++) {
		sum += pow(i + 1, -plan->zipf_exponent);
		cumulative[i] = sum;
	}
	return cumulative;
}

static const struct arrival_kind *pick_kind(const struct arrival_plan *plan,
					    struct tgw_random *random)
{
	uint32_t total = 0;
	uint64_t point;
	size_t at = 0;

	for (size_t i = 0; i < plan->kind_count; i++)
		total += plan->kinds[i].weight;
	point = tgw_random_below(random, total);
	while (point >= plan->kinds[at].weight)
		point -= plan->kinds[at++].weight;
	return &plan->kinds[at];
}

static struct arrival *add_arrival(struct arrivals *arrivals, size_t *capacity)
{
	if (arrivals->count == *capacity) {
		*capacity = *capacity * 2 + 1024;
		arrivals->items = xrealloc(arrivals->items,
					   *capacity * sizeof(struct arrival));
	}
	return &arrivals->items[arrivals->count++];
}

static int compare_by_time(const void *a, const void *b)
{
	const struct arrival *first = a;
	const struct arrival *second = b;

	if (first->at_us != second->at_us)
		return first->at_us < second->at_us ? -1 : 1;
	return first->number < second->number ? -1
					      : first->number > second->number;
}

/* The rate falls linearly from the burst at the start to the end. */
static double rate_at(const struct arrival_plan *plan, int64_t at_us)
{
	double fraction = (double)at_us / (double)plan->length_us;
	double mean = (1 + plan->burst_factor) / 2;

	return plan->requests_per_s / mean *
	       (plan->burst_factor + (1 - plan->burst_factor) * fraction);
}

static void fill_arrival(struct arrival *arrival,
			 const struct arrival_plan *plan,
			 const double *cumulative, struct tgw_random *random)
{
	const struct arrival_kind *kind = pick_kind(plan, random);
	double factor = 0.5 + tgw_random_unit(random);

	arrival->budget = pick_budget(cumulative, plan->budgets,
				      tgw_random_unit(random) *
					      cumulative[plan->budgets - 1]);
	arrival->host_choice = (uint32_t)tgw_random_u64(random);
	arrival->bound_tokens = kind->bound_tokens;
	arrival->cost_tokens = (int64_t)((double)kind->cost_tokens * factor);
	arrival->run_us = (int64_t)((double)kind->run_us * factor);
}

void arrivals_make(struct arrivals *arrivals, const struct arrival_plan *plan,
		   uint64_t seed)
{
	double *cumulative = cumulate_weights(plan);
	struct tgw_random random;
	size_t capacity = 0;
	uint64_t number = 0;
	double at_us = 0;

	memset(arrivals, 0, sizeof(*arrivals));
	arrivals->demand_tokens = xcalloc(plan->budgets, sizeof(int64_t));
	tgw_random_init(&random, seed);
	for (;;) {
		struct arrival arrival;

		at_us += -log(1 - tgw_random_unit(&random)) /
			 rate_at(plan, (int64_t)at_us) * (double)TGW_US_PER_S;
		if (at_us >= (double)plan->length_us)
			break;
		fill_arrival(&arrival, plan, cumulative, &random);
		arrival.at_us = (int64_t)at_us;
		arrival.number = ++number;
		arrivals->demand_tokens[arrival.budget] += arrival.cost_tokens;
		*add_arrival(arrivals, &capacity) = arrival;
		if (tgw_random_below(&random, 1000) >= plan->retry_per_1000)
			continue;
		arrival.at_us += (int64_t)tgw_random_below(
			&random, MAX_RETRY_DELAY_S * TGW_US_PER_S);
		arrival.host_choice = (uint32_t)tgw_random_u64(&random);
		*add_arrival(arrivals, &capacity) = arrival;
	}
	if (arrivals->count)
		qsort(arrivals->items, arrivals->count,
		      sizeof(arrivals->items[0]), compare_by_time);
	free(cumulative);
}

void arrivals_free(struct arrivals *arrivals)
{
	free(arrivals->items);
	free(arrivals->demand_tokens);
}
