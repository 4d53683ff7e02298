#include "state/allotment_policy.h"

#include <math.h>
#include <stdbool.h>

/* A domain without a line may turn up; it is counted as this part of ours. */
#define ABSENT_DOMAIN_WEIGHT 0.25
/* What is needed now is taken this many times over, if there is plenty. */
#define NEEDED_MARGIN 4.0
/* With this part of what is unspent still free, nothing is returned unasked. */
#define PLENTY_PART 4
/* All domains' first parts together take this part of what is free, and none
 * more than this many tokens. */
#define STARTER_PART 4
#define STARTER_TOKENS 20000
/* All hosts together take this part of what is free ahead of need. */
#define AHEAD_PART 2
/* Surplus below this part of the wish is not worth a return. */
#define KEEP_MARGIN 1.5

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* The part of all unspent tokens that falls to this line by demand. */
static double fair_part(const struct allotment_inputs *in, int64_t left)
{
	double pool = (double)(in->free_tokens + left + in->others_left_tokens);
	double weight = 1.0 / (1.0 + in->others_count);
	double total = in->demand_per_s * (1.0 + ABSENT_DOMAIN_WEIGHT *
							 in->absent_domains) +
		       in->others_demand_per_s;

	if (total > 0)
		weight = in->demand_per_s / total;
	return pool * weight;
}

/* A line's first part of a budget that nobody has asked it for yet. */
static int64_t starter(const struct allotment_inputs *in)
{
	int64_t part;

	if (in->allotted_tokens || !in->domains)
		return 0;
	part = in->free_tokens / (STARTER_PART * (int64_t)in->domains);
	return min_tokens(part, STARTER_TOKENS);
}

static bool is_plenty(const struct allotment_inputs *in, int64_t left)
{
	return in->free_tokens >=
	       (in->free_tokens + left + in->others_left_tokens) / PLENTY_PART;
}

/* Hosts that see little of a budget's demand take some requests' worth at
 * once, so that not each request waits for the store. */
static int64_t ahead_of_need(const struct allotment_inputs *in)
{
	int64_t part;

	if (in->hold_part <= 0 || !in->domains)
		return 0;
	part = in->free_tokens / (AHEAD_PART * (int64_t)in->domains);
	return min_tokens((int64_t)NEEDED_MARGIN * in->needed_tokens, part);
}

static bool keeps_surplus(const struct allotment_inputs *in, int64_t left,
			  int64_t wish)
{
	if (in->return_surplus)
		return false;
	if ((double)left < (double)wish * KEEP_MARGIN)
		return true;
	return in->hold_part <= 0 && is_plenty(in, left);
}

int64_t allotment_policy_decide(const struct allotment_inputs *in)
{
	int64_t left = max_tokens(in->allotted_tokens - in->used_tokens, 0);
	int64_t available = max_tokens(in->free_tokens, 0) + left;
	double comfort = fmax(in->demand_per_s * in->ride_out_s,
			      NEEDED_MARGIN * (double)in->needed_tokens);
	double part = in->hold_part > 0 ? in->hold_part : 1.0;
	int64_t wish = (int64_t)fmin(comfort, part * fair_part(in, left));

	wish = max_tokens(wish, in->needed_tokens);
	wish = max_tokens(wish, ahead_of_need(in));
	wish = max_tokens(wish, starter(in));
	if (in->asked_tokens)
		wish = min_tokens(wish, max_tokens(left - in->asked_tokens, 0));
	else if (wish < left && keeps_surplus(in, left, wish))
		wish = left;
	return in->used_tokens + min_tokens(wish, available);
}
