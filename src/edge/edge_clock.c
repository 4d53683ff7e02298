#include "edge/edge_clock.h"

#include <time.h>

#define NS_PER_US 1000

static int64_t read_clock(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t edge_now_us(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

int64_t edge_wall_us(void)
{
	return read_clock(CLOCK_REALTIME);
}

static int64_t clock_monotonic_us(const struct tgw_clock *clock)
{
	return edge_now_us();
}

static int64_t clock_wall_us(const struct tgw_clock *clock)
{
	return edge_wall_us();
}

static const struct tgw_clock_ops clock_ops = {
	.monotonic_us = clock_monotonic_us,
	.wall_us = clock_wall_us,
};

const struct tgw_clock edge_clock = {.ops = &clock_ops};
