/**
 * @file link_load.h
 * Measures how much of its network link a host uses. A full link delays all
 * that the host does, and the event loop is not late.
 */
#ifndef STATE_LINK_LOAD_H
#define STATE_LINK_LOAD_H

#include <stdint.h>

/** Bytes since the start. */
struct link_bytes {
	uint64_t received_bytes;
	uint64_t sent_bytes;
};

struct link_load {
	int64_t capacity_bytes_per_s; /**< in each direction; 0: unknown */
	int64_t measured_us;	      /**< 0 before the first measurement */
	struct link_bytes measured;
	/** Averages over the last moments. */
	int64_t received_bytes_per_s;
	int64_t sent_bytes_per_s;
};

/** @param link_mbps capacity in each direction; 0: unknown */
void link_load_init(struct link_load *load, int64_t link_mbps);

/** Measures anew; to be called in regular intervals. */
void link_load_update(struct link_load *load, const struct link_bytes *bytes,
		      int64_t now_us);

/** @return the use of the busier direction in percent of the capacity. What
 * waits to be sent counts, too, so it may exceed 100; 0 if the capacity is
 * unknown */
uint32_t link_load_percent(const struct link_load *load);

#endif
