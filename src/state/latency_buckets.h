/**
 * @file latency_buckets.h
 * A histogram of latencies with fixed bounds, for the metrics page.
 */
#ifndef STATE_LATENCY_BUCKETS_H
#define STATE_LATENCY_BUCKETS_H

#include <stdint.h>

#define LATENCY_BOUNDS 12

/** Upper bounds of the buckets in milliseconds. One more bucket counts the
 * latencies above the last bound. */
extern const int64_t latency_bounds_ms[LATENCY_BOUNDS];

struct latency_buckets {
	uint64_t counts[LATENCY_BOUNDS + 1];
	uint64_t count;
	int64_t sum_us;
};

void latency_buckets_add(struct latency_buckets *buckets, int64_t latency_us);

#endif
