#include "transport/datagram_channel.h"

#include <sodium.h>
#include <string.h>

#include "base/buffer.h"
#include "base/short_name.h"
#include "protocol/peer_frame.h"
#include "transport/socket_address.h"

/* A datagram is the size of the header in one byte, the header, the payload,
 * and the hash of these. */
#define HEADER_SIZE_BYTES 1
#define HASH_BYTES crypto_generichash_BYTES_MIN
#define HEADER_MAX_BYTES 255

static struct datagram_channel *channel_of(struct tgw_peer *peer)
{
	return (struct datagram_channel *)peer;
}

static void compute_hash(const struct datagram_channel *channel,
			 const char *data, size_t size, uint8_t *hash)
{
	crypto_generichash(hash, HASH_BYTES, (const uint8_t *)data, size,
			   channel->key.bytes, sizeof(channel->key.bytes));
}

static void write_datagram(const struct datagram_channel *channel,
			   enum tgw_peer_topic topic, const void *payload,
			   size_t payload_size, struct buffer *datagram)
{
	struct peer_frame frame = {
		.from_incarnation = channel->settings.incarnation,
		.topic = topic,
	};
	uint8_t hash[HASH_BYTES];
	char header_size = 0;

	short_name_copy(frame.from_host, channel->host_name);
	buffer_add(datagram, &header_size, HEADER_SIZE_BYTES);
	peer_frame_encode(&frame, datagram);
	datagram->data[0] = (char)(datagram->size - HEADER_SIZE_BYTES);
	buffer_add(datagram, payload, payload_size);
	compute_hash(channel, datagram->data, datagram->size, hash);
	buffer_add(datagram, hash, sizeof(hash));
}

static enum tgw_status send_datagram(struct datagram_channel *channel,
				     const union socket_address *address,
				     struct buffer *datagram)
{
	uv_buf_t part =
		uv_buf_init(datagram->data, (unsigned int)datagram->size);

	/* What the socket does not take at once is lost, as on the way. */
	if (uv_udp_try_send(&channel->socket, &part, 1, &address->any) < 0) {
		channel->counters.messages_dropped++;
		return TGW_OK;
	}
	channel->counters.messages_sent++;
	channel->counters.bytes_sent += datagram->size;
	return TGW_OK;
}

static enum tgw_status channel_send(struct tgw_peer *peer, const char *to_host,
				    enum tgw_peer_topic topic,
				    const void *payload, size_t payload_size)
{
	struct datagram_channel *channel = channel_of(peer);
	const struct datagram_channel_settings *settings = &channel->settings;
	const char *text = settings->address_of(settings->arg, to_host);
	union socket_address address;
	struct buffer datagram = {0};
	enum tgw_status status;

	if (!channel->open || !channel->key_known || !text ||
	    !socket_address_parse(text, &address))
		return TGW_NOT_FOUND;
	write_datagram(channel, topic, payload, payload_size, &datagram);
	if (datagram.size > DATAGRAM_MAX_BYTES)
		status = TGW_TOO_LARGE;
	else
		status = send_datagram(channel, &address, &datagram);
	buffer_free(&datagram);
	return status;
}

static const struct tgw_peer_ops channel_ops = {.send = channel_send};

static bool is_authentic(const struct datagram_channel *channel,
			 const char *data, size_t size)
{
	uint8_t hash[HASH_BYTES];

	if (!channel->key_known || size < HEADER_SIZE_BYTES + HASH_BYTES ||
	    size > DATAGRAM_MAX_BYTES)
		return false;
	compute_hash(channel, data, size - HASH_BYTES, hash);
	return !sodium_memcmp(hash, data + size - HASH_BYTES, HASH_BYTES);
}

/* @return whether the datagram was a message */
static bool deliver(struct datagram_channel *channel, const char *data,
		    size_t size)
{
	const struct datagram_channel_settings *settings = &channel->settings;
	struct tgw_peer_message message;
	struct peer_frame frame;
	size_t header_end;

	if (!is_authentic(channel, data, size))
		return false;
	size -= HASH_BYTES;
	header_end = HEADER_SIZE_BYTES + (uint8_t)data[0];
	if (header_end > size ||
	    peer_frame_decode(&frame, data + HEADER_SIZE_BYTES,
			      header_end - HEADER_SIZE_BYTES, NULL) != TGW_OK)
		return false;
	message = (struct tgw_peer_message){
		.from_host = frame.from_host,
		.from_incarnation = frame.from_incarnation,
		.topic = frame.topic,
		.payload = (const uint8_t *)data + header_end,
		.payload_size = size - header_end,
	};
	channel->counters.messages_received++;
	channel->counters.bytes_received += size + HASH_BYTES;
	settings->receive(settings->arg, &message);
	return true;
}

static void on_allocate(uv_handle_t *handle, size_t suggested_size,
			uv_buf_t *buffer)
{
	struct datagram_channel *channel = handle->data;

	*buffer = uv_buf_init(channel->received, sizeof(channel->received));
}

static void on_received(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct datagram_channel *channel = socket->data;

	if (size <= 0)
		return;
	if (flags & UV_UDP_PARTIAL ||
	    !deliver(channel, buffer->base, (size_t)size))
		channel->counters.messages_rejected++;
}

enum tgw_status datagram_channel_open(
	struct datagram_channel *channel, uv_loop_t *loop,
	const struct datagram_channel_settings *settings,
	struct tgw_error *error)
{
	union socket_address address;
	int uv_error;

	memset(channel, 0, sizeof(*channel));
	channel->peer.ops = &channel_ops;
	channel->settings = *settings;
	short_name_copy(channel->host_name, settings->host_name);
	if (!socket_address_parse(settings->address, &address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s is not an address; give IP:PORT",
				     settings->address);
	uv_udp_init(loop, &channel->socket);
	channel->socket.data = channel;
	channel->open = true;
	uv_error = uv_udp_bind(&channel->socket, &address.any, 0);
	if (!uv_error)
		uv_error = uv_udp_recv_start(&channel->socket, on_allocate,
					     on_received);
	if (!uv_error)
		return TGW_OK;
	datagram_channel_close(channel);
	return tgw_error_set(error, TGW_UNAVAILABLE,
			     "can't receive at %s: %s; check that the address "
			     "is local and not in use",
			     settings->address, uv_strerror(uv_error));
}

void datagram_channel_set_key(struct datagram_channel *channel,
			      const struct peer_key *key)
{
	channel->key = *key;
	channel->key_known = true;
}

void datagram_channel_close(struct datagram_channel *channel)
{
	if (!channel->open)
		return;
	channel->open = false;
	uv_close((uv_handle_t *)&channel->socket, NULL);
}
