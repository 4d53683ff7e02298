#include "state/team_account.h"

#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "state/allotment_policy.h"

/* A raise is written at once when requests need it, or when it exceeds
 * 1/MIN_RAISE_DIVISOR of what is left of the allotment. */
#define MIN_RAISE_DIVISOR 2
/* Each host adds to its forecast an equal fraction of an assumed demand, by
 * which all hosts together use up the budget in this time. So a host takes
 * tokens before it knows a team's demand. */
#define ASSUMED_LIFETIME_S 100.0
/* Hosts may hold at least this fraction of their fair amount, so that not every
 * request waits for the store. */
#define MIN_HOLD_FRACTION 0.06

/* An allotment covers store outages of seconds, so demand is averaged over
 * seconds, too. */
static const struct demand_windows outage_windows = {
	.fast_s = 4.0,
	.slow_s = 20.0,
	.min_age_s = 3.0,
};

struct team_account *team_account_new(const char *team)
{
	struct team_account *account = xcalloc(1, sizeof(*account));

	text_copy(account->team, sizeof(account->team), team);
	account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	account->demand.windows = &outage_windows;
	return account;
}

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t at_least_zero(int64_t tokens)
{
	return tokens > 0 ? tokens : 0;
}

static int64_t used_tokens(const struct team_account *account)
{
	return account->settled_tokens + account->reserved_tokens;
}

int64_t team_account_limit(const struct team_account *account)
{
	int64_t allotted = account->allotted_tokens;

	if (account->unresolved_tokens != TEAM_ACCOUNT_RESOLVED)
		allotted = min_tokens(allotted, account->unresolved_tokens);
	return account->base_tokens + allotted;
}

/* Tokens that a request of this rank must leave to more urgent ones. */
static int64_t tokens_for_urgent(const struct team_account *account,
				 int32_t rank)
{
	static const int64_t urgent_percent[] = {0, 25, 60};
	int32_t last =
		(int32_t)(sizeof(urgent_percent) / sizeof(urgent_percent[0])) -
		1;

	if (rank < 0)
		rank = 0;
	return account->held_tokens *
	       urgent_percent[rank < last ? rank : last] / 100;
}

bool team_account_reserve(struct team_account *account, int64_t tokens,
			  int32_t rank, bool store_unreachable)
{
	int64_t left = team_account_limit(account) - used_tokens(account);

	if (store_unreachable)
		left -= tokens_for_urgent(account, rank);
	if (tokens > left) {
		account->needed_tokens += tokens;
		return false;
	}
	account->reserved_tokens += tokens;
	return true;
}

void team_account_settle(struct team_account *account, int64_t reserved_tokens,
			 int64_t spent_tokens, int64_t now_us)
{
	account->reserved_tokens -= reserved_tokens;
	account->settled_tokens += spent_tokens;
	if (spent_tokens)
		demand_forecast_add(&account->demand, now_us, spent_tokens);
}

int64_t team_account_charged(const struct team_account *account)
{
	return at_least_zero(used_tokens(account) - account->base_tokens);
}

void team_account_close(struct team_account *account)
{
	account->base_tokens = used_tokens(account);
	account->allotted_tokens = 0;
	account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
}

/* Sums over the other hosts' lines for one budget. */
struct others {
	int64_t left_tokens;
	int64_t settled_tokens;
	int64_t requested_tokens;
	int64_t demand_tokens_per_s;
	uint32_t count;
};

static void sum_others(const struct ledger_bucket *bucket, uint32_t budget,
		       uint64_t line_id, struct others *others)
{
	memset(others, 0, sizeof(*others));
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, budget);

		if (!allotment || line->id == line_id)
			continue;
		others->left_tokens += at_least_zero(
			allotment->allotted_tokens - allotment->settled_tokens);
		others->settled_tokens += allotment->settled_tokens;
		others->requested_tokens += allotment->requested_tokens;
		others->demand_tokens_per_s += allotment->demand_tokens_per_s;
		others->count++;
	}
}

static int64_t requested_by(const struct ledger_bucket *bucket, uint32_t budget,
			    uint64_t line_id)
{
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(&bucket->lines[i], budget);

		if (allotment && bucket->lines[i].id == line_id)
			return allotment->requested_tokens;
	}
	return 0;
}

/* The fraction that hosts may hold falls with the square of the fraction of the
 * budget that is unspent: what a host holds is lost when it dies, and near the
 * end of a budget too little is left to make up for that. */
static double hold_fraction(const struct team_account *account,
			    const struct allotment_inputs *in,
			    const struct team_account_policy *policy)
{
	int64_t unspent = in->free_tokens + in->others_left_tokens +
			  at_least_zero(in->allotted_tokens - in->used_tokens);
	double unspent_fraction;
	double fraction;

	if (account->paid_in_tokens <= 0)
		return policy->hold_fraction;
	unspent_fraction = (double)unspent / (double)account->paid_in_tokens;
	fraction = policy->hold_fraction * unspent_fraction * unspent_fraction;
	return fraction > MIN_HOLD_FRACTION ? fraction : MIN_HOLD_FRACTION;
}

void team_account_decide(const struct team_account *account,
			 const struct ledger_bucket *bucket, uint64_t line_id,
			 const struct team_account_policy *policy,
			 int64_t now_us, struct team_account_target *target)
{
	int found = ledger_bucket_find_budget(bucket, account->team);
	struct allotment_inputs in = {0};
	struct others others = {0};
	double assumed_per_s = 0;
	uint32_t hosts = policy->host_count;
	int64_t own_requested_tokens = 0;
	int64_t left;
	int64_t raise;

	in.free_tokens = account->paid_in_tokens;
	if (found >= 0) {
		uint32_t budget = (uint32_t)found;

		in.free_tokens = ledger_bucket_free_tokens(bucket, budget);
		if (bucket->budgets[found].paid_in_tokens <
		    account->paid_in_tokens)
			in.free_tokens += account->paid_in_tokens -
					  bucket->budgets[found].paid_in_tokens;
		sum_others(bucket, budget, line_id, &others);
		own_requested_tokens = requested_by(bucket, budget, line_id);
	}
	if (hosts < others.count + 1)
		hosts = others.count + 1;
	if (policy->hosts_are_known || others.settled_tokens)
		assumed_per_s = (double)account->paid_in_tokens /
				ASSUMED_LIFETIME_S / hosts;
	in.allotted_tokens = account->allotted_tokens;
	in.used_tokens = team_account_charged(account);
	in.needed_tokens = account->needed_tokens;
	in.demand_per_s =
		demand_forecast_per_s(&account->demand, now_us) + assumed_per_s;
	in.others_demand_per_s = (double)others.demand_tokens_per_s +
				 assumed_per_s * others.count;
	in.others_left_tokens = others.left_tokens;
	in.others_count = others.count;
	in.ride_out_s = policy->ride_out_s;
	in.hold_fraction = hold_fraction(account, &in, policy);
	in.domains = hosts;
	in.return_surplus = others.requested_tokens > in.free_tokens;
	target->allotted_tokens = allotment_policy_decide(&in);
	left = in.allotted_tokens - in.used_tokens;
	raise = target->allotted_tokens - in.allotted_tokens;
	target->requested_tokens = at_least_zero(
		in.needed_tokens - at_least_zero(left) - in.free_tokens);
	target->urgent = raise * MIN_RAISE_DIVISOR > left ||
			 (in.needed_tokens && raise > 0);
	target->deferrable = raise < 0 ||
			     target->requested_tokens != own_requested_tokens;
}

static void read_allotments(struct team_account *account,
			    const struct ledger_bucket *bucket,
			    uint64_t line_id)
{
	int found = ledger_bucket_find_budget(bucket, account->team);
	const struct ledger_budget *budget;

	if (found < 0) {
		account->free_tokens = account->paid_in_tokens;
		account->remaining_tokens =
			account->paid_in_tokens - used_tokens(account);
		return;
	}
	budget = &bucket->budgets[found];
	account->free_tokens =
		ledger_bucket_free_tokens(bucket, (uint32_t)found);
	account->remaining_tokens = account->paid_in_tokens -
				    budget->folded_tokens -
				    account->settled_tokens;
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, (uint32_t)found);

		if (allotment && line->id == line_id)
			account->allotted_tokens = allotment->allotted_tokens;
		else if (allotment)
			account->remaining_tokens -= allotment->settled_tokens;
	}
}

void team_account_read(struct team_account *account,
		       const struct ledger_bucket *bucket, uint64_t line_id)
{
	read_allotments(account, bucket, line_id);
	account->held_tokens = at_least_zero(team_account_limit(account) -
					     used_tokens(account));
}
