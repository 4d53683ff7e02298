/**
 * @file budget_claims.h
 * Refunds on written-off lines.
 *
 * A line that its witness closes is charged the bounds of all that was open.
 * The entry host that reserved knows what each request cost in the end and
 * claims the rest, as long as the holder has not answered its settlement. The
 * holder keeps the rest parked until it hears that its answer came, so that no
 * rest is returned twice.
 * Claims are cumulative for each line, budget and entry process.
 */
#ifndef COORDINATION_BUDGET_CLAIMS_H
#define COORDINATION_BUDGET_CLAIMS_H

#include "coordination/budget_state.h"

/** Claims what an order did not spend. Entry host's side. */
void budget_claims_add(struct tgw_budget_agent *agent,
		       const struct settle_order *order);

/** Sends what is due. @return the next due time */
int64_t budget_claims_tick(struct tgw_budget_agent *agent);

void budget_claims_on_claimed(struct tgw_budget_agent *agent,
			      const struct budget_message *message);

/** Takes a claim in. Holder's side. */
void budget_claims_on_claim(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    const struct budget_message *message);

/** Records claims in the draft. @return whether it changed */
bool budget_claims_plan(struct budget_bucket *bucket);

/** Answers the claims that bucket->known settles. */
void budget_claims_adopt(struct budget_bucket *bucket);

void budget_claims_free_all(struct tgw_budget_agent *agent);

#endif
