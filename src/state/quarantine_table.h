/**
 * @file quarantine_table.h
 * Suspected and refused requests, as a value that hosts exchange and merge
 * in any order with the same result.
 *
 * A lift by an operator, or an attempt that was served, starts a new epoch of
 * the item. An update of an older epoch changes nothing, whenever it arrives.
 */
#ifndef STATE_QUARANTINE_TABLE_H
#define STATE_QUARANTINE_TABLE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/quarantine.h"

#define QUARANTINE_CRASHES_MAX 12
#define QUARANTINE_ENTRIES_MAX 1024
/** Size of the text that names a part of a prompt. */
#define QUARANTINE_PART_SIZE 64

/** One crash of a server while the request ran on it. */
struct quarantine_crash {
	uint64_t server_hash;
	int64_t wall_us;
	/* Not exchanged: when this host learned of it, on its monotonic clock;
	 * only where the owner of the table sets it. */
	int64_t learned_us;
};

struct quarantine_item {
	struct tgw_fingerprint fingerprint;
	char team[TGW_NAME_SIZE];
	/** The part of a prompt that the item is about; empty for an item about
	 * a whole request. */
	char part[QUARANTINE_PART_SIZE];
	uint64_t epoch;
	size_t crash_count;
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	/* Not exchanged: */
	int64_t changed_us;   /**< last change, on this host's monotonic
			       * clock */
	bool changed_locally; /**< the change happened at this host */
	bool is_refused;      /**< as its owner has last told */
};

struct quarantine_table {
	size_t count;
	size_t capacity;
	size_t max_count; /**< 0: QUARANTINE_ENTRIES_MAX */
	/** The hash of a server names one run of it, which crashes once,
	 * whatever the wall clocks of those say that report it. */
	bool servers_crash_once;
	struct quarantine_item *items;
};

void quarantine_table_free(struct quarantine_table *table);

struct quarantine_item *quarantine_table_find(
	const struct quarantine_table *table,
	const struct tgw_fingerprint *fingerprint);

/** Finds an item, or adds it if it is new. In a full table, a new item replaces
 * the one with the fewest crashes, and among these the one that changed
 * longest ago.
 * @return the item */
struct quarantine_item *quarantine_table_find_or_add(
	struct quarantine_table *table,
	const struct tgw_fingerprint *fingerprint, int64_t now_us);

/** Adds a crash unless it is already recorded. Of more than
 * QUARANTINE_CRASHES_MAX the oldest ones are dropped.
 * @return whether the crashes have changed */
bool quarantine_item_add_crash(struct quarantine_item *item,
			       const struct quarantine_crash *crash,
			       bool servers_crash_once);

/** @return whether the request is refused, because it crashed servers too
 * often; NULL is not refused */
bool quarantine_item_is_refused(const struct quarantine_item *item,
				uint32_t crashes_until_refused);

void quarantine_item_remove_crash(struct quarantine_item *item, size_t index);

/** Removes the crashes and starts a new epoch. */
void quarantine_item_clear(struct quarantine_item *item);

/** Clears the item for an operator. Raises the epoch so far that the lift also
 * wins over epochs that hosts have started and the operator has not seen. */
void quarantine_item_lift(struct quarantine_item *item);

/** Merges an update. @return whether the table changed */
bool quarantine_table_merge(struct quarantine_table *table,
			    const struct quarantine_item *update,
			    int64_t now_us);

/** Removes the items that last changed before `before_us` and are not
 * refused. */
void quarantine_table_expire(struct quarantine_table *table, int64_t before_us,
			     uint32_t crashes_until_refused);

void quarantine_item_pack(const struct quarantine_item *item,
			  msgpack_packer *packer);

bool quarantine_item_unpack(struct quarantine_item *item,
			    const msgpack_object *object);

#endif
