#include "coordination/team_budget.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/team_budget_key.h"

/* Minimum time between two reads of a key for waiting requests. */
#define READ_INTERVAL_US (100 * TGW_US_PER_MS)
/* While the budget has no free tokens, the minimum time is this for each host
 * that has a line: the more hosts read the key, the less often each of them
 * does. */
#define NONE_FREE_READ_INTERVAL_PER_HOST_US (90 * TGW_US_PER_MS)
/* Hosts that start together spread the writes that open their lines over this
 * time. */
#define LINE_OPEN_SPREAD_US (2500 * TGW_US_PER_MS)
/* After this time the number of lines counts as the number of hosts. */
#define LINES_OPEN_AFTER_US (3 * TGW_US_PER_S)
/* A request that exceeds the remaining tokens is refused as EXHAUSTED only if
 * they were read less than this ago. */
#define VIEW_MAX_AGE_US (3 * TGW_US_PER_S)

int64_t team_budget_now_us(const struct team_budget *budgets)
{
	return tgw_clock_monotonic_us(budgets->clock);
}

uint64_t team_budget_new_line_id(struct team_budget *budgets)
{
	uint64_t id;

	do {
		id = tgw_random_u64(&budgets->random);
	} while (!id);
	return id;
}

struct team_budget *team_budget_new(const struct team_budget_settings *settings,
				    struct tgw_store *store,
				    const struct tgw_clock *clock,
				    uint64_t incarnation,
				    const struct team_budget_events *events)
{
	struct team_budget *budgets = xcalloc(1, sizeof(*budgets));

	assert(settings->bucket_count);
	budgets->settings = *settings;
	budgets->store = store;
	budgets->clock = clock;
	budgets->events = *events;
	budgets->incarnation = incarnation;
	budgets->started_us = tgw_clock_monotonic_us(clock);
	tgw_random_init(&budgets->random, incarnation);
	budgets->keys = xcalloc(settings->bucket_count, sizeof(*budgets->keys));
	for (uint32_t i = 0; i < settings->bucket_count; i++) {
		struct team_budget_key *key = &budgets->keys[i];

		key->budgets = budgets;
		key->store_answers = true;
		key->unresolved_version = TEAM_BUDGET_NO_VERSION;
		key->line_id = team_budget_new_line_id(budgets);
		ledger_bucket_key(key->name, i);
	}
	return budgets;
}

void team_budget_free(struct team_budget *budgets)
{
	if (!budgets)
		return;
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++) {
		struct team_budget_key *key = &budgets->keys[i];

		while (key->accounts) {
			struct team_account *account = key->accounts;

			key->accounts = account->next;
			free(account);
		}
		ledger_bucket_clear(&key->ledger);
		ledger_bucket_clear(&key->draft);
	}
	free(budgets->keys);
	free(budgets);
}

static struct team_budget_key *key_of(const struct team_budget *budgets,
				      const char *team)
{
	return &budgets->keys[ledger_bucket_of(team,
					       budgets->settings.bucket_count)];
}

static struct team_account *find_account(const struct team_budget_key *key,
					 const char *team)
{
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		if (!strcmp(account->team, team))
			return account;
	return NULL;
}

void team_budget_raise_paid_in(struct team_budget *budgets, const char *team,
			       int64_t total_tokens)
{
	struct team_budget_key *key = key_of(budgets, team);
	struct team_account *account = find_account(key, team);

	if (!account) {
		account = team_account_new(team);
		account->next = key->accounts;
		key->accounts = account;
		if (!key->due_us)
			key->due_us =
				team_budget_now_us(budgets) +
				(int64_t)tgw_random_below(&budgets->random,
							  LINE_OPEN_SPREAD_US);
	}
	if (account->paid_in_tokens < total_tokens) {
		account->remaining_tokens +=
			total_tokens - account->paid_in_tokens;
		account->paid_in_tokens = total_tokens;
	}
}

void team_budget_set_store_unreachable(struct team_budget *budgets,
				       bool unreachable)
{
	budgets->store_unreachable = unreachable;
}

enum tgw_status team_budget_reserve(struct team_budget *budgets,
				    const char *team, int64_t tokens,
				    int32_t rank)
{
	struct team_budget_key *key = key_of(budgets, team);
	struct team_account *account = find_account(key, team);
	int64_t now = team_budget_now_us(budgets);

	if (!account)
		return TGW_NOT_FOUND;
	if (budgets->closing)
		return TGW_UNAVAILABLE;
	if (team_account_reserve(account, tokens, rank,
				 budgets->store_unreachable ||
					 !key->store_answers))
		return TGW_OK;
	if (tokens > account->paid_in_tokens ||
	    (key->read_us && now - key->read_us < VIEW_MAX_AGE_US &&
	     tokens > account->remaining_tokens)) {
		account->needed_tokens = 0;
		return TGW_EXHAUSTED;
	}
	if (!key->store_answers || budgets->store_unreachable)
		return TGW_UNAVAILABLE;
	if (!account->free_tokens &&
	    now - key->read_us <
		    team_budget_key_interval_us(
			    key, NONE_FREE_READ_INTERVAL_PER_HOST_US))
		return TGW_CONFLICT;
	if (key->state == TEAM_BUDGET_KEY_IDLE &&
	    now - key->read_us >= (key->read_us ? READ_INTERVAL_US : 0)) {
		key->read_requested = true;
		key->due_us = 0;
	}
	return TGW_BUSY;
}

void team_budget_settle(struct team_budget *budgets, const char *team,
			int64_t reserved_tokens, int64_t spent_tokens)
{
	struct team_account *account =
		find_account(key_of(budgets, team), team);

	if (account)
		team_account_settle(account, reserved_tokens, spent_tokens,
				    team_budget_now_us(budgets));
}

static bool notify_closed(struct team_budget *budgets)
{
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++)
		if (budgets->keys[i].accounts && !budgets->keys[i].closed)
			return false;
	if (!budgets->closed_notified) {
		budgets->closed_notified = true;
		budgets->events.closed(budgets->events.arg);
	}
	return true;
}

int64_t team_budget_tick(struct team_budget *budgets)
{
	int64_t now = team_budget_now_us(budgets);
	int64_t next = now + TEAM_BUDGET_CHECK_INTERVAL_US;

	if (now - budgets->started_us >= LINES_OPEN_AFTER_US)
		budgets->settings.policy.hosts_are_known = true;

	if (budgets->closing && notify_closed(budgets))
		return next;
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++) {
		struct team_budget_key *key = &budgets->keys[i];

		if (team_budget_key_is_due(key, now))
			team_budget_key_advance(key);
		if (key->state == TEAM_BUDGET_KEY_IDLE && key->accounts &&
		    key->due_us < next)
			next = key->due_us;
	}
	return next;
}

void team_budget_close(struct team_budget *budgets)
{
	if (budgets->closing)
		return;
	budgets->closing = true;
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++)
		budgets->keys[i].due_us = 0;
}

bool team_budget_get_view(const struct team_budget *budgets, const char *team,
			  struct team_budget_view *view)
{
	const struct team_budget_key *key = key_of(budgets, team);
	const struct team_account *account = find_account(key, team);

	if (!account)
		return false;
	view->paid_in_tokens = account->paid_in_tokens;
	view->limit_tokens = team_account_limit(account);
	view->settled_tokens = account->settled_tokens;
	view->reserved_tokens = account->reserved_tokens;
	view->free_tokens = account->free_tokens;
	view->read_us = key->read_us;
	return true;
}

const struct team_budget_counters *team_budget_get_counters(
	const struct team_budget *budgets)
{
	return &budgets->counters;
}

uint32_t team_budget_other_hosts(const struct team_budget *budgets)
{
	size_t max_lines = 0;

	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++)
		if (budgets->keys[i].ledger.line_count > max_lines)
			max_lines = budgets->keys[i].ledger.line_count;
	return max_lines ? (uint32_t)(max_lines - 1) : 0;
}
