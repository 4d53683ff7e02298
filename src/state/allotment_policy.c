#include "state/allotment_policy.h"

#include <math.h>
#include <stdbool.h>

/* A failure domain without a line may still open one. Its demand is counted as
 * this fraction of this host's demand. */
#define ABSENT_DOMAIN_WEIGHT 0.25
/* An allotment aims at this multiple of the needed tokens, within the limits
 * of the fair amount or of AHEAD_DIVISOR. */
#define NEEDED_MULTIPLE 4.0
/* Without a limit on the fraction to hold, a surplus is returned only on
 * request while at least 1/MIN_FREE_DIVISOR of the unspent tokens is free. */
#define MIN_FREE_DIVISOR 4
/* A host that expects requests for a budget holds the tokens of this many,
 * since it can't serve any with less than one. */
#define MIN_REQUESTS 2
/* The initial allotments of all domains together take at most 1/INITIAL_DIVISOR
 * of the free tokens, and none takes more than MAX_INITIAL_TOKENS. */
#define INITIAL_DIVISOR 4
#define MAX_INITIAL_TOKENS 20000
/* All hosts together take at most 1/AHEAD_DIVISOR of the free tokens ahead of
 * need. */
#define AHEAD_DIVISOR 2
/* The fraction of its fair amount that a host may always hold to cover the
 * minimum time. */
#define MIN_FRACTION 0.15
/* Unspent tokens below this multiple of the target are returned only on
 * request. */
#define MIN_RETURN_RATIO 1.5

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static double fair_tokens(const struct allotment_inputs *in, int64_t left)
{
	double pool = (double)(in->free_tokens + left + in->others_left_tokens);
	double weight = 1.0 / (1.0 + in->others_count);
	double total = in->demand_per_s * (1.0 + ABSENT_DOMAIN_WEIGHT *
							 in->absent_domains) +
		       in->others_demand_per_s;

	if (in->weight > 0)
		weight = in->weight;
	else if (total > 0)
		weight = in->demand_per_s / total;
	return pool * weight;
}

/* The minimum for a line without an allotment, so that it holds tokens before
 * the first request for the budget. */
static int64_t initial_tokens(const struct allotment_inputs *in)
{
	int64_t limit;

	if (in->allotted_tokens || !in->domains)
		return 0;
	limit = in->free_tokens / (INITIAL_DIVISOR * (int64_t)in->domains);
	return min_tokens(limit, MAX_INITIAL_TOKENS);
}

static bool has_ample_free_tokens(const struct allotment_inputs *in,
				  int64_t left)
{
	return in->free_tokens >=
	       (in->free_tokens + left + in->others_left_tokens) /
		       MIN_FREE_DIVISOR;
}

/* A host that receives little of a budget's demand takes tokens for several
 * requests at once, so that not every request waits for the store. */
static int64_t ahead_of_need(const struct allotment_inputs *in)
{
	int64_t wanted = (int64_t)NEEDED_MULTIPLE * in->needed_tokens;
	int64_t limit;

	if (in->hold_fraction <= 0 || !in->domains)
		return 0;
	wanted = max_tokens(wanted, MIN_REQUESTS * in->typical_tokens);
	if (in->limits_ahead)
		wanted = min_tokens(wanted,
				    in->needed_tokens + in->ahead_limit_tokens);
	limit = in->free_tokens / (AHEAD_DIVISOR * (int64_t)in->domains);
	return min_tokens(wanted, limit);
}

static bool keeps_surplus(const struct allotment_inputs *in, int64_t left,
			  int64_t target)
{
	if (in->return_surplus)
		return false;
	if ((double)left < (double)target * MIN_RETURN_RATIO)
		return true;
	return in->hold_fraction <= 0 && has_ample_free_tokens(in, left);
}

int64_t allotment_policy_decide(const struct allotment_inputs *in)
{
	int64_t left = max_tokens(in->allotted_tokens - in->used_tokens, 0);
	int64_t available = max_tokens(in->free_tokens, 0) + left;
	double desired = fmax(in->demand_per_s * in->ride_out_s,
			      NEEDED_MULTIPLE * (double)in->needed_tokens);
	double fraction = in->hold_fraction > 0 ? in->hold_fraction : 1.0;
	double fair = fair_tokens(in, left);
	int64_t target = (int64_t)fmin(desired, fraction * fair);

	target = max_tokens(target,
			    (int64_t)fmin(in->demand_per_s * in->min_ride_out_s,
					  MIN_FRACTION * fair));
	if (in->needed_tokens)
		target = max_tokens(target,
				    in->needed_tokens + in->peers_left_tokens);
	target = max_tokens(target, ahead_of_need(in));
	target = max_tokens(target, initial_tokens(in));
	if (in->recalled_tokens)
		target = min_tokens(target,
				    max_tokens(left - in->recalled_tokens, 0));
	else if (target < left && keeps_surplus(in, left, target))
		target = left;
	return in->used_tokens + min_tokens(target, available);
}
