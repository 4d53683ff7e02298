#include "state/team_account_cap.h"

#include <math.h>
#include <string.h>

#include "tamarackgw/clock.h"

/* Under a spending cap a host may spend at once this number of mean requests
 * and this fraction of the standard deviation of the demand until the next cap,
 * and this multiple of what requests wait for. A request that needs more waits
 * for a new cap, for the time of one store call. */
#define CAP_AHEAD_REQUESTS 1
#define CAP_AHEAD_DEVIATIONS 1
#define CAP_NEEDED_MULTIPLE 2
/* With time a cap allows this fraction of the forecast demand. */
#define CAP_RATE 0.75

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

int64_t team_account_cap_limit(const struct team_account *account,
			       int64_t now_us)
{
	return min_tokens(spending_cap_limit(&account->confirmed_cap, now_us),
			  spending_cap_limit(&account->proposed_cap, now_us));
}

bool team_account_is_capped(const struct team_account *account, int64_t tokens,
			    int64_t now_us)
{
	int64_t total = team_account_charged(account) + tokens;

	return total <= team_account_limit(account) &&
	       total > team_account_cap_limit(account, now_us);
}

int64_t team_account_capped_until_us(const struct team_account *account,
				     int64_t tokens)
{
	int64_t total = team_account_charged(account) + tokens;

	return max_tokens(
		spending_cap_allows_at_us(&account->confirmed_cap, total),
		spending_cap_allows_at_us(&account->proposed_cap, total));
}

int64_t team_account_capped_allotment(const struct team_account *account,
				      int64_t now_us)
{
	return max_tokens(
		spending_cap_min_allotment(&account->confirmed_cap, now_us),
		spending_cap_min_allotment(&account->proposed_cap, now_us));
}

bool team_account_has_cap(const struct team_account *account, int64_t now_us)
{
	return team_account_capped_allotment(account, now_us) > 0;
}

bool team_account_exceeds_cap(const struct team_account *account)
{
	const struct spending_cap *cap = &account->confirmed_cap;

	return cap->written_us &&
	       team_account_limit(account) > cap->allotted_tokens;
}

/* @return what has to be spendable at once, so that few requests wait for a
 * higher cap. Demand until the next cap varies by the square root of its
 * product with the weighted cost. */
static double ahead_tokens(const struct team_account *account,
			   double demand_per_s,
			   const struct team_account_cap_inputs *in)
{
	double interval_s = (double)in->interval_us / TGW_US_PER_S;
	double mean = in->mean_cost_tokens;
	double weighted = in->weighted_cost_tokens;
	double ahead;

	if (account->demanded_tokens) {
		mean = (double)team_account_mean_cost(account);
		weighted = account->demanded_squares /
			   (double)account->demanded_tokens;
	}
	ahead = CAP_AHEAD_REQUESTS * mean +
		CAP_AHEAD_DEVIATIONS *
			sqrt(demand_per_s * interval_s * weighted);
	return fmax(ahead,
		    CAP_NEEDED_MULTIPLE * (double)account->capped_tokens);
}

bool team_account_propose_cap(struct team_account *account,
			      const struct team_account_target *target,
			      const struct team_account_cap_inputs *in)
{
	int64_t charged = team_account_charged(account);
	int64_t allotted = team_account_limit(account);
	double ahead = ahead_tokens(account, target->demand_per_s, in);
	double rate = CAP_RATE * target->demand_per_s;
	int64_t withheld;

	if (in->returns_surplus)
		allotted =
			min_tokens(allotted, target->wanted_tokens +
						     account->received_tokens);
	withheld = allotted - charged - (int64_t)ahead;
	account->uncovered_tokens = 0;
	account->capped_tokens = 0;
	account->ahead_tokens = (int64_t)ahead;
	if (withheld <= 0) {
		team_account_propose_no_cap(account);
		return false;
	}
	account->proposed_cap = (struct spending_cap){
		.spendable_tokens = allotted - withheld,
		.tokens_per_s = (int64_t)rate,
		.allotted_tokens = allotted,
		.written_us = in->written_us,
		.period_us = in->period_us,
	};
	return true;
}

static void extend(struct spending_cap *cap, int64_t tokens)
{
	if (!cap->written_us)
		return;
	cap->spendable_tokens += tokens;
	cap->allotted_tokens += tokens;
}

/* A successor returns the difference of both totals, which stays. */
void team_account_extend_caps(struct team_account *account, int64_t tokens)
{
	extend(&account->confirmed_cap, tokens);
	extend(&account->proposed_cap, tokens);
	account->uncovered_tokens += tokens;
}

void team_account_propose_no_cap(struct team_account *account)
{
	memset(&account->proposed_cap, 0, sizeof(account->proposed_cap));
}

void team_account_end_cap_write(struct team_account *account, bool took_effect)
{
	if (took_effect)
		account->confirmed_cap = account->proposed_cap;
	else
		account->proposed_cap = account->confirmed_cap;
}
