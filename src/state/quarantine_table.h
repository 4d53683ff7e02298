/**
 * @file quarantine_table.h
 * Suspected and refused requests, as a value that hosts exchange and merge
 * in any order with the same result.
 *
 * A lift, or a served attempt, starts a new epoch of the entry. News of an
 * older epoch changes nothing, whenever it comes.
 */
#ifndef STATE_QUARANTINE_TABLE_H
#define STATE_QUARANTINE_TABLE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/quarantine.h"

#define QUARANTINE_CRASHES_MAX 4
#define QUARANTINE_ENTRIES_MAX 1024

/** One crash of a server while the request ran on it. */
struct quarantine_crash {
	uint64_t server_hash;
	int64_t wall_us;
};

struct quarantine_item {
	struct tgw_fingerprint fingerprint;
	char team[TGW_NAME_SIZE];
	uint64_t epoch;
	size_t crash_count;
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	/* Not exchanged: */
	int64_t learnt_us; /**< on this host's monotonic clock */
	bool is_own_news;  /**< the change happened at this host */
};

struct quarantine_table {
	size_t count;
	size_t capacity;
	struct quarantine_item *items;
};

void quarantine_table_free(struct quarantine_table *table);

struct quarantine_item *quarantine_table_find(
	const struct quarantine_table *table,
	const struct tgw_fingerprint *fingerprint);

/** @return the item, added when it is new; a full table gives up the one
 * that changed longest ago and isn't refused */
struct quarantine_item *quarantine_table_obtain(
	struct quarantine_table *table,
	const struct tgw_fingerprint *fingerprint, int64_t now_us);

/** Adds a crash unless it is one that is known. @return whether it is new */
bool quarantine_item_add_crash(struct quarantine_item *item,
			       const struct quarantine_crash *crash);

/** @return whether it crashed servers too often; NULL is not refused */
bool quarantine_item_is_refused(const struct quarantine_item *item,
				uint32_t crashes_until_refused);

/** Forgets the crashes and starts a new epoch. */
void quarantine_item_clear(struct quarantine_item *item);

/** Clears by an operator's word, which wins over all that hosts may have
 * learnt without the operator's having seen it. */
void quarantine_item_lift(struct quarantine_item *item);

/** Merges news. @return whether the table changed */
bool quarantine_table_merge(struct quarantine_table *table,
			    const struct quarantine_item *news, int64_t now_us);

/** Drops what changed before this time and has fewer crashes than this. */
void quarantine_table_fade(struct quarantine_table *table, int64_t before_us,
			   uint32_t crashes_until_refused);

void quarantine_item_pack(const struct quarantine_item *item,
			  msgpack_packer *packer);

bool quarantine_item_unpack(struct quarantine_item *item,
			    const msgpack_object *object);

#endif
