#include "state/latency_buckets.h"

#include "tamarackgw/clock.h"

const int64_t latency_bounds_ms[LATENCY_BOUNDS] = {
	5, 10, 25, 50, 100, 200, 400, 600, 1000, 2500, 5000, 10000,
};

void latency_buckets_add(struct latency_buckets *buckets, int64_t latency_us)
{
	int i = 0;

	while (i < LATENCY_BOUNDS &&
	       latency_us > latency_bounds_ms[i] * TGW_US_PER_MS)
		i++;
	buckets->counts[i]++;
	buckets->count++;
	buckets->sum_us += latency_us;
}
