/**
 * @file budget_plan.h
 * Plans the next write of a ledger bucket, and updates this host's state from
 * what the ledger records.
 */
#ifndef COORDINATION_BUDGET_PLAN_H
#define COORDINATION_BUDGET_PLAN_H

#include "coordination/budget_state.h"

/**
 * Plans the next write in bucket->draft, which holds the value just read.
 * Tokens that the write would return to the ledger are not granted any more
 * once this function returns.
 * @return whether the draft is worth a write
 */
bool budget_plan_write(struct budget_bucket *bucket);

/** Updates the roles' state from bucket->ledger, which was just read or
 * written. */
void budget_plan_adopt(struct budget_bucket *bucket);

/** @return whether this host has a line, open or closed, in the bucket, is the
 * witness for one, or has a claim to record */
bool budget_plan_is_active(const struct budget_bucket *bucket);

#endif
