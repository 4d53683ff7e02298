#include "coordination/team_budget_key.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/text.h"
#include "state/ledger_codec.h"

/* Backoff after a failed store call; doubles up to the maximum. */
#define RETRY_MIN_US (100 * TGW_US_PER_MS)
#define RETRY_MAX_US (1000 * TGW_US_PER_MS)
/* Time between two reads of a key, multiplied by the number of hosts with a
 * line in it. The product is divided by LOW_REFRESH_DIVISOR while a budget in
 * the key runs low, as other hosts may then request tokens. */
#define REFRESH_PER_HOST_US (1000 * TGW_US_PER_MS)
#define LOW_REFRESH_DIVISOR 4
/* A budget runs low when less than its paid-in total divided by this is
 * free. */
#define LOW_DIVISOR 8
/* Minimum time between the last read or write of a key and the raise of an
 * allotment that no request waits for. The larger of the two applies, the
 * second one multiplied by the number of hosts with a line. */
#define RAISE_INTERVAL_US (1000 * TGW_US_PER_MS)
#define RAISE_INTERVAL_PER_HOST_US (45 * TGW_US_PER_MS)
/* After a conflict a host retries the write at once, up to this number divided
 * by the number of hosts with a line, but at least one time: when many hosts
 * retry in step, nearly all of their writes conflict. Then it retries after a
 * random backoff, whose upper bound doubles up to the maximum. */
#define TOTAL_IMMEDIATE_RETRIES 32
#define CONFLICT_BACKOFF_MIN_US (40 * TGW_US_PER_MS)
#define CONFLICT_BACKOFF_MAX_US (640 * TGW_US_PER_MS)

int64_t team_budget_key_interval_us(const struct team_budget_key *key,
				    int64_t per_host_us)
{
	size_t hosts = key->ledger.line_count;

	return per_host_us * (int64_t)(hosts ? hosts : 1);
}

/* Another process has folded the line of this process. The fold charged the
 * allotments in full, so this process can still spend them. */
static void keep_folded_allotments(struct team_budget_key *key)
{
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		account->base_tokens = team_account_limit(account);
		account->allotted_tokens = 0;
		account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	}
	key->line_id = team_budget_new_line_id(key->budgets);
	key->line_confirmed = false;
}

static void adopt(struct team_budget_key *key, struct ledger_bucket *ledger,
		  int64_t version)
{
	bool resolved = key->unresolved_version != version;

	ledger_bucket_clear(&key->ledger);
	key->ledger = *ledger;
	memset(ledger, 0, sizeof(*ledger));
	key->version = version;
	key->read_us = team_budget_now_us(key->budgets);
	if (resolved)
		key->unresolved_version = TEAM_BUDGET_NO_VERSION;
	if (ledger_bucket_find_line(&key->ledger, key->line_id))
		key->line_confirmed = true;
	else if (key->line_confirmed && resolved)
		keep_folded_allotments(key);
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		team_account_read(account, &key->ledger, key->line_id);
		if (resolved)
			account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	}
}

static void fold_earlier_lines(struct team_budget_key *key,
			       struct ledger_bucket *draft)
{
	const char *host = key->budgets->settings.host;

	for (size_t i = 0; i < draft->line_count;) {
		const struct ledger_line *line = &draft->lines[i];

		if (line->id != key->line_id && !strcmp(line->host, host))
			ledger_bucket_fold_line(draft, line->id);
		else
			i++;
	}
}

static struct ledger_line *obtain_own_line(struct team_budget_key *key,
					   struct ledger_bucket *draft)
{
	const struct team_budget_settings *settings = &key->budgets->settings;
	struct ledger_line *line;

	line = ledger_bucket_find_line(draft, key->line_id);
	if (line)
		return line;
	line = ledger_bucket_add_line(draft, key->line_id);
	text_copy(line->host, sizeof(line->host), settings->host);
	text_copy(line->domain, sizeof(line->domain), settings->failure_domain);
	line->incarnation = key->budgets->incarnation;
	return line;
}

static void fill_allotment(struct team_budget_key *key,
			   struct ledger_bucket *draft,
			   struct ledger_line *line,
			   struct team_account *account)
{
	struct team_budget *budgets = key->budgets;
	int budget = ledger_bucket_raise_paid_in(draft, account->team,
						 account->paid_in_tokens);
	int64_t now = team_budget_now_us(budgets);
	struct team_account_target target;
	struct ledger_allotment *allotment;
	int64_t line_settled;

	if (budget < 0)
		return;
	team_account_decide(account, &key->ledger, key->line_id,
			    &budgets->settings.policy, now, &target);
	allotment = ledger_line_obtain_allotment(line, (uint32_t)budget);
	line_settled = account->settled_tokens - account->base_tokens;
	allotment->settled_tokens = line_settled > 0 ? line_settled : 0;
	if (budgets->closing) {
		target.allotted_tokens = team_account_charged(account);
		target.requested_tokens = 0;
	}
	allotment->allotted_tokens = target.allotted_tokens;
	allotment->ceiling_tokens = target.allotted_tokens;
	allotment->requested_tokens = target.requested_tokens;
	allotment->demand_tokens_per_s =
		(int64_t)demand_forecast_per_s(&account->demand, now);
	/* From here on the write may take effect at any time, so a lower
	 * allotment is in force already. */
	if (target.allotted_tokens < account->allotted_tokens &&
	    (account->unresolved_tokens == TEAM_ACCOUNT_RESOLVED ||
	     target.allotted_tokens < account->unresolved_tokens))
		account->unresolved_tokens = target.allotted_tokens;
	account->needed_tokens = 0;
}

/* The folded line charged only the settled tokens and the reservations of
 * unfinished requests, so no more may be spent. */
static void close_accounts(struct team_budget_key *key)
{
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		team_account_close(account);
}

static enum tgw_status copy_ledger(struct team_budget_key *key,
				   struct ledger_bucket *copy,
				   struct tgw_error *error)
{
	struct buffer bytes = {0};
	enum tgw_status status;

	ledger_codec_encode(&key->ledger, &bytes);
	status = ledger_codec_decode(copy, bytes.data, bytes.size, error);
	buffer_free(&bytes);
	return status;
}

static void on_written(void *arg, const struct tgw_store_result *result);

static void start_write(struct team_budget_key *key)
{
	struct tgw_error error;
	struct buffer bytes = {0};
	struct ledger_line *line;

	ledger_bucket_clear(&key->draft);
	if (copy_ledger(key, &key->draft, &error) != TGW_OK)
		return;
	fold_earlier_lines(key, &key->draft);
	line = obtain_own_line(key, &key->draft);
	line->sequence++;
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		fill_allotment(key, &key->draft, line, account);
	if (key->budgets->closing)
		ledger_bucket_fold_line(&key->draft, key->line_id);
	assert(ledger_bucket_check(&key->draft, &error) == TGW_OK);
	ledger_codec_encode(&key->draft, &bytes);
	key->state = TEAM_BUDGET_KEY_WRITING;
	key->write_started_us = team_budget_now_us(key->budgets);
	key->written_bytes = bytes.size;
	key->budgets->counters.writes++;
	tgw_store_swap(key->budgets->store, key->name, key->version, bytes.data,
		       bytes.size,
		       (struct tgw_store_callback){on_written, key});
	buffer_free(&bytes);
}

/* @param fresh the ledger was read just now, so changes that are not urgent
 * count, too */
static bool needs_write(struct team_budget_key *key, bool fresh)
{
	const struct team_budget_settings *settings = &key->budgets->settings;

	if (key->budgets->closing)
		return ledger_bucket_find_line(&key->ledger, key->line_id) !=
		       NULL;
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		struct team_account_target target;

		team_account_decide(account, &key->ledger, key->line_id,
				    &settings->policy,
				    team_budget_now_us(key->budgets), &target);
		if (target.urgent || (fresh && target.deferrable))
			return true;
	}
	return fresh && !key->line_confirmed;
}

static void set_idle(struct team_budget_key *key, int64_t delay_us)
{
	key->state = TEAM_BUDGET_KEY_IDLE;
	key->due_us = team_budget_now_us(key->budgets) + delay_us;
}

static void back_off_after_failure(struct team_budget_key *key)
{
	key->backoff_us = key->backoff_us ? key->backoff_us * 2 : RETRY_MIN_US;
	if (key->backoff_us > RETRY_MAX_US)
		key->backoff_us = RETRY_MAX_US;
	key->store_answers = false;
	set_idle(key, key->backoff_us);
	key->budgets->events.changed(key->budgets->events.arg);
}

static void report_failure(const struct team_budget_key *key, const char *call,
			   enum tgw_status status, const char *message)
{
	const struct team_budget_events *events = &key->budgets->events;

	if (events->failed)
		events->failed(events->arg, call, status, message);
}

static void finish_cycle(struct team_budget_key *key)
{
	key->backoff_us = 0;
	key->conflicts = 0;
	key->store_answers = true;
	if (key->budgets->closing)
		key->closed = true;
	set_idle(key, TEAM_BUDGET_CHECK_INTERVAL_US);
	key->budgets->events.changed(key->budgets->events.arg);
}

/* Decodes and adopts an entry of the store. @return whether it is valid */
static bool adopt_entry(struct team_budget_key *key,
			const struct tgw_store_entry *entry)
{
	struct ledger_bucket ledger = {0};
	struct tgw_error error;
	enum tgw_status status = TGW_OK;

	if (entry->value)
		status = ledger_codec_decode(&ledger, entry->value,
					     entry->value_size, &error);
	if (status == TGW_OK)
		status = ledger_bucket_check(&ledger, &error);
	if (status != TGW_OK) {
		report_failure(key, "read", status, error.message);
		ledger_bucket_clear(&ledger);
		return false;
	}
	adopt(key, &ledger, entry->version);
	return true;
}

static void write_if_needed(struct team_budget_key *key)
{
	if (needs_write(key, true))
		start_write(key);
	else
		finish_cycle(key);
}

static void adopt_and_write(struct team_budget_key *key,
			    const struct tgw_store_entry *entry)
{
	if (!adopt_entry(key, entry)) {
		back_off_after_failure(key);
		return;
	}
	write_if_needed(key);
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct team_budget_key *key = arg;

	if (result->status == TGW_OK && result->entry_count == 1) {
		adopt_and_write(key, &result->entries[0]);
		return;
	}
	report_failure(key, "read", result->status, result->message);
	back_off_after_failure(key);
}

void team_budget_key_advance(struct team_budget_key *key)
{
	if (key->must_retry_write) {
		key->must_retry_write = false;
		key->may_be_stale = true;
		write_if_needed(key);
		return;
	}
	key->state = TEAM_BUDGET_KEY_READING;
	key->budgets->counters.reads++;
	key->read_requested = false;
	tgw_store_get(key->budgets->store, key->name,
		      (struct tgw_store_callback){on_read, key});
}

static void clear_unresolved_allotments(struct team_budget_key *key)
{
	if (key->unresolved_version != TEAM_BUDGET_NO_VERSION)
		return;
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
}

static uint32_t immediate_retries(const struct team_budget_key *key)
{
	size_t hosts = key->ledger.line_count;

	if (hosts >= TOTAL_IMMEDIATE_RETRIES)
		return 1;
	return TOTAL_IMMEDIATE_RETRIES / (uint32_t)(hosts ? hosts : 1);
}

static void back_off_after_conflict(struct team_budget_key *key)
{
	int64_t max_us = CONFLICT_BACKOFF_MIN_US;

	for (uint32_t i = immediate_retries(key) + 1;
	     i < key->conflicts && max_us < CONFLICT_BACKOFF_MAX_US; i++)
		max_us *= 2;
	key->must_retry_write = true;
	set_idle(key, (int64_t)tgw_random_below(&key->budgets->random,
						(uint64_t)max_us));
}

static void on_conflict(struct team_budget_key *key,
			const struct tgw_store_entry *entry)
{
	bool was_stale = key->may_be_stale;

	key->may_be_stale = false;
	if (++key->conflicts <= immediate_retries(key) || was_stale)
		adopt_and_write(key, entry);
	else if (adopt_entry(key, entry))
		back_off_after_conflict(key);
	else
		back_off_after_failure(key);
}

static void report_write(const struct team_budget_key *key,
			 enum tgw_status status)
{
	const struct team_budget_events *events = &key->budgets->events;
	int64_t now = team_budget_now_us(key->budgets);
	struct team_budget_write write = {
		.key = key->name,
		.status = status,
		.value_bytes = key->written_bytes,
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
	switch (result->status) {
	case TGW_OK:
		key->line_confirmed = !key->budgets->closing;
		key->unresolved_version = TEAM_BUDGET_NO_VERSION;
		adopt(key, &key->draft, result->entries[0].version);
		if (key->budgets->closing)
			close_accounts(key);
		finish_cycle(key);
		return;
	case TGW_CONFLICT:
		clear_unresolved_allotments(key);
		on_conflict(key, &result->entries[0]);
		return;
	case TGW_UNAVAILABLE:
		report_failure(key, "write", result->status, result->message);
		clear_unresolved_allotments(key);
		back_off_after_failure(key);
		return;
	default:
		report_failure(key, "write", result->status, result->message);
		key->unresolved_version = key->version;
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

bool team_budget_key_is_due(struct team_budget_key *key, int64_t now)
{
	if (key->state != TEAM_BUDGET_KEY_IDLE || key->due_us > now ||
	    key->closed || !key->accounts)
		return false;
	if (key->budgets->closing || key->must_retry_write ||
	    !key->store_answers || now - key->read_us >= refresh_us(key))
		return true;
	if (key->read_requested)
		return true;
	if (now - key->read_us >= RAISE_INTERVAL_US &&
	    now - key->read_us >= team_budget_key_interval_us(
					  key, RAISE_INTERVAL_PER_HOST_US) &&
	    needs_write(key, false))
		return true;
	key->due_us = now + TEAM_BUDGET_CHECK_INTERVAL_US;
	return false;
}
