/**
 * @file unsettled_floor.h
 * How much of a budget was taken and neither settled nor returned for longer
 * than requests last. What open requests hold comes back; what dead hosts held
 * stays.
 */
#ifndef STATE_UNSETTLED_FLOOR_H
#define STATE_UNSETTLED_FLOOR_H

#include <stdbool.h>
#include <stdint.h>

/** Why tokens are neither free nor settled. */
enum unsettled_cause {
	/** Not watched for long enough to tell. */
	UNSETTLED_UNKNOWN,
	/** Most of them were taken lately, by hosts for their requests. */
	UNSETTLED_BY_OPEN_REQUESTS,
	/** Most of them for long: lost with hosts, or for very long requests.
	 */
	UNSETTLED_FOR_LONG,
};

/** Empty when zeroed. */
struct unsettled_floor {
	int64_t since_us; /**< of `lowest_tokens`; 0: nothing was seen */
	int64_t lowest_tokens;
	bool has_previous;
	int64_t previous_tokens; /**< lowest in the interval before */
	int64_t last_tokens;
};

/** Adds what was unsettled at a read of the pool. */
void unsettled_floor_add(struct unsettled_floor *floor, int64_t tokens,
			 int64_t now_us);

enum unsettled_cause unsettled_floor_cause(const struct unsettled_floor *floor);

#endif
