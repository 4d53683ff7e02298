/**
 * @file stale_keys.h
 * Deletes keys that hosts have left behind: a host that does not come back does
 * not write its key, and one that does writes it again. No wall clock is
 * compared with that of another host.
 */
#ifndef COORDINATION_STALE_KEYS_H
#define COORDINATION_STALE_KEYS_H

#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

/** A key that has not changed for this long is deleted. */
#define STALE_KEYS_AGE_MAX_US (INT64_C(3600) * TGW_US_PER_S)

struct stale_keys;

/** The store and the clock must outlive the keys. */
struct stale_keys *stale_keys_new(struct tgw_store *store,
				  const struct tgw_clock *clock);

void stale_keys_free(struct stale_keys *keys);

/** Records the version of a key as it was read. */
void stale_keys_on_entry(struct stale_keys *keys,
			 const struct tgw_store_entry *entry);

/** Deletes the keys that are stale. */
void stale_keys_delete(struct stale_keys *keys);

#endif
