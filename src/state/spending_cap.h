/**
 * @file spending_cap.h
 * How fast a process may spend an allotment of a budget.
 *
 * A process that dies has spent its whole allotment, as far as anybody knows.
 * A cap bounds that: the process records it in the store and keeps to it, so
 * that its successor, the next process of the same host, can return the rest. A
 * cap ends by itself after a while. So a process that does not reach the store
 * any more can still spend all that it holds.
 */
#ifndef STATE_SPENDING_CAP_H
#define STATE_SPENDING_CAP_H

#include <stdint.h>

/** Totals are cumulative for the process, like its allotment. */
struct spending_cap {
	int64_t spendable_tokens; /**< total that may be spent at once */
	int64_t tokens_per_s;	  /**< more may be spent with time */
	/** While the cap is in force, the process does not lower its allotment
	 * below this. The cap ends when it allows this total. */
	int64_t allotted_tokens;
	int64_t written_us; /**< by the host's clock; 0: there is no cap */
	int64_t period_us;  /**< the cap ends this long after */
};

/** @return the total that may be spent by now; INT64_MAX when there is no cap,
 * or no longer */
int64_t spending_cap_limit(const struct spending_cap *cap, int64_t now_us);

/** @return when a total may be spent, if not before: a time up to the end of
 * the cap; 0 without a cap */
int64_t spending_cap_allows_at_us(const struct spending_cap *cap,
				  int64_t total_tokens);

/** @return the minimum of the allotment by now; 0 without a cap */
int64_t spending_cap_min_allotment(const struct spending_cap *cap,
				   int64_t now_us);

/** @return what a process that was dead by this time can't have spent of its
 * allotment */
int64_t spending_cap_unspent(const struct spending_cap *cap, int64_t dead_us);

#endif
