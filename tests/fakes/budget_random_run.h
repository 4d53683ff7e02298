/**
 * @file budget_random_run.h
 * Random faults from a seed: after every step the ledgers' rule holds and
 * nothing is overspent; at the end each request is billed.
 */
#ifndef FAKES_BUDGET_RANDOM_RUN_H
#define FAKES_BUDGET_RANDOM_RUN_H

#include <stdbool.h>
#include <stdint.h>

/** Which faults a run has. */
enum budget_random_faults {
	BUDGET_RANDOM_SOFT,    /**< nothing is lost: bills are exact */
	BUDGET_RANDOM_RETRIES, /**< soft, and callers retry elsewhere */
	BUDGET_RANDOM_DEATHS,  /**< hosts die, too */
	BUDGET_RANDOM_FAULTS_COUNT,
};

/** What happens besides. */
struct budget_random_extras {
	bool cuts_domains; /**< hosts of one domain lose each other, too */
	bool cuts_runs;	   /**< some runs are cut off and settled as a part */
};

/** Fails the test that calls it when a check fails. */
void budget_random_run(uint64_t seed, enum budget_random_faults faults,
		       struct budget_random_extras extras);

#endif
