/**
 * @file config_peers.h
 * Which hosts can help with the configuration, and what is sent to them.
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

/** A random host with at least this generation, of the own domain first;
 * NULL when there is none. */
const struct tgw_host *config_peers_pick(const struct tgw_host_view *view,
					 struct tgw_random *random,
					 uint64_t generation);

/**
 * Picks different hosts to ask for what they have in force: those that are
 * above a generation first, then those of the own domain, else at random.
 * @return the number of hosts written
 */
size_t config_peers_pick_several(const struct tgw_host_view *view,
				 struct tgw_random *random,
				 uint64_t above_generation,
				 const struct tgw_host **hosts,
				 size_t capacity);

/** The newest generation that another live host has in force. */
uint64_t config_peers_newest(const struct tgw_host_view *view);

/** Other hosts that are alive. */
size_t config_peers_count(const struct tgw_host_view *view);

/** Sends a message. @return the bytes sent; 0 when it can't be sent */
size_t config_peers_send(struct tgw_peer *peer, const char *to,
			 const struct config_message *message);

/** Answers a question out of what is in force here.
 * @return the bytes sent */
size_t config_peers_answer(struct tgw_peer *peer,
			   const struct config_state *state, const char *to,
			   const struct config_message *question);

#endif
