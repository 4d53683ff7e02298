/**
 * @file budget_relay.h
 * Moves tokens of team budgets between the hosts of a failure domain, so that
 * not each of them has to write the pools in the store.
 *
 * Of each failure domain one host, the relay, takes allotments for all of
 * them, and the others ask it for tokens. Nobody elects it: each host ranks the
 * hosts that it knows and uses the first that answers and reaches the store,
 * itself included; if none does, the first that answers. A host knows that it
 * reaches the store by its own calls only, and of others what they said
 * recently; another relay that is better is used once it has been better for a
 * while, unless the present one does not answer. Two relays, or none,
 * cost store calls and never overspend: tokens are bound at the giver before it
 * tells the taker, and each transfer is taken once. A host that no relay
 * answers uses the store by itself.
 */
#ifndef COORDINATION_BUDGET_RELAY_H
#define COORDINATION_BUDGET_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/budget_lending.h"
#include "state/peer_host.h"
#include "state/transfer_link.h"
#include "tamarackgw/peer.h"

/** Hosts of the failure domain that are asked, one after the other, until one
 * answers that reaches the store. */
#define BUDGET_RELAY_CANDIDATES 3
/** Hosts of other failure domains that are asked when none of those does. */
#define BUDGET_RELAY_OTHERS 2

struct team_budget;
struct team_budget_key;

/** A host that may be the relay. */
struct budget_relay_candidate {
	char host[TGW_NAME_SIZE];
	bool is_self;
	bool is_elsewhere;	  /**< in another failure domain */
	bool store_unreachable;	  /**< for it, as it last said */
	int64_t told_us;	  /**< when it last said that; 0: never */
	int64_t probed_us;	  /**< when it was last asked about that */
	int64_t asked_us;	  /**< first message without a reply; 0: none */
	int64_t sent_us;	  /**< last message */
	int64_t suspect_until_us; /**< not used before */
	int64_t suspect_for_us;	  /**< last time; doubles with each failure */
};

struct budget_relay {
	struct team_budget *budgets;
	struct tgw_peer *peer; /**< NULL: transfers are off */
	char host[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	uint64_t incarnation;
	uint64_t sequence; /**< of the last message */
	bool hosts_known;
	size_t candidate_count;
	struct budget_relay_candidate
		candidates[BUDGET_RELAY_CANDIDATES + BUDGET_RELAY_OTHERS];
	const struct budget_relay_candidate *current; /**< NULL: none */
	int64_t chosen_us;	 /**< when the current one was */
	int64_t member_since_us; /**< another host is the relay; 0: none is */
	bool requested;		 /**< requests lack tokens that were not asked
				  * for yet */
	char wanted[TGW_NAME_SIZE]; /**< a better one; empty: none */
	int64_t wanted_since_us;
	int64_t lost_us; /**< when the relay lost the store; 0: it has not */
	int64_t reported_to_us; /**< when a host last asked this one */
	/** What this host knew of the store before counts no more, as its relay
	 * has lost it. */
	int64_t doubted_us;
	/** It has to be found out anew, as a host asks that did not before. */
	int64_t check_us;
	int64_t told_others_us;	    /**< that its reach of the store changed */
	int64_t hand_over_since_us; /**< of unspent tokens, at a stop */
	struct budget_lending lending;
	struct transfer_link *links;
};

void budget_relay_init(struct budget_relay *relay, struct team_budget *budgets,
		       uint64_t incarnation);
void budget_relay_clear(struct budget_relay *relay);

/** Applies the list of hosts, which may include this one. */
void budget_relay_set_hosts(struct budget_relay *relay,
			    const struct peer_host *hosts, size_t count);

void budget_relay_on_message(struct budget_relay *relay,
			     const struct tgw_peer_message *message);

/** @return whether this host uses the store by itself: as the relay, or since
 * it has none */
bool budget_relay_uses_store(const struct budget_relay *relay);

/** @return whether this host reaches the store, as it tells others */
bool budget_relay_reaches_store(const struct budget_relay *relay);

/** @return whether a call should find out if this host reaches the store, as
 * others rely on it, or would */
bool budget_relay_needs_belief(const struct budget_relay *relay);

/** @return whether other hosts have been the relay for so long that this one
 * leaves the pools */
bool budget_relay_is_settled(const struct budget_relay *relay);

/** @return whether the relay is another host, and has said that it does not
 * reach the store */
bool budget_relay_lost_store(const struct budget_relay *relay);

/** This host has lost the store, or reaches it again. */
void budget_relay_on_store_change(struct budget_relay *relay);

/** A request lacks tokens: the relay is asked at the next tick. */
void budget_relay_request(struct budget_relay *relay);

/** Gives to other hosts what they lack, after an allotment changed. */
void budget_relay_serve(struct budget_relay *relay);

/** Sends the messages that are due.
 * @return the next due time */
int64_t budget_relay_tick(struct budget_relay *relay);

/** Hands all unspent tokens to the relay, at a planned stop.
 * @return whether that has ended: they arrived there, or will not */
bool budget_relay_hand_over(struct budget_relay *relay);

#endif
