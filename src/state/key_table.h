/**
 * @file key_table.h
 * Finds records by request key. A record starts with its
 * struct tgw_request_key; the table does not own it.
 */
#ifndef STATE_KEY_TABLE_H
#define STATE_KEY_TABLE_H

#include <stddef.h>

#include "tamarackgw/budget.h"

struct key_table {
	size_t count;
	size_t capacity; /**< a power of two, or 0 */
	void **slots;
};

void *key_table_find(const struct key_table *table,
		     const struct tgw_request_key *key);

/** @return the first 8 bytes of a key, which stand for it in messages that
 * report settled keys to other hosts */
uint64_t key_table_prefix(const struct tgw_request_key *key);

/** @return a record whose key has this prefix, or NULL */
void *key_table_find_prefix(const struct key_table *table, uint64_t prefix);

/** Adds a record whose key is not in the table. */
void key_table_add(struct key_table *table, void *record);

void key_table_remove(struct key_table *table,
		      const struct tgw_request_key *key);

/** Frees the slots, not the records. */
void key_table_free(struct key_table *table);

#endif
