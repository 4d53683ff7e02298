/**
 * @file budget_baselines.h
 * Baseline ledgers for comparison: a central one that every host always
 * reaches, a fixed split by host, and a central one that needs a store write
 * per request.
 */
#ifndef MEASURE_BUDGET_BASELINES_H
#define MEASURE_BUDGET_BASELINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "measure/budget_arrivals.h"

/** When which hosts do not reach the store. */
struct baseline_faults {
	size_t hosts;
	int64_t from_us;
	int64_t to_us;
	bool store_is_unreachable; /**< no host reaches the store */
	/** Hosts 0 and 1 do not reach the store. */
	bool first_hosts_are_partitioned;
};

enum baseline_kind {
	BASELINE_ORACLE,      /**< central; always reachable */
	BASELINE_FIXED_SPLIT, /**< an equal allotment for each host */
	BASELINE_STORE_WRITE, /**< central; a store write per request */
};

/** Runs the arrivals against one baseline.
 * @param paid_tokens paid-in tokens by budget
 * @param served receives the number of requests served, by budget */
void baseline_run(enum baseline_kind kind, const struct arrivals *arrivals,
		  uint32_t budgets, const int64_t *paid_tokens,
		  const struct baseline_faults *faults, uint32_t *served);

#endif
