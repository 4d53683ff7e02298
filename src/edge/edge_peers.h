/**
 * @file edge_peers.h
 * Connects the host to the others of its fleet: the socket for their messages,
 * and the list of hosts.
 */
#ifndef EDGE_EDGE_PEERS_H
#define EDGE_EDGE_PEERS_H

#include "coordination/peer_directory.h"
#include "transport/datagram_channel.h"

struct edge;

struct edge_peers {
	struct datagram_channel channel;
	struct peer_directory *directory; /**< NULL: peers are off */
};

/** Starts to receive. A failure is only logged: the host then uses the store by
 * itself, as without peers.
 * @param incarnation of this process
 * @return the channel; NULL if there is none */
struct tgw_peer *edge_peers_start(struct edge *edge, uint64_t incarnation);

/** Makes the store call that is due. */
void edge_peers_tick(struct edge *edge);

void edge_peers_free(struct edge *edge);

/** @return the known hosts, this one included; 0 if there are none */
size_t edge_peers_count(const struct edge *edge);

#endif
