/**
 * @file config_peers.h
 * Chooses the hosts to get the configuration from, and exchanges messages with
 * them.
 */
#ifndef COORDINATION_CONFIG_PEERS_H
#define COORDINATION_CONFIG_PEERS_H

#include <stddef.h>
#include <stdint.h>

#include "state/config_message.h"
#include "state/config_state.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/random.h"

#define CONFIG_PEERS_PICK_MAX 8

/** @return a random other host, alive or leaving, that has at least this
 *         generation, preferably of the local failure domain; NULL when there
 *         is none */
const struct tgw_host *config_peers_pick(const struct tgw_host_view *view,
					 struct tgw_random *random,
					 uint64_t generation);

/**
 * Picks different hosts to query for their manifests: first those with a
 * generation above `above_generation`, then those of the local failure domain,
 * and among equal ones at random.
 * @return the number of hosts written
 */
size_t config_peers_pick_several(const struct tgw_host_view *view,
				 struct tgw_random *random,
				 uint64_t above_generation,
				 const struct tgw_host **hosts,
				 size_t capacity);

/** @return the newest generation that another host, alive or leaving, has in
 *         force */
uint64_t config_peers_newest(const struct tgw_host_view *view);

/** @return the number of other hosts that are alive or leaving */
size_t config_peers_count(const struct tgw_host_view *view);

/** @return the bytes sent; 0 when the message cannot be sent */
size_t config_peers_send(struct tgw_peer *peer, const char *to,
			 const struct config_message *message);

/** Replies to a query from the configuration in force on this host.
 * @return the bytes sent */
size_t config_peers_reply(struct tgw_peer *peer,
			  const struct config_state *state, const char *to,
			  const struct config_message *query);

#endif
