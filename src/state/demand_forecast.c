#include "state/demand_forecast.h"

#include <math.h>

#include "tamarackgw/clock.h"

#define FAST_WINDOW_S 60.0
#define SLOW_WINDOW_S 900.0
/* Younger forecasts are treated as this old, so that one request is not
 * taken for a flood. */
#define LEAST_AGE_S 30.0

static double seconds_between(int64_t from_us, int64_t to_us)
{
	return (double)(to_us - from_us) / (double)TGW_US_PER_S;
}

static double decayed(double value, double elapsed_s, double window_s)
{
	return value * exp(-elapsed_s / window_s);
}

void demand_forecast_add(struct demand_forecast *forecast, int64_t now_us,
			 int64_t tokens)
{
	double elapsed_s;

	if (!forecast->started_us) {
		forecast->started_us = now_us;
		forecast->updated_us = now_us;
	}
	elapsed_s = seconds_between(forecast->updated_us, now_us);
	forecast->fast_per_s =
		decayed(forecast->fast_per_s, elapsed_s, FAST_WINDOW_S) +
		(double)tokens / FAST_WINDOW_S;
	forecast->slow_per_s =
		decayed(forecast->slow_per_s, elapsed_s, SLOW_WINDOW_S) +
		(double)tokens / SLOW_WINDOW_S;
	forecast->updated_us = now_us;
}

/* A young average has seen only part of its window: scale it up. */
static double corrected(double value, double age_s, double window_s)
{
	return value / (1.0 - exp(-age_s / window_s));
}

double demand_forecast_per_s(const struct demand_forecast *forecast,
			     int64_t now_us)
{
	double elapsed_s = seconds_between(forecast->updated_us, now_us);
	double age_s = seconds_between(forecast->started_us, now_us);
	double fast_per_s;
	double slow_per_s;

	if (!forecast->started_us)
		return 0;
	if (age_s < LEAST_AGE_S)
		age_s = LEAST_AGE_S;
	fast_per_s = decayed(forecast->fast_per_s, elapsed_s, FAST_WINDOW_S);
	slow_per_s = decayed(forecast->slow_per_s, elapsed_s, SLOW_WINDOW_S);
	return fmax(corrected(fast_per_s, age_s, FAST_WINDOW_S),
		    corrected(slow_per_s, age_s, SLOW_WINDOW_S));
}
