/**
 * @file backend_follower.h
 * Keeps the table of backend servers in step with their entries in the
 * store.
 *
 * Entries may lapse while the store is away although their servers live, so
 * for a while after an outage a missing entry is not yet taken as gone. A
 * server that says it drains is believed at once.
 */
#ifndef COORDINATION_BACKEND_FOLLOWER_H
#define COORDINATION_BACKEND_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/backend_table.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

struct backend_follower;

/** Calls into the owner, for its log. */
struct backend_follower_events {
	/** Decodes a value. @return false if it names no server to use */
	bool (*decode)(const uint8_t *value, size_t size,
		       struct backend_entry *entry);
	void (*joined)(void *arg, const struct backend_entry *entry);
	void (*draining)(void *arg, const struct backend_entry *entry);
	void (*gone)(void *arg, const char *id, const char *reason);
	void (*store_away)(void *arg);
	void (*store_back)(void *arg);
	void *arg;
};

/** @param prefix of the entries' keys; the server's id follows it */
struct backend_follower *backend_follower_new(
	const char *prefix, struct tgw_store *store,
	const struct tgw_clock *clock, struct backend_table *table,
	const struct backend_follower_events *events);
void backend_follower_free(struct backend_follower *follower);

/** Does what is due. @return the next due time */
int64_t backend_follower_tick(struct backend_follower *follower);

/** @return whether the store did not answer lately */
bool backend_follower_is_away(const struct backend_follower *follower);

/** @return whether the entries were read at least once */
bool backend_follower_is_ready(const struct backend_follower *follower);

#endif
