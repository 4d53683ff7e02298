/**
 * @file budget_recall.h
 * Recalls unspent tokens from other holders for requests that wait on this
 * host.
 */
#ifndef COORDINATION_BUDGET_RECALL_H
#define COORDINATION_BUDGET_RECALL_H

#include "coordination/budget_state.h"

/**
 * Checks whether a waiting request needs more tokens than are free in the
 * ledger and unsettled at the other holders. Until that is known, schedules an
 * operation on the ledger or sends a recall request to the other holders, and
 * the caller has to check again later.
 * @return whether the request is known to need more
 */
bool budget_recall_is_insufficient(struct holder_allotment *allotment,
				   const struct budget_waiter *waiter);

/** Schedules the release of requested tokens, or replies at once when this host
 * has none to release. A message without an item only schedules a read of the
 * ledger. */
void budget_recall_on_request(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      const struct budget_message *message);

/** Handles another holder's reply to a recall request. */
void budget_recall_on_released(struct tgw_budget_agent *agent,
			       const struct budget_message *message);

/** Replies to each recall request that arrived before the start of the
 * operation that has just ended. */
void budget_recall_reply(struct budget_bucket *bucket);

#endif
