#include "state/route_pace.h"

#include "tamarackgw/clock.h"

#define RUN_WEIGHT 0.05
#define START_WEIGHT 0.3
#define WINDOW_US (INT64_C(500) * TGW_US_PER_MS)

static double moving_average(double old, double sample, double weight)
{
	return old > 0 ? old + weight * (sample - old) : sample;
}

void route_pace_on_finish(struct route_pace *pace, int64_t units,
			  int64_t duration_us)
{
	if (units <= 0 || duration_us <= 0)
		return;
	pace->us_per_unit = moving_average(pace->us_per_unit,
					   (double)duration_us / (double)units,
					   RUN_WEIGHT);
}

void route_pace_on_start(struct route_pace *pace, int64_t units, bool waiting,
			 int64_t now_us)
{
	int64_t elapsed_us;

	if (!waiting) {
		pace->window_start_us = 0;
		return;
	}
	if (!pace->window_start_us) {
		pace->window_start_us = now_us;
		pace->window_units = 0;
		return;
	}
	pace->window_units += units;
	elapsed_us = now_us - pace->window_start_us;
	if (elapsed_us < WINDOW_US)
		return;
	pace->units_per_us = moving_average(
		pace->units_per_us,
		(double)pace->window_units / (double)elapsed_us, START_WEIGHT);
	pace->window_start_us = now_us;
	pace->window_units = 0;
}

int64_t route_pace_run_us(const struct route_pace *pace, int64_t units)
{
	return (int64_t)(pace->us_per_unit * (double)units);
}

int64_t route_pace_wait_us(const struct route_pace *pace, int64_t units)
{
	if (pace->units_per_us <= 0)
		return 0;
	return (int64_t)((double)units / pace->units_per_us);
}
