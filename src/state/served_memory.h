/**
 * @file served_memory.h
 * Remembers for a while which requests a host was served, in a table of fixed
 * size. A newer request may replace another one.
 */
#ifndef STATE_SERVED_MEMORY_H
#define STATE_SERVED_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/quarantine.h"

#define SERVED_MEMORY_SLOTS 1024

struct served_slot {
	struct tgw_fingerprint fingerprint;
	int64_t served_us; /**< 0 for an empty slot */
};

struct served_memory {
	struct served_slot slots[SERVED_MEMORY_SLOTS];
};

void served_memory_add(struct served_memory *memory,
		       const struct tgw_fingerprint *fingerprint,
		       int64_t now_us);

/** @return whether the request was served at `since_us` or later */
bool served_memory_has(const struct served_memory *memory,
		       const struct tgw_fingerprint *fingerprint,
		       int64_t since_us);

#endif
