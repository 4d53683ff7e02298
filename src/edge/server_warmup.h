/**
 * @file server_warmup.h
 * Tells the limits on servers that warm up what the host knows: the services'
 * limits, the servers' own words, and the other hosts.
 */
#ifndef EDGE_SERVER_WARMUP_H
#define EDGE_SERVER_WARMUP_H

#include "edge/edge.h"

/** A server's entry was added or has changed. */
void server_warmup_on_entry(struct edge *edge, struct backend *backend);

/** A server said in a response how long it warms up. */
void server_warmup_on_response(struct edge *edge, struct backend *backend,
			       int64_t remaining_us);

/** Another configuration is in force. */
void server_warmup_on_routes(struct edge *edge, const struct route_set *set);

/** The evacuation of a failure domain has ended: its servers may have been
 * restarted meanwhile. */
void server_warmup_on_evacuation_ended(struct edge *edge,
				       const char *failure_domain);

/** The list of hosts has changed. */
void server_warmup_on_hosts(struct edge *edge);

/** Decides the host's share of the servers that have begun to warm up. */
void server_warmup_tick(struct edge *edge);

/** @return the number of listed servers that warm up */
uint32_t server_warmup_count(const struct edge *edge);

#endif
