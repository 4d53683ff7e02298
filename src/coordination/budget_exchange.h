/**
 * @file budget_exchange.h
 * Finds requests that two hosts have settled, and reverses one of the
 * settlements.
 *
 * Holders of a bucket notify each other of the keys that they have settled.
 * When two have settled the same key, the larger copy is marked as kept (of
 * equal ones, the copy whose failure domain and then host sorts first by name),
 * and then the other is reversed. A copy that was charged to a line of a holder
 * that is gone, or whose host is draining, can't be reversed; then the other
 * copy is reversed, unless it is marked as kept.
 */
#ifndef COORDINATION_BUDGET_EXCHANGE_H
#define COORDINATION_BUDGET_EXCHANGE_H

#include "coordination/budget_state.h"

/** Logs a settled key, to be sent to other hosts. */
void budget_exchange_log(struct budget_bucket *bucket,
			 const struct tgw_request_key *key);

/** Sends the keys that other hosts have not acknowledged yet, and repeats
 * unresolved queries. */
void budget_exchange_tick(struct tgw_budget_agent *agent);

void budget_exchange_on_keys(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     const struct budget_message *message);

void budget_exchange_on_keys_seen(struct tgw_budget_agent *agent,
				  const struct budget_peer *from,
				  uint64_t from_incarnation,
				  const struct budget_message *message);

void budget_exchange_on_duplicate(struct tgw_budget_agent *agent,
				  const struct budget_peer *from,
				  const struct budget_message *message);

/** Frees the reported keys and the unresolved duplicates. */
void budget_exchange_free_all(struct tgw_budget_agent *agent);

/** Frees the key log of a bucket. */
void budget_exchange_free(struct budget_bucket *bucket);

#endif
