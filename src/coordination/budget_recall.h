/**
 * @file budget_recall.h
 * Gets tokens back from other holders for requests that wait here.
 */
#ifndef COORDINATION_BUDGET_RECALL_H
#define COORDINATION_BUDGET_RECALL_H

#include "coordination/budget_state.h"

/**
 * Whether all that can be reached is too little for a reservation; until
 * that is known, takes the next step to find out.
 */
bool budget_recall_is_hopeless(struct holder_allotment *share,
			       const struct budget_waiter *waiter);

void budget_recall_on_want(struct tgw_budget_agent *agent,
			   struct budget_peer *from,
			   const struct budget_message *message);

void budget_recall_on_released(struct tgw_budget_agent *agent,
			       const struct budget_message *message);

/** Answers those who asked before the operation that has just ended. */
void budget_recall_answer(struct budget_bucket *bucket);

#endif
