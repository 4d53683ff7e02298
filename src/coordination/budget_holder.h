/**
 * @file budget_holder.h
 * The holder's role: grants reservations and settles them, once for a key.
 */
#ifndef COORDINATION_BUDGET_HOLDER_H
#define COORDINATION_BUDGET_HOLDER_H

#include "coordination/budget_state.h"

/** Answers at once or later, by message or, to itself, by entry call. */
void budget_holder_reserve(struct tgw_budget_agent *agent,
			   struct budget_peer *from, uint64_t from_incarnation,
			   const struct budget_message_item *item);

void budget_holder_settle(struct tgw_budget_agent *agent,
			  struct budget_peer *from, uint64_t from_incarnation,
			  uint64_t sequence,
			  const struct budget_message_item *item);

/** The owner has seen the answers up to this one, and claims nothing that
 * they settled: what was not spent is free. */
void budget_holder_confirm(struct tgw_budget_agent *agent,
			   const struct budget_peer *from,
			   uint64_t from_incarnation, uint64_t sequence);

/** Keys that were reserved or settled at a predecessor. */
void budget_holder_register(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    uint32_t bucket,
			    const struct budget_message_item *item);

/** Grants, refuses or keeps each reservation that waits. */
void budget_holder_serve_waiters(struct budget_bucket *bucket);

/** Asks hosts about reservations that have been open for long: one whose
 * cancellation was overtaken is known to its holder only. */
void budget_holder_ask_use(struct tgw_budget_agent *agent);

/** Settles at the bound what gone entry hosts left open. */
void budget_holder_settle_gone(struct tgw_budget_agent *agent);

/** Takes back the settlement of a key that another domain settled, too, as
 * far as that one was charged. */
void budget_holder_reverse(struct reservation *reservation,
			   int64_t other_tokens);

/** Takes tokens of a settled reservation off what its holder is charged. */
void budget_holder_credit(struct reservation *reservation, int64_t tokens);

/** Tells the successors of a planned stop which keys were settled. */
void budget_holder_hand_over(struct tgw_budget_agent *agent);

void budget_holder_free_all(struct tgw_budget_agent *agent);

#endif
