#include "state/demand_forecast.h"

#include <math.h>

#include "tamarackgw/clock.h"

static const struct demand_windows default_windows = {
	.fast_s = 60.0,
	.slow_s = 900.0,
	.min_age_s = 30.0,
};

static const struct demand_windows *windows_of(
	const struct demand_forecast *forecast)
{
	return forecast->windows ? forecast->windows : &default_windows;
}

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
	const struct demand_windows *windows = windows_of(forecast);
	double elapsed_s;

	if (!forecast->started_us) {
		forecast->started_us = now_us;
		forecast->updated_us = now_us;
	}
	elapsed_s = seconds_between(forecast->updated_us, now_us);
	forecast->fast_per_s =
		decayed(forecast->fast_per_s, elapsed_s, windows->fast_s) +
		(double)tokens / windows->fast_s;
	forecast->slow_per_s =
		decayed(forecast->slow_per_s, elapsed_s, windows->slow_s) +
		(double)tokens / windows->slow_s;
	forecast->updated_us = now_us;
}

/* Scales up an average that does not cover its whole window yet. */
static double scaled_to_window(double value, double age_s, double window_s)
{
	return value / (1.0 - exp(-age_s / window_s));
}

double demand_forecast_per_s(const struct demand_forecast *forecast,
			     int64_t now_us)
{
	const struct demand_windows *windows = windows_of(forecast);
	double elapsed_s = seconds_between(forecast->updated_us, now_us);
	double age_s = seconds_between(forecast->started_us, now_us);
	double fast_per_s;
	double slow_per_s;

	if (!forecast->started_us)
		return 0;
	if (age_s < windows->min_age_s)
		age_s = windows->min_age_s;
	fast_per_s = decayed(forecast->fast_per_s, elapsed_s, windows->fast_s);
	slow_per_s = decayed(forecast->slow_per_s, elapsed_s, windows->slow_s);
	return fmax(scaled_to_window(fast_per_s, age_s, windows->fast_s),
		    scaled_to_window(slow_per_s, age_s, windows->slow_s));
}

double demand_forecast_average_per_s(const struct demand_forecast *forecast,
				     int64_t now_us)
{
	if (!forecast->started_us)
		return 0;
	return decayed(forecast->slow_per_s,
		       seconds_between(forecast->updated_us, now_us),
		       windows_of(forecast)->slow_s);
}
