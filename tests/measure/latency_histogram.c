#include "measure/latency_histogram.h"

#include <stdlib.h>

#include "base/xalloc.h"

#define STEP_US 10
#define STEPS 1000000

struct latency_histogram {
	uint64_t count;
	uint32_t steps[STEPS]; /* the last one takes all that is longer */
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
	int64_t step = duration_us < 0 ? 0 : duration_us / STEP_US;

	histogram->steps[step < STEPS ? step : STEPS - 1]++;
	histogram->count++;
}

void latency_histogram_merge(struct latency_histogram *histogram,
			     const struct latency_histogram *other)
{
	size_t i;

	for (i = 0; i < STEPS; i++)
		histogram->steps[i] += other->steps[i];
	histogram->count += other->count;
}

uint64_t latency_histogram_count(const struct latency_histogram *histogram)
{
	return histogram->count;
}

int64_t latency_histogram_at(const struct latency_histogram *histogram,
			     double share)
{
	uint64_t wanted = (uint64_t)(share * (double)histogram->count);
	uint64_t seen = 0;
	size_t i;

	for (i = 0; i < STEPS; i++) {
		seen += histogram->steps[i];
		if (seen > wanted)
			break;
	}
	return (int64_t)i * STEP_US;
}
