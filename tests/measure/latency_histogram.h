/**
 * @file latency_histogram.h
 * A histogram of durations for quantiles, with bins of 10 us up to 10 s.
 */
#ifndef MEASURE_LATENCY_HISTOGRAM_H
#define MEASURE_LATENCY_HISTOGRAM_H

#include <stdint.h>

struct latency_histogram;

struct latency_histogram *latency_histogram_new(void);

void latency_histogram_free(struct latency_histogram *histogram);

void latency_histogram_add(struct latency_histogram *histogram,
			   int64_t duration_us);

/** Adds all counts of another histogram. */
void latency_histogram_merge(struct latency_histogram *histogram,
			     const struct latency_histogram *other);

uint64_t latency_histogram_count(const struct latency_histogram *histogram);

/** @param fraction of all durations, 0 to 1
 * @return the duration in microseconds that this fraction does not exceed,
 *	rounded down to a bin; 10 s when the histogram is empty or the
 *	fraction is 1 */
int64_t latency_histogram_quantile(const struct latency_histogram *histogram,
				   double fraction);

#endif
