/**
 * @file budget_baselines.h
 * Ledgers to compare with: one that knows everything, a fixed split by host,
 * and one store write for each request.
 */
#ifndef MEASURE_BUDGET_BASELINES_H
#define MEASURE_BUDGET_BASELINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "measure/budget_arrivals.h"

/** When and where the store and hosts can't be reached. */
struct baseline_faults {
	size_t hosts;
	int64_t from_us;
	int64_t to_us;
	bool store_is_out;     /**< for all hosts, in that time */
	bool first_is_cut_off; /**< hosts 0 and 1 off the store */
};

enum baseline_kind {
	BASELINE_ALL_KNOWING,
	BASELINE_FIXED_SPLIT,
	BASELINE_STORE_WRITE,
};

/** @param paid_tokens by budget
 * @param served receives the requests served, by budget */
void baseline_run(enum baseline_kind kind, const struct arrivals *arrivals,
		  uint32_t budgets, const int64_t *paid_tokens,
		  const struct baseline_faults *faults, uint32_t *served);

#endif
