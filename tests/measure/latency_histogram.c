#include "measure/latency_histogram.h"

#include <stdlib.h>

#include "base/xalloc.h"

#define BIN_US 10
#define BIN_COUNT 1000000

struct latency_histogram {
	uint64_t count;
	/* The last bin also counts all longer durations. */
	uint32_t bins[BIN_COUNT];
};

struct latency_histogram *latency_histogram_new(void)
{
	return xcalloc(1, sizeof(struct latency_histogram));
}

void latency_histogram_free(struct latency_histogram *histogram)
{
	free(histogram);
}

void latency_histogram_add(struct latency_histogram *histogram,
			   int64_t duration_us)
{
	int64_t bin = duration_us < 0 ? 0 : duration_us / BIN_US;

	histogram->bins[bin < BIN_COUNT ? bin : BIN_COUNT - 1]++;
	histogram->count++;
}

void latency_histogram_merge(struct latency_histogram *histogram,
			     const struct latency_histogram *other)
{
	size_t i;

	for (i = 0; i < BIN_COUNT; i++)
		histogram->bins[i] += other->bins[i];
	histogram->count += other->count;
}

uint64_t latency_histogram_count(const struct latency_histogram *histogram)
{
	return histogram->count;
}

int64_t latency_histogram_quantile(const struct latency_histogram *histogram,
				   double fraction)
{
	uint64_t rank = (uint64_t)(fraction * (double)histogram->count);
	uint64_t counted = 0;
	size_t i;

	for (i = 0; i < BIN_COUNT; i++) {
		counted += histogram->bins[i];
		if (counted > rank)
			break;
	}
	return (int64_t)i * BIN_US;
}
