/**
 * @file route_follower.h
 * Follows the set of routes in the store. A set comes into force as a whole,
 * and never after a newer one.
 */
#ifndef COORDINATION_ROUTE_FOLLOWER_H
#define COORDINATION_ROUTE_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

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
	/** A stored set does not decode; the previous one stays in force. */
	void (*refused)(void *arg, const char *reason);
	void *arg;
};

/** @param prefix of the keys that are watched
 * @param key of the set, under the prefix */
struct route_follower *route_follower_new(
	const char *prefix, const char *key, struct tgw_store *store,
	const struct tgw_clock *clock,
	const struct route_follower_events *events);
void route_follower_free(struct route_follower *follower);

/** Starts a read if one is due.
 * @return the time at which the next tick is due */
int64_t route_follower_tick(struct route_follower *follower);

/** @return the set in force; NULL before the first */
const struct route_set *route_follower_set(
	const struct route_follower *follower);

#endif
