/**
 * @file route_pace.h
 * How fast the servers of one model or service work, as this router sees it.
 */
#ifndef STATE_ROUTE_PACE_H
#define STATE_ROUTE_PACE_H

#include <stdbool.h>
#include <stdint.h>

struct route_pace {
	double us_per_unit;	 /**< of one attempt's run; 0 unknown */
	double units_per_us;	 /**< started while work waited; 0 unknown */
	int64_t window_start_us; /**< 0 while nothing waits */
	int64_t window_units;
};

/** An attempt of so many units ran for so long. */
void route_pace_on_finish(struct route_pace *pace, int64_t units,
			  int64_t duration_us);

/** An attempt starts. @param waiting whether others go on waiting */
void route_pace_on_start(struct route_pace *pace, int64_t units, bool waiting,
			 int64_t now_us);

/** @return the likely duration of a run; 0 while unknown */
int64_t route_pace_run_us(const struct route_pace *pace, int64_t units);

/** @return the likely wait behind so many units; 0 while unknown */
int64_t route_pace_wait_us(const struct route_pace *pace, int64_t units);

#endif
