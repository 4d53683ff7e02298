/**
 * @file host_load.h
 * Decides how much of a host's time its callers get: how many requests may be
 * read and connections accepted between two looks at the host's own work, and
 * whether the host says that it is ready for new connections.
 */
#ifndef STATE_HOST_LOAD_H
#define STATE_HOST_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Limits of the number of turns. */
#define HOST_LOAD_MIN_TURNS 4
#define HOST_LOAD_MAX_TURNS 64

/** The state of the event loop when a decision is due. */
struct host_load_view {
	int64_t now_us;
	/** How late the event loop was: its work between two polls. */
	int64_t loop_lag_us;
	/** How long a caller's bytes have been waiting at most. */
	int64_t longest_wait_us;
};

struct host_load {
	/** Of callers, between two polls of the event loop. */
	uint32_t turns;
	bool overloaded; /**< takes no new connections, if the balancer can */
	int64_t loop_lag_us;
	int64_t longest_wait_us;
	int64_t calm_since_us; /**< while overloaded; 0: it is not calm */
};

void host_load_init(struct host_load *load);

/** Decides anew; to be called in regular intervals.
 * @return whether `overloaded` has changed */
bool host_load_update(struct host_load *load,
		      const struct host_load_view *view);

#endif
