/**
 * @file mirror_table.h
 * A copy of the keys under one prefix of the store, and the changes between two
 * of its states, which one host sends to another.
 */
#ifndef STATE_MIRROR_TABLE_H
#define STATE_MIRROR_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/status.h"
#include "tamarackgw/store.h"

/** Largest encoded changes that are sent or accepted, in bytes, before they are
 * compressed. */
#define MIRROR_CHANGES_MAX_BYTES (4 * 1024 * 1024)

struct mirror_entry {
	char *key;
	uint8_t *value; /**< NULL: deleted */
	size_t value_size;
	int64_t version; /**< of the last change, a deletion included */
	bool dated;	 /**< the version of a deletion is known */
	bool is_listed;	 /**< by the changes that are being applied */
};

struct mirror_table {
	/** All changes up to this revision of the store are in the table; 0:
	 * nothing is known. */
	int64_t revision;
	int64_t changed_revision; /**< of the last change among them */
	/** Deletions up to this revision may be unknown. */
	int64_t base_revision;
	size_t count;
	size_t capacity;	      /**< of the array */
	struct mirror_entry *entries; /**< sorted by key, deleted ones too */
};

/** Reports a change to whoever follows the table. */
struct mirror_listener {
	void (*changed)(void *arg, const struct tgw_store_entry *entry);
	void *arg;
};

void mirror_table_clear(struct mirror_table *table);

/** Applies a change that a watch reported. A deletion without a known version
 * gets one with mirror_table_confirm().
 * @return false for one that is older than what is known */
bool mirror_table_apply(struct mirror_table *table,
			const struct tgw_store_entry *entry);

/** All changes up to the revision were applied. */
void mirror_table_confirm(struct mirror_table *table, int64_t revision);

/** Replaces all keys by those of a list, which the store made at the revision
 * or later. */
void mirror_table_replace(struct mirror_table *table,
			  const struct tgw_store_entry *entries, size_t count,
			  int64_t revision);

/** Appends the changes after a revision, or all keys if those are not known.
 * Large ones are compressed.
 * @return false if they would be too large; then nothing is appended */
bool mirror_table_encode(const struct mirror_table *table,
			 int64_t after_revision, struct buffer *bytes);

/** Applies encoded changes of another host, each unless it is older than what
 * is known, and reports them.
 * @return OK; CORRUPT without having changed anything; CONFLICT if they begin
 * after the table's revision */
enum tgw_status mirror_table_decode(struct mirror_table *table,
				    const void *bytes, size_t size,
				    const struct mirror_listener *listener);

#endif
