/**
 * @file team_budget_draft.h
 * What a process would write to one key of the budgets now, and whether that is
 * worth a write. Private to team_budget.
 */
#ifndef COORDINATION_TEAM_BUDGET_DRAFT_H
#define COORDINATION_TEAM_BUDGET_DRAFT_H

#include "coordination/team_budget_key.h"

/** @return whether the process leaves the pool: it stops, or another host takes
 * tokens for it */
bool team_budget_draft_is_leaving(const struct team_budget_key *key);

/** @return whether the next write counts again what the store has lost */
bool team_budget_draft_recounts(const struct team_budget_key *key);

/** @return whether the process holds tokens of any budget in the key */
bool team_budget_draft_holds_any(const struct team_budget_key *key);

/** @param fresh the pool was read just now, so changes that are not urgent
 * count, too */
bool team_budget_draft_is_needed(struct team_budget_key *key, bool fresh);

/** Makes the draft from the pool as it was last read.
 * @return OK; CORRUPT, with a message, if the pool is not valid */
enum tgw_status team_budget_draft_make(struct team_budget_key *key,
				       struct tgw_error *error);

#endif
