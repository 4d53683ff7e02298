#include "coordination/team_budget.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/team_budget_caps.h"
#include "state/team_account_cap.h"
#include "state/team_account_transfer.h"

/* While the budget has no free tokens, the minimum time between two reads for
 * waiting requests is this for each host: the more hosts read the key, the less
 * often each of them does. */
#define NONE_FREE_READ_INTERVAL_PER_HOST_US (90 * TGW_US_PER_MS)
/* Hosts that start together spread their first writes over this time. */
#define JOIN_SPREAD_US (2500 * TGW_US_PER_MS)
/* After this time the hosts in the pool count as all hosts. */
#define JOINED_AFTER_US (3 * TGW_US_PER_S)
/* Time between two calls that find out whether the store can be reached. */
#define PROBE_INTERVAL_US (1 * TGW_US_PER_S)
/* A request that exceeds the remaining tokens is refused as EXHAUSTED only if
 * they were read less than this ago. */
#define VIEW_MAX_AGE_US (3 * TGW_US_PER_S)
/* After the store returned from a copy, all hosts that reach it have counted
 * again what they took within this time. */
#define RECOUNT_US (2500 * TGW_US_PER_MS)

/* Before any version was seen. */
#define NO_HISTORY INT64_C(-1)

int64_t team_budget_now_us(const struct team_budget *budgets)
{
	return tgw_clock_monotonic_us(budgets->clock);
}

void team_budget_notify_changed(struct team_budget *budgets)
{
	/* Requests that still lack tokens are counted anew. */
	for (uint32_t i = 0; i < budgets->key_count; i++) {
		for (struct team_account *account = budgets->keys[i].accounts;
		     account; account = account->next) {
			account->needed_tokens = 0;
			account->capped_tokens = 0;
			account->borrowed_for_tokens = 0;
		}
	}
	budget_relay_serve(&budgets->relay);
	budgets->events.changed(budgets->events.arg);
}

struct team_budget *team_budget_new(const struct team_budget_settings *settings,
				    struct tgw_store *store,
				    const struct tgw_clock *clock,
				    uint64_t incarnation,
				    const struct team_budget_events *events)
{
	struct team_budget *budgets = xcalloc(1, sizeof(*budgets));

	assert(settings->key_count);
	budgets->settings = *settings;
	budgets->store = store;
	budgets->clock = clock;
	budgets->events = *events;
	budgets->started_us = tgw_clock_monotonic_us(clock);
	budgets->history = NO_HISTORY;
	tgw_random_init(&budgets->random, incarnation);
	budgets->host_id = budget_pool_host_id(
		settings->host, (uint32_t)tgw_random_u64(&budgets->random));
	budget_relay_init(&budgets->relay, budgets, incarnation);
	team_budget_caps_init(budgets);
	budgets->key_count = settings->key_count;
	budgets->keys = xcalloc(settings->key_count, sizeof(*budgets->keys));
	for (uint32_t i = 0; i < settings->key_count; i++) {
		struct team_budget_key *key = &budgets->keys[i];

		key->budgets = budgets;
		key->store_answers = true;
		ledger_bucket_key(key->name, i);
	}
	return budgets;
}

void team_budget_free(struct team_budget *budgets)
{
	if (!budgets)
		return;
	for (uint32_t i = 0; i < budgets->settings.key_count; i++) {
		struct team_budget_key *key = &budgets->keys[i];

		while (key->accounts) {
			struct team_account *account = key->accounts;

			key->accounts = account->next;
			free(account);
		}
		budget_pool_clear(&key->pool);
		budget_pool_clear(&key->draft);
		buffer_free(&key->draft_bytes);
	}
	cap_writer_clear(&budgets->cap_writer);
	budget_relay_clear(&budgets->relay);
	free(budgets->keys);
	free(budgets);
}

struct team_budget_key *team_budget_key_of(const struct team_budget *budgets,
					   const char *team)
{
	return &budgets->keys[ledger_bucket_of(team, budgets->key_count)];
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

struct team_account *team_budget_find_account(const struct team_budget *budgets,
					      const char *team)
{
	return find_account(team_budget_key_of(budgets, team), team);
}

static void schedule_join(struct team_budget_key *key)
{
	struct team_budget *budgets = key->budgets;

	if (key->scheduled)
		return;
	key->scheduled = true;
	team_budget_key_set_due(
		key, team_budget_now_us(budgets) +
			     (int64_t)tgw_random_below(&budgets->random,
						       JOIN_SPREAD_US));
}

/* @return the accounts of all keys, which have none then */
static struct team_account *remove_accounts(struct team_budget *budgets)
{
	struct team_account *all = NULL;

	for (uint32_t i = 0; i < budgets->key_count; i++) {
		struct team_account **end = &budgets->keys[i].accounts;

		while (*end)
			end = &(*end)->next;
		*end = all;
		all = budgets->keys[i].accounts;
		budgets->keys[i].accounts = NULL;
	}
	return all;
}

static void add_account(struct team_budget *budgets,
			struct team_account *account)
{
	struct team_budget_key *key =
		team_budget_key_of(budgets, account->team);

	account->next = key->accounts;
	key->accounts = account;
	schedule_join(key);
}

bool team_budget_set_key_count(struct team_budget *budgets, uint32_t count)
{
	struct team_account *accounts;

	if (count > budgets->settings.key_count)
		return false;
	accounts = remove_accounts(budgets);
	budgets->key_count = count;
	budgets->key_count_known = true;
	while (accounts) {
		struct team_account *account = accounts;

		accounts = account->next;
		/* A write of its earlier key can't have taken effect. */
		team_account_withdraw(account);
		add_account(budgets, account);
	}
	for (uint32_t i = 0; i < count; i++)
		if (budgets->keys[i].scheduled)
			team_budget_key_set_due(&budgets->keys[i],
						budgets->keys[i].due_us);
	return true;
}

void team_budget_raise_paid_in(struct team_budget *budgets, const char *team,
			       int64_t total_tokens)
{
	struct team_account *account = team_budget_find_account(budgets, team);

	if (!account) {
		account = team_account_new(team);
		schedule_join(&budgets->keys[0]);
		add_account(budgets, account);
	}
	if (account->paid_in_tokens < total_tokens) {
		account->remaining_tokens +=
			total_tokens - account->paid_in_tokens;
		account->paid_in_tokens = total_tokens;
	}
}

void team_budget_note_version(struct team_budget *budgets, int64_t version)
{
	const struct team_budget_events *events = &budgets->events;
	int64_t history = tgw_store_history(version);
	bool is_first = budgets->history == NO_HISTORY;

	if (version == TGW_STORE_ABSENT || history <= budgets->history)
		return;
	budgets->history = history;
	if (is_first)
		return;
	budgets->raises_after_us = team_budget_now_us(budgets) + RECOUNT_US;
	/* The record of caps may be an earlier one, too. */
	budgets->caps_written_us = 0;
	for (uint32_t i = 0; i < budgets->key_count; i++)
		if (budgets->keys[i].version)
			team_budget_key_set_due(&budgets->keys[i], 0);
	if (events->store_returned)
		events->store_returned(events->arg, history);
}

static void retry_calls(struct team_budget *budgets)
{
	cap_writer_retry(&budgets->cap_writer);
	for (uint32_t i = 0; i < budgets->key_count; i++)
		team_budget_key_retry(&budgets->keys[i]);
}

void team_budget_note_store_call(struct team_budget *budgets,
				 const struct store_belief_evidence *evidence)
{
	struct store_belief *belief = &budgets->store_belief;
	const struct team_budget_events *events = &budgets->events;
	int64_t now = team_budget_now_us(budgets);
	bool was_unreachable = belief->unreachable;
	bool reached = budget_relay_reaches_store(&budgets->relay);
	int64_t lasted_us = now - belief->changed_us;

	store_belief_note(belief, evidence, now);
	if (budget_relay_reaches_store(&budgets->relay) != reached)
		budget_relay_on_store_change(&budgets->relay);
	if (was_unreachable == belief->unreachable)
		return;
	if (events->store_changed)
		events->store_changed(events->arg, belief->unreachable,
				      store_belief_source_name(belief->source),
				      lasted_us);
	/* Calls that failed are made again now, not after their backoff. */
	if (was_unreachable)
		retry_calls(budgets);
}

void team_budget_set_store_unreachable(struct team_budget *budgets,
				       bool unreachable)
{
	const struct store_belief_evidence evidence = {
		.answered = !unreachable,
		.source = STORE_BELIEF_WATCH,
		.began_us = team_budget_now_us(budgets),
	};

	team_budget_note_store_call(budgets, &evidence);
}

static void on_probed(void *arg, const struct tgw_store_result *result)
{
	struct team_budget *budgets = arg;

	const struct store_belief_evidence evidence = {
		.answered = result->status == TGW_OK,
		.source = STORE_BELIEF_PROBE,
		.began_us = budgets->probed_us,
	};

	budgets->probing = false;
	team_budget_note_store_call(budgets, &evidence);
	if (result->entry_count)
		team_budget_note_version(budgets, result->entries[0].version);
}

static void probe_store(struct team_budget *budgets, int64_t now)
{
	if (budgets->probing || now - budgets->probed_us < PROBE_INTERVAL_US ||
	    !budget_relay_needs_belief(&budgets->relay))
		return;
	budgets->probing = true;
	budgets->probed_us = now;
	tgw_store_get(budgets->store, budgets->cap_writer.key,
		      (struct tgw_store_callback){on_probed, budgets});
}

void team_budget_record_demand(struct team_budget *budgets, const char *team,
			       int64_t tokens, int32_t rank)
{
	struct team_account *account = team_budget_find_account(budgets, team);

	if (account)
		team_account_record_demand(account, tokens, rank,
					   team_budget_now_us(budgets));
}

void team_budget_key_request_read(struct team_budget_key *key)
{
	struct team_budget *budgets = key->budgets;
	int64_t due_us;

	if (!budgets->key_count_known)
		key = &budgets->keys[0];
	due_us = key->read_us ? key->read_us + TEAM_BUDGET_READ_INTERVAL_US : 0;
	key->read_requested = true;
	if (!key->write_lost && key->due_us > due_us)
		team_budget_key_set_due(key, due_us);
}

/* @return whether the pool's tokens do not cover the cost, by a recent view */
static bool is_exhausted(const struct team_account *account, int64_t tokens,
			 int64_t now)
{
	if (tokens > account->paid_in_tokens)
		return true;
	return account->viewed_us &&
	       now - account->viewed_us < VIEW_MAX_AGE_US &&
	       tokens > account->remaining_tokens;
}

static enum tgw_status request_from_relay(struct team_budget *budgets,
					  const struct team_account *account,
					  int64_t now)
{
	if (team_account_has_none_available(account, now))
		return budget_relay_lost_store(&budgets->relay)
			       ? TGW_UNAVAILABLE
			       : TGW_CONFLICT;
	budget_relay_request(&budgets->relay);
	return TGW_BUSY;
}

static enum tgw_status request_from_store(struct team_budget *budgets,
					  struct team_budget_key *key,
					  struct team_account *account,
					  int64_t tokens, int64_t now)
{
	if (!key->store_answers || budgets->store_belief.unreachable) {
		if (!budget_lending_request(&budgets->relay, account, tokens))
			return TGW_UNAVAILABLE;
		account->needed_tokens -= tokens;
		return TGW_BUSY;
	}
	if (!account->free_tokens &&
	    now - account->viewed_us <
		    team_budget_key_interval_us(
			    key, NONE_FREE_READ_INTERVAL_PER_HOST_US))
		return TGW_CONFLICT;
	team_budget_key_request_read(key);
	return TGW_BUSY;
}

enum tgw_status team_budget_reserve(struct team_budget *budgets,
				    const char *team, int64_t tokens,
				    int32_t rank)
{
	struct team_budget_key *key = team_budget_key_of(budgets, team);
	struct team_account *account = find_account(key, team);
	int64_t now = team_budget_now_us(budgets);
	bool uses_store = team_budget_uses_store(budgets);
	bool unreachable = budgets->store_belief.unreachable ||
			   !key->store_answers;

	if (!account)
		return TGW_NOT_FOUND;
	if (budgets->closing)
		return TGW_UNAVAILABLE;
	if (!unreachable && team_account_is_kept(account, tokens, rank, now))
		return TGW_DENIED;
	if (team_account_reserve(account, tokens, rank,
				 uses_store && unreachable, now))
		return TGW_OK;
	if (is_exhausted(account, tokens, now)) {
		account->needed_tokens -= tokens;
		return TGW_EXHAUSTED;
	}
	if (team_account_is_capped(account, tokens, now)) {
		if (!unreachable) {
			team_budget_caps_request(budgets);
			return TGW_BUSY;
		}
		/* No higher cap can be recorded, but other hosts may lend. */
		account->needed_tokens += tokens;
	}
	if (uses_store)
		return request_from_store(budgets, key, account, tokens, now);
	return request_from_relay(budgets, account, now);
}

int64_t team_budget_capped_for_us(const struct team_budget *budgets,
				  const char *team, int64_t tokens)
{
	const struct team_account *account =
		team_budget_find_account(budgets, team);
	int64_t now = team_budget_now_us(budgets);

	if (!account || !team_account_is_capped(account, tokens, now))
		return 0;
	return team_account_capped_until_us(account, tokens) - now;
}

void team_budget_settle(struct team_budget *budgets, const char *team,
			int64_t reserved_tokens, int64_t spent_tokens)
{
	struct team_account *account = team_budget_find_account(budgets, team);

	if (account)
		team_account_settle(account, reserved_tokens, spent_tokens);
}

static bool notify_closed(struct team_budget *budgets)
{
	for (uint32_t i = 0; i < budgets->key_count; i++) {
		const struct team_budget_key *key = &budgets->keys[i];

		if ((key->accounts || key->joined) && !key->closed)
			return false;
	}
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
	int64_t relay_due_us;
	int64_t lending_due_us;

	if (now - budgets->started_us >= JOINED_AFTER_US)
		budgets->settings.policy.hosts_are_known = true;

	probe_store(budgets, now);
	team_budget_caps_tick(budgets);
	relay_due_us = budget_relay_tick(&budgets->relay);
	lending_due_us = budget_lending_tick(&budgets->relay);
	if (lending_due_us < relay_due_us)
		relay_due_us = lending_due_us;
	if (budgets->closing && !budget_relay_hand_over(&budgets->relay))
		return relay_due_us < next ? relay_due_us : next;
	if (budgets->closing && notify_closed(budgets))
		return next;
	for (uint32_t i = 0; i < budgets->key_count; i++) {
		struct team_budget_key *key = &budgets->keys[i];

		if (team_budget_key_is_due(key, now))
			team_budget_key_advance(key);
		if (key->state == TEAM_BUDGET_KEY_IDLE && key->due_us > now &&
		    key->due_us < next)
			next = key->due_us;
	}
	return relay_due_us < next ? relay_due_us : next;
}

void team_budget_close(struct team_budget *budgets)
{
	if (budgets->closing)
		return;
	budgets->closing = true;
	for (uint32_t i = 0; i < budgets->key_count; i++)
		team_budget_key_set_due(&budgets->keys[i], 0);
}

void team_budget_wake(struct team_budget *budgets)
{
	const struct team_budget_events *events = &budgets->events;

	if (events->rescheduled)
		events->rescheduled(events->arg, team_budget_now_us(budgets));
}

bool team_budget_uses_store(const struct team_budget *budgets)
{
	return budgets->recovers || budget_relay_uses_store(&budgets->relay);
}

void team_budget_set_hosts(struct team_budget *budgets,
			   const struct peer_host *hosts, size_t count)
{
	budget_relay_set_hosts(&budgets->relay, hosts, count);
}

void team_budget_on_message(struct team_budget *budgets,
			    const struct tgw_peer_message *message)
{
	budget_relay_on_message(&budgets->relay, message);
}

bool team_budget_get_view(const struct team_budget *budgets, const char *team,
			  struct team_budget_view *view)
{
	const struct team_budget_key *key = team_budget_key_of(budgets, team);
	const struct team_account *account = find_account(key, team);
	const struct pooled_budget *budget;

	if (!account)
		return false;
	budget = budget_pool_find(&key->pool, team);
	view->taken_by_all_tokens = budget ? budget->taken_tokens : 0;
	view->settled_by_all_tokens = budget ? budget->settled_tokens : 0;
	view->paid_in_tokens = account->paid_in_tokens;
	view->limit_tokens = team_account_limit(account);
	view->settled_tokens = account->settled_tokens;
	view->reserved_tokens = account->reserved_tokens;
	view->received_tokens = account->received_tokens;
	view->given_tokens = account->given_tokens;
	view->free_tokens = account->free_tokens;
	view->none_free_us = account->none_free_us;
	view->unsettled_cause = unsettled_floor_cause(&account->unsettled);
	view->read_us = account->viewed_us;
	return true;
}

const char *team_budget_relay(const struct team_budget *budgets)
{
	const struct budget_relay_candidate *relay = budgets->relay.current;

	return relay ? relay->host : "";
}

const struct team_budget_counters *team_budget_get_counters(
	const struct team_budget *budgets)
{
	return &budgets->counters;
}

uint32_t team_budget_other_hosts(const struct team_budget *budgets)
{
	size_t max_hosts = 0;

	for (uint32_t i = 0; i < budgets->key_count; i++)
		if (budgets->keys[i].pool.host_count > max_hosts)
			max_hosts = budgets->keys[i].pool.host_count;
	return max_hosts ? (uint32_t)(max_hosts - 1) : 0;
}
