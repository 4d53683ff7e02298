#include "coordination/route_follower.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/text.h"
#include "base/xalloc.h"

/* Pause before a failed read is retried. */
#define READ_RETRY_US (150 * TGW_US_PER_MS)
#define TICK_US (100 * TGW_US_PER_MS)

struct route_follower {
	struct route_follower_keys keys;
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct route_follower_events events;
	uint64_t watch;
	bool listed; /* all keys, at least once */
	bool reading;
	bool read_needed;
	int64_t read_due_us;
	struct route_set *set;
	int64_t set_stored;	/* version in the store of what `set` is from */
	int64_t refused_stored; /* the same of the last one that was refused */
	struct evacuations evacuations;
};

static void refuse(struct route_follower *follower,
		   const struct tgw_store_entry *entry,
		   const struct tgw_error *error)
{
	/* Lists repeat entries that are known already. */
	if (entry->version == follower->refused_stored ||
	    entry->version < follower->set_stored)
		return;
	follower->refused_stored = entry->version;
	follower->events.refused(follower->events.arg, error->message);
}

/* @return whether a set comes after the one in force */
static bool is_newer(const struct route_follower *follower,
		     const struct route_set *set,
		     const struct tgw_store_entry *entry)
{
	const struct route_set *previous = follower->set;

	if (!previous)
		return true;
	if (set->version == ROUTE_SET_VERSION_MAX &&
	    previous->version == ROUTE_SET_VERSION_MAX)
		return entry->version > follower->set_stored;
	return set->version > previous->version;
}

static void apply_routes(struct route_follower *follower,
			 const struct tgw_store_entry *entry)
{
	struct route_set *previous = follower->set;
	struct route_set *set;
	struct tgw_error error;

	if (!entry->value)
		return;
	tgw_error_clear(&error);
	set = follower->events.decode(entry->value, entry->value_size, &error);
	if (!set) {
		refuse(follower, entry, &error);
		return;
	}
	if (!is_newer(follower, set, entry)) {
		route_set_free(set);
		return;
	}
	follower->set = set;
	follower->set_stored = entry->version;
	if (follower->listed)
		follower->events.in_force(follower->events.arg, set);
	route_set_free(previous);
}

static void set_evacuated(struct route_follower *follower,
			  const char *failure_domain, bool active,
			  int64_t version)
{
	switch (evacuations_set(&follower->evacuations, failure_domain, active,
				version)) {
	case EVACUATIONS_UNCHANGED:
		return;
	case EVACUATIONS_CHANGED:
		follower->events.evacuated(follower->events.arg, failure_domain,
					   active);
		return;
	case EVACUATIONS_FULL:
		follower->events.evacuation_ignored(
			follower->events.arg, failure_domain,
			"64 failure domains are evacuated already; this one "
			"stays in use");
		return;
	}
}

/* @return the failure domain that a key of the prefix of evacuations names;
 * NULL for another key */
static const char *evacuated_domain(const struct route_follower *follower,
				    const char *key)
{
	size_t size = strlen(follower->keys.evacuations);

	return strncmp(key, follower->keys.evacuations, size) ? NULL
							      : key + size;
}

/* The key alone counts: whatever its value, its writer wants the domain
 * evacuated. */
static void apply_evacuation(struct route_follower *follower,
			     const struct tgw_store_entry *entry,
			     const char *failure_domain)
{
	char name[TGW_NAME_SIZE];

	if (!*failure_domain || !text_is_field_value(failure_domain)) {
		follower->events.evacuation_ignored(
			follower->events.arg, entry->key,
			"the key names no failure domain; delete it");
		return;
	}
	short_name_set(name, failure_domain);
	set_evacuated(follower, name, entry->value != NULL,
		      entry->value ? entry->version : entry->deleted_version);
}

static void apply_entry(struct route_follower *follower,
			const struct tgw_store_entry *entry)
{
	const char *failure_domain = evacuated_domain(follower, entry->key);

	if (!strcmp(entry->key, follower->keys.routes))
		apply_routes(follower, entry);
	else if (failure_domain)
		apply_evacuation(follower, entry, failure_domain);
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	apply_entry(arg, entry);
}

static bool is_listed(const struct route_follower *follower,
		      const struct tgw_store_result *result,
		      const char *failure_domain)
{
	for (size_t i = 0; i < result->entry_count; i++) {
		const char *listed =
			evacuated_domain(follower, result->entries[i].key);
		char name[TGW_NAME_SIZE];

		if (!listed)
			continue;
		short_name_set(name, listed);
		if (!strcmp(name, failure_domain))
			return true;
	}
	return false;
}

/* Ends the evacuations whose keys were deleted while nobody watched. */
static void end_missing_evacuations(struct route_follower *follower,
				    const struct tgw_store_result *result)
{
	for (size_t i = 0; i < follower->evacuations.count; i++) {
		const struct evacuation *item = &follower->evacuations.items[i];

		if (item->active &&
		    !is_listed(follower, result, item->failure_domain))
			set_evacuated(follower, item->failure_domain, false,
				      result->revision);
	}
}

/* All evacuations are known from the first list on. */
static void bring_into_force(struct route_follower *follower)
{
	if (follower->listed)
		return;
	follower->listed = true;
	if (follower->set)
		follower->events.in_force(follower->events.arg, follower->set);
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
	end_missing_evacuations(follower, result);
	for (size_t i = 0; i < result->entry_count; i++)
		apply_entry(follower, &result->entries[i]);
	bring_into_force(follower);
}

static void on_watch_lost(void *arg)
{
	struct route_follower *follower = arg;

	follower->read_needed = true;
	follower->read_due_us = 0;
	route_follower_tick(follower);
}

struct route_follower *route_follower_new(
	const struct route_follower_keys *keys, struct tgw_store *store,
	const struct tgw_clock *clock,
	const struct route_follower_events *events)
{
	struct route_follower *follower = xcalloc(1, sizeof(*follower));
	struct tgw_store_watcher watcher = {
		.changed = on_changed,
		.lost = on_watch_lost,
		.arg = follower,
	};

	follower->keys = *keys;
	follower->store = store;
	follower->clock = clock;
	follower->events = *events;
	follower->read_needed = true;
	follower->watch = tgw_store_watch(store, keys->prefix, watcher);
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
		tgw_store_list(follower->store, follower->keys.prefix,
			       (struct tgw_store_callback){on_list, follower});
	}
	return now_us + TICK_US;
}

const struct route_set *route_follower_set(
	const struct route_follower *follower)
{
	return follower->listed ? follower->set : NULL;
}

const struct evacuations *route_follower_evacuations(
	const struct route_follower *follower)
{
	return &follower->evacuations;
}
