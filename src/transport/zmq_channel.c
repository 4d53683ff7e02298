#include "transport/zmq_channel.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/xalloc.h"
#include "protocol/peer_frame.h"
#include "transport/zap_handler.h"

#define QUEUED_MESSAGES_MAX 256
/* Membership detects dead hosts. These heartbeats only detect connections that
 * died silently, and cost a message per connection. */
#define HEARTBEAT_INTERVAL_MS 30000
#define HEARTBEAT_TIMEOUT_MS 60000
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define LINGER_MS 200
#define HEAD_MAX_BYTES 256
#define RECEIVE_BATCH_MESSAGES 1024

/* A host that messages are sent to. */
struct link {
	struct link *next;
	char host[TGW_NAME_SIZE];
	char url[TGW_URL_SIZE];
	void *socket; /* NULL until the first message */
	bool in_view; /* not gone, and with an address */
};

struct zmq_channel {
	struct tgw_peer peer; /* first member */
	void *context;
	void *receiver;
	struct zap_handler *zap;
	struct zmq_channel_settings settings;
	struct buffer head; /* differs between messages only in the topic */
	struct link *links;
	struct zmq_channel_counters counters;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_options(void *socket)
{
	set_int(socket, ZMQ_SNDHWM, QUEUED_MESSAGES_MAX);
	set_int(socket, ZMQ_LINGER, LINGER_MS);
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
}

static bool is_encrypted(const struct zmq_channel *channel)
{
	return channel->settings.keys.public_key[0] != '\0';
}

static void set_keys(const struct zmq_channel *channel, void *socket)
{
	const struct zmq_channel_keys *keys = &channel->settings.keys;

	if (!is_encrypted(channel))
		return;
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key,
		       ZMQ_CHANNEL_KEY_SIZE);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key,
		       ZMQ_CHANNEL_KEY_SIZE);
}

static void connect_link(struct zmq_channel *channel, struct link *link)
{
	link->socket = zmq_socket(channel->context, ZMQ_DEALER);
	if (!link->socket)
		return;
	set_options(link->socket);
	set_keys(channel, link->socket);
	if (is_encrypted(channel))
		zmq_setsockopt(link->socket, ZMQ_CURVE_SERVERKEY,
			       channel->settings.keys.public_key,
			       ZMQ_CHANNEL_KEY_SIZE);
	if (zmq_connect(link->socket, link->url)) {
		zmq_close(link->socket);
		link->socket = NULL;
	}
}

static struct link *find_link(struct zmq_channel *channel, const char *host)
{
	struct link *link = channel->links;

	while (link && strcmp(link->host, host))
		link = link->next;
	return link;
}

static void encode_head(struct zmq_channel *channel, enum tgw_peer_topic topic)
{
	struct peer_frame frame = {
		.from_incarnation = channel->settings.incarnation,
		.topic = topic,
	};

	strncpy(frame.from_host, channel->settings.host_name,
		sizeof(frame.from_host) - 1);
	buffer_clear(&channel->head);
	peer_frame_encode(&frame, &channel->head);
}

static enum tgw_status channel_send(struct tgw_peer *peer, const char *to_host,
				    enum tgw_peer_topic topic,
				    const void *payload, size_t payload_size)
{
	struct zmq_channel *channel = (struct zmq_channel *)peer;
	struct link *link = find_link(channel, to_host);

	if (!link)
		return TGW_NOT_FOUND;
	if (payload_size > TGW_PEER_PAYLOAD_MAX_BYTES)
		return TGW_TOO_LARGE;
	if (!link->socket)
		connect_link(channel, link);
	encode_head(channel, topic);
	if (!link->socket ||
	    zmq_send(link->socket, channel->head.data, channel->head.size,
		     ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) {
		channel->counters.messages_dropped++;
		return TGW_OK;
	}
	zmq_send(link->socket, payload, payload_size, ZMQ_DONTWAIT);
	channel->counters.messages_sent++;
	channel->counters.bytes_sent += channel->head.size + payload_size;
	return TGW_OK;
}

static const struct tgw_peer_ops channel_ops = {.send = channel_send};

static void close_link(struct link *link)
{
	if (link->socket)
		zmq_close(link->socket);
	free(link);
}

struct zmq_channel *zmq_channel_new(const struct zmq_channel_settings *settings,
				    struct tgw_error *error)
{
	struct zmq_channel *channel = xcalloc(1, sizeof(*channel));

	channel->peer.ops = &channel_ops;
	channel->settings = *settings;
	channel->context = zmq_ctx_new();
	/* libzmq refuses peers without the key only once this handler is
	 * bound. */
	if (is_encrypted(channel))
		channel->zap = zap_handler_new(channel->context,
					       settings->keys.public_key);
	channel->receiver = zmq_socket(channel->context, ZMQ_ROUTER);
	set_options(channel->receiver);
	set_keys(channel, channel->receiver);
	if (is_encrypted(channel))
		set_int(channel->receiver, ZMQ_CURVE_SERVER, 1);
	if (zmq_bind(channel->receiver, settings->bind_url)) {
		tgw_error_set(error, TGW_UNAVAILABLE,
			      "can't listen for other hosts on %s: %s; choose "
			      "another [host] peer_address",
			      settings->bind_url, zmq_strerror(errno));
		zmq_channel_free(channel);
		return NULL;
	}
	return channel;
}

void zmq_channel_free(struct zmq_channel *channel)
{
	if (!channel)
		return;
	while (channel->links) {
		struct link *link = channel->links;

		channel->links = link->next;
		close_link(link);
	}
	zmq_close(channel->receiver);
	zap_handler_free(channel->zap);
	zmq_ctx_term(channel->context);
	buffer_free(&channel->head);
	free(channel);
}

struct tgw_peer *zmq_channel_peer(struct zmq_channel *channel)
{
	return &channel->peer;
}

void zmq_channel_bound_url(const struct zmq_channel *channel, char *url,
			   size_t url_size)
{
	zmq_getsockopt(channel->receiver, ZMQ_LAST_ENDPOINT, url, &url_size);
}

static void add_or_update_link(struct zmq_channel *channel,
			       const struct tgw_host *host)
{
	struct link *link = find_link(channel, host->name);

	if (!link) {
		link = xcalloc(1, sizeof(*link));
		memcpy(link->host, host->name, sizeof(link->host));
		link->next = channel->links;
		channel->links = link;
	}
	link->in_view = true;
	if (!strcmp(link->url, host->peer_url))
		return;
	memcpy(link->url, host->peer_url, sizeof(link->url));
	if (link->socket)
		zmq_close(link->socket);
	link->socket = NULL;
}

void zmq_channel_set_hosts(struct zmq_channel *channel,
			   const struct tgw_host_view *view)
{
	struct link **at;

	for (struct link *link = channel->links; link; link = link->next)
		link->in_view = false;
	for (size_t i = 0; i < view->host_count; i++)
		if (i != view->self_index && view->hosts[i].peer_url[0] &&
		    view->hosts[i].state != TGW_HOST_GONE)
			add_or_update_link(channel, &view->hosts[i]);
	at = &channel->links;
	while (*at) {
		struct link *link = *at;

		if (link->in_view) {
			at = &link->next;
			continue;
		}
		*at = link->next;
		close_link(link);
	}
}

static int descriptor_of(void *socket)
{
	int descriptor = -1;
	size_t size = sizeof(descriptor);

	if (socket && zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size) != 0)
		abort();
	return descriptor;
}

void zmq_channel_descriptors(struct zmq_channel *channel,
			     int descriptors[ZMQ_CHANNEL_DESCRIPTORS])
{
	descriptors[0] = descriptor_of(channel->receiver);
	descriptors[1] = descriptor_of(zap_handler_socket(channel->zap));
}

static void deliver(struct zmq_channel *channel, zmq_msg_t *head,
		    zmq_msg_t *payload)
{
	struct peer_frame frame;
	struct tgw_peer_message message;

	channel->counters.messages_received++;
	channel->counters.bytes_received +=
		zmq_msg_size(head) + zmq_msg_size(payload);
	if (zmq_msg_size(head) > HEAD_MAX_BYTES ||
	    zmq_msg_size(payload) > TGW_PEER_PAYLOAD_MAX_BYTES ||
	    peer_frame_decode(&frame, zmq_msg_data(head), zmq_msg_size(head),
			      NULL) != TGW_OK) {
		channel->counters.messages_rejected++;
		return;
	}
	message.from_host = frame.from_host;
	message.from_incarnation = frame.from_incarnation;
	message.topic = frame.topic;
	message.payload = zmq_msg_data(payload);
	message.payload_size = zmq_msg_size(payload);
	channel->settings.receive(channel->settings.arg, &message);
}

/* Reads the parts of one message: address, head, payload. */
static bool receive_one(struct zmq_channel *channel)
{
	enum { ADDRESS, HEAD, PAYLOAD, PARTS };
	zmq_msg_t parts[PARTS];
	zmq_msg_t surplus;
	int count = 0;
	bool more = true;
	bool received = true;

	for (int i = 0; i < PARTS; i++)
		zmq_msg_init(&parts[i]);
	while (more && received) {
		bool is_surplus = count >= PARTS;
		zmq_msg_t *part = is_surplus ? &surplus : &parts[count];

		if (is_surplus)
			zmq_msg_init(&surplus);
		received = zmq_msg_recv(part, channel->receiver,
					ZMQ_DONTWAIT) >= 0;
		more = received && zmq_msg_more(part);
		if (is_surplus)
			zmq_msg_close(&surplus);
		if (received)
			count++;
	}
	if (count == PARTS)
		deliver(channel, &parts[HEAD], &parts[PAYLOAD]);
	else if (count)
		channel->counters.messages_rejected++;
	for (int i = 0; i < PARTS; i++)
		zmq_msg_close(&parts[i]);
	return count > 0;
}

bool zmq_channel_receive(struct zmq_channel *channel)
{
	zap_handler_serve(channel->zap);
	for (int i = 0; i < RECEIVE_BATCH_MESSAGES; i++)
		if (!receive_one(channel))
			return false;
	return true;
}

const struct zmq_channel_counters *zmq_channel_counters(
	const struct zmq_channel *channel)
{
	struct zmq_channel *mutable = (struct zmq_channel *)channel;

	mutable->counters.peers_refused = zap_handler_refused(channel->zap);
	return &channel->counters;
}
