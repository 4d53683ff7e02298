/**
 * @file server_speed.h
 * How long work takes at a backend server compared with others, by its own
 * reports. Servers differ in speed, and share their machines with other work:
 * the figure rises for moments and falls back to what is usual for the server.
 */
#ifndef STATE_SERVER_SPEED_H
#define STATE_SERVER_SPEED_H

#include <stdint.h>

/** Figures beyond this are absurd. */
#define SERVER_SPEED_MAX_PERCENT 10000

/** Nothing is known when zeroed. */
struct server_speed {
	uint32_t reported_percent; /**< time of work; 0: never reported */
	int64_t reported_us;
	/** Lowest figures of the present and the last span of time. */
	uint32_t lowest_percent;
	uint32_t last_lowest_percent;
	int64_t span_start_us;
};

/** Records a report.
 * @param percent time that work takes now, 100 as a service expects it */
void server_speed_report(struct server_speed *speed, uint32_t percent,
			 int64_t now_us);

/** @return the time that work takes at the server while nothing else disturbs
 * it, in percent; 0 if it is not known */
uint32_t server_speed_usual_percent(const struct server_speed *speed);

/** @return the time that work takes now, in percent: the last report while it
 * is young, then the usual time; 0 if neither is known */
uint32_t server_speed_present_percent(const struct server_speed *speed,
				      int64_t now_us);

#endif
