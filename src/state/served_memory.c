#include "state/served_memory.h"

#include <string.h>

static size_t slot_of(const struct tgw_fingerprint *fingerprint)
{
	uint64_t prefix;

	memcpy(&prefix, fingerprint->bytes, sizeof(prefix));
	return prefix % SERVED_MEMORY_SLOTS;
}

void served_memory_add(struct served_memory *memory,
		       const struct tgw_fingerprint *fingerprint,
		       int64_t now_us)
{
	struct served_slot *slot = &memory->slots[slot_of(fingerprint)];

	slot->fingerprint = *fingerprint;
	slot->served_us = now_us;
}

bool served_memory_has(const struct served_memory *memory,
		       const struct tgw_fingerprint *fingerprint,
		       int64_t since_us)
{
	const struct served_slot *slot = &memory->slots[slot_of(fingerprint)];

	return slot->served_us && slot->served_us >= since_us &&
	       !memcmp(&slot->fingerprint, fingerprint, sizeof(*fingerprint));
}
