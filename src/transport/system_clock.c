#include "transport/system_clock.h"

#include <apr_time.h>
#include <time.h>

#define NS_PER_US 1000

/* APR has no monotonic clock. */
static int64_t system_monotonic_us(const struct tgw_clock *clock)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / NS_PER_US;
}

static int64_t system_wall_us(const struct tgw_clock *clock)
{
	return apr_time_now();
}

static const struct tgw_clock_ops system_clock_ops = {
	.monotonic_us = system_monotonic_us,
	.wall_us = system_wall_us,
};

const struct tgw_clock *system_clock(void)
{
	static const struct tgw_clock clock = {.ops = &system_clock_ops};

	return &clock;
}
