/**
 * @file budget_claims.h
 * Refunds on ledger lines that were written off. A line is one host's record
 * in a ledger bucket.
 *
 * A closed line is charged its ceilings or its whole allotments, which include
 * the bounds of all reservations that were open. The entry host that made a
 * reservation knows what the request cost in the end. It claims the difference
 * if the holder has not acknowledged the settlement. The holder keeps the
 * difference withheld until the entry host confirms that it received the
 * acknowledgement, so that no difference is returned twice. Claims are
 * cumulative for each line, budget and entry process.
 */
#ifndef COORDINATION_BUDGET_CLAIMS_H
#define COORDINATION_BUDGET_CLAIMS_H

#include "coordination/budget_state.h"

/** Claims the unspent tokens of a settlement. Entry host's side. */
void budget_claims_add(struct tgw_budget_agent *agent,
		       const struct settlement *settlement);

/** Sends the claims that are due. @return the next due time */
int64_t budget_claims_tick(struct tgw_budget_agent *agent);

/** Handles a holder's reply: the ledger records these claims. Entry host's
 * side. */
void budget_claims_on_claimed(struct tgw_budget_agent *agent,
			      const struct budget_message *message);

/** Queues the claims of a message for the next write. Holder's side. */
void budget_claims_on_claim(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    const struct budget_message *message);

/** Records the queued claims in bucket->draft. @return whether it changed */
bool budget_claims_plan(struct budget_bucket *bucket);

/** Replies to the claims that are recorded in bucket->ledger, or whose line is
 * no longer in it. */
void budget_claims_adopt(struct budget_bucket *bucket);

void budget_claims_free_all(struct tgw_budget_agent *agent);

#endif
