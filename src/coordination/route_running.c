#include "coordination/route_running.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define INITIAL_CAPACITY 256
/* The low bits of a ticket are the index of its entry, the others a serial
 * number. */
#define INDEX_BITS 20
#define INDEX_MASK ((UINT64_C(1) << INDEX_BITS) - 1)

void route_running_table_free(struct route_running_table *table)
{
	free(table->entries);
	memset(table, 0, sizeof(*table));
}

static size_t find_unused(struct route_running_table *table)
{
	size_t capacity = table->capacity;

	for (size_t i = 0; i < capacity; i++) {
		size_t at = (table->next_serial + i) % capacity;

		if (!table->entries[at].ticket)
			return at;
	}
	table->capacity = capacity ? 2 * capacity : INITIAL_CAPACITY;
	table->entries = xrealloc(table->entries,
				  table->capacity * sizeof(table->entries[0]));
	memset(table->entries + capacity, 0,
	       (table->capacity - capacity) * sizeof(table->entries[0]));
	return capacity;
}

struct route_running *route_running_add(struct route_running_table *table)
{
	size_t at = find_unused(table);
	struct route_running *running = &table->entries[at];

	memset(running, 0, sizeof(*running));
	running->ticket = (++table->next_serial << INDEX_BITS) | at;
	return running;
}

struct route_running *route_running_find(struct route_running_table *table,
					 uint64_t ticket)
{
	size_t at = (size_t)(ticket & INDEX_MASK);

	if (!ticket || at >= table->capacity ||
	    table->entries[at].ticket != ticket)
		return NULL;
	return &table->entries[at];
}
