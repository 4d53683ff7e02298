/**
 * @file budget_ledger.h
 * Reads and writes ledger keys: read, plan, compare-and-swap. A write whose
 * outcome is unknown counts as possibly applied until the key has been read
 * again.
 */
#ifndef COORDINATION_BUDGET_LEDGER_H
#define COORDINATION_BUDGET_LEDGER_H

#include "coordination/budget_state.h"

/** Checks periodically for refills, store outages and silent holders, and
 * starts an operation on the bucket's ledger key if one is due. */
void budget_ledger_tick(struct budget_bucket *bucket);

#endif
