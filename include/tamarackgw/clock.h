/**
 * @file clock.h
 * Time as the library sees it. Nothing in the library reads a clock itself.
 */
#ifndef TAMARACKGW_CLOCK_H
#define TAMARACKGW_CLOCK_H

#include <stdint.h>

#define TGW_US_PER_MS INT64_C(1000)
#define TGW_US_PER_S INT64_C(1000000)

struct tgw_clock;

/** Source of time. */
struct tgw_clock_ops {
	/** Microseconds that never go backwards; the zero is arbitrary. */
	int64_t (*monotonic_us)(const struct tgw_clock *clock);
	/** Microseconds since 1970 UTC, for people to read only: no safety
	 * rule may depend on it. */
	int64_t (*wall_us)(const struct tgw_clock *clock);
};

/** A clock; implementations embed it as their first member. */
struct tgw_clock {
	const struct tgw_clock_ops *ops;
};

static inline int64_t tgw_clock_monotonic_us(const struct tgw_clock *clock)
{
	return clock->ops->monotonic_us(clock);
}

static inline int64_t tgw_clock_wall_us(const struct tgw_clock *clock)
{
	return clock->ops->wall_us(clock);
}

#endif
