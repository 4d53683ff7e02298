/**
 * @file mirror_followers.h
 * The hosts that follow the store's keys through this one, and the messages to
 * them. Private to store_mirror.
 */
#ifndef COORDINATION_MIRROR_FOLLOWERS_H
#define COORDINATION_MIRROR_FOLLOWERS_H

#include <stddef.h>
#include <stdint.h>

#include "coordination/mirrored_prefix.h"
#include "state/change_message.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

/** A host that follows this one. */
struct mirror_follower {
	char host[TGW_NAME_SIZE];
	int64_t stamp_us;    /**< of its last message, by its clock */
	int64_t received_us; /**< when that arrived */
	struct mirror_follower *next;
};

struct mirror_followers {
	struct tgw_peer *peer;
	const struct tgw_clock *clock;
	struct mirrored_prefix *prefixes;
	size_t prefix_count;
	uint64_t sequence; /**< of this process's last message */
	uint64_t changes_sent;
	struct mirror_follower *first;
};

void mirror_followers_clear(struct mirror_followers *followers);

/** Drops those that have not told for a while that they follow. */
void mirror_followers_expire(struct mirror_followers *followers);

size_t mirror_followers_count(const struct mirror_followers *followers);

/** Sends a message of this process, to a follower or to its own relay. */
void mirror_followers_send(struct mirror_followers *followers, const char *host,
			   struct change_message *message);

/** Tells all that the prefix was confirmed, or that the store does not answer.
 * Small changes are sent at once; followers ask for larger ones. */
void mirror_followers_update(struct mirror_followers *followers,
			     struct mirrored_prefix *prefix,
			     int64_t previous_revision);

/** Answers a message of kind FOLLOW or PULL. */
void mirror_followers_on_message(struct mirror_followers *followers,
				 const char *from_host,
				 const struct change_message *message);

#endif
