/**
 * @file budget_transfer.h
 * The messages by which hosts move tokens of team budgets. Private to
 * budget_relay.
 */
#ifndef COORDINATION_BUDGET_TRANSFER_H
#define COORDINATION_BUDGET_TRANSFER_H

#include <stdbool.h>

#include "coordination/budget_relay.h"

/** Reports to the relay: what requests lack, what they used, and tokens that
 * are not needed here. Sends one message at least.
 * @param hands_over all unspent tokens are given to the relay */
void budget_transfer_report(struct budget_relay *relay, const char *host,
			    bool hands_over);

/** Asks a host for a reply, which says whether it reaches the store. */
void budget_transfer_probe(struct budget_relay *relay, const char *host);

/** Asks a host for a loan of what the accounts' requests lack.
 * @param count at most TRANSFER_ENTRIES_MAX */
void budget_transfer_borrow(struct budget_relay *relay, const char *host,
			    struct team_account *const *accounts, size_t count);

/** Applies a message.
 * @param to_relay receives whether the sender uses this host as its relay
 * @return the link to the sender; NULL if the message was ignored */
struct transfer_link *budget_transfer_receive(
	struct budget_relay *relay, const struct tgw_peer_message *message,
	bool *to_relay);

/** Gives to the host at the other end what it lacks, as far as there are
 * tokens, and lets the pools be read for the rest. */
void budget_transfer_serve(struct budget_relay *relay,
			   struct transfer_link *link);

/** Sends the entries that the other end has not seen.
 * @param always sends a message without entries, too */
void budget_transfer_reply(struct budget_relay *relay,
			   struct transfer_link *link, bool always);

/** Counts nothing any more as held or needed by the other end. */
void budget_transfer_release_held(struct budget_relay *relay,
				  struct transfer_link *link);

/** @return the link to the host's newest process; NULL if none is known */
struct transfer_link *budget_transfer_find(const struct budget_relay *relay,
					   const char *host);

/** @return whether tokens given to the host have not arrived there yet */
bool budget_transfer_is_unacknowledged(const struct budget_relay *relay,
				       const char *host);

/** @return whether the host at the other end uses this one as its relay, as it
 * has said recently */
bool budget_transfer_is_used_by(const struct budget_relay *relay,
				const struct transfer_link *link);

/** @return whether the relay takes what this host holds and does not need */
bool budget_transfer_may_return(const struct budget_relay *relay);

#endif
