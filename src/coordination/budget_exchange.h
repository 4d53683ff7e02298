/**
 * @file budget_exchange.h
 * Finds requests that two domains have settled, and reverses one of them.
 *
 * Holders of a bucket tell each other which keys they have settled. Where
 * two have, the copy of the domain whose name sorts first is marked as kept,
 * and then the other is reversed. A copy of a holder that is gone can't be
 * reversed: then the other one is, unless it was kept.
 */
#ifndef COORDINATION_BUDGET_EXCHANGE_H
#define COORDINATION_BUDGET_EXCHANGE_H

#include "coordination/budget_state.h"

/** Notes a settled key, to be told to the other domains. */
void budget_exchange_log(struct budget_bucket *bucket,
			 const struct tgw_request_key *key);

/** Tells other domains what they have not acknowledged yet. */
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

/** Frees the questions under way. */
void budget_exchange_free_all(struct tgw_budget_agent *agent);

/** Frees the keys of a bucket. */
void budget_exchange_free(struct budget_bucket *bucket);

#endif
