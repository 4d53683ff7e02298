#include "state/unsettled_floor.h"

#include "tamarackgw/clock.h"

/* Most requests end within this time. */
#define INTERVAL_US (30 * TGW_US_PER_S)

static int64_t lower(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

void unsettled_floor_add(struct unsettled_floor *floor, int64_t tokens,
			 int64_t now_us)
{
	bool is_first = !floor->since_us;

	if (is_first || now_us - floor->since_us >= INTERVAL_US) {
		floor->has_previous = !is_first;
		floor->previous_tokens = floor->lowest_tokens;
		floor->since_us = now_us;
		floor->lowest_tokens = tokens;
	}
	floor->lowest_tokens = lower(floor->lowest_tokens, tokens);
	floor->last_tokens = tokens;
}

enum unsettled_cause unsettled_floor_cause(const struct unsettled_floor *floor)
{
	if (!floor->has_previous)
		return UNSETTLED_UNKNOWN;
	return lower(floor->previous_tokens, floor->lowest_tokens) >
			       floor->last_tokens / 2
		       ? UNSETTLED_FOR_LONG
		       : UNSETTLED_BY_OPEN_REQUESTS;
}
