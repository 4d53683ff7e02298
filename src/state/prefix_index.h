/**
 * @file prefix_index.h
 * The blocks of prompts that a server's prefix cache is assumed to hold.
 *
 * The index is filled from the server's cache events, which are late and have
 * gaps, and from the prompts that this host sent to the server. Its size is
 * fixed: when the slots for a block are all in use, the oldest entry among
 * them is replaced.
 */
#ifndef STATE_PREFIX_INDEX_H
#define STATE_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"

#define PREFIX_INDEX_SLOTS 32768
/** Times in slots are counted in ticks: 32 bits last for 13 years. */
#define PREFIX_INDEX_TICK_US (100 * TGW_US_PER_MS)

struct prefix_index_slot {
	uint32_t tag;	     /**< upper 32 bits of the hash; 0 when empty */
	uint32_t last_added; /**< in ticks since the clock's start */
};

struct prefix_index {
	struct prefix_index_slot *slots; /**< NULL until the first block */
	uint64_t next_sequence;		 /**< expected next event; 0 before the
					  * first */
	int64_t last_gap_us; /**< time of the last gap in the events; older
			      * entries are less certain */
};

void prefix_index_free(struct prefix_index *index);

void prefix_index_add(struct prefix_index *index, const uint64_t *hashes,
		      size_t count, int64_t now_us);

void prefix_index_remove(struct prefix_index *index, const uint64_t *hashes,
			 size_t count);

void prefix_index_clear(struct prefix_index *index);

/** Records an event's sequence number. A number above the expected one means
 * that events were missed, and sets last_gap_us.
 * @return false for a number below the expected one: the event was recorded
 * before, or it arrived after a later one */
bool prefix_index_record_sequence(struct prefix_index *index, uint64_t sequence,
				  int64_t now_us);

/** Counts the blocks that the server is assumed to hold, and stops at the first
 * one that is missing. A block that was last added before the last gap counts
 * half.
 * @return the sum, in thousandths of a block */
int64_t prefix_index_match(const struct prefix_index *index,
			   const uint64_t *hashes, size_t count);

#endif
