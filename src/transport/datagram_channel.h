/**
 * @file datagram_channel.h
 * The peer channel over UDP, on the event loop. A datagram holds one message,
 * with a keyed hash that only hosts of the fleet can make; all others are
 * dropped without a reply.
 */
#ifndef TRANSPORT_DATAGRAM_CHANNEL_H
#define TRANSPORT_DATAGRAM_CHANNEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "state/peer_key.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

/** Largest datagram, so that it is not fragmented. */
#define DATAGRAM_MAX_BYTES 1400

struct datagram_channel_settings {
	const char *address; /**< IP address and port to receive at */
	const char *host_name;
	uint64_t incarnation;
	/** @return the address of a host, or NULL */
	const char *(*address_of)(void *arg, const char *host);
	void (*receive)(void *arg, const struct tgw_peer_message *message);
	void *arg;
};

struct datagram_channel_counters {
	uint64_t messages_sent;
	uint64_t bytes_sent;
	uint64_t messages_received;
	uint64_t bytes_received;
	uint64_t messages_dropped;  /**< could not be sent */
	uint64_t messages_rejected; /**< malformed, or not of this fleet */
};

struct datagram_channel {
	struct tgw_peer peer; /**< first member */
	uv_udp_t socket;
	bool open;
	bool key_known;
	struct peer_key key;
	char host_name[TGW_NAME_SIZE];
	struct datagram_channel_settings settings;
	struct datagram_channel_counters counters;
	/** For received datagrams; one byte more shows one that is too long. */
	char received[DATAGRAM_MAX_BYTES + 1];
};

/** Starts to receive. Without a key, nothing is sent and all is dropped.
 * @return INVALID for an address that can't be parsed, UNAVAILABLE for one that
 * can't be used */
enum tgw_status datagram_channel_open(
	struct datagram_channel *channel, uv_loop_t *loop,
	const struct datagram_channel_settings *settings,
	struct tgw_error *error);

void datagram_channel_set_key(struct datagram_channel *channel,
			      const struct peer_key *key);

/** The loop has to run once more to close the socket. */
void datagram_channel_close(struct datagram_channel *channel);

#endif
