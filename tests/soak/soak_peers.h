/**
 * @file soak_peers.h
 * A proxy for the messages between hosts: one socket for each ordered pair of
 * hosts, so that each way can be cut by itself.
 */
#ifndef SOAK_PEERS_H
#define SOAK_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "tamarackgw/random.h"

struct soak_peer_path;

struct soak_peers {
	uv_loop_t *loop;
	struct tgw_random *random;
	size_t host_count;
	struct soak_peer_path *paths; /**< from one host to another */
	/** Datagrams in 100 that are lost, sent twice, sent late, or changed
	 * on the way. */
	unsigned int loss_percent;
	unsigned int repeat_percent;
	unsigned int late_percent;
	unsigned int corrupt_percent;
};

/** @param addresses where each host receives messages */
void soak_peers_start(struct soak_peers *peers, uv_loop_t *loop,
		      struct tgw_random *random, size_t host_count,
		      const char *const *addresses);

/** @return the address at which host `from` reaches host `to` */
const char *soak_peers_address(const struct soak_peers *peers, size_t from,
			       size_t to);

/** Loses all messages from one host to another, or no more. */
void soak_peers_cut(struct soak_peers *peers, size_t from, size_t to, bool cut);

#endif
