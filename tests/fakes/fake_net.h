/**
 * @file fake_net.h
 * An in-memory network between hosts, with injected faults, for tests.
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

/** One host's endpoint of the network. */
struct fake_net_end {
	struct tgw_peer peer; /**< first member */
	struct fake_net *net;
	char name[TGW_NAME_SIZE];
	uint64_t incarnation;
	size_t group; /**< hosts of different groups don't reach each other */
	bool up;
	bool paused; /**< messages to the host wait until it resumes */
	/** One-way partition: messages to the host are lost. */
	bool receives_nothing;
	/** One-way partition: messages from the host are lost. */
	bool sends_nothing;
	/** Messages from the host wait for each other; 0: no limit. */
	int64_t link_bytes_per_s;
	int64_t link_busy_until_us;
	void (*receive)(void *arg, const struct tgw_peer_message *message);
	void *arg;
};

struct fake_net {
	struct fake_world *world;
	struct fake_net_end *ends[FAKE_NET_HOSTS_MAX];
	size_t end_count;
	int64_t latency_us;
	/** Limit of the random delay on top of latency_us; above 0, messages
	 * may be reordered. */
	int64_t jitter_us;
	uint32_t loss_per_1000;
	uint32_t duplicate_per_1000;
	/** Messages that arrive up to late_us later. */
	uint32_t late_per_1000;
	int64_t late_us;
	/** Messages for an earlier incarnation reach the present one, as
	 * datagrams do, which name an address. */
	bool delivers_to_successors;
	uint64_t messages; /**< sent, including those that are lost */
	uint64_t bytes;	   /**< payloads of those messages */
};

void fake_net_init(struct fake_net *net, struct fake_world *world);

/** Adds the endpoint of a host that is up and in group 0. */
void fake_net_add(struct fake_net *net, struct fake_net_end *end,
		  const char *name, uint64_t incarnation,
		  void (*receive)(void *arg,
				  const struct tgw_peer_message *message),
		  void *arg);

/** Starts a new incarnation of the host. Messages to its earlier incarnations
 * are dropped. */
void fake_net_restart(struct fake_net_end *end, uint64_t incarnation);

#endif
