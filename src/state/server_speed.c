#include "state/server_speed.h"

#include "tamarackgw/clock.h"

/* The usual time is the lowest of the last one to two such spans, so that it
 * follows a machine that stays slower. */
#define SPAN_US (30 * TGW_US_PER_S)
/* What else runs on a server's machine changes within some hundred
 * milliseconds. */
#define YOUNG_REPORT_US (300 * TGW_US_PER_MS)

static uint32_t lower_of(uint32_t a, uint32_t b)
{
	if (!a || !b)
		return a ? a : b;
	return a < b ? a : b;
}

void server_speed_report(struct server_speed *speed, uint32_t percent,
			 int64_t now_us)
{
	if (!percent || percent > SERVER_SPEED_MAX_PERCENT)
		return;
	if (now_us - speed->span_start_us > SPAN_US) {
		speed->last_lowest_percent = speed->lowest_percent;
		speed->lowest_percent = 0;
		speed->span_start_us = now_us;
	}
	speed->lowest_percent = lower_of(speed->lowest_percent, percent);
	speed->reported_percent = percent;
	speed->reported_us = now_us;
}

uint32_t server_speed_usual_percent(const struct server_speed *speed)
{
	return lower_of(speed->lowest_percent, speed->last_lowest_percent);
}

uint32_t server_speed_present_percent(const struct server_speed *speed,
				      int64_t now_us)
{
	if (speed->reported_percent &&
	    now_us - speed->reported_us <= YOUNG_REPORT_US)
		return speed->reported_percent;
	return server_speed_usual_percent(speed);
}
