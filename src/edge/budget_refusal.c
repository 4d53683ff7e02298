#include "edge/budget_refusal.h"

#include "tamarackgw/clock.h"

/* By then other hosts have returned what they can spare, and some requests have
 * ended. */
#define RETRY_AFTER_RECALL_MS 1500
/* Tokens that other hosts don't need come back within this time. */
#define RECALL_LASTS_US (10 * TGW_US_PER_S)
/* Only a payment brings tokens soon. */
#define RETRY_AFTER_LOST_MS 10000

struct budget_refusal budget_refusal_kept(enum unsettled_cause cause)
{
	static const struct budget_refusal refusals[] = {
		[UNSETTLED_UNKNOWN] = {"what is left of the budget is kept for "
				       "more urgent requests: open requests "
				       "hold the rest, or it was lost with "
				       "hosts that died",
				       RETRY_AFTER_RECALL_MS},
		[UNSETTLED_BY_OPEN_REQUESTS] = {"what is left of the budget is "
						"kept for more urgent requests "
						"until open requests end",
						RETRY_AFTER_RECALL_MS},
		[UNSETTLED_FOR_LONG] = {"what is left of the budget is kept "
					"for more urgent requests: the rest "
					"was lost with hosts that died, or is "
					"held by long requests; top up",
					RETRY_AFTER_LOST_MS},
	};

	return refusals[cause];
}

struct budget_refusal budget_refusal_none_free(enum unsettled_cause cause,
					       int64_t none_free_for_us)
{
	if (none_free_for_us <= RECALL_LASTS_US)
		return (struct budget_refusal){
			"other hosts hold what is left of the budget",
			RETRY_AFTER_RECALL_MS};
	if (cause == UNSETTLED_BY_OPEN_REQUESTS)
		return (struct budget_refusal){
			"open requests use what is left of the budget",
			RETRY_AFTER_RECALL_MS};
	return (struct budget_refusal){
		"open requests use what is left of the budget, or it was lost "
		"with hosts that died; top up",
		RETRY_AFTER_LOST_MS};
}

struct budget_refusal budget_refusal_late(void)
{
	return (struct budget_refusal){"no allotment came in time",
				       RETRY_AFTER_RECALL_MS};
}
