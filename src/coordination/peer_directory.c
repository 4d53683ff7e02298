#include "coordination/peer_directory.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/text.h"
#include "base/xalloc.h"
#include "tamarackgw/random.h"

#define PREFIX "tgw/peers/"
#define HOSTS_PREFIX PREFIX "hosts/"
#define FLEET_KEY PREFIX "key"
#define KEY_NAME_SIZE (sizeof(HOSTS_PREFIX) + TGW_NAME_SIZE)

/* Hosts that start together list each other once all have written their
 * records, which takes about this time. */
#define SETTLE_US (1500 * TGW_US_PER_MS)
#define SETTLE_JITTER_US (500 * TGW_US_PER_MS)
/* Minimum time between two lists after messages of unknown hosts. */
#define UNKNOWN_INTERVAL_US (2 * TGW_US_PER_S)
#define REFRESH_US (120 * TGW_US_PER_S)
/* A host writes its record again after this. */
#define RENEW_US (10 * 60 * TGW_US_PER_S)
/* A host whose record was not written for this time is gone. Time in which the
 * records were not listed does not count: nobody could write them. */
#define GONE_US (40 * 60 * TGW_US_PER_S)
#define MAX_LIST_GAP_US (2 * REFRESH_US)
/* Hosts spread their attempts to delete a record over this time. */
#define DELETE_SPREAD_US (10 * 60 * TGW_US_PER_S)
/* Backoff after a failed store call; doubles up to the maximum. */
#define RETRY_MIN_US (150 * TGW_US_PER_MS)
#define RETRY_MAX_US (2000 * TGW_US_PER_MS)

/** A host's record in the store, as it was last listed. */
struct peer_record {
	char key[KEY_NAME_SIZE];
	int64_t version;
	int64_t unchanged_us; /* time of lists in which it had this version */
};

struct peer_directory {
	struct peer_host self;
	char self_key[KEY_NAME_SIZE];
	struct peer_key new_key;
	struct tgw_random random;
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct peer_directory_events events;
	bool calling;
	bool key_known;
	bool registered;
	bool changed; /* since it was last reported */
	bool settled; /* the hosts that started together are listed */
	int64_t self_version;
	int64_t registered_us;
	int64_t listed_us;
	int64_t delete_after_us; /* so long without a change */
	size_t record_count;
	struct peer_record *records;
	int64_t due_us;
	int64_t backoff_us;
	size_t count;
	struct peer_host *hosts;
};

static int64_t now_of(const struct peer_directory *directory)
{
	return tgw_clock_monotonic_us(directory->clock);
}

struct peer_directory *peer_directory_new(
	const struct peer_host *self, const struct peer_key *new_key,
	uint64_t seed, struct tgw_store *store, const struct tgw_clock *clock,
	const struct peer_directory_events *events)
{
	struct peer_directory *directory = xcalloc(1, sizeof(*directory));

	directory->self = *self;
	snprintf(directory->self_key, sizeof(directory->self_key),
		 HOSTS_PREFIX "%s", self->name);
	directory->new_key = *new_key;
	tgw_random_init(&directory->random, seed);
	directory->delete_after_us =
		GONE_US +
		(int64_t)tgw_random_below(&directory->random, DELETE_SPREAD_US);
	directory->store = store;
	directory->clock = clock;
	directory->events = *events;
	return directory;
}

void peer_directory_free(struct peer_directory *directory)
{
	if (!directory)
		return;
	free(directory->records);
	free(directory->hosts);
	free(directory);
}

static void fail(const struct peer_directory *directory, const char *reason)
{
	if (directory->events.failed)
		directory->events.failed(directory->events.arg, reason);
}

static void back_off(struct peer_directory *directory, const char *reason)
{
	directory->backoff_us = directory->backoff_us
					? directory->backoff_us * 2
					: RETRY_MIN_US;
	if (directory->backoff_us > RETRY_MAX_US)
		directory->backoff_us = RETRY_MAX_US;
	directory->due_us = now_of(directory) + directory->backoff_us;
	fail(directory, reason);
}

static void schedule_refresh(struct peer_directory *directory)
{
	int64_t delay_us = REFRESH_US;

	if (!directory->settled)
		delay_us = SETTLE_US +
			   (int64_t)tgw_random_below(&directory->random,
						     SETTLE_JITTER_US);
	directory->due_us = directory->listed_us + delay_us;
}

static void use_key(struct peer_directory *directory,
		    const struct peer_key *key)
{
	directory->key_known = true;
	directory->events.key(directory->events.arg, key);
}

static void adopt_key(struct peer_directory *directory,
		      const struct tgw_store_entry *entry)
{
	struct peer_key key;
	struct tgw_error error;

	if (directory->key_known)
		return;
	if (peer_key_decode(&key, entry->value, entry->value_size, &error) !=
	    TGW_OK) {
		fail(directory, error.message);
		return;
	}
	use_key(directory, &key);
}

static bool is_same(const struct peer_host *host, const struct peer_host *other)
{
	return !strcmp(host->name, other->name) &&
	       !strcmp(host->failure_domain, other->failure_domain) &&
	       !strcmp(host->address, other->address) &&
	       host->memory_mb == other->memory_mb;
}

static const struct peer_record *find_record(
	const struct peer_directory *directory, const char *key)
{
	for (size_t i = 0; i < directory->record_count; i++)
		if (!strcmp(directory->records[i].key, key))
			return &directory->records[i];
	return NULL;
}

/* @param gap_us since the last list */
static void note_record(const struct peer_directory *directory,
			struct peer_record *record,
			const struct tgw_store_entry *entry, int64_t gap_us)
{
	const struct peer_record *known = find_record(directory, entry->key);

	text_copy(record->key, sizeof(record->key), entry->key);
	record->version = entry->version;
	if (known && known->version == entry->version)
		record->unchanged_us = known->unchanged_us + gap_us;
}

static bool is_gone(const struct peer_directory *directory,
		    const struct peer_record *record)
{
	return record->unchanged_us >= GONE_US &&
	       strcmp(record->key, directory->self_key);
}

static bool add_host(struct peer_directory *directory, struct peer_host *hosts,
		     size_t count, const struct tgw_store_entry *entry)
{
	struct peer_host *host = &hosts[count];
	struct tgw_error error;

	if (peer_host_decode(host, entry->value, entry->value_size, &error) !=
	    TGW_OK) {
		fail(directory, error.message);
		return false;
	}
	if (strcmp(entry->key, directory->self_key))
		return true;
	directory->registered = is_same(host, &directory->self);
	directory->self_version = entry->version;
	if (!directory->registered_us)
		directory->registered_us = now_of(directory);
	return true;
}

/* A key that is longer than those that hosts write names none. */
static bool is_host(const struct tgw_store_entry *entry)
{
	return entry->value && strlen(entry->key) < KEY_NAME_SIZE &&
	       !strncmp(entry->key, HOSTS_PREFIX, strlen(HOSTS_PREFIX));
}

/* @return whether the list differs from the known one */
static bool replace_hosts(struct peer_directory *directory,
			  struct peer_host *hosts, size_t count)
{
	bool differs = count != directory->count;

	for (size_t i = 0; i < count && !differs; i++)
		differs = !is_same(&hosts[i], &directory->hosts[i]);
	free(directory->hosts);
	directory->hosts = hosts;
	directory->count = count;
	return differs;
}

static int64_t list_gap_us(const struct peer_directory *directory)
{
	int64_t gap_us = now_of(directory) - directory->listed_us;

	if (!directory->listed_us)
		return 0;
	return gap_us < MAX_LIST_GAP_US ? gap_us : MAX_LIST_GAP_US;
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	struct peer_directory *directory = arg;
	struct peer_host *hosts;
	struct peer_record *records;
	size_t count = 0;
	size_t record_count = 0;
	int64_t gap_us;

	directory->calling = false;
	if (result->status != TGW_OK) {
		back_off(directory, result->message);
		return;
	}
	gap_us = list_gap_us(directory);
	directory->settled = directory->settled || directory->listed_us;
	directory->listed_us = now_of(directory);
	directory->registered = false;
	directory->self_version = TGW_STORE_ABSENT;
	hosts = xcalloc(result->entry_count + 1, sizeof(*hosts));
	records = xcalloc(result->entry_count + 1, sizeof(*records));
	for (size_t i = 0; i < result->entry_count; i++) {
		const struct tgw_store_entry *entry = &result->entries[i];

		if (!strcmp(entry->key, FLEET_KEY) && entry->value)
			adopt_key(directory, entry);
		if (!is_host(entry))
			continue;
		note_record(directory, &records[record_count], entry, gap_us);
		if (!is_gone(directory, &records[record_count++]) &&
		    add_host(directory, hosts, count, entry))
			count++;
	}
	/* In a fleet that has this host already, the others are listed, too. */
	if (directory->key_known && directory->registered)
		directory->settled = true;
	free(directory->records);
	directory->records = records;
	directory->record_count = record_count;
	if (directory->key_known)
		directory->backoff_us = 0;
	/* The first hosts of a new fleet wait for the others. */
	if (replace_hosts(directory, hosts, count))
		directory->changed = true;
	if (directory->changed &&
	    (directory->settled || directory->key_known)) {
		directory->changed = false;
		directory->events.changed(directory->events.arg);
	}
	schedule_refresh(directory);
}

static void list(struct peer_directory *directory)
{
	directory->calling = true;
	tgw_store_list(directory->store, PREFIX,
		       (struct tgw_store_callback){on_list, directory});
}

static void on_key_written(void *arg, const struct tgw_store_result *result)
{
	struct peer_directory *directory = arg;

	directory->calling = false;
	if (result->status == TGW_OK)
		use_key(directory, &directory->new_key);
	else if (result->status == TGW_CONFLICT && result->entries[0].value)
		adopt_key(directory, &result->entries[0]);
	if (directory->key_known)
		return;
	/* The next list shows what became of the write. */
	back_off(directory, result->message);
	directory->listed_us = 0;
}

static void write_key(struct peer_directory *directory)
{
	struct buffer bytes = {0};

	peer_key_encode(&directory->new_key, &bytes);
	directory->calling = true;
	tgw_store_swap(directory->store, FLEET_KEY, TGW_STORE_ABSENT,
		       bytes.data, bytes.size,
		       (struct tgw_store_callback){on_key_written, directory});
	buffer_free(&bytes);
}

static void on_registered(void *arg, const struct tgw_store_result *result)
{
	struct peer_directory *directory = arg;

	directory->calling = false;
	if (result->status == TGW_OK) {
		directory->registered = true;
		directory->registered_us = now_of(directory);
		directory->self_version = result->entries[0].version;
		return;
	}
	/* Another process may have this host's name; the list tells. */
	back_off(directory, result->message);
	directory->listed_us = 0;
}

static void write_self(struct peer_directory *directory)
{
	struct buffer bytes = {0};

	peer_host_encode(&directory->self, &bytes);
	directory->calling = true;
	tgw_store_swap(directory->store, directory->self_key,
		       directory->self_version, bytes.data, bytes.size,
		       (struct tgw_store_callback){on_registered, directory});
	buffer_free(&bytes);
}

/* The next list shows what became of it. A host that lives has written its
 * record meanwhile, or writes it again. */
static void on_deleted(void *arg, const struct tgw_store_result *result)
{
	struct peer_directory *directory = arg;

	(void)result;
	directory->calling = false;
}

static void delete_gone(struct peer_directory *directory)
{
	for (size_t i = 0; i < directory->record_count; i++) {
		struct peer_record *record = &directory->records[i];

		if (!is_gone(directory, record) ||
		    record->unchanged_us < directory->delete_after_us)
			continue;
		record->unchanged_us = GONE_US;
		directory->calling = true;
		tgw_store_swap(
			directory->store, record->key, record->version, NULL, 0,
			(struct tgw_store_callback){on_deleted, directory});
		return;
	}
}

static bool has_to_register(const struct peer_directory *directory)
{
	return directory->listed_us &&
	       (!directory->registered ||
		now_of(directory) - directory->registered_us >= RENEW_US);
}

void peer_directory_tick(struct peer_directory *directory)
{
	int64_t now = now_of(directory);

	if (directory->calling)
		return;
	if (has_to_register(directory)) {
		write_self(directory);
		return;
	}
	/* Of the hosts that start together, the first that is settled writes
	 * the key, and most others find it. */
	if (directory->listed_us && directory->settled &&
	    !directory->key_known) {
		write_key(directory);
		return;
	}
	if (now >= directory->due_us)
		list(directory);
	else
		delete_gone(directory);
}

void peer_directory_on_unknown(struct peer_directory *directory)
{
	int64_t due_us = directory->listed_us + UNKNOWN_INTERVAL_US;

	if (directory->due_us > due_us)
		directory->due_us = due_us;
}

const struct peer_host *peer_directory_hosts(
	const struct peer_directory *directory, size_t *count)
{
	*count = directory->count;
	return directory->hosts;
}

const struct peer_host *peer_directory_find(
	const struct peer_directory *directory, const char *name)
{
	for (size_t i = 0; i < directory->count; i++)
		if (!strcmp(directory->hosts[i].name, name))
			return &directory->hosts[i];
	return NULL;
}
