/**
 * @file demand_forecast.h
 * Forecasts the tokens per second that a budget will need from what it has
 * needed: the larger of a fast and a slow moving average.
 */
#ifndef STATE_DEMAND_FORECAST_H
#define STATE_DEMAND_FORECAST_H

#include <stdint.h>

/** Time constants of the two averages. */
struct demand_windows {
	double fast_s;
	double slow_s;
	/** Minimum age that is assumed for a forecast, so that one early
	 * request is not taken for a high rate. */
	double min_age_s;
};

struct demand_forecast {
	const struct demand_windows *windows; /**< NULL: 60 s and 900 s */
	int64_t started_us;		      /**< 0 before the first tokens */
	int64_t updated_us;
	double fast_per_s;
	double slow_per_s;
};

void demand_forecast_add(struct demand_forecast *forecast, int64_t now_us,
			 int64_t tokens);

/** @return tokens per second; 0 before the first tokens, and near 0 when none
 * have been needed for a long time */
double demand_forecast_per_s(const struct demand_forecast *forecast,
			     int64_t now_us);

/** @return the slow average in tokens per second, where the time before the
 * first tokens counts as time without demand: one early request changes it
 * little */
double demand_forecast_average_per_s(const struct demand_forecast *forecast,
				     int64_t now_us);

#endif
