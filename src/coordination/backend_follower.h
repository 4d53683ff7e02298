/**
 * @file backend_follower.h
 * Keeps the table of backend servers in step with their entries in the store.
 *
 * While the store is unreachable, entries may expire although their servers are
 * alive. For a grace period after an outage, a server whose entry is missing
 * therefore stays in the table. An entry that reports its server as draining is
 * applied at once, even in the grace period.
 */
#ifndef COORDINATION_BACKEND_FOLLOWER_H
#define COORDINATION_BACKEND_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/backend_table.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

struct backend_follower;

/** The decoder of the entries, and callbacks that report changes of the table
 * and outages of the store. */
struct backend_follower_events {
	/** Decodes a value. @return false if it names no usable server */
	bool (*decode)(const uint8_t *value, size_t size,
		       struct backend_entry *entry);
	void (*joined)(void *arg, const struct backend_entry *entry);
	void (*draining)(void *arg, const struct backend_entry *entry);
	/** A server was added to the table, or its entry has changed. May be
	 * NULL. */
	void (*updated)(void *arg, struct backend *backend);
	/** The server is about to be removed from the table. */
	void (*removed)(void *arg, const char *id, const char *reason);
	/** The entry names no server that is known or could be used. Called
	 * once for each version of it, not each time that it is read, unless
	 * there are very many. May be NULL. */
	void (*ignored)(void *arg, const char *id, const char *reason);
	void (*store_outage_start)(void *arg);
	void (*store_outage_end)(void *arg);
	void *arg;
};

/** @param prefix of the entries' keys; the rest of a key is the server's id */
struct backend_follower *backend_follower_new(
	const char *prefix, struct tgw_store *store,
	const struct tgw_clock *clock, struct backend_table *table,
	const struct backend_follower_events *events);
void backend_follower_free(struct backend_follower *follower);

/** Starts a read of the entries if one is due, and removes the servers whose
 * entries are still missing after the grace period.
 * @return the time at which the next tick is due */
int64_t backend_follower_tick(struct backend_follower *follower);

/** @return whether the store is unreachable */
bool backend_follower_store_is_unreachable(
	const struct backend_follower *follower);

/** @return for how long the store has been reachable; 0 if it is not, or the
 * servers were never listed */
int64_t backend_follower_reachable_us(const struct backend_follower *follower);

/** @return whether the entries were read at least once */
bool backend_follower_is_ready(const struct backend_follower *follower);

#endif
