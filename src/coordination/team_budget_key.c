#include "coordination/team_budget_key.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/team_budget_draft.h"
#include "state/budget_pool_codec.h"

/* Backoff after a failed store call; doubles up to the maximum. */
#define RETRY_MIN_US (100 * TGW_US_PER_MS)
#define RETRY_MAX_US (1000 * TGW_US_PER_MS)
/* Time between two reads of a key, multiplied by the number of hosts in it. The
 * product is divided by LOW_REFRESH_DIVISOR while a budget in the key runs low,
 * as other hosts may then request tokens. */
#define REFRESH_PER_HOST_US (1000 * TGW_US_PER_MS)
#define LOW_REFRESH_DIVISOR 4
/* A budget runs low when less than its paid-in total divided by this is
 * free. */
#define LOW_DIVISOR 8
/* Minimum time between the last read or write of a key and the raise of an
 * allotment that no request waits for. The larger of the two applies, the
 * second one multiplied by the number of hosts. A host that receives at least
 * MAIN_HOST_WEIGHT of a team's demand is one of few that write for this team:
 * for it only the first applies. */
#define RAISE_INTERVAL_US (1000 * TGW_US_PER_MS)
#define RAISE_INTERVAL_PER_HOST_US (45 * TGW_US_PER_MS)
#define MAIN_HOST_WEIGHT 0.25
/* After a conflict a host retries the write once at once, from the value that
 * the conflict response returned. Then it reads again after a random backoff:
 * hosts that retry in step make nearly all of each other's writes conflict. The
 * backoff's upper bound is the larger of the two, the second one multiplied by
 * the number of hosts, and doubles up to the maximum. */
#define IMMEDIATE_RETRIES 1
#define CONFLICT_BACKOFF_MIN_US (40 * TGW_US_PER_MS)
#define CONFLICT_BACKOFF_PER_HOST_US (2 * TGW_US_PER_MS)
#define CONFLICT_BACKOFF_MAX_US (640 * TGW_US_PER_MS)
/* The upper bound of a main host, of which there are few. */
#define CONFLICT_BACKOFF_MAIN_US (80 * TGW_US_PER_MS)
/* A main host that holds less than the demand of this time retries. */
#define RUNS_OUT_S 1.5

int64_t team_budget_key_interval_us(const struct team_budget_key *key,
				    int64_t per_host_us)
{
	size_t hosts = key->pool.host_count;

	return per_host_us * (int64_t)(hosts ? hosts : 1);
}

static bool is_in_pool(const struct team_budget_key *key)
{
	return budget_pool_find_host(&key->pool, key->budgets->host_id) != NULL;
}

static void for_each_account(struct team_budget_key *key,
			     void (*run)(struct team_account *account))
{
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		run(account);
}

static void confirm_write(struct team_budget_key *key)
{
	const struct team_budget_events *events = &key->budgets->events;

	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		team_account_confirm(account, key->sequence,
				     team_budget_now_us(key->budgets));
	if (!key->returned_tokens)
		return;
	key->budgets->counters.recovered_tokens +=
		(uint64_t)key->returned_tokens;
	if (events->recovered)
		events->recovered(events->arg, key->name, key->returned_tokens);
	key->returned_tokens = 0;
}

/* Finds out from the pool that was read just now what became of the proposed
 * write. While the key has the version that the write expects, it may still
 * take effect. */
static void resolve_write(struct team_budget_key *key, bool has_returned)
{
	const struct pool_host *host =
		budget_pool_find_host(&key->pool, key->budgets->host_id);
	const struct pool_host *proposed =
		budget_pool_find_host(&key->draft, key->budgets->host_id);

	if (host && proposed && host->sequence == proposed->sequence)
		confirm_write(key);
	else if (key->version == key->draft_version)
		return;
	else if (!host && !proposed)
		confirm_write(key);
	else if (!host && key->joined && !has_returned)
		/* Another process with the host's name removed this one. */
		for_each_account(key, team_account_forfeit);
	else
		for_each_account(key, team_account_withdraw);
	key->outcome_unknown = false;
}

/* Each pool that is joined has got back what the previous process left. */
static void end_recovery(struct team_budget *budgets)
{
	if (!budgets->recovers)
		return;
	for (uint32_t i = 0; i < budgets->key_count; i++)
		if (budgets->keys[i].accounts && !budgets->keys[i].joined)
			return;
	budgets->recovers = false;
}

/* @return whether the store has returned from a copy since the key was read */
static bool has_returned_since(const struct team_budget_key *key)
{
	return key->version &&
	       tgw_store_history(key->version) < key->budgets->history;
}

/* What this process wrote and the pool does not know any more is counted again
 * by the next write. */
static void lose_writes(struct team_budget_key *key)
{
	const struct pool_host *host =
		budget_pool_find_host(&key->pool, key->budgets->host_id);

	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		team_account_lose_writes(account, host ? host->sequence : 0,
					 team_budget_now_us(key->budgets));
}

static void adopt(struct team_budget_key *key, struct budget_pool *pool,
		  int64_t version)
{
	bool has_returned;

	team_budget_note_version(key->budgets, version);
	has_returned = has_returned_since(key);
	budget_pool_clear(&key->pool);
	key->pool = *pool;
	memset(pool, 0, sizeof(*pool));
	key->version = version;
	key->read_us = team_budget_now_us(key->budgets);
	key->store_answers = true;
	key->backoff_us = 0;
	if (key->outcome_unknown)
		resolve_write(key, has_returned);
	if (has_returned)
		lose_writes(key);
	key->joined = is_in_pool(key);
	end_recovery(key->budgets);
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		team_account_read(account,
				  budget_pool_find(&key->pool, account->team),
				  key->read_us);
}

static void on_written(void *arg, const struct tgw_store_result *result);

static void send_draft(struct team_budget_key *key)
{
	key->state = TEAM_BUDGET_KEY_WRITING;
	key->write_started_us = team_budget_now_us(key->budgets);
	key->budgets->counters.writes++;
	tgw_store_swap(key->budgets->store, key->name, key->draft_version,
		       key->draft_bytes.data, key->draft_bytes.size,
		       (struct tgw_store_callback){on_written, key});
}

void team_budget_key_set_due(struct team_budget_key *key, int64_t due_us)
{
	const struct team_budget_events *events = &key->budgets->events;

	key->due_us = due_us;
	if (events->rescheduled)
		events->rescheduled(events->arg, due_us);
}

static void set_idle(struct team_budget_key *key, int64_t delay_us)
{
	key->state = TEAM_BUDGET_KEY_IDLE;
	team_budget_key_set_due(key,
				team_budget_now_us(key->budgets) + delay_us);
}

static void back_off_after_failure(struct team_budget_key *key)
{
	key->backoff_us = key->backoff_us ? key->backoff_us * 2 : RETRY_MIN_US;
	if (key->backoff_us > RETRY_MAX_US)
		key->backoff_us = RETRY_MAX_US;
	key->store_answers = false;
	set_idle(key, key->backoff_us);
	team_budget_notify_changed(key->budgets);
}

void team_budget_key_retry(struct team_budget_key *key)
{
	if (key->store_answers)
		return;
	key->backoff_us = 0;
	if (key->state == TEAM_BUDGET_KEY_IDLE)
		team_budget_key_set_due(key, team_budget_now_us(key->budgets));
}

static void report_failure(const struct team_budget_key *key, const char *call,
			   enum tgw_status status, const char *message)
{
	const struct team_budget_events *events = &key->budgets->events;

	if (events->failed)
		events->failed(events->arg, call, status, message);
}

static void start_write(struct team_budget_key *key)
{
	struct tgw_error error;

	if (team_budget_draft_make(key, &error) != TGW_OK) {
		report_failure(key, "write", error.status, error.message);
		back_off_after_failure(key);
		return;
	}
	key->draft_version = key->version;
	key->draft_bytes.size = 0;
	budget_pool_codec_encode(&key->draft, &key->draft_bytes);
	send_draft(key);
}

static void finish_cycle(struct team_budget_key *key)
{
	key->conflicts = 0;
	key->write_lost = false;
	key->read_requested = false;
	key->closed = key->budgets->closing && !key->joined;
	set_idle(key, TEAM_BUDGET_CHECK_INTERVAL_US);
	team_budget_notify_changed(key->budgets);
}

static bool is_first(const struct team_budget_key *key)
{
	return key == key->budgets->keys;
}

/* The first key says how many there are, so that hosts with another setting
 * find each team's budget in the same key. */
static enum tgw_status check_key_count(struct team_budget_key *key,
				       const struct budget_pool *pool,
				       struct tgw_error *error)
{
	struct team_budget *budgets = key->budgets;

	if (!is_first(key) || !pool->key_count || budgets->key_count_known)
		return TGW_OK;
	if (!team_budget_set_key_count(budgets, pool->key_count))
		return tgw_error_set(error, TGW_INVALID,
				     "the budgets are spread over %u keys; set "
				     "ledger_keys to %u",
				     pool->key_count, pool->key_count);
	return TGW_OK;
}

/* Decodes and adopts an entry of the store. @return whether it is valid */
static bool adopt_entry(struct team_budget_key *key,
			const struct tgw_store_entry *entry)
{
	struct budget_pool pool = {0};
	struct tgw_error error;
	enum tgw_status status = TGW_OK;

	if (entry->value)
		status = budget_pool_codec_decode(&pool, entry->value,
						  entry->value_size, &error);
	if (status == TGW_OK)
		status = check_key_count(key, &pool, &error);
	if (status != TGW_OK) {
		report_failure(key, "read", status, error.message);
		budget_pool_clear(&pool);
		return false;
	}
	adopt(key, &pool, entry->version);
	return true;
}

static void write_if_needed(struct team_budget_key *key)
{
	if (key->outcome_unknown)
		send_draft(key);
	else if (team_budget_draft_is_needed(key, true))
		start_write(key);
	else
		finish_cycle(key);
}

static void note_call(const struct team_budget_key *key, enum tgw_status status,
		      int64_t began_us)
{
	const struct store_belief_evidence evidence = {
		.answered = status == TGW_OK || status == TGW_CONFLICT,
		.source = STORE_BELIEF_BUDGETS,
		.began_us = began_us,
	};

	team_budget_note_store_call(key->budgets, &evidence);
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct team_budget_key *key = arg;

	note_call(key, result->status, key->read_started_us);
	if (result->status != TGW_OK || result->entry_count != 1) {
		report_failure(key, "read", result->status, result->message);
		back_off_after_failure(key);
		return;
	}
	if (adopt_entry(key, &result->entries[0]))
		write_if_needed(key);
	else
		back_off_after_failure(key);
}

void team_budget_key_advance(struct team_budget_key *key)
{
	key->state = TEAM_BUDGET_KEY_READING;
	key->read_started_us = team_budget_now_us(key->budgets);
	key->budgets->counters.reads++;
	tgw_store_get(key->budgets->store, key->name,
		      (struct tgw_store_callback){on_read, key});
}

static bool is_main_host(const struct team_budget_key *key,
			 const struct team_account *account, int64_t now)
{
	return team_account_weight(account,
				   budget_pool_find(&key->pool, account->team),
				   key->pool.host_count,
				   &key->budgets->settings.policy,
				   now) >= MAIN_HOST_WEIGHT;
}

static bool is_main_host_of_any(const struct team_budget_key *key)
{
	int64_t now = team_budget_now_us(key->budgets);

	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (is_main_host(key, account, now))
			return true;
	return false;
}

static void back_off_after_conflict(struct team_budget_key *key)
{
	int64_t max_us =
		team_budget_key_interval_us(key, CONFLICT_BACKOFF_PER_HOST_US);

	if (max_us < CONFLICT_BACKOFF_MIN_US)
		max_us = CONFLICT_BACKOFF_MIN_US;
	for (uint32_t i = IMMEDIATE_RETRIES + 1;
	     i < key->conflicts && max_us < CONFLICT_BACKOFF_MAX_US; i++)
		max_us *= 2;
	if (max_us > CONFLICT_BACKOFF_MAX_US)
		max_us = CONFLICT_BACKOFF_MAX_US;
	if (max_us > CONFLICT_BACKOFF_MAIN_US && is_main_host_of_any(key))
		max_us = CONFLICT_BACKOFF_MAIN_US;
	key->write_lost = true;
	set_idle(key, (int64_t)tgw_random_below(&key->budgets->random,
						(uint64_t)max_us));
}

/* @return whether a host that receives much of a team's demand would soon have
 * no tokens for it if it waited for its next write */
static bool runs_out(const struct team_budget_key *key,
		     const struct team_account *account,
		     const struct team_account_target *target)
{
	return (double)team_account_held(account) <
		       target->demand_per_s * RUNS_OUT_S &&
	       is_main_host(key, account, team_budget_now_us(key->budgets));
}

/* A write that nobody waits for is not retried: the next one makes up for it,
 * and all others contend with fewer. */
static bool is_awaited(const struct team_budget_key *key)
{
	if (key->budgets->closing || !key->joined)
		return true;
	for (const struct team_account *account = key->accounts; account;
	     account = account->next) {
		struct team_account_target target;

		team_budget_key_decide(key, account, &target);
		if (target.awaited ||
		    (target.urgent && runs_out(key, account, &target)))
			return true;
	}
	return false;
}

/* The response has the current value. An earlier attempt to send the same draft
 * may have written it. */
static void on_conflict(struct team_budget_key *key,
			const struct tgw_store_entry *entry)
{
	key->conflicts++;
	key->outcome_unknown = true;
	if (!adopt_entry(key, entry))
		back_off_after_failure(key);
	else if (!is_awaited(key))
		finish_cycle(key);
	else if (key->conflicts <= IMMEDIATE_RETRIES)
		write_if_needed(key);
	else
		back_off_after_conflict(key);
}

static void report_write(const struct team_budget_key *key,
			 enum tgw_status status)
{
	const struct team_budget_events *events = &key->budgets->events;
	int64_t now = team_budget_now_us(key->budgets);
	struct team_budget_write write = {
		.key = key->name,
		.status = status,
		.value_bytes = key->draft_bytes.size,
		.conflicts = key->conflicts + (status == TGW_CONFLICT),
		.view_age_us = now - key->read_us,
		.duration_us = now - key->write_started_us,
	};

	if (status == TGW_CONFLICT)
		key->budgets->counters.conflicts++;
	if (events->written)
		events->written(events->arg, &write);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct team_budget_key *key = arg;

	report_write(key, result->status);
	note_call(key, result->status, key->write_started_us);
	switch (result->status) {
	case TGW_OK:
		confirm_write(key);
		key->outcome_unknown = false;
		adopt(key, &key->draft, result->entries[0].version);
		if (!key->budgets->key_count_known)
			team_budget_set_key_count(key->budgets,
						  key->pool.key_count);
		finish_cycle(key);
		return;
	case TGW_CONFLICT:
		on_conflict(key, &result->entries[0]);
		return;
	case TGW_UNAVAILABLE:
		report_failure(key, "write", result->status, result->message);
		if (!key->outcome_unknown)
			for_each_account(key, team_account_withdraw);
		back_off_after_failure(key);
		return;
	default:
		report_failure(key, "write", result->status, result->message);
		key->outcome_unknown = true;
		back_off_after_failure(key);
		return;
	}
}

static int64_t refresh_us(const struct team_budget_key *key)
{
	int64_t interval_us =
		team_budget_key_interval_us(key, REFRESH_PER_HOST_US);

	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (account->free_tokens <
		    account->paid_in_tokens / LOW_DIVISOR)
			return interval_us / LOW_REFRESH_DIVISOR;
	return interval_us;
}

static int64_t raise_interval_us(const struct team_budget_key *key, int64_t now)
{
	int64_t interval_us =
		team_budget_key_interval_us(key, RAISE_INTERVAL_PER_HOST_US);

	if (interval_us < RAISE_INTERVAL_US)
		return RAISE_INTERVAL_US;
	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (is_main_host(key, account, now))
			return RAISE_INTERVAL_US;
	return interval_us;
}

static bool is_in_use(const struct team_budget_key *key)
{
	if (!key->scheduled)
		return false;
	return is_first(key) || (key->budgets->key_count_known &&
				 (key->accounts || key->joined));
}

/* @return whether that copy may lack writes of this process */
static bool may_lack_writes(const struct team_budget_key *key)
{
	int64_t now = team_budget_now_us(key->budgets);

	if (team_budget_draft_recounts(key))
		return true;
	if (!has_returned_since(key))
		return false;
	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (report_history_is_recent(&account->reports, now))
			return true;
	return false;
}

/* Another host takes tokens for this one: its writes end, and it leaves. */
static bool is_due_without_store(struct team_budget_key *key)
{
	if (key->budgets->closing || key->outcome_unknown ||
	    may_lack_writes(key) ||
	    (key->joined && team_budget_draft_is_leaving(key)))
		return true;
	key->due_us = team_budget_now_us(key->budgets) +
		      TEAM_BUDGET_CHECK_INTERVAL_US;
	return false;
}

/* Nothing has to be written, since the relay got all that was left. */
static bool is_closed_without_store(const struct team_budget_key *key)
{
	return key->budgets->closing && !key->joined && !key->outcome_unknown &&
	       !team_budget_uses_store(key->budgets) &&
	       !team_budget_draft_holds_any(key);
}

bool team_budget_key_is_due(struct team_budget_key *key, int64_t now)
{
	if (key->state == TEAM_BUDGET_KEY_IDLE && is_closed_without_store(key))
		key->closed = true;
	if (key->state != TEAM_BUDGET_KEY_IDLE || key->due_us > now ||
	    key->closed || !is_in_use(key) || !key->budgets->cap_writer.known)
		return false;
	if (!team_budget_uses_store(key->budgets))
		return is_due_without_store(key);
	if (key->budgets->closing || key->write_lost || key->read_requested ||
	    has_returned_since(key) || !key->store_answers ||
	    now - key->read_us >= refresh_us(key))
		return true;
	if (now - key->read_us >= raise_interval_us(key, now) &&
	    team_budget_draft_is_needed(key, false))
		return true;
	key->due_us = now + TEAM_BUDGET_CHECK_INTERVAL_US;
	return false;
}
