#include "state/team_account_transfer.h"

#include <assert.h>

#include "state/ledger_bucket.h"
#include "state/team_account_cap.h"
#include "tamarackgw/clock.h"

/* A host holds a request's tokens ahead of need if at least this fraction of a
 * request is expected. */
#define MIN_EXPECTED_DIVISOR 4

/* A relay that could not get tokens is not asked again before this. */
#define NONE_AVAILABLE_US (100 * TGW_US_PER_MS)

static int64_t max_tokens(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

void team_account_give(struct team_account *account, int64_t tokens)
{
	assert(tokens >= 0 && tokens <= team_account_held(account));
	account->given_tokens += tokens;
}

void team_account_take_back(struct team_account *account, int64_t tokens)
{
	assert(tokens >= 0 && tokens <= account->given_tokens);
	account->given_tokens -= tokens;
}

void team_account_receive(struct team_account *account, int64_t tokens)
{
	assert(tokens >= 0);
	account->received_tokens += tokens;
	team_account_extend_caps(account, tokens);
}

void team_account_collect(struct team_account *account,
			  const struct team_account_usage *usage,
			  bool is_recent, int64_t now_us)
{
	double tokens = (double)usage->demanded_tokens;

	account->collected_settled_tokens += usage->settled_tokens;
	if (usage->requests <= 0)
		return;
	account->demanded_tokens += usage->demanded_tokens;
	if (account->demanded_tokens > LEDGER_TOKENS_MAX)
		account->demanded_tokens = LEDGER_TOKENS_MAX;
	account->demanding_requests += usage->requests;
	account->demanded_squares += tokens * tokens / (double)usage->requests;
	if (is_recent)
		demand_forecast_add(&account->demand, now_us,
				    usage->demanded_tokens);
}

void team_account_forward(struct team_account *account,
			  struct team_account_usage *usage)
{
	const struct team_account_report *confirmed = &account->confirmed;
	const struct team_account_report *proposed = &account->proposed;
	/* An open write may take effect yet. */
	int64_t settled =
		team_account_own_settled(account) -
		max_tokens(confirmed->settled_tokens, proposed->settled_tokens);
	int64_t demanded = team_account_own_demanded(account) -
			   max_tokens(confirmed->demanded_tokens,
				      proposed->demanded_tokens);
	int64_t requests =
		account->demanding_requests - account->forwarded.requests;

	/* What is to be counted again may be known to the store. */
	if (account->recounts)
		return;
	account->forwarded.settled_tokens += settled;
	account->forwarded.demanded_tokens += demanded;
	account->forwarded.requests += requests;
	usage->settled_tokens += settled;
	usage->demanded_tokens += demanded;
	usage->requests += requests;
}

bool team_account_has_none_available(const struct team_account *account,
				     int64_t now_us)
{
	return account->none_available_us &&
	       now_us - account->none_available_us < NONE_AVAILABLE_US;
}

int64_t team_account_reserve_target(const struct team_account *account,
				    double hold_s, int64_t now_us)
{
	double demand_per_s =
		demand_forecast_per_s(&account->own_demand, now_us);
	int64_t target = (int64_t)(demand_per_s * hold_s);
	int64_t mean = team_account_mean_cost(account);

	/* Not worth holding tokens for a request that hardly comes. */
	if (target < mean / MIN_EXPECTED_DIVISOR)
		return 0;
	return max_tokens(target, mean);
}
