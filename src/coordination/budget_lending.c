#include "coordination/budget_lending.h"

#include <string.h>
#include <xxhash.h>

#include "base/short_name.h"
#include "coordination/budget_transfer.h"
#include "coordination/team_budget_key.h"

/* Hosts of each other failure domain that may lend. */
#define LENDERS_PER_DOMAIN 2
/* A process that was not heard of yet is asked for a reply after this time,
 * which doubles up to the maximum. */
#define GREETING_MIN_US (100 * TGW_US_PER_MS)
#define GREETING_MAX_US (4 * TGW_US_PER_S)
/* All lenders that can be reached have replied by this time of an outage. */
#define GREETED_AFTER_US (100 * TGW_US_PER_MS)
/* Without a reply in this time the next lender is asked. */
#define SILENCE_US (25 * TGW_US_PER_MS)
/* A lender that did not reply so many times in a row, as one message may be
 * lost, is not asked for this time. */
#define SILENT_AFTER 2
#define SILENT_FOR_US (500 * TGW_US_PER_MS)

static int64_t now_of(const struct budget_relay *relay)
{
	return team_budget_now_us(relay->budgets);
}

static int64_t min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static bool knows_domain(const struct budget_lending *lending,
			 const char *failure_domain)
{
	for (size_t i = 0; i < lending->lender_count; i++)
		if (!strcmp(lending->lenders[i].failure_domain, failure_domain))
			return true;
	return false;
}

static void add_lenders(struct budget_lending *lending,
			const struct peer_host *hosts, size_t count,
			const char *failure_domain)
{
	const struct peer_host *ranked[LENDERS_PER_DOMAIN];
	size_t ranked_count = peer_host_rank(hosts, count, failure_domain,
					     ranked, LENDERS_PER_DOMAIN);

	for (size_t i = 0; i < ranked_count; i++) {
		struct budget_lender *lender;

		if (lending->lender_count == BUDGET_LENDING_LENDERS_MAX)
			return;
		lender = &lending->lenders[lending->lender_count++];
		memset(lender, 0, sizeof(*lender));
		short_name_copy(lender->host, ranked[i]->name);
		short_name_copy(lender->failure_domain, failure_domain);
		lender->is_spare = i > 0;
	}
}

/* Each host begins at another one, so that not all ask the same first. */
void budget_lending_set_hosts(struct budget_relay *relay,
			      const struct peer_host *hosts, size_t count)
{
	struct budget_lending *lending = &relay->lending;
	size_t start =
		count ? XXH64(relay->host, strlen(relay->host), 0) % count : 0;

	lending->lender_count = 0;
	for (size_t i = 0; i < count; i++) {
		const char *domain = hosts[(start + i) % count].failure_domain;

		if (strcmp(domain, relay->failure_domain) &&
		    !knows_domain(lending, domain))
			add_lenders(lending, hosts, count, domain);
	}
}

static bool may_lend(const struct budget_lender *lender,
		     const struct transfer_totals *totals, int64_t now)
{
	return now >= lender->silent_until_us &&
	       now >= totals->none_lent_until_us;
}

/* @return the team's totals at the lender; NULL if its process is not known */
static struct transfer_totals *totals_of(const struct budget_relay *relay,
					 const struct budget_lender *lender,
					 const struct team_account *account)
{
	struct transfer_link *link = budget_transfer_find(relay, lender->host);

	return link ? transfer_link_totals(link, account->team) : NULL;
}

static bool may_come(const struct budget_relay *relay,
		     const struct team_account *account, int64_t now)
{
	const struct budget_lending *lending = &relay->lending;

	for (size_t i = 0; i < lending->lender_count; i++) {
		const struct budget_lender *lender = &lending->lenders[i];
		const struct transfer_totals *totals =
			totals_of(relay, lender, account);

		if (!totals && now - lending->started_us < GREETED_AFTER_US)
			return true;
		if (totals &&
		    (totals->loan_asked_us || may_lend(lender, totals, now)))
			return true;
	}
	return false;
}

bool budget_lending_request(struct budget_relay *relay,
			    struct team_account *account, int64_t tokens)
{
	struct budget_lending *lending = &relay->lending;
	int64_t now = now_of(relay);

	if (!relay->peer || !relay->hosts_known || relay->budgets->closing)
		return false;
	if (!lending->started_us)
		lending->started_us = now;
	if (!may_come(relay, account, now))
		return false;
	account->borrowed_for_tokens += tokens;
	lending->requested = true;
	team_budget_wake(relay->budgets);
	return true;
}

void budget_lending_on_reply(struct budget_relay *relay,
			     const struct transfer_link *link)
{
	struct budget_lending *lending = &relay->lending;

	if (!lending->started_us)
		return;
	for (size_t i = 0; i < lending->lender_count; i++) {
		struct budget_lender *lender = &lending->lenders[i];

		if (strcmp(lender->host, link->host))
			continue;
		lender->silent_until_us = 0;
		lender->unanswered = 0;
		lender->greeting_period_us = 0;
		team_budget_notify_changed(relay->budgets);
		return;
	}
}

/* What a lender may have, for the order in which they are asked. */
static int64_t expected_tokens(const struct budget_lender *lender,
			       const struct transfer_totals *totals)
{
	if (totals->lender_known)
		return totals->lender_held_tokens;
	return lender->is_spare ? 0 : INT64_MAX;
}

/* @return the lender to ask for the team; NULL if one was asked already, or if
 * there is none */
static struct budget_lender *choose(struct budget_relay *relay,
				    const struct team_account *account,
				    int64_t now)
{
	struct budget_lending *lending = &relay->lending;
	struct budget_lender *best = NULL;
	int64_t best_tokens = -1;

	for (size_t i = 0; i < lending->lender_count; i++) {
		struct budget_lender *lender = &lending->lenders[i];
		const struct transfer_totals *totals =
			totals_of(relay, lender, account);

		if (!totals)
			continue;
		if (totals->loan_asked_us)
			return NULL;
		if (!may_lend(lender, totals, now) ||
		    expected_tokens(lender, totals) <= best_tokens)
			continue;
		best = lender;
		best_tokens = expected_tokens(lender, totals);
	}
	return best;
}

static void ask(struct budget_relay *relay, const struct budget_lender *lender,
		int64_t now)
{
	struct team_budget *budgets = relay->budgets;
	struct team_account *accounts[TRANSFER_ENTRIES_MAX];
	size_t count = 0;

	for (uint32_t i = 0; i < budgets->key_count; i++) {
		for (struct team_account *account = budgets->keys[i].accounts;
		     account; account = account->next) {
			if (!account->borrowed_for_tokens ||
			    choose(relay, account, now) != lender)
				continue;
			accounts[count++] = account;
			if (count < TRANSFER_ENTRIES_MAX)
				continue;
			budget_transfer_borrow(relay, lender->host, accounts,
					       count);
			count = 0;
		}
	}
	if (count)
		budget_transfer_borrow(relay, lender->host, accounts, count);
}

/* @return whether a request was not answered in time */
static bool end_silent(struct budget_relay *relay, struct budget_lender *lender,
		       int64_t now)
{
	struct transfer_link *link = budget_transfer_find(relay, lender->host);
	bool is_silent = false;

	if (!link)
		return false;
	for (struct transfer_totals *totals = link->totals; totals;
	     totals = totals->next) {
		if (!totals->loan_asked_us ||
		    now - totals->loan_asked_us < SILENCE_US)
			continue;
		totals->loan_asked_us = 0;
		is_silent = true;
	}
	if (is_silent && ++lender->unanswered >= SILENT_AFTER)
		lender->silent_until_us = now + SILENT_FOR_US;
	return is_silent;
}

/* @return when to do so next */
static int64_t greet_unknown(struct budget_relay *relay,
			     struct budget_lender *lender, int64_t now)
{
	int64_t due_us = lender->greeted_us + lender->greeting_period_us;

	if (budget_transfer_find(relay, lender->host))
		return INT64_MAX;
	if (now < due_us)
		return due_us;
	lender->greeted_us = now;
	lender->greeting_period_us =
		lender->greeting_period_us
			? min_us(2 * lender->greeting_period_us,
				 GREETING_MAX_US)
			: GREETING_MIN_US;
	budget_transfer_probe(relay, lender->host);
	return now + lender->greeting_period_us;
}

static bool is_outage(const struct team_budget *budgets)
{
	for (uint32_t i = 0; i < budgets->key_count; i++)
		if (!budgets->keys[i].store_answers)
			return true;
	return budgets->store_belief.unreachable;
}

int64_t budget_lending_tick(struct budget_relay *relay)
{
	struct budget_lending *lending = &relay->lending;
	int64_t now = now_of(relay);
	int64_t due_us = now + SILENCE_US;
	bool any_silent = false;

	if (!lending->started_us)
		return INT64_MAX;
	if (!is_outage(relay->budgets)) {
		lending->started_us = 0;
		lending->requested = false;
		return INT64_MAX;
	}
	for (size_t i = 0; i < lending->lender_count; i++) {
		struct budget_lender *lender = &lending->lenders[i];

		due_us = min_us(due_us, greet_unknown(relay, lender, now));
		any_silent |= end_silent(relay, lender, now);
	}
	if (any_silent)
		team_budget_notify_changed(relay->budgets);
	for (size_t i = 0; lending->requested && i < lending->lender_count; i++)
		ask(relay, &lending->lenders[i], now);
	lending->requested = false;
	return due_us;
}
