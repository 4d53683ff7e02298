/**
 * @file route_follower.h
 * Follows what the operators keep in the store under one prefix: the set of
 * routes, which comes into force as a whole and never after a newer one, and a
 * key for each failure domain that is evacuated.
 */
#ifndef COORDINATION_ROUTE_FOLLOWER_H
#define COORDINATION_ROUTE_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/evacuations.h"
#include "state/route_set.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

struct route_follower;

struct route_follower_events {
	/** Decodes a value. @return NULL, with the reason in the error */
	struct route_set *(*decode)(const uint8_t *value, size_t size,
				    struct tgw_error *error);
	/** A newer set is in force. The previous one is freed when the
	 * callback has returned. */
	void (*in_force)(void *arg, const struct route_set *set);
	/** A stored value is no set of routes; the previous one stays in force.
	 * Called once for each such value. */
	void (*refused)(void *arg, const char *reason);
	/** A failure domain is evacuated, or no longer. */
	void (*evacuated)(void *arg, const char *failure_domain, bool active);
	/** A key under the prefix of evacuations can't be used. */
	void (*evacuation_ignored)(void *arg, const char *key,
				   const char *reason);
	void *arg;
};

/** Where operators keep what is followed. */
struct route_follower_keys {
	const char *prefix;	 /**< of all keys, which is watched */
	const char *routes;	 /**< key of the set of routes */
	const char *evacuations; /**< prefix of the evacuations' keys */
};

/** @param keys their texts must outlive the follower */
struct route_follower *route_follower_new(
	const struct route_follower_keys *keys, struct tgw_store *store,
	const struct tgw_clock *clock,
	const struct route_follower_events *events);
void route_follower_free(struct route_follower *follower);

/** Starts a read if one is due.
 * @return the time at which the next tick is due */
int64_t route_follower_tick(struct route_follower *follower);

/** @return the set in force; NULL before the first, and until all keys were
 * listed: an evacuation may be among them */
const struct route_set *route_follower_set(
	const struct route_follower *follower);

const struct evacuations *route_follower_evacuations(
	const struct route_follower *follower);

#endif
