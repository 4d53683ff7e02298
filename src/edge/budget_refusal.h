/**
 * @file budget_refusal.h
 * What a caller is told when its team's budget can't pay for its request now,
 * though tokens are left.
 */
#ifndef EDGE_BUDGET_REFUSAL_H
#define EDGE_BUDGET_REFUSAL_H

#include <stdint.h>

#include "state/unsettled_floor.h"

struct budget_refusal {
	const char *reason;
	int64_t retry_after_ms;
};

/** The rest of the budget is kept for more urgent requests. */
struct budget_refusal budget_refusal_kept(enum unsettled_cause cause);

/** Other hosts hold the rest of the budget.
 * @param none_free_for_us none were free for this long */
struct budget_refusal budget_refusal_none_free(enum unsettled_cause cause,
					       int64_t none_free_for_us);

/** No answer came in time on whether there are tokens. */
struct budget_refusal budget_refusal_late(void);

#endif
