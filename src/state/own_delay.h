/**
 * @file own_delay.h
 * Decides whether the host itself delays what it receives. While it does, a
 * silent server and a connection that timed out are no evidence against the
 * server.
 */
#ifndef STATE_OWN_DELAY_H
#define STATE_OWN_DELAY_H

#include <stdbool.h>
#include <stdint.h>

/** The state of the host when a decision is due. */
struct own_delay_facts {
	int64_t now_us;
	/** Average use of the network link, in percent of its capacity; 0 if
	 * the capacity is unknown. */
	uint32_t link_percent;
	/** How late the event loop was. */
	int64_t loop_lag_us;
	/** How long a caller's bytes have been waiting at most. */
	int64_t longest_wait_us;
};

struct own_delay {
	bool active;
	int64_t loaded_since_us; /**< while not active; 0: it is not loaded */
	int64_t calm_since_us;	 /**< while active; 0: it is not calm */
};

/** Decides anew; to be called in regular intervals.
 * @return whether `active` has changed */
bool own_delay_update(struct own_delay *delay,
		      const struct own_delay_facts *facts);

#endif
