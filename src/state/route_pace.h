/**
 * @file route_pace.h
 * Estimates of the run time and the start rate of the attempts at the servers
 * of one model or service, from this router's own attempts. Units are the cost
 * units of struct route_entry.
 */
#ifndef STATE_ROUTE_PACE_H
#define STATE_ROUTE_PACE_H

#include <stdbool.h>
#include <stdint.h>

struct route_pace {
	double us_per_unit; /**< run time per cost unit; 0 if unknown */
	/** Cost units started per microsecond while attempts are queued; 0 if
	 * unknown. */
	double units_per_us;
	int64_t window_start_us; /**< 0 while nothing is queued */
	int64_t window_units;
};

/** Records the run time of an attempt that has finished. */
void route_pace_on_finish(struct route_pace *pace, int64_t units,
			  int64_t duration_us);

/** Records the start of an attempt.
 * @param waiting whether other attempts are still queued */
void route_pace_on_start(struct route_pace *pace, int64_t units, bool waiting,
			 int64_t now_us);

/** @return the expected run time in microseconds; 0 if unknown */
int64_t route_pace_run_us(const struct route_pace *pace, int64_t units);

/** @return the expected wait behind that many units in microseconds; 0 if
 * unknown */
int64_t route_pace_wait_us(const struct route_pace *pace, int64_t units);

#endif
