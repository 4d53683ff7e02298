#include "coordination/team_budget_key.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/text.h"
#include "state/ledger_codec.h"

/* Pause after a failed call of the store; doubles up to the most. */
#define RETRY_FIRST_US (100 * TGW_US_PER_MS)
#define RETRY_MAX_US (1000 * TGW_US_PER_MS)
/* Time between two reads of a key, for each host with a line; and the part of
 * it while a budget in the key runs low, when other hosts may want tokens. */
#define REFRESH_US (1000 * TGW_US_PER_MS)
#define LOW_REFRESH_PART 4
/* A budget runs low when less than this part of it is free. */
#define LOW_PART 8
/* Least time between two raises that no request waits for, and for each host
 * with a line. */
#define RAISE_US (1000 * TGW_US_PER_MS)
#define RAISE_EACH_US (45 * TGW_US_PER_MS)
/* Writes that lost against other hosts' are tried again at once, the fewer
 * times the more hosts do so: in step with many, nearly all writes lose. Then
 * random pauses follow that double up to the most. */
#define CONFLICTS_OF_ALL_HOSTS 32
#define CONFLICT_PAUSE_US (40 * TGW_US_PER_MS)
#define CONFLICT_PAUSE_MAX_US (640 * TGW_US_PER_MS)

int64_t team_budget_key_per_host(const struct team_budget_key *key,
				 int64_t each_us)
{
	size_t hosts = key->ledger.line_count;

	return each_us * (int64_t)(hosts ? hosts : 1);
}

/* What a line of this process held that another has folded stays spendable:
 * it was charged in full. */
static void keep_folded_line(struct team_budget_key *key)
{
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		account->base_tokens = team_account_limit(account);
		account->allotted_tokens = 0;
		account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	}
	key->line_id = team_budget_new_line_id(key->owner);
	key->line_confirmed = false;
}

static void adopt(struct team_budget_key *key, struct ledger_bucket *ledger,
		  int64_t version)
{
	bool resolved = key->unresolved_at != version;

	ledger_bucket_clear(&key->ledger);
	key->ledger = *ledger;
	memset(ledger, 0, sizeof(*ledger));
	key->version = version;
	key->read_us = team_budget_now_us(key->owner);
	if (resolved)
		key->unresolved_at = TEAM_BUDGET_NOTHING_UNRESOLVED;
	if (ledger_bucket_find_line(&key->ledger, key->line_id))
		key->line_confirmed = true;
	else if (key->line_confirmed && resolved)
		keep_folded_line(key);
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		team_account_read(account, &key->ledger, key->line_id);
		if (resolved)
			account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	}
}

static void fold_earlier_lines(struct team_budget_key *key,
			       struct ledger_bucket *next)
{
	const char *host = key->owner->settings.host;

	for (size_t i = 0; i < next->line_count;) {
		const struct ledger_line *line = &next->lines[i];

		if (line->id != key->line_id && !strcmp(line->host, host))
			ledger_bucket_fold_line(next, line->id);
		else
			i++;
	}
}

static struct ledger_line *own_line(struct team_budget_key *key,
				    struct ledger_bucket *next)
{
	const struct team_budget_settings *settings = &key->owner->settings;
	struct ledger_line *line;

	line = ledger_bucket_find_line(next, key->line_id);
	if (line)
		return line;
	line = ledger_bucket_add_line(next, key->line_id);
	text_copy(line->host, sizeof(line->host), settings->host);
	text_copy(line->domain, sizeof(line->domain), settings->failure_domain);
	line->incarnation = key->owner->incarnation;
	return line;
}

static void fill_share(struct team_budget_key *key, struct ledger_bucket *next,
		       struct ledger_line *line, struct team_account *account)
{
	struct team_budget *owner = key->owner;
	int budget = ledger_bucket_raise_paid_in(next, account->team,
						 account->paid_in_tokens);
	int64_t now = team_budget_now_us(owner);
	struct team_account_target wish;
	struct ledger_allotment *share;
	int64_t own_settled;

	if (budget < 0)
		return;
	team_account_decide(account, &key->ledger, key->line_id,
			    &owner->settings.policy, now, &wish);
	share = ledger_line_obtain_allotment(line, (uint32_t)budget);
	own_settled = account->settled_tokens - account->base_tokens;
	share->settled_tokens = own_settled > 0 ? own_settled : 0;
	if (owner->closing) {
		wish.allotted_tokens = team_account_charged(account);
		wish.wanted_tokens = 0;
	}
	share->allotted_tokens = wish.allotted_tokens;
	share->ceiling_tokens = wish.allotted_tokens;
	share->wanted_tokens = wish.wanted_tokens;
	share->demand_tokens_per_s =
		(int64_t)demand_forecast_per_s(&account->demand, now);
	/* From here on a lower allotment may take effect at any time. */
	if (wish.allotted_tokens < account->allotted_tokens &&
	    (account->unresolved_tokens == TEAM_ACCOUNT_RESOLVED ||
	     wish.allotted_tokens < account->unresolved_tokens))
		account->unresolved_tokens = wish.allotted_tokens;
	account->needed_tokens = 0;
}

/* The lines are folded at what was charged: nothing more may be spent. */
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

	ledger_bucket_clear(&key->next);
	if (copy_ledger(key, &key->next, &error) != TGW_OK)
		return;
	fold_earlier_lines(key, &key->next);
	line = own_line(key, &key->next);
	line->sequence++;
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		fill_share(key, &key->next, line, account);
	if (key->owner->closing)
		ledger_bucket_fold_line(&key->next, key->line_id);
	assert(ledger_bucket_check(&key->next, &error) == TGW_OK);
	ledger_codec_encode(&key->next, &bytes);
	key->state = TEAM_BUDGET_KEY_WRITING;
	tgw_store_swap(key->owner->store, key->name, key->version, bytes.data,
		       bytes.size,
		       (struct tgw_store_callback){on_written, key});
	buffer_free(&bytes);
}

/* @param fresh the ledger was read just now: less urgent changes count too */
static bool needs_write(struct team_budget_key *key, bool fresh)
{
	const struct team_budget_settings *settings = &key->owner->settings;

	if (key->owner->closing)
		return ledger_bucket_find_line(&key->ledger, key->line_id) !=
		       NULL;
	for (struct team_account *account = key->accounts; account;
	     account = account->next) {
		struct team_account_target wish;

		team_account_decide(account, &key->ledger, key->line_id,
				    &settings->policy,
				    team_budget_now_us(key->owner), &wish);
		if (wish.urgent || (fresh && wish.deferrable))
			return true;
	}
	return fresh && !key->line_confirmed;
}

static void rest(struct team_budget_key *key, int64_t pause_us)
{
	key->state = TEAM_BUDGET_KEY_IDLE;
	key->due_us = team_budget_now_us(key->owner) + pause_us;
}

static void pause_after_failure(struct team_budget_key *key)
{
	key->pause_us = key->pause_us ? key->pause_us * 2 : RETRY_FIRST_US;
	if (key->pause_us > RETRY_MAX_US)
		key->pause_us = RETRY_MAX_US;
	key->store_answers = false;
	rest(key, key->pause_us);
	key->owner->events.changed(key->owner->events.arg);
}

static void tell_failed(const struct team_budget_key *key, const char *call,
			enum tgw_status status, const char *message)
{
	const struct team_budget_events *events = &key->owner->events;

	if (events->failed)
		events->failed(events->arg, call, status, message);
}

static void settle_down(struct team_budget_key *key)
{
	key->pause_us = 0;
	key->conflicts = 0;
	key->store_answers = true;
	if (key->owner->closing)
		key->closed = true;
	rest(key, TEAM_BUDGET_LOOK_US);
	key->owner->events.changed(key->owner->events.arg);
}

/* Takes in an entry of the store. @return whether it could be read */
static bool take_entry(struct team_budget_key *key,
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
		tell_failed(key, "read", status, error.message);
		ledger_bucket_clear(&ledger);
		return false;
	}
	adopt(key, &ledger, entry->version);
	return true;
}

static void write_or_settle_down(struct team_budget_key *key)
{
	if (needs_write(key, true))
		start_write(key);
	else
		settle_down(key);
}

static void continue_with(struct team_budget_key *key,
			  const struct tgw_store_entry *entry)
{
	if (!take_entry(key, entry)) {
		pause_after_failure(key);
		return;
	}
	write_or_settle_down(key);
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct team_budget_key *key = arg;

	if (result->status == TGW_OK && result->entry_count == 1) {
		continue_with(key, &result->entries[0]);
		return;
	}
	tell_failed(key, "read", result->status, result->message);
	pause_after_failure(key);
}

void team_budget_key_go_on(struct team_budget_key *key)
{
	if (key->writes_again) {
		key->writes_again = false;
		key->waited = true;
		write_or_settle_down(key);
		return;
	}
	key->state = TEAM_BUDGET_KEY_READING;
	key->asked = false;
	tgw_store_get(key->owner->store, key->name,
		      (struct tgw_store_callback){on_read, key});
}

static void forget_lower_allotments(struct team_budget_key *key)
{
	if (key->unresolved_at != TEAM_BUDGET_NOTHING_UNRESOLVED)
		return;
	for (struct team_account *account = key->accounts; account;
	     account = account->next)
		account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
}

static uint32_t conflicts_at_once(const struct team_budget_key *key)
{
	size_t hosts = key->ledger.line_count;

	if (hosts >= CONFLICTS_OF_ALL_HOSTS)
		return 1;
	return CONFLICTS_OF_ALL_HOSTS / (uint32_t)(hosts ? hosts : 1);
}

static void pause_after_conflict(struct team_budget_key *key)
{
	int64_t most_us = CONFLICT_PAUSE_US;

	for (uint32_t i = conflicts_at_once(key) + 1;
	     i < key->conflicts && most_us < CONFLICT_PAUSE_MAX_US; i++)
		most_us *= 2;
	key->writes_again = true;
	rest(key,
	     (int64_t)tgw_random_below(&key->owner->random, (uint64_t)most_us));
}

static void on_conflict(struct team_budget_key *key,
			const struct tgw_store_entry *entry)
{
	bool was_stale = key->waited;

	key->waited = false;
	if (++key->conflicts <= conflicts_at_once(key) || was_stale)
		continue_with(key, entry);
	else if (take_entry(key, entry))
		pause_after_conflict(key);
	else
		pause_after_failure(key);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct team_budget_key *key = arg;

	switch (result->status) {
	case TGW_OK:
		key->line_confirmed = !key->owner->closing;
		key->unresolved_at = TEAM_BUDGET_NOTHING_UNRESOLVED;
		adopt(key, &key->next, result->entries[0].version);
		if (key->owner->closing)
			close_accounts(key);
		settle_down(key);
		return;
	case TGW_CONFLICT:
		forget_lower_allotments(key);
		on_conflict(key, &result->entries[0]);
		return;
	case TGW_UNAVAILABLE:
		tell_failed(key, "write", result->status, result->message);
		forget_lower_allotments(key);
		pause_after_failure(key);
		return;
	default:
		tell_failed(key, "write", result->status, result->message);
		key->unresolved_at = key->version;
		pause_after_failure(key);
		return;
	}
}

static int64_t refresh_us(const struct team_budget_key *key)
{
	int64_t time_us = team_budget_key_per_host(key, REFRESH_US);

	for (const struct team_account *account = key->accounts; account;
	     account = account->next)
		if (account->free_tokens < account->paid_in_tokens / LOW_PART)
			return time_us / LOW_REFRESH_PART;
	return time_us;
}

bool team_budget_key_is_due(struct team_budget_key *key, int64_t now)
{
	if (key->state != TEAM_BUDGET_KEY_IDLE || key->due_us > now ||
	    key->closed || !key->accounts)
		return false;
	if (key->owner->closing || key->writes_again || !key->store_answers ||
	    now - key->read_us >= refresh_us(key))
		return true;
	if (key->asked)
		return true;
	if (now - key->read_us >= RAISE_US &&
	    now - key->read_us >=
		    team_budget_key_per_host(key, RAISE_EACH_US) &&
	    needs_write(key, false))
		return true;
	key->due_us = now + TEAM_BUDGET_LOOK_US;
	return false;
}
