#include "coordination/budget_transfer.h"

#include "coordination/budget_transfer_private.h"
#include "coordination/team_budget_caps.h"
#include "coordination/team_budget_key.h"
#include "state/team_account_cap.h"
#include "state/team_account_transfer.h"

/* Ahead of need a relay gives at most this fraction of what it has. */
#define AHEAD_DIVISOR 4
/* The requests that tokens are needed for have been refused after this. */
#define NEEDED_FOR_US (500 * TGW_US_PER_MS)
/* A view of the pool that is older says nothing about free tokens. */
#define VIEW_MAX_AGE_US (1 * TGW_US_PER_S)

static bool is_store_unreachable(const struct team_budget_key *key)
{
	return key->budgets->store_belief.unreachable || !key->store_answers;
}

/* A host that has a relay itself passes the request on to that one, which
 * ranks higher. */
static bool request_from_relay(struct budget_relay *relay,
			       struct team_account *account, int64_t tokens,
			       int64_t now)
{
	if (team_account_has_none_available(account, now))
		return false;
	account->needed_tokens += tokens;
	budget_relay_request(relay);
	return true;
}

/* @return whether more tokens may come */
static bool request_more(struct team_budget_key *key,
			 struct team_account *account, int64_t tokens,
			 int64_t now)
{
	struct budget_relay *relay = &key->budgets->relay;
	bool uses_store = team_budget_uses_store(key->budgets);
	bool is_capped = team_account_is_capped(account, tokens, now);

	if (uses_store && is_store_unreachable(key))
		return budget_lending_request(relay, account, tokens);
	if (is_capped && !is_store_unreachable(key)) {
		account->capped_tokens += tokens;
		team_budget_caps_request(key->budgets);
		return true;
	}
	if (!uses_store)
		return request_from_relay(relay, account, tokens, now);
	if (account->viewed_us && now - account->viewed_us < VIEW_MAX_AGE_US &&
	    (!account->free_tokens || tokens > account->remaining_tokens))
		return false;
	account->needed_tokens += tokens;
	team_budget_key_request_read(key);
	return true;
}

static int64_t tokens_to_give(const struct transfer_totals *totals,
			      int64_t available)
{
	int64_t ahead =
		min_tokens(totals->wanted_tokens, available / AHEAD_DIVISOR);

	if (available <= 0)
		return 0;
	if (totals->needed_tokens > available)
		return 0;
	return max_tokens(totals->needed_tokens, ahead);
}

static void serve(struct budget_relay *relay, const struct transfer_link *link,
		  struct transfer_totals *totals)
{
	struct team_budget_key *key =
		team_budget_key_of(relay->budgets, totals->team);
	struct team_account *account =
		team_budget_find_account(relay->budgets, totals->team);
	int64_t now = budget_transfer_now_us(relay);
	int64_t available = team_account_available(account, now);
	int64_t tokens;

	if (team_budget_uses_store(relay->budgets) && is_store_unreachable(key))
		available -=
			team_account_kept_for_urgent(account, totals->rank);
	tokens = tokens_to_give(totals, available);
	totals->none_available =
		!tokens && totals->needed_tokens &&
		(link->borrows ||
		 !request_more(key, account, totals->needed_tokens, now));
	/* They may do for some of the requests. */
	if (totals->none_available)
		tokens = max_tokens(available, 0);
	/* A lender asks nobody itself, so that requests do not go around. The
	 * borrower asks another one. */
	if (link->borrows) {
		totals->needed_tokens = 0;
		totals->wanted_tokens = 0;
	}
	if (!tokens)
		return;
	budget_transfer_give(relay, account, totals, tokens);
	if (link->borrows) {
		totals->repeats = 1;
		return;
	}
	account->held_by_peers_tokens += tokens;
	totals->held_tokens += tokens;
	totals->needed_tokens = max_tokens(totals->needed_tokens - tokens, 0);
	totals->wanted_tokens = totals->needed_tokens;
}

void budget_transfer_serve(struct budget_relay *relay,
			   struct transfer_link *link)
{
	int64_t now = budget_transfer_now_us(relay);

	for (struct transfer_totals *totals = link->totals; totals;
	     totals = totals->next) {
		if (now - totals->needed_us > NEEDED_FOR_US) {
			totals->needed_tokens = 0;
			totals->wanted_tokens = 0;
		}
		if (totals->wanted_tokens &&
		    team_budget_find_account(relay->budgets, totals->team))
			serve(relay, link, totals);
	}
}
