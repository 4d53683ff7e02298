#include "coordination/quarantine_trials.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* Parts that this host remembers at a time. */
#define TRIALS_MAX 32
/* A host claims a trial only if it has refused the part within this time. */
#define WANTED_US (5 * TGW_US_PER_S)
/* Pause before a failed store call is made again. */
#define RETRY_US TGW_US_PER_S
#define HEX_SIZE (2 * TGW_FINGERPRINT_BYTES + 1)
#define KEY_SIZE (sizeof(QUARANTINE_TRIALS_PREFIX) + HEX_SIZE + 24)
#define NUMBER_SIZE 12

/* Time from the last crash to the first, the second and each later trial. The
 * first one ends a wrong suspicion soon; a later one is made before the records
 * expire. */
static const int64_t pauses_us[] = {
	2 * TGW_US_PER_S,
	60 * TGW_US_PER_S,
	1800 * TGW_US_PER_S,
};
#define PAUSES (sizeof(pauses_us) / sizeof(pauses_us[0]))

enum trial_state {
	TRIAL_FREE, /* the entry is not in use */
	TRIAL_WAITS,
	TRIAL_IS_CLAIMED, /* the store call is running */
	TRIAL_MAY_RUN,
};

struct trial {
	struct quarantine_trials *owner;
	enum trial_state state;
	struct tgw_fingerprint fingerprint;
	uint64_t epoch;
	int64_t crashed_us; /* the last crash that this host has learned of */
	int64_t wanted_us;
	int64_t retry_us;
	uint32_t made;	 /* by all hosts, as far as known */
	int64_t version; /* of the key, as far as known */
};

struct quarantine_trials {
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct trial entries[TRIALS_MAX];
};

struct quarantine_trials *quarantine_trials_new(struct tgw_store *store,
						const struct tgw_clock *clock)
{
	struct quarantine_trials *trials = xcalloc(1, sizeof(*trials));

	trials->store = store;
	trials->clock = clock;
	for (size_t i = 0; i < TRIALS_MAX; i++)
		trials->entries[i].owner = trials;
	return trials;
}

void quarantine_trials_free(struct quarantine_trials *trials)
{
	free(trials);
}

static struct trial *find(struct quarantine_trials *trials,
			  const struct tgw_fingerprint *fingerprint)
{
	for (size_t i = 0; i < TRIALS_MAX; i++) {
		struct trial *trial = &trials->entries[i];

		if (trial->state != TRIAL_FREE &&
		    !memcmp(&trial->fingerprint, fingerprint,
			    sizeof(*fingerprint)))
			return trial;
	}
	return NULL;
}

/* @return a free entry, else the one that was wanted longest ago; NULL while
 * store calls use all */
static struct trial *find_unused(struct quarantine_trials *trials)
{
	struct trial *unused = NULL;

	for (size_t i = 0; i < TRIALS_MAX; i++) {
		struct trial *trial = &trials->entries[i];

		if (trial->state == TRIAL_FREE)
			return trial;
		if (trial->state != TRIAL_IS_CLAIMED &&
		    (!unused || trial->wanted_us < unused->wanted_us))
			unused = trial;
	}
	return unused;
}

static void begin(struct trial *trial, const struct quarantine_item *part)
{
	struct quarantine_trials *owner = trial->owner;

	memset(trial, 0, sizeof(*trial));
	trial->owner = owner;
	trial->state = TRIAL_WAITS;
	trial->fingerprint = part->fingerprint;
	trial->epoch = part->epoch;
	trial->version = TGW_STORE_ABSENT;
}

static int64_t last_crash_us(const struct quarantine_item *part)
{
	int64_t last_us = 0;

	for (size_t i = 0; i < part->crash_count; i++)
		if (part->crashes[i].learned_us > last_us)
			last_us = part->crashes[i].learned_us;
	return last_us;
}

static struct trial *find_or_begin(struct quarantine_trials *trials,
				   const struct quarantine_item *part)
{
	struct trial *trial = find(trials, &part->fingerprint);

	if (!trial) {
		trial = find_unused(trials);
		if (trial)
			begin(trial, part);
	} else if (trial->epoch != part->epoch) {
		if (trial->state == TRIAL_IS_CLAIMED)
			return NULL;
		begin(trial, part);
	}
	return trial;
}

bool quarantine_trials_may_run(struct quarantine_trials *trials,
			       const struct quarantine_item *part)
{
	struct trial *trial = find_or_begin(trials, part);
	int64_t crashed_us = last_crash_us(part);

	if (!trial)
		return false;
	trial->wanted_us = tgw_clock_monotonic_us(trials->clock);
	if (crashed_us > trial->crashed_us) {
		trial->crashed_us = crashed_us;
		if (trial->state == TRIAL_MAY_RUN)
			trial->state = TRIAL_WAITS;
	}
	return trial->state == TRIAL_MAY_RUN;
}

bool quarantine_trials_on_sent(struct quarantine_trials *trials,
			       const struct quarantine_item *part)
{
	struct trial *trial = find(trials, &part->fingerprint);

	if (!trial || trial->state != TRIAL_MAY_RUN)
		return false;
	trial->state = TRIAL_WAITS;
	/* Unless it crashes a server, its answer ends the suspicion. */
	trial->crashed_us = tgw_clock_monotonic_us(trials->clock);
	return true;
}

static void make_key(const struct trial *trial, char key[KEY_SIZE])
{
	char hex[HEX_SIZE];

	sodium_bin2hex(hex, sizeof(hex), trial->fingerprint.bytes,
		       sizeof(trial->fingerprint.bytes));
	snprintf(key, KEY_SIZE, "%s%s-%" PRIu64, QUARANTINE_TRIALS_PREFIX, hex,
		 trial->epoch);
}

static uint32_t read_number(const struct tgw_store_entry *entry)
{
	char text[NUMBER_SIZE] = "";

	if (!entry->value || entry->value_size >= sizeof(text))
		return 0;
	memcpy(text, entry->value, entry->value_size);
	return (uint32_t)strtoul(text, NULL, 10);
}

static void on_claimed(void *arg, const struct tgw_store_result *result)
{
	struct trial *trial = arg;

	trial->state = TRIAL_WAITS;
	if (result->entry_count == 1)
		trial->version = result->entries[0].version;
	if (result->status == TGW_OK) {
		trial->made++;
		trial->state = TRIAL_MAY_RUN;
	} else if (result->status == TGW_CONFLICT && result->entry_count == 1) {
		trial->made = read_number(&result->entries[0]);
	} else {
		trial->retry_us =
			tgw_clock_monotonic_us(trial->owner->clock) + RETRY_US;
	}
}

static void on_deleted(void *arg, const struct tgw_store_result *result)
{
	/* A key that stays behind belongs to an epoch that does not return. */
}

void quarantine_trials_end(struct quarantine_trials *trials,
			   const struct tgw_fingerprint *fingerprint)
{
	struct trial *trial = find(trials, fingerprint);
	char key[KEY_SIZE];

	if (!trial || trial->state == TRIAL_IS_CLAIMED)
		return;
	trial->state = TRIAL_FREE;
	if (trial->version == TGW_STORE_ABSENT)
		return;
	make_key(trial, key);
	tgw_store_swap(trials->store, key, trial->version, NULL, 0,
		       (struct tgw_store_callback){on_deleted, trials});
}

static bool is_due(const struct trial *trial, int64_t now_us)
{
	size_t number = trial->made < PAUSES ? trial->made : PAUSES - 1;

	return trial->state == TRIAL_WAITS &&
	       now_us - trial->wanted_us <= WANTED_US &&
	       now_us >= trial->retry_us &&
	       now_us >= trial->crashed_us + pauses_us[number];
}

static void claim(struct trial *trial)
{
	char number[NUMBER_SIZE];
	char key[KEY_SIZE];

	make_key(trial, key);
	snprintf(number, sizeof(number), "%" PRIu32, trial->made + 1);
	trial->state = TRIAL_IS_CLAIMED;
	tgw_store_swap(trial->owner->store, key, trial->version, number,
		       strlen(number),
		       (struct tgw_store_callback){on_claimed, trial});
}

void quarantine_trials_tick(struct quarantine_trials *trials)
{
	int64_t now_us = tgw_clock_monotonic_us(trials->clock);

	for (size_t i = 0; i < TRIALS_MAX; i++)
		if (is_due(&trials->entries[i], now_us))
			claim(&trials->entries[i]);
}
