/**
 * @file route_running.h
 * The attempts that run on servers, by ticket.
 */
#ifndef COORDINATION_ROUTE_RUNNING_H
#define COORDINATION_ROUTE_RUNNING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/server_state.h"

struct route_pool;

struct route_running {
	uint64_t ticket; /**< 0 if the entry is unused */
	struct server_state *server;
	struct route_pool *pool;
	int64_t cost_units;
	int64_t started_us;
};

struct route_running_table {
	struct route_running *entries;
	size_t capacity;
	uint64_t next_serial;
};

void route_running_table_free(struct route_running_table *table);

/** @return a new entry with its ticket set; valid until the next add */
struct route_running *route_running_add(struct route_running_table *table);

/** @return the attempt, or NULL when it has ended already */
struct route_running *route_running_find(struct route_running_table *table,
					 uint64_t ticket);

#endif
