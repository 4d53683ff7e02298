#include "state/prefix_index.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* Number of consecutive slots that a block may use; the first one is its home
 * slot. */
#define MAX_PROBES 8
#define BLOCK_THOUSANDTHS 1000
#define UNCERTAIN_BLOCK_THOUSANDTHS 500

void prefix_index_free(struct prefix_index *index)
{
	free(index->slots);
	memset(index, 0, sizeof(*index));
}

static uint32_t tag_of(uint64_t hash)
{
	uint32_t tag = (uint32_t)(hash >> 32);

	return tag ? tag : 1;
}

static uint32_t ticks_of(int64_t time_us)
{
	return (uint32_t)(time_us / PREFIX_INDEX_TICK_US);
}

static size_t home_slot(uint64_t hash)
{
	return (size_t)(hash % PREFIX_INDEX_SLOTS);
}

static struct prefix_index_slot *find(const struct prefix_index *index,
				      uint64_t hash)
{
	size_t home = home_slot(hash);

	if (!index->slots)
		return NULL;
	for (size_t i = 0; i < MAX_PROBES; i++) {
		struct prefix_index_slot *slot =
			&index->slots[(home + i) % PREFIX_INDEX_SLOTS];

		if (slot->tag == tag_of(hash))
			return slot;
	}
	return NULL;
}

/* Returns the slot of the block, an empty one, or else the oldest of those that
 * the block may use. */
static struct prefix_index_slot *find_or_replace(struct prefix_index *index,
						 uint64_t hash)
{
	struct prefix_index_slot *found = find(index, hash);
	struct prefix_index_slot *oldest = NULL;
	size_t home = home_slot(hash);

	if (found)
		return found;
	for (size_t i = 0; i < MAX_PROBES; i++) {
		struct prefix_index_slot *slot =
			&index->slots[(home + i) % PREFIX_INDEX_SLOTS];

		if (!slot->tag)
			return slot;
		if (!oldest || slot->last_added < oldest->last_added)
			oldest = slot;
	}
	return oldest;
}

void prefix_index_add(struct prefix_index *index, const uint64_t *hashes,
		      size_t count, int64_t now_us)
{
	if (!index->slots)
		index->slots =
			xcalloc(PREFIX_INDEX_SLOTS, sizeof(index->slots[0]));
	for (size_t i = 0; i < count; i++) {
		struct prefix_index_slot *slot =
			find_or_replace(index, hashes[i]);

		slot->tag = tag_of(hashes[i]);
		slot->last_added = ticks_of(now_us);
	}
}

void prefix_index_remove(struct prefix_index *index, const uint64_t *hashes,
			 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct prefix_index_slot *slot = find(index, hashes[i]);

		if (slot)
			memset(slot, 0, sizeof(*slot));
	}
}

void prefix_index_clear(struct prefix_index *index)
{
	if (index->slots)
		memset(index->slots, 0,
		       PREFIX_INDEX_SLOTS * sizeof(index->slots[0]));
}

bool prefix_index_record_sequence(struct prefix_index *index, uint64_t sequence,
				  int64_t now_us)
{
	if (index->next_sequence && sequence < index->next_sequence)
		return false;
	if (index->next_sequence && sequence > index->next_sequence)
		index->last_gap_us = now_us;
	index->next_sequence = sequence + 1;
	return true;
}

int64_t prefix_index_match(const struct prefix_index *index,
			   const uint64_t *hashes, size_t count)
{
	int64_t matched = 0;

	for (size_t i = 0; i < count; i++) {
		const struct prefix_index_slot *slot = find(index, hashes[i]);

		if (!slot)
			break;
		matched += slot->last_added < ticks_of(index->last_gap_us)
				   ? UNCERTAIN_BLOCK_THOUSANDTHS
				   : BLOCK_THOUSANDTHS;
	}
	return matched;
}
