/**
 * @file team_budget_caps.h
 * Spending caps of a process: when they are written, and of which teams.
 */
#ifndef COORDINATION_TEAM_BUDGET_CAPS_H
#define COORDINATION_TEAM_BUDGET_CAPS_H

#include "coordination/team_budget_key.h"

void team_budget_caps_init(struct team_budget *budgets);

/** A request waits for a higher cap. */
void team_budget_caps_request(struct team_budget *budgets);

/** Reads the record of the host's previous process, and writes that of this one
 * when it is due. */
void team_budget_caps_tick(struct team_budget *budgets);

#endif
