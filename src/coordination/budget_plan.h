/**
 * @file budget_plan.h
 * Changes a freshly read ledger bucket to what this host wants it to be, and
 * takes over what the ledger says of this host's lines.
 */
#ifndef COORDINATION_BUDGET_PLAN_H
#define COORDINATION_BUDGET_PLAN_H

#include "coordination/budget_state.h"

/**
 * Plans the next write in bucket->draft, which was just read. Tokens that
 * the write gives back are no longer granted from this call on.
 * @return whether the draft is worth a write
 */
bool budget_plan_write(struct budget_bucket *bucket);

/** Takes over bucket->known, which was just read or written. */
void budget_plan_adopt(struct budget_bucket *bucket);

/** Whether this host has anything to say or to watch in the bucket. */
bool budget_plan_is_active(const struct budget_bucket *bucket);

#endif
