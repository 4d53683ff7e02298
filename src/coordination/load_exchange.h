/**
 * @file load_exchange.h
 * Hosts of a failure domain tell each other what backend servers reported of
 * their load. One host alone hears of each of many servers only now and then.
 *
 * Each host sends what servers have reported to it since its last message to
 * its relay, which answers with what all have heard. Relays tell each other
 * likewise across failure domains. Messages are lost without harm: a report
 * that is older than a known one counts for nothing. Only
 * servers that report how long work takes are told of, so that fleets without
 * such servers send nothing.
 */
#ifndef COORDINATION_LOAD_EXCHANGE_H
#define COORDINATION_LOAD_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/backend_table.h"
#include "state/peer_host.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/peer.h"

/** Hosts that one host answers; it does not answer more. */
#define LOAD_EXCHANGE_FOLLOWERS_MAX 128
/** Hosts of other failure domains that a relay tells. */
#define LOAD_EXCHANGE_NEIGHBOURS_MAX 16

struct load_exchange_follower {
	char host[TGW_NAME_SIZE]; /**< empty: unused */
	int64_t heard_us;
	int64_t told_us; /**< reports until then were sent */
};

struct load_exchange {
	struct tgw_peer *peer; /**< NULL: there are no other hosts */
	const struct tgw_clock *clock;
	struct backend_table *table;
	char failure_domain[TGW_NAME_SIZE];
	char relay[TGW_NAME_SIZE]; /**< empty: none, or this host */
	bool is_relay;
	char neighbours[LOAD_EXCHANGE_NEIGHBOURS_MAX][TGW_NAME_SIZE];
	size_t neighbour_count;
	int64_t sent_us; /**< to the relay */
	struct load_exchange_follower followers[LOAD_EXCHANGE_FOLLOWERS_MAX];
	uint64_t messages_sent;
	uint64_t reports_received;
};

/** The table and the clock must outlive the exchange. */
void load_exchange_init(struct load_exchange *exchange, struct tgw_peer *peer,
			const struct tgw_clock *clock,
			struct backend_table *table,
			const char *failure_domain);

/** @param relay empty if there is none
 * @param is_self the relay is this host */
void load_exchange_set_relay(struct load_exchange *exchange, const char *relay,
			     bool is_self);

/** Chooses the hosts of other failure domains to tell, while this host is a
 * relay. */
void load_exchange_set_hosts(struct load_exchange *exchange,
			     const struct peer_host *hosts, size_t count);

void load_exchange_on_message(struct load_exchange *exchange,
			      const struct tgw_peer_message *message);

/** Sends the messages that are due. */
void load_exchange_tick(struct load_exchange *exchange);

#endif
