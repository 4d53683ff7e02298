#include "state/prefix_index.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define PROBES 8
#define WHOLE_BLOCK 1000
#define WEAK_BLOCK 500

void prefix_index_free(struct prefix_index *index)
{
	free(index->slots);
	memset(index, 0, sizeof(*index));
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
	for (size_t i = 0; i < PROBES; i++) {
		struct prefix_index_slot *slot =
			&index->slots[(home + i) % PREFIX_INDEX_SLOTS];

		if (slot->hash == hash)
			return slot;
	}
	return NULL;
}

/* A full neighbourhood gives up its oldest belief. */
static struct prefix_index_slot *obtain(struct prefix_index *index,
					uint64_t hash)
{
	struct prefix_index_slot *found = find(index, hash);
	struct prefix_index_slot *oldest = NULL;
	size_t home = home_slot(hash);

	if (found)
		return found;
	for (size_t i = 0; i < PROBES; i++) {
		struct prefix_index_slot *slot =
			&index->slots[(home + i) % PREFIX_INDEX_SLOTS];

		if (!slot->hash)
			return slot;
		if (!oldest || slot->seen_us < oldest->seen_us)
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
		struct prefix_index_slot *slot = obtain(index, hashes[i]);

		slot->hash = hashes[i];
		slot->seen_us = now_us;
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

bool prefix_index_note_sequence(struct prefix_index *index, uint64_t sequence,
				int64_t now_us)
{
	if (index->next_sequence && sequence < index->next_sequence)
		return false;
	if (index->next_sequence && sequence > index->next_sequence)
		index->gap_us = now_us;
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
		matched += slot->seen_us < index->gap_us ? WEAK_BLOCK
							 : WHOLE_BLOCK;
	}
	return matched;
}
