/**
 * @file budget_ledger.h
 * Reads and writes ledger keys: read, plan, compare-and-swap. An answer that
 * was lost is resolved by reading back, never guessed.
 */
#ifndef COORDINATION_BUDGET_LEDGER_H
#define COORDINATION_BUDGET_LEDGER_H

#include "coordination/budget_state.h"

/** Starts an operation on the bucket's key when one is due. */
void budget_ledger_tick(struct budget_bucket *bucket);

#endif
