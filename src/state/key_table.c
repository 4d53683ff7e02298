#include "state/key_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define INITIAL_CAPACITY 64

/* Hashes only the prefix of a key, so that a key is found by its prefix too. */
static size_t home_slot(const struct key_table *table, const void *key)
{
	return XXH64(key, sizeof(uint64_t), 0) & (table->capacity - 1);
}

static size_t next_slot(const struct key_table *table, size_t slot)
{
	return (slot + 1) & (table->capacity - 1);
}

/* The slot of the key, or the empty one where it belongs. */
static size_t find_slot(const struct key_table *table,
			const struct tgw_request_key *key)
{
	size_t slot = home_slot(table, key);

	while (table->slots[slot] &&
	       memcmp(table->slots[slot], key, sizeof(*key)))
		slot = next_slot(table, slot);
	return slot;
}

void *key_table_find(const struct key_table *table,
		     const struct tgw_request_key *key)
{
	if (!table->count)
		return NULL;
	return table->slots[find_slot(table, key)];
}

uint64_t key_table_prefix(const struct tgw_request_key *key)
{
	uint64_t prefix;

	memcpy(&prefix, key->bytes, sizeof(prefix));
	return prefix;
}

void *key_table_find_prefix(const struct key_table *table, uint64_t prefix)
{
	size_t slot;

	if (!table->count)
		return NULL;
	slot = home_slot(table, &prefix);
	while (table->slots[slot] &&
	       memcmp(table->slots[slot], &prefix, sizeof(prefix)))
		slot = next_slot(table, slot);
	return table->slots[slot];
}

static void grow(struct key_table *table)
{
	const struct key_table old = *table;

	table->capacity = old.capacity ? old.capacity * 2 : INITIAL_CAPACITY;
	table->slots = xcalloc(table->capacity, sizeof(table->slots[0]));
	for (size_t i = 0; i < old.capacity; i++)
		if (old.slots[i])
			table->slots[find_slot(table, old.slots[i])] =
				old.slots[i];
	free(old.slots);
}

void key_table_add(struct key_table *table, void *record)
{
	struct tgw_request_key key;

	memcpy(&key, record, sizeof(key));
	if (table->count * 4 >= table->capacity * 3)
		grow(table);
	table->slots[find_slot(table, &key)] = record;
	table->count++;
}

/* Inserts the records that follow in the probe sequence again, so that the
 * empty slot does not hide them. */
void key_table_remove(struct key_table *table,
		      const struct tgw_request_key *key)
{
	size_t empty_slot;
	size_t slot;

	if (!key_table_find(table, key))
		return;
	empty_slot = find_slot(table, key);
	table->slots[empty_slot] = NULL;
	table->count--;
	for (slot = next_slot(table, empty_slot); table->slots[slot];
	     slot = next_slot(table, slot)) {
		void *record = table->slots[slot];

		table->slots[slot] = NULL;
		table->slots[find_slot(table, record)] = record;
	}
}

void key_table_free(struct key_table *table)
{
	free(table->slots);
	memset(table, 0, sizeof(*table));
}
