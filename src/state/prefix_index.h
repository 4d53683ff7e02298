/**
 * @file prefix_index.h
 * The blocks of prompts that a server's prefix cache is believed to hold.
 *
 * Filled from the server's events, which are late and have gaps, and from
 * the prompts that this host sent there. Bounded: the oldest belief goes.
 */
#ifndef STATE_PREFIX_INDEX_H
#define STATE_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PREFIX_INDEX_SLOTS 32768

struct prefix_index_slot {
	uint32_t tag;	  /**< upper half of the hash; 0 when empty */
	uint32_t seen_ms; /**< wraps after weeks; only compared */
};

struct prefix_index {
	struct prefix_index_slot *slots; /**< NULL until the first block */
	uint64_t next_sequence;		 /**< of events; 0 before the first */
	int64_t gap_us; /**< time of the last gap; older beliefs are weak */
};

void prefix_index_free(struct prefix_index *index);

void prefix_index_add(struct prefix_index *index, const uint64_t *hashes,
		      size_t count, int64_t now_us);

void prefix_index_remove(struct prefix_index *index, const uint64_t *hashes,
			 size_t count);

void prefix_index_clear(struct prefix_index *index);

/** Notes an event's sequence; a jump is a gap.
 * @return false for an event that was seen before */
bool prefix_index_note_sequence(struct prefix_index *index, uint64_t sequence,
				int64_t now_us);

/** @return how many of the first blocks are held, in thousandths of a
 * block; a belief from before a gap counts half */
int64_t prefix_index_match(const struct prefix_index *index,
			   const uint64_t *hashes, size_t count);

#endif
