/**
 * @file zmq_channel.h
 * The peer channel over ZeroMQ: one ROUTER socket that receives and one
 * DEALER socket for each host that is sent to, with CURVE when there is a
 * fleet key. Everything runs on the thread that polls.
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
	uint64_t messages_dropped; /**< the queue to the host was full */
	uint64_t messages_damaged;
	uint64_t peers_refused; /**< wrong key */
};

struct zmq_channel;

/** @return NULL with the error set when it can't listen */
struct zmq_channel *zmq_channel_new(const struct zmq_channel_settings *settings,
				    struct tgw_error *error);

void zmq_channel_free(struct zmq_channel *channel);

struct tgw_peer *zmq_channel_peer(struct zmq_channel *channel);

/** The address that hosts reach, also when the port was left open. */
void zmq_channel_bound_url(const struct zmq_channel *channel, char *url,
			   size_t url_size);

/** Takes over addresses; connections to hosts that are gone are closed. */
void zmq_channel_set_hosts(struct zmq_channel *channel,
			   const struct tgw_host_view *view);

/** What to wait for (or -1) until it becomes readable. Only the change is told:
 * once it came, zmq_channel_receive() has to be called until nothing is left.
 */
void zmq_channel_descriptors(struct zmq_channel *channel,
			     int descriptors[ZMQ_CHANNEL_DESCRIPTORS]);

/** Hands over what came in. @return whether more may be left */
bool zmq_channel_receive(struct zmq_channel *channel);

const struct zmq_channel_counters *zmq_channel_counters(
	const struct zmq_channel *channel);

/** Reads a key pair file: two lines, public then secret, in Z85. The file
 * must not be readable by group or others. */
enum tgw_status zmq_channel_keys_read(struct zmq_channel_keys *keys,
				      const char *path,
				      struct tgw_error *error);

#endif
