#include "fakes/fake_net.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define DEFAULT_LATENCY_US INT64_C(1000)
#define PAUSED_RETRY_US (INT64_C(50) * TGW_US_PER_MS)

struct parcel {
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

static void deliver(void *arg)
{
	struct parcel *parcel = arg;
	struct fake_net_end *to = parcel->to;
	struct tgw_peer_message message = {
		.from_host = parcel->from->name,
		.from_incarnation = parcel->from_incarnation,
		.topic = parcel->topic,
		.payload = parcel->payload,
		.payload_size = parcel->size,
	};

	if (to->up && to->incarnation == parcel->to_incarnation && to->paused) {
		fake_world_after_or_drop(to->net->world, PAUSED_RETRY_US,
					 deliver, free, parcel);
		return;
	}
	if (to->up && to->incarnation == parcel->to_incarnation &&
	    !to->receives_nothing && to->group == parcel->from->group)
		to->receive(to->arg, &message);
	free(parcel);
}

static void post(struct fake_net_end *from, struct fake_net_end *to,
		 enum tgw_peer_topic topic, const void *payload, size_t size)
{
	struct fake_net *net = from->net;
	struct parcel *parcel = xmalloc(sizeof(*parcel) + size);
	int64_t delay_us = net->latency_us;

	parcel->from = from;
	parcel->to = to;
	parcel->from_incarnation = from->incarnation;
	parcel->to_incarnation = to->incarnation;
	parcel->topic = topic;
	parcel->size = size;
	if (size)
		memcpy(parcel->payload, payload, size);
	if (net->jitter_us)
		delay_us += (int64_t)tgw_random_below(&net->world->random,
						      (uint64_t)net->jitter_us);
	fake_world_after_or_drop(net->world, delay_us, deliver, free, parcel);
}

static bool happens(struct fake_net *net, uint32_t per_1000)
{
	return per_1000 &&
	       tgw_random_below(&net->world->random, 1000) < per_1000;
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
	if (from->mute || from->group != to->group || !to->up)
		return TGW_OK;
	if (happens(net, net->lose_per_1000))
		return TGW_OK;
	post(from, to, topic, payload, payload_size);
	if (happens(net, net->double_per_1000))
		post(from, to, topic, payload, payload_size);
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
