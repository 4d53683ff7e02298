#include "coordination/route_follower.h"

#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"

/* Pause before a failed read is retried. */
#define READ_RETRY_US (150 * TGW_US_PER_MS)
#define TICK_US (100 * TGW_US_PER_MS)

struct route_follower {
	char prefix[TGW_NAME_SIZE];
	char key[TGW_NAME_SIZE];
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct route_follower_events events;
	uint64_t watch;
	bool reading;
	bool read_needed;
	int64_t read_due_us;
	struct route_set *set;
};

static void apply_entry(struct route_follower *follower,
			const struct tgw_store_entry *entry)
{
	struct route_set *previous = follower->set;
	struct route_set *set;
	struct tgw_error error;

	if (!entry->value || strcmp(entry->key, follower->key))
		return;
	tgw_error_clear(&error);
	set = follower->events.decode(entry->value, entry->value_size, &error);
	if (!set) {
		follower->events.refused(follower->events.arg, error.message);
		return;
	}
	if (previous && set->version <= previous->version) {
		route_set_free(set);
		return;
	}
	follower->set = set;
	follower->events.in_force(follower->events.arg, set);
	route_set_free(previous);
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	apply_entry(arg, entry);
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	struct route_follower *follower = arg;

	follower->reading = false;
	if (result->status != TGW_OK) {
		follower->read_needed = true;
		follower->read_due_us =
			tgw_clock_monotonic_us(follower->clock) + READ_RETRY_US;
		return;
	}
	for (size_t i = 0; i < result->entry_count; i++)
		apply_entry(follower, &result->entries[i]);
}

static void on_watch_lost(void *arg)
{
	struct route_follower *follower = arg;

	follower->read_needed = true;
	follower->read_due_us = 0;
	route_follower_tick(follower);
}

struct route_follower *route_follower_new(
	const char *prefix, const char *key, struct tgw_store *store,
	const struct tgw_clock *clock,
	const struct route_follower_events *events)
{
	struct route_follower *follower = xcalloc(1, sizeof(*follower));
	struct tgw_store_watcher watcher = {
		.changed = on_changed,
		.lost = on_watch_lost,
		.arg = follower,
	};

	text_copy(follower->prefix, sizeof(follower->prefix), prefix);
	text_copy(follower->key, sizeof(follower->key), key);
	follower->store = store;
	follower->clock = clock;
	follower->events = *events;
	follower->read_needed = true;
	follower->watch = tgw_store_watch(store, prefix, watcher);
	return follower;
}

void route_follower_free(struct route_follower *follower)
{
	if (!follower)
		return;
	tgw_store_unwatch(follower->store, follower->watch);
	route_set_free(follower->set);
	free(follower);
}

int64_t route_follower_tick(struct route_follower *follower)
{
	int64_t now_us = tgw_clock_monotonic_us(follower->clock);

	if (follower->read_needed && !follower->reading &&
	    now_us >= follower->read_due_us) {
		follower->read_needed = false;
		follower->reading = true;
		tgw_store_list(follower->store, follower->prefix,
			       (struct tgw_store_callback){on_list, follower});
	}
	return now_us + TICK_US;
}

const struct route_set *route_follower_set(
	const struct route_follower *follower)
{
	return follower->set;
}
