/**
 * @file budget_settle_queue.h
 * Settlements that wait for their holders' acknowledgement: one batch is in
 * flight for each holder, and is resent until it is acknowledged.
 */
#ifndef COORDINATION_BUDGET_SETTLE_QUEUE_H
#define COORDINATION_BUDGET_SETTLE_QUEUE_H

#include "coordination/budget_state.h"

/** Queues the settlement, or applies it at once when the holder is this host.
 * Takes ownership of it. */
void budget_settle_queue_add(struct tgw_budget_agent *agent,
			     struct budget_peer *holder,
			     struct settlement *settlement);

/** Ends the batch that the holder acknowledged by its sequence. */
void budget_settle_queue_on_settled(struct tgw_budget_agent *agent,
				    struct budget_peer *holder,
				    uint64_t sequence);

/** Sends and resends batches. @return the next due time */
int64_t budget_settle_queue_tick(struct tgw_budget_agent *agent);

/** Turns unacknowledged settlements for processes that are gone into claims. */
void budget_settle_queue_on_view(struct tgw_budget_agent *agent);

bool budget_settle_queue_is_empty(const struct tgw_budget_agent *agent);

void budget_settle_queue_free_all(struct tgw_budget_agent *agent);

#endif
