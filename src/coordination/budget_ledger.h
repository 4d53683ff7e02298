/**
 * @file budget_ledger.h
 * Reads and writes ledger keys: read, plan, compare-and-swap. When the outcome
 * of a write is unknown, the key is read back before anything is assumed.
 */
#ifndef COORDINATION_BUDGET_LEDGER_H
#define COORDINATION_BUDGET_LEDGER_H

#include "coordination/budget_state.h"

/** Starts an operation on the bucket's ledger key if one is due. */
void budget_ledger_tick(struct budget_bucket *bucket);

#endif
