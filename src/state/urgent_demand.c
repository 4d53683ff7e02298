#include "state/urgent_demand.h"

static const struct demand_windows windows = {
	.fast_s = 4.0,
	.slow_s = 20.0,
	.min_age_s = 3.0,
};

static int32_t counted_rank(int32_t rank)
{
	if (rank < 0)
		return 0;
	return rank < URGENT_DEMAND_RANKS ? rank : URGENT_DEMAND_RANKS - 1;
}

void urgent_demand_add(struct urgent_demand *demand, int32_t rank,
		       int64_t tokens, int64_t now_us)
{
	struct demand_forecast *forecast = &demand->ranks[counted_rank(rank)];

	forecast->windows = &windows;
	demand_forecast_add(forecast, now_us, tokens);
}

double urgent_demand_fraction(const struct urgent_demand *demand, int32_t rank,
			      int64_t now_us)
{
	double urgent_per_s = 0;
	double all_per_s = 0;

	for (int32_t i = 0; i < URGENT_DEMAND_RANKS; i++) {
		double per_s = demand_forecast_average_per_s(&demand->ranks[i],
							     now_us);

		all_per_s += per_s;
		if (i < counted_rank(rank))
			urgent_per_s += per_s;
	}
	return all_per_s > 0 ? urgent_per_s / all_per_s : 0;
}
