#include "coordination/backend_follower.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/short_name.h"
#include "base/text.h"
#include "base/xalloc.h"

/* Grace period after an outage of the store. Live servers restore their expired
 * entries within it. */
#define OUTAGE_GRACE_US (1600 * TGW_US_PER_MS)
/* Pause before a failed list call is retried. */
#define LIST_RETRY_US (150 * TGW_US_PER_MS)
#define TICK_US (100 * TGW_US_PER_MS)
/* Maximum difference of the wall clocks of a server and this host. */
#define CLOCK_DIFFERENCE_MAX_US (2 * 60 * 60 * TGW_US_PER_S)

/* Slots for odd entries that were reported. */
#define REPORTED_SLOTS 1024

/** A server whose entry is missing, but may be restored. */
struct missing_server {
	char id[TGW_NAME_SIZE];
	struct missing_server *next;
};

struct backend_follower {
	char prefix[TGW_NAME_SIZE];
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct backend_table *table;
	struct backend_follower_events events;
	uint64_t watch;
	bool ready;
	bool listing;
	bool list_needed;
	bool store_unreachable;
	int64_t list_due_us; /* start of the next list call, if needed */
	/* When the store was last known to be unreachable; 0 if never. */
	int64_t last_unreachable_us;
	struct missing_server *missing;
	/** Hashes of key and version, each in its slot; 0: none. */
	uint64_t reported[REPORTED_SLOTS];
};

static int64_t now_of(const struct backend_follower *follower)
{
	return tgw_clock_monotonic_us(follower->clock);
}

/* @return an empty id for a key outside of the prefix */
static const char *whole_id_of(const struct backend_follower *follower,
			       const char *key)
{
	size_t size = strlen(follower->prefix);

	return strncmp(key, follower->prefix, size) ? "" : key + size;
}

static void remove_server(struct backend_follower *follower, const char *id,
			  const char *reason)
{
	if (!backend_table_find(follower->table, id))
		return;
	follower->events.removed(follower->events.arg, id, reason);
	backend_table_remove(follower->table, id);
}

static bool in_grace_period(const struct backend_follower *follower)
{
	return follower->last_unreachable_us &&
	       now_of(follower) - follower->last_unreachable_us <
		       OUTAGE_GRACE_US;
}

static void clear_missing_server(struct backend_follower *follower,
				 const char *id)
{
	struct missing_server **at = &follower->missing;
	struct missing_server *found;

	while (*at && strcmp((*at)->id, id) != 0)
		at = &(*at)->next;
	found = *at;
	if (!found)
		return;
	*at = found->next;
	/* The id may be the one in the entry that is freed. */
	free(found);
}

static void on_entry_missing(struct backend_follower *follower, const char *id)
{
	struct missing_server *missing;

	if (!backend_table_find(follower->table, id))
		return;
	if (!in_grace_period(follower)) {
		remove_server(follower, id, "entry removed");
		return;
	}
	clear_missing_server(follower, id);
	missing = xcalloc(1, sizeof(*missing));
	short_name_copy(missing->id, id);
	missing->next = follower->missing;
	follower->missing = missing;
}

/* @return whether this version of an entry was not reported, which is noted */
static bool note_reported(struct backend_follower *follower,
			  const struct tgw_store_entry *found)
{
	uint64_t hash =
		XXH64(found->key, strlen(found->key), (uint64_t)found->version);
	uint64_t *slot = &follower->reported[hash % REPORTED_SLOTS];
	bool is_new = *slot != hash;

	*slot = hash;
	return is_new;
}

static void on_odd_entry(struct backend_follower *follower, const char *id,
			 const struct tgw_store_entry *found,
			 const char *reason)
{
	bool is_new = note_reported(follower, found);

	if (backend_table_find(follower->table, id))
		remove_server(follower, id, reason);
	else if (is_new && follower->events.ignored)
		follower->events.ignored(follower->events.arg, id, reason);
}

/* Lists repeat entries that are known already. */
static bool is_repeated(const struct backend *current,
			const struct backend_entry *entry)
{
	return current && current->entry.born_ms == entry->born_ms &&
	       current->entry.sequence == entry->sequence &&
	       current->entry.warmup_ms == entry->warmup_ms &&
	       !strcmp(current->entry.address, entry->address);
}

static void on_entry(struct backend_follower *follower, const char *whole_id,
		     const struct tgw_store_entry *found)
{
	char id[TGW_NAME_SIZE];
	struct backend_entry entry = {0};
	const struct backend *current;
	struct backend *updated;
	bool repeated;

	short_name_set(id, whole_id);
	/* The id goes into a header field of each request to the server. */
	if (!text_is_plain(whole_id) ||
	    strlen(whole_id) >= sizeof(entry.whole_id)) {
		on_odd_entry(follower, id, found, "the id can't be used");
		return;
	}
	if (!follower->events.decode(found->value, found->value_size, &entry)) {
		on_odd_entry(follower, id, found,
			     "entry is invalid or names no usable server");
		return;
	}
	short_name_copy(entry.id, id);
	text_copy(entry.whole_id, sizeof(entry.whole_id), whole_id);
	clear_missing_server(follower, id);
	follower->table->believed_born_max_ms =
		(tgw_clock_wall_us(follower->clock) + CLOCK_DIFFERENCE_MAX_US) /
		TGW_US_PER_MS;
	if (backend_table_is_outdated(follower->table, &entry))
		return;
	current = backend_table_find(follower->table, id);
	if (!current || current->entry.born_ms != entry.born_ms)
		follower->events.joined(follower->events.arg, &entry);
	else if (entry.draining && !current->entry.draining)
		follower->events.draining(follower->events.arg, &entry);
	repeated = is_repeated(current, &entry);
	updated = backend_table_put(follower->table, &entry);
	if (!repeated && follower->events.updated)
		follower->events.updated(follower->events.arg, updated);
}

static void on_store_reachable(struct backend_follower *follower)
{
	if (!follower->store_unreachable)
		return;
	follower->store_unreachable = false;
	follower->last_unreachable_us = now_of(follower);
	follower->events.store_outage_end(follower->events.arg);
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	struct backend_follower *follower = arg;
	const char *whole_id = whole_id_of(follower, entry->key);
	char id[TGW_NAME_SIZE];

	on_store_reachable(follower);
	if (entry->value) {
		on_entry(follower, whole_id, entry);
		return;
	}
	short_name_set(id, whole_id);
	on_entry_missing(follower, id);
}

static void on_store_unreachable(void *arg)
{
	struct backend_follower *follower = arg;

	follower->last_unreachable_us = now_of(follower);
	if (follower->store_unreachable)
		return;
	follower->store_unreachable = true;
	follower->events.store_outage_start(follower->events.arg);
}

static bool is_listed(const struct backend_follower *follower,
		      const struct tgw_store_result *result,
		      const char *whole_id)
{
	for (size_t i = 0; i < result->entry_count; i++)
		if (!strcmp(whole_id_of(follower, result->entries[i].key),
			    whole_id))
			return true;
	return false;
}

static void find_missing_servers(struct backend_follower *follower,
				 const struct tgw_store_result *result)
{
	struct backend *backend = follower->table->first;

	while (backend) {
		struct backend *next = backend->next;

		if (backend->listed &&
		    !is_listed(follower, result, backend->entry.whole_id))
			on_entry_missing(follower, backend->entry.id);
		backend = next;
	}
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	struct backend_follower *follower = arg;

	follower->listing = false;
	if (result->status != TGW_OK) {
		on_store_unreachable(follower);
		follower->list_needed = true;
		follower->list_due_us = now_of(follower) + LIST_RETRY_US;
		return;
	}
	on_store_reachable(follower);
	find_missing_servers(follower, result);
	for (size_t i = 0; i < result->entry_count; i++)
		on_entry(follower,
			 whole_id_of(follower, result->entries[i].key),
			 &result->entries[i]);
	follower->ready = true;
}

static void on_watch_lost(void *arg)
{
	struct backend_follower *follower = arg;

	follower->list_needed = true;
	follower->list_due_us = 0;
	backend_follower_tick(follower);
}

struct backend_follower *backend_follower_new(
	const char *prefix, struct tgw_store *store,
	const struct tgw_clock *clock, struct backend_table *table,
	const struct backend_follower_events *events)
{
	struct backend_follower *follower = xcalloc(1, sizeof(*follower));
	struct tgw_store_watcher watcher = {
		.changed = on_changed,
		.lost = on_watch_lost,
		.arg = follower,
		.unreachable = on_store_unreachable,
	};

	text_copy(follower->prefix, sizeof(follower->prefix), prefix);
	follower->store = store;
	follower->clock = clock;
	follower->table = table;
	follower->events = *events;
	follower->list_needed = true;
	follower->watch = tgw_store_watch(store, prefix, watcher);
	return follower;
}

void backend_follower_free(struct backend_follower *follower)
{
	if (!follower)
		return;
	tgw_store_unwatch(follower->store, follower->watch);
	while (follower->missing)
		clear_missing_server(follower, follower->missing->id);
	free(follower);
}

static void remove_missing_servers(struct backend_follower *follower)
{
	while (follower->missing) {
		char id[TGW_NAME_SIZE];

		memcpy(id, follower->missing->id, sizeof(id));
		clear_missing_server(follower, id);
		remove_server(follower, id,
			      "entry not restored after a store outage");
	}
}

int64_t backend_follower_tick(struct backend_follower *follower)
{
	int64_t now_us = now_of(follower);

	if (follower->list_needed && !follower->listing &&
	    now_us >= follower->list_due_us) {
		follower->list_needed = false;
		follower->listing = true;
		tgw_store_list(follower->store, follower->prefix,
			       (struct tgw_store_callback){on_list, follower});
	}
	if (!in_grace_period(follower))
		remove_missing_servers(follower);
	return now_us + TICK_US;
}

bool backend_follower_store_is_unreachable(
	const struct backend_follower *follower)
{
	return follower->store_unreachable;
}

int64_t backend_follower_reachable_us(const struct backend_follower *follower)
{
	if (!follower->ready || follower->store_unreachable)
		return 0;
	return now_of(follower) - follower->last_unreachable_us;
}

bool backend_follower_is_ready(const struct backend_follower *follower)
{
	return follower->ready;
}
