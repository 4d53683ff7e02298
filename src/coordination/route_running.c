#include "coordination/route_running.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define FIRST_CAPACITY 256
/* A ticket is a serial number above the index of its place. */
#define INDEX_BITS 20
#define INDEX_MASK ((UINT64_C(1) << INDEX_BITS) - 1)

void route_running_table_free(struct route_running_table *table)
{
	free(table->places);
	memset(table, 0, sizeof(*table));
}

static size_t free_place(struct route_running_table *table)
{
	size_t capacity = table->capacity;

	for (size_t i = 0; i < capacity; i++) {
		size_t at = (table->next_serial + i) % capacity;

		if (!table->places[at].ticket)
			return at;
	}
	table->capacity = capacity ? 2 * capacity : FIRST_CAPACITY;
	table->places = xrealloc(table->places,
				 table->capacity * sizeof(table->places[0]));
	memset(table->places + capacity, 0,
	       (table->capacity - capacity) * sizeof(table->places[0]));
	return capacity;
}

struct route_running *route_running_add(struct route_running_table *table)
{
	size_t at = free_place(table);
	struct route_running *running = &table->places[at];

	memset(running, 0, sizeof(*running));
	running->ticket = (++table->next_serial << INDEX_BITS) | at;
	return running;
}

struct route_running *route_running_find(struct route_running_table *table,
					 uint64_t ticket)
{
	size_t at = (size_t)(ticket & INDEX_MASK);

	if (!ticket || at >= table->capacity ||
	    table->places[at].ticket != ticket)
		return NULL;
	return &table->places[at];
}
