#include "state/team_account.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "state/allotment_policy.h"
#include "state/loss_bound.h"
#include "state/team_account_cap.h"
#include "tamarackgw/clock.h"

/* A raise is written at once when requests need it, or when it exceeds
 * 1/MIN_RAISE_DIVISOR of what is left of the allotment. */
#define MIN_RAISE_DIVISOR 2
/* Each host adds to its forecast an equal fraction of an assumed demand, by
 * which all hosts together use up the budget in this time. So a host takes
 * tokens before it knows a team's demand. */
#define ASSUMED_LIFETIME_S 100.0
/* In the weights of hosts the assumed demand counts for this fraction of it, so
 * that a host with much of a team's demand is soon known. */
#define ASSUMED_WEIGHT_DIVISOR 3
/* An allotment lasts at least until the next write, which may need retries. */
#define MIN_RIDE_OUT_S 2.0

/* An allotment covers store outages of seconds, so demand is averaged over
 * seconds, too. */
static const struct demand_windows outage_windows = {
	.fast_s = 4.0,
	.slow_s = 20.0,
	.min_age_s = 3.0,
};

/* A budget that deaths have cut short serves the more urgent requests longer:
 * this part of what was taken and not settled, most of which is lost then, is
 * kept for them. */
#define KEPT_OF_UNSETTLED 0.15

/* Value of fleet_demanded_tokens before the first read. */
#define NOT_READ INT64_C(-1)

struct team_account *team_account_new(const char *team)
{
	struct team_account *account = xcalloc(1, sizeof(*account));

	short_name_copy(account->team, team);
	account->own_demand.windows = &outage_windows;
	account->demand.windows = &outage_windows;
	account->fleet_demand.windows = &outage_windows;
	account->fleet_demanded_tokens = NOT_READ;
	return account;
}

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t at_least_zero(int64_t tokens)
{
	return tokens > 0 ? tokens : 0;
}

int64_t team_account_charged(const struct team_account *account)
{
	return account->settled_tokens + account->reserved_tokens +
	       account->given_tokens;
}

int64_t team_account_limit(const struct team_account *account)
{
	return account->received_tokens +
	       min_tokens(account->confirmed.allotted_tokens,
			  account->proposed.allotted_tokens);
}

int64_t team_account_available(const struct team_account *account,
			       int64_t now_us)
{
	return min_tokens(team_account_limit(account),
			  team_account_cap_limit(account, now_us)) -
	       team_account_charged(account);
}

int64_t team_account_held(const struct team_account *account)
{
	return at_least_zero(team_account_limit(account) -
			     team_account_charged(account));
}

int64_t team_account_own_settled(const struct team_account *account)
{
	return account->settled_tokens + account->collected_settled_tokens -
	       account->forwarded.settled_tokens;
}

int64_t team_account_own_demanded(const struct team_account *account)
{
	return account->demanded_tokens - account->forwarded.demanded_tokens;
}

void team_account_record_demand(struct team_account *account, int64_t tokens,
				int32_t rank, int64_t now_us)
{
	/* No more can ever be served; the ledger holds no greater total. */
	tokens = min_tokens(tokens, account->paid_in_tokens
					    ? account->paid_in_tokens
					    : LEDGER_TOKENS_MAX);
	urgent_demand_add(&account->urgent_demand, rank, tokens, now_us);
	account->demanded_tokens = min_tokens(account->demanded_tokens + tokens,
					      LEDGER_TOKENS_MAX);
	account->demanding_requests++;
	account->demanded_squares += (double)tokens * (double)tokens;
	demand_forecast_add(&account->own_demand, now_us, tokens);
	demand_forecast_add(&account->demand, now_us, tokens);
}

/* @return the part of the tokens that a request of this rank must leave to more
 * urgent ones */
static int64_t tokens_for_urgent(int64_t tokens, int32_t rank)
{
	static const int64_t urgent_percent[] = {0, 25, 60};
	int32_t last =
		(int32_t)(sizeof(urgent_percent) / sizeof(urgent_percent[0])) -
		1;

	if (rank < 0)
		rank = 0;
	return tokens * urgent_percent[rank < last ? rank : last] / 100;
}

int64_t team_account_kept_for_urgent(const struct team_account *account,
				     int32_t rank)
{
	return tokens_for_urgent(account->held_tokens, rank);
}

/* Where the more urgent requests demand less than the kept part of all tokens,
 * less is kept. */
bool team_account_is_kept(const struct team_account *account, int64_t tokens,
			  int32_t rank, int64_t now_us)
{
	int64_t unsettled = account->remaining_tokens - account->free_tokens;
	int64_t left = account->free_tokens + team_account_held(account);
	double urgent;

	if (rank <= 0 || !account->viewed_us)
		return false;
	urgent = urgent_demand_fraction(&account->urgent_demand, rank, now_us);
	return (double)(left - tokens) <
	       fmin(KEPT_OF_UNSETTLED * (double)unsettled,
		    urgent * (double)account->paid_in_tokens);
}

static void add_needed(struct team_account *account, int64_t tokens,
		       int32_t rank)
{
	if (!account->needed_tokens || rank < account->needed_rank)
		account->needed_rank = rank;
	account->needed_tokens += tokens;
}

bool team_account_reserve(struct team_account *account, int64_t tokens,
			  int32_t rank, bool store_unreachable, int64_t now_us)
{
	int64_t charged = team_account_charged(account);
	int64_t allotted = team_account_limit(account) - charged;
	int64_t capped = team_account_cap_limit(account, now_us) - charged;

	if (store_unreachable) {
		allotted -= tokens_for_urgent(account->held_tokens, rank);
		capped -= tokens_for_urgent(account->ahead_tokens, rank);
	}
	if (tokens <= allotted && tokens <= capped) {
		account->reserved_tokens += tokens;
		return true;
	}
	if (team_account_is_capped(account, tokens, now_us))
		account->capped_tokens += tokens;
	else
		add_needed(account, tokens, rank);
	return false;
}

void team_account_settle(struct team_account *account, int64_t reserved_tokens,
			 int64_t spent_tokens)
{
	account->reserved_tokens -= reserved_tokens;
	account->settled_tokens += spent_tokens;
}

/* @return what the pool counts as taken by other hosts and not settled; tokens
 * of hosts that died are among them */
static int64_t others_unsettled_tokens(const struct team_account *account,
				       const struct pooled_budget *budget)
{
	const struct team_account_report *own = &account->confirmed;
	int64_t unsettled = budget->taken_tokens - budget->settled_tokens;

	return at_least_zero(unsettled -
			     (own->allotted_tokens - own->settled_tokens));
}

/* Assumes that the other hosts hold as much for their part of the demand as
 * this host does for its own, so that tokens of hosts that died are not
 * counted. */
static int64_t others_left_tokens(const struct team_account *account,
				  const struct pooled_budget *budget,
				  const struct allotment_inputs *in)
{
	int64_t left = at_least_zero(in->allotted_tokens - in->used_tokens);

	if (in->weight <= 0)
		return 0;
	return min_tokens(
		others_unsettled_tokens(account, budget),
		(int64_t)((double)left * (1.0 - in->weight) / in->weight));
}

/* The demand of each host that is assumed in addition to what is known. */
static double assumed_demand_per_s(const struct team_account *account,
				   const struct pooled_budget *budget,
				   const struct team_account_policy *policy,
				   uint32_t hosts)
{
	bool others_settled = budget &&
			      budget->settled_tokens >
				      account->confirmed.settled_tokens;

	if (!policy->hosts_are_known && !others_settled)
		return 0;
	return (double)account->paid_in_tokens / ASSUMED_LIFETIME_S / hosts;
}

/* The fraction of the demand of all hosts that this host receives. Averages
 * are taken, and the assumed demand counts for each host, so that a host with
 * one early request does not take what the others need. */
static double demand_weight(const struct team_account *account,
			    double assumed_per_s, uint32_t hosts,
			    int64_t now_us)
{
	double prior_per_s = assumed_per_s / ASSUMED_WEIGHT_DIVISOR;
	double own_per_s =
		demand_forecast_average_per_s(&account->demand, now_us);
	double fleet_per_s =
		demand_forecast_average_per_s(&account->fleet_demand, now_us);
	double total_per_s =
		(fleet_per_s > own_per_s ? fleet_per_s : own_per_s) +
		prior_per_s * hosts;

	if (total_per_s <= 0)
		return 1.0 / hosts;
	return (own_per_s + prior_per_s) / total_per_s;
}

/* @return the number of hosts that share the budgets, at least 1 */
static uint32_t shared_by(size_t host_count,
			  const struct team_account_policy *policy)
{
	if (host_count < policy->host_count)
		return policy->host_count;
	return host_count ? (uint32_t)host_count : 1;
}

double team_account_weight(const struct team_account *account,
			   const struct pooled_budget *budget,
			   size_t host_count,
			   const struct team_account_policy *policy,
			   int64_t now_us)
{
	uint32_t hosts = shared_by(host_count, policy);

	return demand_weight(
		account, assumed_demand_per_s(account, budget, policy, hosts),
		hosts, now_us);
}

static int64_t free_tokens(const struct team_account *account,
			   const struct pooled_budget *budget)
{
	if (!budget)
		return account->paid_in_tokens;
	if (account->paid_in_tokens > budget->paid_in_tokens)
		return account->paid_in_tokens - budget->taken_tokens;
	return pooled_budget_free_tokens(budget);
}

int64_t team_account_mean_cost(const struct team_account *account)
{
	if (!account->demanding_requests)
		return 0;
	return account->demanded_tokens / account->demanding_requests;
}

/* @return the mean cost of a request, if at least one is likely to arrive
 * while an outage is ridden out; else 0 */
static int64_t typical_tokens(const struct team_account *account,
			      const struct team_account_policy *policy,
			      double forecast_per_s)
{
	int64_t mean = team_account_mean_cost(account);

	if (forecast_per_s * policy->ride_out_s < (double)mean)
		return 0;
	return mean;
}

static struct loss_bound_inputs loss_bound_inputs(
	const struct team_account *account, const struct pooled_budget *budget,
	const struct team_account_policy *policy,
	const struct allotment_inputs *in)
{
	int64_t own = at_least_zero(in->allotted_tokens - in->used_tokens);
	struct loss_bound_inputs bound = {
		.loss_fraction = policy->loss_fraction,
		.hold_fraction = policy->hold_fraction,
		.weight = in->weight,
		.paid_in_tokens = account->paid_in_tokens,
		.left_tokens = in->free_tokens + in->others_left_tokens + own,
		.free_tokens = in->free_tokens,
		.own_tokens = own,
	};

	if (budget) {
		bound.unsettled_tokens =
			budget->taken_tokens - budget->settled_tokens;
		bound.others_unsettled_tokens =
			others_unsettled_tokens(account, budget);
	}
	return bound;
}

/* A write may take the minimum time. */
static void limit_held(const struct loss_bound_inputs *bound,
		       struct allotment_inputs *in)
{
	in->hold_fraction = loss_bound_hold_fraction(bound);
	in->limits_ahead = true;
	in->ahead_limit_tokens = (int64_t)loss_bound_limit_tokens(bound);
	in->min_ride_out_s = MIN_RIDE_OUT_S;
	if (in->demand_per_s > 0)
		in->min_ride_out_s =
			fmin(MIN_RIDE_OUT_S,
			     loss_bound_limit_tokens(bound) / in->demand_per_s);
}

/* @return what this host and those that it relays for hold of the confirmed
 * allotment and of what was received */
static int64_t unspent_tokens(const struct team_account *account)
{
	return account->confirmed.allotted_tokens + account->received_tokens -
	       team_account_charged(account) + account->held_by_peers_tokens;
}

static void fill_inputs(const struct team_account *account,
			const struct pooled_budget *budget, uint32_t hosts,
			const struct team_account_policy *policy,
			int64_t now_us, struct allotment_inputs *in)
{
	double forecast_per_s = demand_forecast_per_s(&account->demand, now_us);
	double assumed_per_s =
		assumed_demand_per_s(account, budget, policy, hosts);
	struct loss_bound_inputs bound;

	memset(in, 0, sizeof(*in));
	in->free_tokens = free_tokens(account, budget);
	in->allotted_tokens = account->confirmed.allotted_tokens;
	in->used_tokens = in->allotted_tokens - unspent_tokens(account);
	in->needed_tokens = account->needed_tokens;
	in->peers_left_tokens = account->held_by_peers_tokens;
	in->typical_tokens = typical_tokens(account, policy, forecast_per_s);
	in->demand_per_s = forecast_per_s + assumed_per_s;
	in->weight = demand_weight(account, assumed_per_s, hosts, now_us);
	if (budget)
		in->others_left_tokens =
			others_left_tokens(account, budget, in);
	in->others_count = hosts - 1;
	in->ride_out_s = policy->ride_out_s;
	bound = loss_bound_inputs(account, budget, policy, in);
	limit_held(&bound, in);
	in->domains = hosts;
	in->return_surplus = budget &&
			     budget->requested_tokens > in->free_tokens;
}

/* A lower allotment would return tokens that a successor returns by the cap, or
 * that are spent or given away. Received tokens may be returned, too: then the
 * allotment is negative. */
static int64_t min_allotment(const struct team_account *account, int64_t now_us)
{
	return max_tokens(team_account_capped_allotment(account, now_us),
			  team_account_charged(account)) -
	       account->received_tokens;
}

/* What was spent and given away counts in any case. */
static void recount(const struct team_account *account,
		    struct team_account_target *target)
{
	target->allotted_tokens = max_tokens(account->lost_allotted_tokens,
					     team_account_charged(account) -
						     account->received_tokens);
	target->wanted_tokens = target->allotted_tokens;
	target->lacking_tokens = 0;
	target->urgent = true;
	target->awaited = true;
}

void team_account_decide(const struct team_account *account,
			 const struct pooled_budget *budget, size_t host_count,
			 const struct team_account_policy *policy,
			 int64_t now_us, struct team_account_target *target)
{
	bool is_requested = budget && budget->requested_tokens;
	struct allotment_inputs in;
	double forecast_per_s;
	int64_t left;
	int64_t raise;

	fill_inputs(account, budget, shared_by(host_count, policy), policy,
		    now_us, &in);
	left = in.allotted_tokens - in.used_tokens;
	forecast_per_s = demand_forecast_per_s(&account->demand, now_us);
	target->demand_per_s =
		fmax(forecast_per_s, in.demand_per_s - forecast_per_s);
	target->wanted_tokens = allotment_policy_decide(&in);
	target->allotted_tokens = max_tokens(target->wanted_tokens,
					     min_allotment(account, now_us));
	raise = target->allotted_tokens - in.allotted_tokens;
	target->lacking_tokens = at_least_zero(
		in.needed_tokens - at_least_zero(left - in.peers_left_tokens) -
		in.free_tokens);
	target->urgent = raise * MIN_RAISE_DIVISOR > left ||
			 (in.needed_tokens && raise > 0);
	target->deferrable = raise < 0 ||
			     (target->lacking_tokens && !is_requested);
	target->awaited = in.needed_tokens || (raise < 0 && is_requested);
	if (account->recounts)
		recount(account, target);
}

void team_account_propose(struct team_account *account,
			  const struct team_account_target *target,
			  struct pooled_budget *budget)
{
	const struct team_account_report *from = &account->confirmed;
	struct team_account_report *to = &account->proposed;

	to->allotted_tokens = target->allotted_tokens;
	to->settled_tokens = team_account_own_settled(account);
	to->demanded_tokens = team_account_own_demanded(account);
	budget->taken_tokens += to->allotted_tokens - from->allotted_tokens;
	budget->settled_tokens += to->settled_tokens - from->settled_tokens;
	budget->demanded_tokens =
		min_tokens(budget->demanded_tokens + to->demanded_tokens -
				   from->demanded_tokens,
			   LEDGER_TOKENS_MAX);
	if (target->lacking_tokens)
		budget->requested_tokens = target->lacking_tokens;
	else if (budget->requested_tokens <= pooled_budget_free_tokens(budget))
		budget->requested_tokens = 0;
}

void team_account_confirm(struct team_account *account, uint64_t sequence,
			  int64_t now_us)
{
	account->confirmed = account->proposed;
	account->recounts = false;
	report_history_add(&account->reports, sequence, &account->confirmed,
			   now_us);
}

void team_account_lose_writes(struct team_account *account, uint64_t sequence,
			      int64_t now_us)
{
	const struct team_account_report known =
		report_history_find(&account->reports, sequence, now_us);

	if (!memcmp(&known, &account->confirmed, sizeof(known)))
		return;
	if (!account->recounts)
		account->lost_allotted_tokens =
			account->confirmed.allotted_tokens;
	account->recounts = true;
	account->confirmed = known;
	account->proposed = known;
	report_history_cut(&account->reports, sequence, &known);
}

void team_account_withdraw(struct team_account *account)
{
	account->proposed = account->confirmed;
}

void team_account_forfeit(struct team_account *account)
{
	account->proposed.allotted_tokens =
		team_account_charged(account) - account->received_tokens;
	account->confirmed = account->proposed;
	account->recounts = false;
	memset(&account->reports, 0, sizeof(account->reports));
	account->reports.base = account->confirmed;
	team_account_propose_no_cap(account);
	account->confirmed_cap = account->proposed_cap;
}

static void add_fleet_demand(struct team_account *account,
			     const struct pooled_budget *budget, int64_t now_us)
{
	int64_t demanded = budget ? budget->demanded_tokens : 0;
	int64_t added = demanded - account->fleet_demanded_tokens;

	if (account->fleet_demanded_tokens != NOT_READ && added > 0)
		demand_forecast_add(&account->fleet_demand, now_us, added);
	account->fleet_demanded_tokens = demanded;
}

void team_account_view(struct team_account *account, int64_t free,
		       int64_t remaining, int64_t viewed_us)
{
	account->viewed_us = viewed_us;
	account->free_tokens = free;
	if (free > 0)
		account->none_free_us = 0;
	else if (!account->none_free_us)
		account->none_free_us = viewed_us;
	account->remaining_tokens = remaining;
	account->held_tokens = team_account_held(account);
	unsettled_floor_add(&account->unsettled, remaining - free, viewed_us);
}

void team_account_read(struct team_account *account,
		       const struct pooled_budget *budget, int64_t now_us)
{
	int64_t unreported = team_account_own_settled(account) -
			     account->confirmed.settled_tokens;
	int64_t settled = budget ? budget->settled_tokens : 0;
	int64_t paid_in = account->paid_in_tokens;

	if (budget && budget->paid_in_tokens > paid_in)
		paid_in = budget->paid_in_tokens;
	team_account_view(account, free_tokens(account, budget),
			  paid_in - settled - unreported, now_us);
	add_fleet_demand(account, budget, now_us);
}
