/**
 * @file budget_holder.h
 * The holder's role: grants reservations and settles them, at most once for
 * each key.
 */
#ifndef COORDINATION_BUDGET_HOLDER_H
#define COORDINATION_BUDGET_HOLDER_H

#include "coordination/budget_state.h"

/** Handles a request to reserve. The reply is sent now or later; a request from
 * this host is replied to by a call of budget_entry_on_reserved(). */
void budget_holder_reserve(struct tgw_budget_agent *agent,
			   struct budget_peer *from, uint64_t from_incarnation,
			   const struct budget_message_item *item);

void budget_holder_settle(struct tgw_budget_agent *agent,
			  struct budget_peer *from, uint64_t from_incarnation,
			  uint64_t sequence,
			  const struct budget_message_item *item);

/** Handles the owner's confirmation that it has received the acknowledgements
 * up to this sequence. It will claim nothing for the settlements that they
 * cover, so the unspent tokens become available. */
void budget_holder_confirm(struct tgw_budget_agent *agent,
			   const struct budget_peer *from,
			   uint64_t from_incarnation, uint64_t sequence);

/** Registers a key that was reserved or settled at a predecessor. */
void budget_holder_register(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    uint32_t bucket,
			    const struct budget_message_item *item);

/** Grants or refuses the waiting requests; the others keep waiting. */
void budget_holder_serve_waiters(struct budget_bucket *bucket);

/** Queries hosts about reservations that have been open for long. When messages
 * are reordered, a cancellation can miss its reservation; only the holder then
 * knows that it exists. */
void budget_holder_query_use(struct tgw_budget_agent *agent);

/** Settles at the bound each open reservation whose remaining users are all
 * gone. */
void budget_holder_settle_abandoned(struct tgw_budget_agent *agent);

/** Reverses the settlement of a key that another host settled, too, for at most
 * other_tokens, the amount charged there. */
void budget_holder_reverse(struct reservation *reservation,
			   int64_t other_tokens);

/** Deducts tokens of a settled reservation from what this holder is charged. */
void budget_holder_credit(struct reservation *reservation, int64_t tokens);

/** Registers the settled keys with their new holders before a planned stop. */
void budget_holder_hand_over(struct tgw_budget_agent *agent);

void budget_holder_free_all(struct tgw_budget_agent *agent);

#endif
