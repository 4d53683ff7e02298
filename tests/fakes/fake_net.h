/**
 * @file fake_net.h
 * Messages between hosts in memory, with faults, for tests.
 */
#ifndef FAKES_FAKE_NET_H
#define FAKES_FAKE_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fakes/fake_world.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

#define FAKE_NET_HOSTS_MAX 512

struct fake_net;

/** One host's end of the net. */
struct fake_net_end {
	struct tgw_peer peer; /**< first member */
	struct fake_net *net;
	char name[TGW_NAME_SIZE];
	uint64_t incarnation;
	size_t group; /**< hosts of different groups don't reach each other */
	bool up;
	bool paused;	       /**< messages wait until the host runs again */
	bool receives_nothing; /**< one-way cut: hears nothing */
	bool mute;	       /**< one-way cut: is not heard */
	void (*receive)(void *arg, const struct tgw_peer_message *message);
	void *arg;
};

struct fake_net {
	struct fake_world *world;
	struct fake_net_end *ends[FAKE_NET_HOSTS_MAX];
	size_t end_count;
	int64_t latency_us;
	int64_t jitter_us; /**< reorders when above zero */
	uint32_t lose_per_1000;
	uint32_t double_per_1000;
	uint64_t messages;
	uint64_t bytes;
};

void fake_net_init(struct fake_net *net, struct fake_world *world);

/** Adds a host's end, which is up and in group 0. */
void fake_net_add(struct fake_net *net, struct fake_net_end *end,
		  const char *name, uint64_t incarnation,
		  void (*receive)(void *arg,
				  const struct tgw_peer_message *message),
		  void *arg);

/** The end of a host that was killed and started anew. */
void fake_net_restart(struct fake_net_end *end, uint64_t incarnation);

#endif
