#include "coordination/mirrored_prefix.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* Hosts that begin to fetch changes within this time get the same ones. */
#define ENCODED_FOR_US (1 * TGW_US_PER_S)
/* The owners of a watch that stopped list the prefix within this time, also
 * after a list that failed. */
#define OWNERS_LIST_US (5 * TGW_US_PER_S)

static int64_t now_of(const struct mirrored_prefix *prefix)
{
	return tgw_clock_monotonic_us(prefix->clock);
}

void mirrored_prefix_clear(struct mirrored_prefix *prefix)
{
	mirrored_prefix_unwatch(prefix);
	while (prefix->watchers) {
		struct mirror_watcher *watcher = prefix->watchers;

		prefix->watchers = watcher->next;
		free(watcher);
	}
	while (prefix->lists) {
		struct mirror_list *list = prefix->lists;

		prefix->lists = list->next;
		free(list);
	}
	mirror_pull_clear(&prefix->pull);
	buffer_free(&prefix->encoded);
	mirror_table_clear(&prefix->table);
}

void mirrored_prefix_add_watcher(struct mirrored_prefix *prefix,
				 uint64_t handle,
				 const struct tgw_store_watcher *watcher)
{
	struct mirror_watcher *added = xcalloc(1, sizeof(*added));

	added->handle = handle;
	added->watcher = *watcher;
	added->next = prefix->watchers;
	prefix->watchers = added;
}

bool mirrored_prefix_remove_watcher(struct mirrored_prefix *prefix,
				    uint64_t handle)
{
	struct mirror_watcher **link = &prefix->watchers;
	struct mirror_watcher *watcher;

	while (*link && (*link)->handle != handle)
		link = &(*link)->next;
	watcher = *link;
	if (!watcher)
		return false;
	*link = watcher->next;
	free(watcher);
	if (!prefix->watchers)
		mirrored_prefix_unwatch(prefix);
	return true;
}

static void report_change(void *arg, const struct tgw_store_entry *entry)
{
	struct mirrored_prefix *prefix = arg;
	struct mirror_watcher *watcher = prefix->watchers;

	while (watcher) {
		struct mirror_watcher *next = watcher->next;

		watcher->watcher.changed(watcher->watcher.arg, entry);
		watcher = next;
	}
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	struct mirrored_prefix *prefix = arg;

	prefix->watch_told_us = now_of(prefix);
	if (mirror_table_apply(&prefix->table, entry))
		report_change(prefix, entry);
}

static void on_confirmed(void *arg, int64_t revision)
{
	struct mirrored_prefix *prefix = arg;
	int64_t previous = prefix->table.revision;

	prefix->watch_told_us = now_of(prefix);
	prefix->called(prefix->arg, true);
	/* Changes alone don't tell which keys there are. */
	if (!previous)
		return;
	mirror_table_confirm(&prefix->table, revision);
	prefix->store_unreachable = false;
	prefix->store_confirmed_us = now_of(prefix);
	prefix->updated(prefix->arg, prefix, previous);
}

static void on_lost(void *arg)
{
	struct mirrored_prefix *prefix = arg;
	struct mirror_watcher *watcher = prefix->watchers;

	prefix->watch_stopped = true;
	prefix->watch_told_us = now_of(prefix);
	while (watcher) {
		struct mirror_watcher *next = watcher->next;

		watcher->watcher.lost(watcher->watcher.arg);
		watcher = next;
	}
}

static void on_unreachable(void *arg)
{
	struct mirrored_prefix *prefix = arg;
	struct mirror_watcher *watcher = prefix->watchers;
	bool was_reachable = !prefix->store_unreachable;

	prefix->watch_told_us = now_of(prefix);
	prefix->store_unreachable = true;
	prefix->called(prefix->arg, false);
	while (watcher) {
		struct mirror_watcher *next = watcher->next;

		if (watcher->watcher.unreachable)
			watcher->watcher.unreachable(watcher->watcher.arg);
		watcher = next;
	}
	if (was_reachable)
		prefix->updated(prefix->arg, prefix, prefix->table.revision);
}

/* @return how long the store may hold a call of the watch; 0: its default */
static int64_t idle_us(const struct mirrored_prefix *prefix)
{
	int64_t longest_us = 0;

	for (const struct mirror_watcher *watcher = prefix->watchers; watcher;
	     watcher = watcher->next)
		if (watcher->watcher.idle_us > longest_us)
			longest_us = watcher->watcher.idle_us;
	return longest_us;
}

bool mirrored_prefix_watch(struct mirrored_prefix *prefix, bool prompt,
			   int64_t prompt_idle_us)
{
	struct tgw_store_watcher watcher = {
		.changed = on_changed,
		.lost = on_lost,
		.unreachable = on_unreachable,
		.confirmed = on_confirmed,
		.after_revision = prefix->table.revision,
		.idle_us = prompt ? prompt_idle_us : idle_us(prefix),
		.prompt = prompt,
		.arg = prefix,
	};
	bool was_open = prefix->watch != 0;

	if (!prefix->watchers || (was_open && prefix->prompt == prompt))
		return false;
	mirrored_prefix_unwatch(prefix);
	prefix->prompt = prompt;
	prefix->watch_idle_us = watcher.idle_us;
	prefix->watch_told_us = now_of(prefix);
	prefix->watch = tgw_store_watch(prefix->store, prefix->prefix, watcher);
	return !was_open;
}

int64_t mirrored_prefix_end_stalled_watch(struct mirrored_prefix *prefix,
					  int64_t period_us, int64_t margin_us)
{
	int64_t expected_us = prefix->watch_idle_us ? prefix->watch_idle_us
						    : period_us;
	int64_t silent_us = now_of(prefix) - prefix->watch_told_us;
	int64_t allowed_us = prefix->watch_stopped ? OWNERS_LIST_US
						   : expected_us + margin_us;

	if (!prefix->watch || silent_us <= allowed_us)
		return 0;
	mirrored_prefix_unwatch(prefix);
	return silent_us;
}

void mirrored_prefix_unwatch(struct mirrored_prefix *prefix)
{
	if (prefix->watch)
		tgw_store_unwatch(prefix->store, prefix->watch);
	prefix->watch = 0;
	prefix->watch_stopped = false;
}

/* Lists. */

void mirrored_prefix_add_list(struct mirrored_prefix *prefix,
			      struct tgw_store_callback callback)
{
	struct mirror_list *list = xcalloc(1, sizeof(*list));

	list->owner = prefix;
	list->callback = callback;
	list->next = prefix->lists;
	prefix->lists = list;
}

static void remove_list(struct mirror_list *list)
{
	struct mirror_list **link = &list->owner->lists;

	while (*link != list)
		link = &(*link)->next;
	*link = list->next;
	free(list);
}

static size_t fill_entries(const struct mirror_table *table,
			   struct tgw_store_entry *entries)
{
	size_t count = 0;

	for (size_t i = 0; i < table->count; i++) {
		const struct mirror_entry *from = &table->entries[i];

		if (!from->value)
			continue;
		entries[count++] = (struct tgw_store_entry){
			.key = from->key,
			.value = from->value,
			.value_size = from->value_size,
			.version = from->version,
		};
	}
	return count;
}

/* Since the store does not see this list, a watch that waits for one would
 * never go on. The next one begins at the revision of the table. */
static void answer_list(struct mirror_list *list)
{
	const struct mirror_table *table = &list->owner->table;
	struct tgw_store_entry *entries =
		xcalloc(table->count + 1, sizeof(*entries));
	struct tgw_store_result result = {
		.status = TGW_OK,
		.entries = entries,
		.entry_count = fill_entries(table, entries),
		.message = "",
		.revision = table->revision,
	};
	struct tgw_store_callback callback = list->callback;

	if (list->owner->watch_stopped)
		mirrored_prefix_unwatch(list->owner);
	remove_list(list);
	callback.done(callback.arg, &result);
	free(entries);
}

static struct mirror_list *next_waiting(const struct mirrored_prefix *prefix)
{
	struct mirror_list *list = prefix->lists;

	while (list && list->calling)
		list = list->next;
	return list;
}

void mirrored_prefix_answer_lists(struct mirrored_prefix *prefix)
{
	struct mirror_list *list;

	while ((list = next_waiting(prefix)))
		answer_list(list);
}

static void on_listed(void *arg, const struct tgw_store_result *result)
{
	struct mirror_list *list = arg;
	struct mirrored_prefix *prefix = list->owner;
	struct tgw_store_callback callback = list->callback;
	int64_t previous = prefix->table.revision;

	prefix->called(prefix->arg, result->status == TGW_OK);
	prefix->watch_told_us = now_of(prefix);
	if (result->status == TGW_OK)
		prefix->watch_stopped = false;
	/* A relay has told of later changes meanwhile. */
	if (result->status == TGW_OK && result->revision < previous) {
		answer_list(list);
		return;
	}
	remove_list(list);
	if (result->status == TGW_OK) {
		mirror_table_replace(&prefix->table, result->entries,
				     result->entry_count, result->revision);
		prefix->store_unreachable = false;
		prefix->store_confirmed_us = now_of(prefix);
	}
	callback.done(callback.arg, result);
	prefix->updated(prefix->arg, prefix, previous);
}

void mirrored_prefix_send_lists(struct mirrored_prefix *prefix)
{
	struct mirror_list *list;

	while ((list = next_waiting(prefix))) {
		list->calling = true;
		prefix->listed_us = now_of(prefix);
		tgw_store_list(prefix->store, prefix->prefix,
			       (struct tgw_store_callback){on_listed, list});
	}
}

enum tgw_status mirrored_prefix_apply(struct mirrored_prefix *prefix,
				      const void *bytes, size_t size)
{
	struct mirror_listener listener = {report_change, prefix};

	return mirror_table_decode(&prefix->table, bytes, size, &listener);
}

const struct buffer *mirrored_prefix_encode(struct mirrored_prefix *prefix,
					    int64_t after_revision)
{
	if (prefix->encoded.size && prefix->encoded_after == after_revision &&
	    prefix->encoded_revision == prefix->table.revision)
		return &prefix->encoded;
	prefix->encoded.size = 0;
	if (!mirror_table_encode(&prefix->table, after_revision,
				 &prefix->encoded)) {
		prefix->encoded.size = 0;
		return NULL;
	}
	prefix->encoded_after = after_revision;
	prefix->encoded_revision = prefix->table.revision;
	prefix->encoded_us = now_of(prefix);
	return &prefix->encoded;
}

const struct buffer *mirrored_prefix_encode_parts(
	struct mirrored_prefix *prefix, int64_t after_revision,
	int64_t revision)
{
	bool is_recent = now_of(prefix) - prefix->encoded_us < ENCODED_FOR_US;

	if (prefix->encoded.size && prefix->encoded_after == after_revision &&
	    (revision ? prefix->encoded_revision == revision : is_recent))
		return &prefix->encoded;
	return mirrored_prefix_encode(prefix, after_revision);
}

int64_t mirrored_prefix_confirmed_us(const struct mirrored_prefix *prefix)
{
	return prefix->store_confirmed_us > prefix->relay_confirmed_us
		       ? prefix->store_confirmed_us
		       : prefix->relay_confirmed_us;
}
