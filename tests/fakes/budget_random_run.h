/**
 * @file budget_random_run.h
 * Runs budget agents under random faults that a seed determines. After every
 * step, each ledger bucket has to keep its invariant and no budget may be
 * overspent. At the end, each budget has to be charged at least the cost of its
 * requests, and exactly that cost if no host died.
 */
#ifndef FAKES_BUDGET_RANDOM_RUN_H
#define FAKES_BUDGET_RANDOM_RUN_H

#include <stdbool.h>
#include <stdint.h>

/** The faults of a run. */
enum budget_random_faults {
	/** Pauses, partitions, outages, a slow store, lost messages and lost
	 * store writes. No host dies, so that the charges are exact. */
	BUDGET_RANDOM_TRANSIENT,
	/** As TRANSIENT, and callers retry at random hosts. */
	BUDGET_RANDOM_RETRIES,
	/** As RETRIES, and hosts die. */
	BUDGET_RANDOM_DEATHS,
	BUDGET_RANDOM_FAULTS_COUNT,
};

/** Additional faults of a run. */
struct budget_random_extras {
	bool splits_domains; /**< partitions within a failure domain, too */
	/** Some runs end early and settle as TGW_SETTLE_PARTIAL. */
	bool truncates_runs;
};

/** Fails the test that calls it when a check fails. */
void budget_random_run(uint64_t seed, enum budget_random_faults faults,
		       struct budget_random_extras extras);

#endif
