/**
 * @file server_signals.h
 * What backend servers say about themselves in their answers: that they are
 * leaving, and that they want no requests for a while. Records it, logs it, and
 * tells the hosts of the failure domain of servers that leave.
 */
#ifndef EDGE_SERVER_SIGNALS_H
#define EDGE_SERVER_SIGNALS_H

#include <stdint.h>

#include "edge/edge.h"

/** @param peer channel to other hosts; NULL for none */
void server_signals_start(struct edge *edge, struct tgw_peer *peer);

/** Takes in the head of an answer of a server. */
void server_signals_on_answer(struct edge *edge, struct backend *backend,
			      const struct response_info *response,
			      int64_t now_us);

/** Takes in a message of topic TGW_PEER_SERVERS. */
void server_signals_on_message(struct edge *edge,
			       const struct tgw_peer_message *message);

/** Sends the messages that are due. */
void server_signals_tick(struct edge *edge);

/** @return a Retry-After for a request that no server of the service took: at
 * least the minimum, and until one is free again, with a random addition so
 * that not all callers return at one moment */
int64_t server_signals_retry_after_ms(struct edge *edge, const char *service,
				      uint32_t regions, int64_t min_ms);

/** Counts the listed servers that are leaving by their own or another host's
 * word, and those that rest. */
void server_signals_count(const struct edge *edge, uint32_t *leaving,
			  uint32_t *resting);

#endif
