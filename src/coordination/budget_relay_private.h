/**
 * @file budget_relay_private.h
 * Shared by the files that implement budget_relay.h: budget_relay.c sends and
 * receives messages, budget_relay_choice.c chooses the host that is used.
 */
#ifndef COORDINATION_BUDGET_RELAY_PRIVATE_H
#define COORDINATION_BUDGET_RELAY_PRIVATE_H

#include "coordination/budget_relay.h"
#include "coordination/team_budget_key.h"

static inline int64_t budget_relay_now_us(const struct budget_relay *relay)
{
	return team_budget_now_us(relay->budgets);
}

/** @return whether the host is not suspected of being silent */
bool budget_relay_answers(const struct budget_relay *relay,
			  const struct budget_relay_candidate *candidate);

/** @return whether the host reaches the store, as far as is known here */
bool budget_relay_candidate_reaches_store(
	const struct budget_relay *relay,
	const struct budget_relay_candidate *candidate);

/** @return the candidate, to be changed; NULL if the host is none */
struct budget_relay_candidate *budget_relay_find_candidate(
	struct budget_relay *relay, const char *host);

/** @return the candidate that is in use, to be changed */
struct budget_relay_candidate *budget_relay_current(struct budget_relay *relay);

/** Uses the best candidate, at once or when it has been the better one for long
 * enough.
 * @param reason for the log */
void budget_relay_choose(struct budget_relay *relay, const char *reason);

#endif
