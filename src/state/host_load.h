/**
 * @file host_load.h
 * Decides what callers get of a host: how many requests may be read and
 * connections accepted between two looks at the host's own work; whether the
 * host says that it is ready for new connections; and how many callers it sends
 * to other hosts meanwhile.
 */
#ifndef STATE_HOST_LOAD_H
#define STATE_HOST_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Limits of the number of turns. */
#define HOST_LOAD_MIN_TURNS 4
#define HOST_LOAD_MAX_TURNS 64

/** The state of the host when a decision is due. */
struct host_load_view {
	int64_t now_us;
	/** How late the event loop was: its work between two polls. */
	int64_t loop_lag_us;
	/** How long a caller's bytes have been waiting at most. */
	int64_t longest_wait_us;
	/** Use of the network link, in percent of its capacity. */
	uint32_t link_percent;
	/** Callers' connections, in percent of their maximum. */
	uint32_t connections_percent;
};

struct host_load {
	/** Of callers, between two polls of the event loop. */
	uint32_t turns;
	bool overloaded; /**< takes no new connections, if the balancer can */
	/** Of responses, that end their connections. */
	uint32_t ended_percent;
	uint32_t ended_carry_percent; /**< what the last ones left over */
	int64_t loop_lag_us;
	int64_t longest_wait_us;
	int64_t calm_since_us; /**< while overloaded; 0: it is not calm */
};

void host_load_init(struct host_load *load);

/** Decides anew; to be called in regular intervals.
 * @return whether `overloaded` has changed */
bool host_load_update(struct host_load *load,
		      const struct host_load_view *view);

/** @return whether the connection of the response that is due is to end */
bool host_load_ends_connection(struct host_load *load);

#endif
