/**
 * @file quarantine_sync.h
 * Keeps the quarantine's table and its stored value alike.
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
	int64_t version;     /**< of the value that was read last */
	struct buffer audit; /**< of that value, packed */
	bool busy;	     /**< an operation is under way */
	bool dirty;	     /**< the table has what the store lacks */
	bool changed;	     /**< the store brought news; the owner resets it */
	int64_t next_read_us;
};

void quarantine_sync_init(struct quarantine_sync *sync,
			  const struct tgw_quarantine_env *env,
			  struct quarantine_table *table,
			  struct tgw_quarantine_counters *counters);

void quarantine_sync_clear(struct quarantine_sync *sync);

/** Reads when that is due, and writes what is new.
 * @param duty whether this host does it for its failure domain */
void quarantine_sync_tick(struct quarantine_sync *sync, bool duty);

#endif
