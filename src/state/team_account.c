#include "state/team_account.h"

#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "state/allotment_policy.h"

/* An allotment is written when it would grow by more than this part of what
 * is left of it. */
#define RAISE_PART 2
/* Before a host has seen a team's demand, it supposes that all hosts together
 * would use the budget up in this time. */
#define SUPPOSED_LIFE_S 100.0
/* Hosts hold at least this part of what is left, so that not each request
 * waits for the store. */
#define HOLD_PART_LEAST 0.06

/* Hosts live through outages of seconds, so demand is counted in seconds. */
static const struct demand_windows seconds = {
	.fast_s = 4.0,
	.slow_s = 20.0,
	.least_age_s = 3.0,
};

struct team_account *team_account_new(const char *team)
{
	struct team_account *account = xcalloc(1, sizeof(*account));

	text_copy(account->team, sizeof(account->team), team);
	account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	account->demand.windows = &seconds;
	return account;
}

static int64_t least(int64_t a, int64_t b)
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
		allotted = least(allotted, account->unresolved_tokens);
	return account->base_tokens + allotted;
}

/* What a request of this rank must leave to more urgent ones. */
static int64_t kept_tokens(const struct team_account *account, int32_t rank)
{
	static const int64_t kept_percent[] = {0, 25, 60};
	int32_t last =
		(int32_t)(sizeof(kept_percent) / sizeof(kept_percent[0])) - 1;

	if (rank < 0)
		rank = 0;
	return account->held_tokens * kept_percent[rank < last ? rank : last] /
	       100;
}

bool team_account_reserve(struct team_account *account, int64_t tokens,
			  int32_t rank, bool cut_off)
{
	int64_t left = team_account_limit(account) - used_tokens(account);

	if (cut_off)
		left -= kept_tokens(account, rank);
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

/** What the other hosts hold and want of a budget. */
struct others {
	int64_t left_tokens;
	int64_t settled_tokens;
	int64_t wanted_tokens;
	int64_t demand_tokens_per_s;
	uint32_t count;
};

static void look_at_others(const struct ledger_bucket *bucket, uint32_t budget,
			   uint64_t line_id, struct others *others)
{
	memset(others, 0, sizeof(*others));
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_share *share =
			ledger_line_find_share(line, budget);

		if (!share || line->id == line_id)
			continue;
		others->left_tokens += at_least_zero(share->allotted_tokens -
						     share->settled_tokens);
		others->settled_tokens += share->settled_tokens;
		others->wanted_tokens += share->wanted_tokens;
		others->demand_tokens_per_s += share->demand_tokens_per_s;
		others->count++;
	}
}

static int64_t wanted_by(const struct ledger_bucket *bucket, uint32_t budget,
			 uint64_t line_id)
{
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_share *share =
			ledger_line_find_share(&bucket->lines[i], budget);

		if (share && bucket->lines[i].id == line_id)
			return share->wanted_tokens;
	}
	return 0;
}

/* The less is left of a budget, the smaller the part that hosts hold (by the
 * square): what a host holds is lost when it dies, and late in a budget's
 * life nothing makes up for it. */
static double hold_part(const struct team_account *account,
			const struct allotment_inputs *in,
			const struct team_account_policy *policy)
{
	int64_t unspent = in->free_tokens + in->others_left_tokens +
			  at_least_zero(in->allotted_tokens - in->used_tokens);
	double share;
	double part;

	if (account->paid_in_tokens <= 0)
		return policy->hold_part;
	share = (double)unspent / (double)account->paid_in_tokens;
	part = policy->hold_part * share * share;
	return part > HOLD_PART_LEAST ? part : HOLD_PART_LEAST;
}

void team_account_decide(const struct team_account *account,
			 const struct ledger_bucket *bucket, uint64_t line_id,
			 const struct team_account_policy *policy,
			 int64_t now_us, struct team_account_wish *wish)
{
	int found = ledger_bucket_find_budget(bucket, account->team);
	struct allotment_inputs in = {0};
	struct others others = {0};
	double supposed_per_s = 0;
	uint32_t hosts = policy->host_count;
	int64_t own_wanted = 0;
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
		look_at_others(bucket, budget, line_id, &others);
		own_wanted = wanted_by(bucket, budget, line_id);
	}
	if (hosts < others.count + 1)
		hosts = others.count + 1;
	if (policy->hosts_are_known || others.settled_tokens)
		supposed_per_s = (double)account->paid_in_tokens /
				 SUPPOSED_LIFE_S / hosts;
	in.allotted_tokens = account->allotted_tokens;
	in.used_tokens = team_account_charged(account);
	in.needed_tokens = account->needed_tokens;
	in.demand_per_s = demand_forecast_per_s(&account->demand, now_us) +
			  supposed_per_s;
	in.others_demand_per_s = (double)others.demand_tokens_per_s +
				 supposed_per_s * others.count;
	in.others_left_tokens = others.left_tokens;
	in.others_count = others.count;
	in.ride_out_s = policy->ride_out_s;
	in.hold_part = hold_part(account, &in, policy);
	in.domains = hosts;
	in.return_surplus = others.wanted_tokens > in.free_tokens;
	wish->allotted_tokens = allotment_policy_decide(&in);
	left = in.allotted_tokens - in.used_tokens;
	raise = wish->allotted_tokens - in.allotted_tokens;
	wish->wanted_tokens = at_least_zero(
		in.needed_tokens - at_least_zero(left) - in.free_tokens);
	wish->urgent = raise * RAISE_PART > left ||
		       (in.needed_tokens && raise > 0);
	wish->lazy = raise < 0 || wish->wanted_tokens != own_wanted;
}

static void read_shares(struct team_account *account,
			const struct ledger_bucket *bucket, uint64_t line_id)
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
		const struct ledger_share *share =
			ledger_line_find_share(line, (uint32_t)found);

		if (share && line->id == line_id)
			account->allotted_tokens = share->allotted_tokens;
		else if (share)
			account->remaining_tokens -= share->settled_tokens;
	}
}

void team_account_read(struct team_account *account,
		       const struct ledger_bucket *bucket, uint64_t line_id)
{
	read_shares(account, bucket, line_id);
	account->held_tokens = at_least_zero(team_account_limit(account) -
					     used_tokens(account));
}
