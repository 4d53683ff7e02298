#include "fakes/fake_net.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define DEFAULT_LATENCY_US INT64_C(1000)
#define PAUSED_RETRY_US (INT64_C(50) * TGW_US_PER_MS)

struct packet {
	struct fake_net_end *from;
	struct fake_net_end *to;
	uint64_t from_incarnation;
	uint64_t to_incarnation;
	enum tgw_peer_topic topic;
	size_t size;
	uint8_t payload[];
};

static struct fake_net_end *find_end(struct fake_net *net, const char *name)
{
	for (size_t i = 0; i < net->end_count; i++)
		if (!strcmp(net->ends[i]->name, name))
			return net->ends[i];
	return NULL;
}

static bool is_at_target(const struct packet *packet)
{
	const struct fake_net_end *to = packet->to;

	return to->up && (to->net->delivers_to_successors ||
			  to->incarnation == packet->to_incarnation);
}

static void deliver(void *arg)
{
	struct packet *packet = arg;
	struct fake_net_end *to = packet->to;
	struct tgw_peer_message message = {
		.from_host = packet->from->name,
		.from_incarnation = packet->from_incarnation,
		.topic = packet->topic,
		.payload = packet->payload,
		.payload_size = packet->size,
	};

	if (is_at_target(packet) && to->paused) {
		fake_world_after_or_release(to->net->world, PAUSED_RETRY_US,
					    deliver, free, packet);
		return;
	}
	if (is_at_target(packet) && !to->receives_nothing &&
	    to->group == packet->from->group)
		to->receive(to->arg, &message);
	free(packet);
}

static bool fault_occurs(struct fake_net *net, uint32_t per_1000)
{
	return per_1000 &&
	       tgw_random_below(&net->world->random, 1000) < per_1000;
}

/* @return how long a message waits for the link and takes on it */
static int64_t link_delay_us(struct fake_net_end *from, size_t size)
{
	int64_t now_us = from->net->world->now_us;

	if (!from->link_bytes_per_s)
		return 0;
	if (from->link_busy_until_us < now_us)
		from->link_busy_until_us = now_us;
	from->link_busy_until_us +=
		(int64_t)size * TGW_US_PER_S / from->link_bytes_per_s;
	return from->link_busy_until_us - now_us;
}

static void schedule_delivery(struct fake_net_end *from,
			      struct fake_net_end *to,
			      enum tgw_peer_topic topic, const void *payload,
			      size_t size)
{
	struct fake_net *net = from->net;
	struct packet *packet = xmalloc(sizeof(*packet) + size);
	int64_t delay_us = net->latency_us + link_delay_us(from, size);

	packet->from = from;
	packet->to = to;
	packet->from_incarnation = from->incarnation;
	packet->to_incarnation = to->incarnation;
	packet->topic = topic;
	packet->size = size;
	if (size)
		memcpy(packet->payload, payload, size);
	if (net->jitter_us)
		delay_us += (int64_t)tgw_random_below(&net->world->random,
						      (uint64_t)net->jitter_us);
	if (fault_occurs(net, net->late_per_1000))
		delay_us += (int64_t)tgw_random_below(&net->world->random,
						      (uint64_t)net->late_us);
	fake_world_after_or_release(net->world, delay_us, deliver, free,
				    packet);
}

static enum tgw_status fake_send(struct tgw_peer *peer, const char *to_host,
				 enum tgw_peer_topic topic, const void *payload,
				 size_t payload_size)
{
	struct fake_net_end *from = (struct fake_net_end *)peer;
	struct fake_net *net = from->net;
	struct fake_net_end *to = find_end(net, to_host);

	if (!to)
		return TGW_NOT_FOUND;
	if (payload_size > TGW_PEER_PAYLOAD_MAX_BYTES)
		return TGW_TOO_LARGE;
	net->messages++;
	net->bytes += payload_size;
	if (from->sends_nothing || from->group != to->group || !to->up)
		return TGW_OK;
	if (fault_occurs(net, net->loss_per_1000))
		return TGW_OK;
	schedule_delivery(from, to, topic, payload, payload_size);
	if (fault_occurs(net, net->duplicate_per_1000))
		schedule_delivery(from, to, topic, payload, payload_size);
	return TGW_OK;
}

static const struct tgw_peer_ops fake_peer_ops = {.send = fake_send};

void fake_net_init(struct fake_net *net, struct fake_world *world)
{
	memset(net, 0, sizeof(*net));
	net->world = world;
	net->latency_us = DEFAULT_LATENCY_US;
}

void fake_net_add(struct fake_net *net, struct fake_net_end *end,
		  const char *name, uint64_t incarnation,
		  void (*receive)(void *arg,
				  const struct tgw_peer_message *message),
		  void *arg)
{
	assert(net->end_count < FAKE_NET_HOSTS_MAX);
	memset(end, 0, sizeof(*end));
	end->peer.ops = &fake_peer_ops;
	end->net = net;
	strncpy(end->name, name, sizeof(end->name) - 1);
	end->incarnation = incarnation;
	end->up = true;
	end->receive = receive;
	end->arg = arg;
	net->ends[net->end_count++] = end;
}

void fake_net_restart(struct fake_net_end *end, uint64_t incarnation)
{
	end->incarnation = incarnation;
	end->up = true;
	end->paused = false;
}
