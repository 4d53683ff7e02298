/**
 * @file peer.h
 * Messages between hosts. A message may be lost, duplicated, delayed or
 * reordered; every protocol on top has to tolerate that.
 */
#ifndef TAMARACKGW_PEER_H
#define TAMARACKGW_PEER_H

#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"

/** Largest payload of one message, in bytes. */
#define TGW_PEER_PAYLOAD_MAX_BYTES (256 * 1024)

/** The component of the receiving host that a message is for. */
enum tgw_peer_topic {
	TGW_PEER_MEMBERSHIP = 1,
	TGW_PEER_BUDGET = 2,
	TGW_PEER_CLAIM = 3,
	TGW_PEER_CONFIG = 4,
	TGW_PEER_QUARANTINE = 5,
	TGW_PEER_TRANSFER = 6,
	TGW_PEER_CHANGES = 7,
	TGW_PEER_SERVERS = 8,
	TGW_PEER_LOADS = 9,
	TGW_PEER_TOPIC_END
};

/** A received message. Valid only during the call that delivers it. */
struct tgw_peer_message {
	const char *from_host;
	uint64_t from_incarnation;
	enum tgw_peer_topic topic;
	const uint8_t *payload;
	size_t payload_size;
};

struct tgw_peer;

/** Operations of a peer channel. */
struct tgw_peer_ops {
	/**
	 * Queues a message and returns at once.
	 * @return TGW_OK even if the message is lost later;
	 *         TGW_NOT_FOUND when the host has no known address;
	 *         TGW_TOO_LARGE when the payload is over the maximum
	 */
	enum tgw_status (*send)(struct tgw_peer *peer, const char *to_host,
				enum tgw_peer_topic topic, const void *payload,
				size_t payload_size);
};

/** A peer channel; implementations embed it as their first member. */
struct tgw_peer {
	const struct tgw_peer_ops *ops;
};

static inline enum tgw_status tgw_peer_send(struct tgw_peer *peer,
					    const char *to_host,
					    enum tgw_peer_topic topic,
					    const void *payload,
					    size_t payload_size)
{
	return peer->ops->send(peer, to_host, topic, payload, payload_size);
}

#endif
