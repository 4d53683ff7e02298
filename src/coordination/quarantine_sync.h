/**
 * @file quarantine_sync.h
 * Synchronizes the quarantine's table with its value in the store.
 */
#ifndef COORDINATION_QUARANTINE_SYNC_H
#define COORDINATION_QUARANTINE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/quarantine_value.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

struct quarantine_sync {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct quarantine_table *table;
	struct tgw_quarantine_counters *counters;
	/** Of the value last read or written; negative if it is unknown or if
	 * the value does not decode. */
	int64_t version;
	struct buffer audit; /**< audit entries of that value, packed */
	bool busy;	     /**< a store call is in flight */
	bool dirty;	     /**< the table has changes that are not stored */
	/** The stored value changed the table; the quarantine resets this. */
	bool changed;
	int64_t next_read_us;
};

void quarantine_sync_init(struct quarantine_sync *sync,
			  const struct tgw_quarantine_env *env,
			  struct quarantine_table *table,
			  struct tgw_quarantine_counters *counters);

void quarantine_sync_clear(struct quarantine_sync *sync);

/** Reads the value when a read is due, and writes changes of the table.
 * @param is_representative whether this host does so for its failure domain;
 * other hosts read until they know the version, and don't write */
void quarantine_sync_tick(struct quarantine_sync *sync, bool is_representative);

#endif
