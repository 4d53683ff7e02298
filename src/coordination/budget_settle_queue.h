/**
 * @file budget_settle_queue.h
 * Settlements on their way to holders: one batch under way for each holder,
 * repeated until it is acknowledged.
 */
#ifndef COORDINATION_BUDGET_SETTLE_QUEUE_H
#define COORDINATION_BUDGET_SETTLE_QUEUE_H

#include "coordination/budget_state.h"

/** Takes the order over; at once when the holder is this host. */
void budget_settle_queue_add(struct tgw_budget_agent *agent,
			     struct budget_peer *holder,
			     struct settle_order *order);

void budget_settle_queue_on_settled(struct tgw_budget_agent *agent,
				    struct budget_peer *holder,
				    uint64_t sequence);

/** Sends and repeats batches. @return the next due time */
int64_t budget_settle_queue_tick(struct tgw_budget_agent *agent);

/** Claims what was not sent to holders that are gone. */
void budget_settle_queue_on_view(struct tgw_budget_agent *agent);

bool budget_settle_queue_is_empty(const struct tgw_budget_agent *agent);

void budget_settle_queue_free_all(struct tgw_budget_agent *agent);

#endif
