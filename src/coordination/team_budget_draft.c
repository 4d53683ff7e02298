#include "coordination/team_budget_draft.h"

#include "state/team_account_cap.h"

/* A surplus is returned to the pool soon if it exceeds what the host holds
 * divided by this. */
#define SURPLUS_DIVISOR 4

/* Other hosts may have to count again what they took. */
static void hold_back(const struct team_account *account,
		      struct team_account_target *target)
{
	int64_t allotted_tokens = account->confirmed.allotted_tokens;

	if (target->allotted_tokens <= allotted_tokens)
		return;
	target->allotted_tokens = allotted_tokens;
	target->urgent = false;
	target->awaited = false;
}

void team_budget_key_decide(const struct team_budget_key *key,
			    const struct team_account *account,
			    struct team_account_target *target)
{
	const struct team_budget *budgets = key->budgets;

	team_account_decide(account,
			    budget_pool_find(&key->pool, account->team),
			    key->pool.host_count, &budgets->settings.policy,
			    team_budget_now_us(budgets), target);
	if (!account->recounts &&
	    team_budget_now_us(budgets) < budgets->raises_after_us)
		hold_back(account, target);
}

/* A cap that is in force promises not to lower the allotment. */
bool team_budget_draft_is_leaving(const struct team_budget_key *key)
{
	const struct team_budget *budgets = key->budgets;
	int64_t now = team_budget_now_us(budgets);

	if (budgets->closing)
		return true;
	if (team_budget_uses_store(budgets) ||
	    !budget_relay_is_settled(&budgets->relay))
		return false;
	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (team_account_has_cap(account, now))
			return false;
	return true;
}

bool team_budget_draft_recounts(const struct team_budget_key *key)
{
	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (account->recounts)
			return true;
	return false;
}

bool team_budget_draft_holds_any(const struct team_budget_key *key)
{
	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (team_account_held(account))
			return true;
	return false;
}

/* @return whether the host was given much more than it wants: as a relay that
 * others turned to, which is lost if it dies, since no cap covers it */
static bool has_surplus(const struct team_account *account,
			const struct team_account_target *target)
{
	int64_t surplus =
		account->confirmed.allotted_tokens - target->allotted_tokens;

	return account->received_tokens &&
	       surplus * SURPLUS_DIVISOR > team_account_held(account);
}

bool team_budget_draft_is_needed(struct team_budget_key *key, bool fresh)
{
	if (team_budget_draft_recounts(key))
		return true;
	if (team_budget_draft_is_leaving(key))
		return key->joined || team_budget_draft_holds_any(key);
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		struct team_account_target target;

		team_budget_key_decide(key, account, &target);
		if (target.urgent || has_surplus(account, &target) ||
		    (fresh && target.deferrable))
			return true;
	}
	return fresh && !key->joined;
}

static void propose_allotment(struct team_budget_key *key,
			      struct team_account *account)
{
	struct team_account_target target;
	struct pooled_budget *budget = budget_pool_raise_paid_in(
		&key->draft, account->team, account->paid_in_tokens);

	if (!budget)
		return;
	team_budget_key_decide(key, account, &target);
	if (team_budget_draft_is_leaving(key) && !account->recounts) {
		target.allotted_tokens = team_account_charged(account) -
					 account->received_tokens;
		target.lacking_tokens = 0;
	}
	team_account_propose(account, &target, budget);
	/* Others may have taken what is counted again: it is spent twice. */
	if (account->recounts && pooled_budget_free_tokens(budget) < 0)
		budget->taken_tokens = budget->paid_in_tokens;
}

/* Replaces the host's previous process. It was dead when this one started,
 * since both listen at the same addresses. */
static void return_unspent(struct team_budget_key *key)
{
	const struct team_budget *budgets = key->budgets;
	const struct cap_record *record = &budgets->cap_writer.previous;
	bool is_same_boot = record->boot == budgets->settings.boot &&
			    record->boot != CAP_RECORD_BOOT_UNKNOWN;

	key->returned_tokens = budget_pool_replace_earlier(
		&key->draft, budgets->host_id, is_same_boot ? record : NULL,
		budgets->started_us);
}

enum tgw_status team_budget_draft_make(struct team_budget_key *key,
				       struct tgw_error *error)
{
	budget_pool_clear(&key->draft);
	budget_pool_copy(&key->draft, &key->pool);
	if (!key->draft.key_count)
		key->draft.key_count = key->budgets->key_count;
	key->sequence++;
	return_unspent(key);
	budget_pool_record_write(&key->draft, key->budgets->host_id,
				 key->sequence);
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		propose_allotment(key, account);
	if (team_budget_draft_is_leaving(key) &&
	    !team_budget_draft_recounts(key))
		budget_pool_remove_host(&key->draft, key->budgets->host_id);
	return budget_pool_check(&key->draft, error);
}
