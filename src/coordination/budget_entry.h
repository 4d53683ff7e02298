/**
 * @file budget_entry.h
 * The entry host's role: reserves tokens at a holder for its callers, and
 * settles.
 */
#ifndef COORDINATION_BUDGET_ENTRY_H
#define COORDINATION_BUDGET_ENTRY_H

#include "coordination/budget_state.h"

void budget_entry_reserve(struct tgw_budget_agent *agent,
			  const struct tgw_budget_request *request,
			  struct tgw_budget_callback callback);

void budget_entry_settle(struct tgw_budget_agent *agent,
			 const struct tgw_request_key *key,
			 int64_t spent_tokens, enum tgw_settle_basis basis);

/** Handles a holder's reply to one request. */
void budget_entry_on_reserved(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      uint64_t from_incarnation, uint64_t line_id,
			      const struct budget_message_item *item);

/** For holders that are gone, registers their keys at the successors. */
void budget_entry_on_view(struct tgw_budget_agent *agent);

/** Runs callbacks, retries and timeouts. @return the next due time, us */
int64_t budget_entry_tick(struct tgw_budget_agent *agent);

/** @return whether a request waits for a reply or has an open reservation */
bool budget_entry_is_busy(const struct tgw_budget_agent *agent);

void budget_entry_free_all(struct tgw_budget_agent *agent);

#endif
