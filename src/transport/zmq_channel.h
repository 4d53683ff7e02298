/**
 * @file zmq_channel.h
 * The peer channel over ZeroMQ: one ROUTER socket to receive, and one DEALER
 * socket for each host to send to. With a fleet key, connections use CURVE. All
 * functions run on the thread that polls the descriptors.
 */
#ifndef TRANSPORT_ZMQ_CHANNEL_H
#define TRANSPORT_ZMQ_CHANNEL_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

#define ZMQ_CHANNEL_KEY_SIZE 41
#define ZMQ_CHANNEL_DESCRIPTORS 2

/** The fleet's CURVE key pair in Z85; empty strings for no encryption. */
struct zmq_channel_keys {
	char public_key[ZMQ_CHANNEL_KEY_SIZE];
	char secret_key[ZMQ_CHANNEL_KEY_SIZE];
};

struct zmq_channel_settings {
	const char *bind_url;
	const char *host_name;
	uint64_t incarnation;
	struct zmq_channel_keys keys;
	void (*receive)(void *arg, const struct tgw_peer_message *message);
	void *arg;
};

struct zmq_channel_counters {
	uint64_t messages_sent;
	uint64_t bytes_sent;
	uint64_t messages_received;
	uint64_t bytes_received;
	uint64_t messages_dropped;  /**< the queue to the host was full, or no
				     * connection could be set up */
	uint64_t messages_rejected; /**< malformed or too large */
	uint64_t peers_refused;	    /**< wrong key */
};

struct zmq_channel;

/** @return NULL with the error set when it can't listen */
struct zmq_channel *zmq_channel_new(const struct zmq_channel_settings *settings,
				    struct tgw_error *error);

void zmq_channel_free(struct zmq_channel *channel);

struct tgw_peer *zmq_channel_peer(struct zmq_channel *channel);

/** Writes the URL that the channel listens on, with the actual port if the
 * system chose it. */
void zmq_channel_bound_url(const struct zmq_channel *channel, char *url,
			   size_t url_size);

/** Applies the hosts' addresses. Connections to hosts that are gone, or not in
 * the view, are closed. */
void zmq_channel_set_hosts(struct zmq_channel *channel,
			   const struct tgw_host_view *view);

/** Returns the descriptors to poll for input, -1 for an unused one. They are
 * edge-triggered: once one is readable, zmq_channel_receive() has to be called
 * until it returns false. */
void zmq_channel_descriptors(struct zmq_channel *channel,
			     int descriptors[ZMQ_CHANNEL_DESCRIPTORS]);

/** Passes received messages to the `receive` function of the settings.
 * @return whether more may be left */
bool zmq_channel_receive(struct zmq_channel *channel);

const struct zmq_channel_counters *zmq_channel_counters(
	const struct zmq_channel *channel);

/** Reads a key pair file: two lines, public then secret, in Z85. The file
 * must not be readable by group or others. */
enum tgw_status zmq_channel_keys_read(struct zmq_channel_keys *keys,
				      const char *path,
				      struct tgw_error *error);

#endif
