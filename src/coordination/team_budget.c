#include "coordination/team_budget.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/text.h"
#include "base/xalloc.h"
#include "state/ledger_bucket.h"
#include "state/ledger_codec.h"
#include "state/team_account.h"
#include "tamarackgw/random.h"

/* Pause after a failed call of the store; doubles up to the most. */
#define RETRY_FIRST_US (100 * TGW_US_PER_MS)
#define RETRY_MAX_US (1000 * TGW_US_PER_MS)
/* Least time between two looks at whether an allotment needs a write. */
#define LOOK_US (200 * TGW_US_PER_MS)
/* Least time between two reads for the sake of one request. */
#define ASK_US (100 * TGW_US_PER_MS)
/* The same while nothing is free that could be asked for, for each host with
 * a line: the more hosts ask, the rarer each does. */
#define ASK_IN_VAIN_US (90 * TGW_US_PER_MS)
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
/* Hosts that start together open their lines spread over this time ... */
#define LINES_SPREAD_US (2500 * TGW_US_PER_MS)
/* ... and then know how many they are. */
#define LINES_OPEN_US (3 * TGW_US_PER_S)
/* A view of the ledger older than this is not told as the budget's end. */
#define VIEW_FRESH_US (3 * TGW_US_PER_S)
/* Writes of one key that may lose against other hosts before a pause. */
#define CONFLICTS_IN_A_ROW 4
/* The keys of the ledger hold no version yet. */
#define NOTHING_UNRESOLVED INT64_C(-1)

enum bucket_state { BUCKET_IDLE, BUCKET_READING, BUCKET_WRITING };

/** One key of the ledger, and the accounts that lie in it. */
struct bucket {
	struct team_budget *owner;
	char key[LEDGER_KEY_SIZE];
	enum bucket_state state;
	uint64_t line_id;
	bool line_confirmed;
	bool store_answers;
	bool closed;
	bool asked;	       /* requests wait for the next read */
	int64_t version;       /* of `ledger` */
	int64_t unresolved_at; /* version that a lost write expected */
	int64_t read_us;       /* 0 before the first read */
	int64_t due_us;
	int64_t pause_us; /* after failures */
	uint32_t conflicts;
	struct ledger_bucket ledger; /* as last read or written */
	struct ledger_bucket next;   /* being written */
	struct team_account *accounts;
};

struct team_budget {
	struct team_budget_settings settings;
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct team_budget_events events;
	struct tgw_random random;
	uint64_t incarnation;
	int64_t started_us;
	bool store_away;
	bool closing;
	bool closed_told;
	struct bucket *buckets;
};

static int64_t now_us(const struct team_budget *budgets)
{
	return tgw_clock_monotonic_us(budgets->clock);
}

static uint64_t new_line_id(struct team_budget *budgets)
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
	budgets->buckets =
		xcalloc(settings->bucket_count, sizeof(*budgets->buckets));
	for (uint32_t i = 0; i < settings->bucket_count; i++) {
		struct bucket *bucket = &budgets->buckets[i];

		bucket->owner = budgets;
		bucket->store_answers = true;
		bucket->unresolved_at = NOTHING_UNRESOLVED;
		bucket->line_id = new_line_id(budgets);
		ledger_bucket_key(bucket->key, i);
	}
	return budgets;
}

void team_budget_free(struct team_budget *budgets)
{
	if (!budgets)
		return;
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++) {
		struct bucket *bucket = &budgets->buckets[i];

		while (bucket->accounts) {
			struct team_account *account = bucket->accounts;

			bucket->accounts = account->next;
			free(account);
		}
		ledger_bucket_clear(&bucket->ledger);
		ledger_bucket_clear(&bucket->next);
	}
	free(budgets->buckets);
	free(budgets);
}

static struct bucket *bucket_of(const struct team_budget *budgets,
				const char *team)
{
	return &budgets->buckets[ledger_bucket_of(
		team, budgets->settings.bucket_count)];
}

static struct team_account *find_account(const struct bucket *bucket,
					 const char *team)
{
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next)
		if (!strcmp(account->team, team))
			return account;
	return NULL;
}

void team_budget_paid_in(struct team_budget *budgets, const char *team,
			 int64_t total_tokens)
{
	struct bucket *bucket = bucket_of(budgets, team);
	struct team_account *account = find_account(bucket, team);

	if (!account) {
		account = team_account_new(team);
		account->next = bucket->accounts;
		bucket->accounts = account;
		if (!bucket->due_us)
			bucket->due_us =
				now_us(budgets) +
				(int64_t)tgw_random_below(&budgets->random,
							  LINES_SPREAD_US);
	}
	if (account->paid_in_tokens < total_tokens) {
		account->remaining_tokens +=
			total_tokens - account->paid_in_tokens;
		account->paid_in_tokens = total_tokens;
	}
}

/* @return a time that grows with the number of hosts that share the key */
static int64_t per_host(const struct bucket *bucket, int64_t each_us)
{
	size_t hosts = bucket->ledger.line_count;

	return each_us * (int64_t)(hosts ? hosts : 1);
}

void team_budget_store_away(struct team_budget *budgets, bool away)
{
	budgets->store_away = away;
}

enum tgw_status team_budget_reserve(struct team_budget *budgets,
				    const char *team, int64_t tokens,
				    int32_t rank)
{
	struct bucket *bucket = bucket_of(budgets, team);
	struct team_account *account = find_account(bucket, team);
	int64_t now = now_us(budgets);

	if (!account)
		return TGW_NOT_FOUND;
	if (budgets->closing)
		return TGW_UNAVAILABLE;
	if (team_account_reserve(account, tokens, rank,
				 budgets->store_away || !bucket->store_answers))
		return TGW_OK;
	if (tokens > account->paid_in_tokens ||
	    (bucket->read_us && now - bucket->read_us < VIEW_FRESH_US &&
	     tokens > account->remaining_tokens)) {
		account->needed_tokens = 0;
		return TGW_EXHAUSTED;
	}
	if (!bucket->store_answers || budgets->store_away)
		return TGW_UNAVAILABLE;
	if (!account->free_tokens &&
	    now - bucket->read_us < per_host(bucket, ASK_IN_VAIN_US))
		return TGW_CONFLICT;
	if (bucket->state == BUCKET_IDLE &&
	    now - bucket->read_us >= (bucket->read_us ? ASK_US : 0)) {
		bucket->asked = true;
		bucket->due_us = 0;
	}
	return TGW_BUSY;
}

void team_budget_settle(struct team_budget *budgets, const char *team,
			int64_t reserved_tokens, int64_t spent_tokens)
{
	struct team_account *account =
		find_account(bucket_of(budgets, team), team);

	if (account)
		team_account_settle(account, reserved_tokens, spent_tokens,
				    now_us(budgets));
}

/* What a line of this process held that another has folded stays spendable:
 * it was charged in full. */
static void keep_folded_line(struct bucket *bucket)
{
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next) {
		account->base_tokens = team_account_limit(account);
		account->allotted_tokens = 0;
		account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	}
	bucket->line_id = new_line_id(bucket->owner);
	bucket->line_confirmed = false;
}

static void adopt(struct bucket *bucket, struct ledger_bucket *ledger,
		  int64_t version)
{
	bool resolved = bucket->unresolved_at != version;

	ledger_bucket_clear(&bucket->ledger);
	bucket->ledger = *ledger;
	memset(ledger, 0, sizeof(*ledger));
	bucket->version = version;
	bucket->read_us = now_us(bucket->owner);
	if (resolved)
		bucket->unresolved_at = NOTHING_UNRESOLVED;
	if (ledger_bucket_find_line(&bucket->ledger, bucket->line_id))
		bucket->line_confirmed = true;
	else if (bucket->line_confirmed && resolved)
		keep_folded_line(bucket);
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next) {
		team_account_read(account, &bucket->ledger, bucket->line_id);
		if (resolved)
			account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
	}
}

static void fold_earlier_lines(struct bucket *bucket,
			       struct ledger_bucket *next)
{
	const char *host = bucket->owner->settings.host;

	for (size_t i = 0; i < next->line_count;) {
		const struct ledger_line *line = &next->lines[i];

		if (line->id != bucket->line_id && !strcmp(line->host, host))
			ledger_bucket_fold_line(next, line->id);
		else
			i++;
	}
}

static struct ledger_line *own_line(struct bucket *bucket,
				    struct ledger_bucket *next)
{
	const struct team_budget_settings *settings = &bucket->owner->settings;
	struct ledger_line *line;

	line = ledger_bucket_find_line(next, bucket->line_id);
	if (line)
		return line;
	line = ledger_bucket_add_line(next, bucket->line_id);
	text_copy(line->host, sizeof(line->host), settings->host);
	text_copy(line->domain, sizeof(line->domain), settings->failure_domain);
	line->incarnation = bucket->owner->incarnation;
	return line;
}

static void fill_share(struct bucket *bucket, struct ledger_bucket *next,
		       struct ledger_line *line, struct team_account *account)
{
	struct team_budget *owner = bucket->owner;
	int budget = ledger_bucket_raise_paid_in(next, account->team,
						 account->paid_in_tokens);
	int64_t now = now_us(owner);
	struct team_account_wish wish;
	struct ledger_share *share;
	int64_t own_settled;

	if (budget < 0)
		return;
	team_account_decide(account, &bucket->ledger, bucket->line_id,
			    &owner->settings.policy, now, &wish);
	share = ledger_line_obtain_share(line, (uint32_t)budget);
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
static void close_accounts(struct bucket *bucket)
{
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next)
		team_account_close(account);
}

static enum tgw_status copy_ledger(struct bucket *bucket,
				   struct ledger_bucket *copy,
				   struct tgw_error *error)
{
	struct buffer bytes = {0};
	enum tgw_status status;

	ledger_codec_encode(&bucket->ledger, &bytes);
	status = ledger_codec_decode(copy, bytes.data, bytes.size, error);
	buffer_free(&bytes);
	return status;
}

static void on_written(void *arg, const struct tgw_store_result *result);

static void start_write(struct bucket *bucket)
{
	struct tgw_error error;
	struct buffer bytes = {0};
	struct ledger_line *line;

	ledger_bucket_clear(&bucket->next);
	if (copy_ledger(bucket, &bucket->next, &error) != TGW_OK)
		return;
	fold_earlier_lines(bucket, &bucket->next);
	line = own_line(bucket, &bucket->next);
	line->sequence++;
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next)
		fill_share(bucket, &bucket->next, line, account);
	if (bucket->owner->closing)
		ledger_bucket_fold_line(&bucket->next, bucket->line_id);
	assert(ledger_bucket_check(&bucket->next, &error) == TGW_OK);
	ledger_codec_encode(&bucket->next, &bytes);
	bucket->state = BUCKET_WRITING;
	tgw_store_swap(bucket->owner->store, bucket->key, bucket->version,
		       bytes.data, bytes.size,
		       (struct tgw_store_callback){on_written, bucket});
	buffer_free(&bytes);
}

/* @param fresh the ledger was read just now: less urgent changes count too */
static bool needs_write(struct bucket *bucket, bool fresh)
{
	const struct team_budget_settings *settings = &bucket->owner->settings;

	if (bucket->owner->closing)
		return ledger_bucket_find_line(&bucket->ledger,
					       bucket->line_id) != NULL;
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next) {
		struct team_account_wish wish;

		team_account_decide(account, &bucket->ledger, bucket->line_id,
				    &settings->policy, now_us(bucket->owner),
				    &wish);
		if (wish.urgent || (fresh && wish.lazy))
			return true;
	}
	return fresh && !bucket->line_confirmed;
}

static void rest(struct bucket *bucket, int64_t pause_us)
{
	bucket->state = BUCKET_IDLE;
	bucket->due_us = now_us(bucket->owner) + pause_us;
}

static void pause_after_failure(struct bucket *bucket)
{
	bucket->pause_us = bucket->pause_us ? bucket->pause_us * 2
					    : RETRY_FIRST_US;
	if (bucket->pause_us > RETRY_MAX_US)
		bucket->pause_us = RETRY_MAX_US;
	bucket->store_answers = false;
	rest(bucket, bucket->pause_us);
	bucket->owner->events.changed(bucket->owner->events.arg);
}

static void settle_down(struct bucket *bucket)
{
	bucket->pause_us = 0;
	bucket->conflicts = 0;
	bucket->store_answers = true;
	if (bucket->owner->closing)
		bucket->closed = true;
	rest(bucket, LOOK_US);
	bucket->owner->events.changed(bucket->owner->events.arg);
}

/* Takes in an entry of the store. @return whether it could be read */
static bool take_entry(struct bucket *bucket,
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
		ledger_bucket_clear(&ledger);
		return false;
	}
	adopt(bucket, &ledger, entry->version);
	return true;
}

static void continue_with(struct bucket *bucket,
			  const struct tgw_store_entry *entry)
{
	if (!take_entry(bucket, entry)) {
		pause_after_failure(bucket);
		return;
	}
	if (needs_write(bucket, true))
		start_write(bucket);
	else
		settle_down(bucket);
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct bucket *bucket = arg;

	if (result->status == TGW_OK && result->entry_count == 1)
		continue_with(bucket, &result->entries[0]);
	else
		pause_after_failure(bucket);
}

static void start_read(struct bucket *bucket)
{
	bucket->state = BUCKET_READING;
	bucket->asked = false;
	tgw_store_get(bucket->owner->store, bucket->key,
		      (struct tgw_store_callback){on_read, bucket});
}

static void forget_lower_allotments(struct bucket *bucket)
{
	if (bucket->unresolved_at != NOTHING_UNRESOLVED)
		return;
	for (struct team_account *account = bucket->accounts; account;
	     account = account->next)
		account->unresolved_tokens = TEAM_ACCOUNT_RESOLVED;
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct bucket *bucket = arg;

	switch (result->status) {
	case TGW_OK:
		bucket->line_confirmed = !bucket->owner->closing;
		bucket->unresolved_at = NOTHING_UNRESOLVED;
		adopt(bucket, &bucket->next, result->entries[0].version);
		if (bucket->owner->closing)
			close_accounts(bucket);
		settle_down(bucket);
		return;
	case TGW_CONFLICT:
		forget_lower_allotments(bucket);
		if (++bucket->conflicts > CONFLICTS_IN_A_ROW) {
			bucket->conflicts = 0;
			rest(bucket, (int64_t)tgw_random_below(
					     &bucket->owner->random, LOOK_US));
			return;
		}
		continue_with(bucket, &result->entries[0]);
		return;
	case TGW_UNAVAILABLE:
		forget_lower_allotments(bucket);
		pause_after_failure(bucket);
		return;
	default:
		bucket->unresolved_at = bucket->version;
		pause_after_failure(bucket);
		return;
	}
}

static bool tell_closed(struct team_budget *budgets)
{
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++)
		if (budgets->buckets[i].accounts && !budgets->buckets[i].closed)
			return false;
	if (!budgets->closed_told) {
		budgets->closed_told = true;
		budgets->events.closed(budgets->events.arg);
	}
	return true;
}

static int64_t refresh_us(const struct bucket *bucket)
{
	int64_t time_us = per_host(bucket, REFRESH_US);

	for (const struct team_account *account = bucket->accounts; account;
	     account = account->next)
		if (account->free_tokens < account->paid_in_tokens / LOW_PART)
			return time_us / LOW_REFRESH_PART;
	return time_us;
}

static bool is_due(struct bucket *bucket, int64_t now)
{
	if (bucket->state != BUCKET_IDLE || bucket->due_us > now ||
	    bucket->closed || !bucket->accounts)
		return false;
	if (bucket->owner->closing || !bucket->store_answers ||
	    now - bucket->read_us >= refresh_us(bucket))
		return true;
	if (bucket->asked)
		return true;
	if (now - bucket->read_us >= RAISE_US &&
	    now - bucket->read_us >= per_host(bucket, RAISE_EACH_US) &&
	    needs_write(bucket, false))
		return true;
	bucket->due_us = now + LOOK_US;
	return false;
}

int64_t team_budget_tick(struct team_budget *budgets)
{
	int64_t now = now_us(budgets);
	int64_t next = now + LOOK_US;

	if (now - budgets->started_us >= LINES_OPEN_US)
		budgets->settings.policy.hosts_are_known = true;

	if (budgets->closing && tell_closed(budgets))
		return next;
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++) {
		struct bucket *bucket = &budgets->buckets[i];

		if (is_due(bucket, now))
			start_read(bucket);
		if (bucket->state == BUCKET_IDLE && bucket->accounts &&
		    bucket->due_us < next)
			next = bucket->due_us;
	}
	return next;
}

void team_budget_close(struct team_budget *budgets)
{
	if (budgets->closing)
		return;
	budgets->closing = true;
	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++)
		budgets->buckets[i].due_us = 0;
}

bool team_budget_look(const struct team_budget *budgets, const char *team,
		      struct team_budget_view *view)
{
	const struct bucket *bucket = bucket_of(budgets, team);
	const struct team_account *account = find_account(bucket, team);

	if (!account)
		return false;
	view->paid_in_tokens = account->paid_in_tokens;
	view->limit_tokens = team_account_limit(account);
	view->settled_tokens = account->settled_tokens;
	view->reserved_tokens = account->reserved_tokens;
	view->free_tokens = account->free_tokens;
	view->read_us = bucket->read_us;
	return true;
}

uint32_t team_budget_other_hosts(const struct team_budget *budgets)
{
	size_t most = 0;

	for (uint32_t i = 0; i < budgets->settings.bucket_count; i++)
		if (budgets->buckets[i].ledger.line_count > most)
			most = budgets->buckets[i].ledger.line_count;
	return most ? (uint32_t)(most - 1) : 0;
}
