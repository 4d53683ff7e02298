/**
 * @file latency_histogram.h
 * Counts of durations, for percentiles.
 */
#ifndef MEASURE_LATENCY_HISTOGRAM_H
#define MEASURE_LATENCY_HISTOGRAM_H

#include <stdint.h>

struct latency_histogram;

struct latency_histogram *latency_histogram_new(void);

void latency_histogram_free(struct latency_histogram *histogram);

void latency_histogram_add(struct latency_histogram *histogram,
			   int64_t duration_us);

/** Adds all counts of another one. */
void latency_histogram_merge(struct latency_histogram *histogram,
			     const struct latency_histogram *other);

uint64_t latency_histogram_count(const struct latency_histogram *histogram);

/** @return the duration that this share (0 to 1) of all does not exceed */
int64_t latency_histogram_at(const struct latency_histogram *histogram,
			     double share);

#endif
