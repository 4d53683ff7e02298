/**
 * @file store_mirror.h
 * A store whose watched prefixes are followed through another host while that
 * one is up to date, so that not each host of a failure domain has to watch
 * them. All other operations go to the store itself.
 *
 * The host that is followed says how old its knowledge is. The age is counted
 * from this host's own last message to it, so a late message does not look
 * fresh. Once the knowledge is older than a limit, this host watches by itself
 * until it is fresh again; no key ever goes back to an earlier version.
 */
#ifndef COORDINATION_STORE_MIRROR_H
#define COORDINATION_STORE_MIRROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/change_message.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/store.h"

struct store_mirror;

struct store_mirror_settings {
	/** Prefixes that are mirrored; the same at all hosts. */
	const char *const *prefixes;
	size_t prefix_count;
	/** Sends messages to other hosts; NULL: all prefixes are watched here.
	 */
	struct tgw_peer *peer;
	/** Time within which a change has to be known here. */
	int64_t apply_us;
	/** Time from the start in which a relay may become known; before that
	 * no prefix is watched, only listed. */
	int64_t discovery_us;
	/** A call of this host to follow the prefixes ended; answers through
	 * another host don't count. May be NULL. */
	void (*called)(void *arg, bool answered);
	/** A watch of the store told nothing for longer than a call of it may
	 * last, and is opened anew. May be NULL. */
	void (*stalled)(void *arg, const char *prefix, int64_t silent_us);
	void *arg;
	/** Longest time between two answers to a watch while the store answers,
	 * unless the watcher says how long a call may be held. */
	int64_t watch_period_us;
};

struct store_mirror_counters {
	uint64_t followed_relays;  /**< times that another host was followed */
	uint64_t watched_store;	   /**< times that the store was watched */
	uint64_t stalled_watches;  /**< that told nothing for too long */
	uint64_t changes_received; /**< from other hosts */
	uint64_t changes_sent;
	uint64_t pulls;
};

struct store_mirror *store_mirror_new(
	const struct store_mirror_settings *settings, struct tgw_store *store,
	const struct tgw_clock *clock);

/** All owners of watches and callbacks must have been freed. */
void store_mirror_free(struct store_mirror *mirror);

/** @return the store to use in place of the other one */
struct tgw_store *store_mirror_store(struct store_mirror *mirror);

/** Follows another host.
 * @param relay its name; empty for none */
void store_mirror_set_relay(struct store_mirror *mirror, const char *relay);

/** Applies a message of topic TGW_PEER_CHANGES. */
void store_mirror_on_message(struct store_mirror *mirror,
			     const struct tgw_peer_message *message);

/** Sends the messages that are due, and switches between the store and the
 * other host. */
void store_mirror_tick(struct store_mirror *mirror);

/** @return whether all prefixes are followed through another host */
bool store_mirror_follows_relay(const struct store_mirror *mirror);

/** @return hosts that follow this one */
size_t store_mirror_follower_count(const struct store_mirror *mirror);

size_t store_mirror_prefix_count(const struct store_mirror *mirror);
const char *store_mirror_prefix(const struct store_mirror *mirror,
				size_t number);

#define STORE_MIRROR_NEVER_CONFIRMED INT64_C(-1)

/** @return the time since the store last confirmed a prefix to this host or its
 * relay, or STORE_MIRROR_NEVER_CONFIRMED */
int64_t store_mirror_age_us(const struct store_mirror *mirror, size_t number);

/** @return the latest version of the store that this host knows of, by itself
 * or through its relay */
int64_t store_mirror_version(const struct store_mirror *mirror);

const struct store_mirror_counters *store_mirror_get_counters(
	const struct store_mirror *mirror);

#endif
