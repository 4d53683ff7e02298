#include "coordination/stale_keys.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* A key, as this host has seen it. */
struct seen_key {
	char *key;
	int64_t version; /* TGW_STORE_ABSENT once it is deleted */
	int64_t since_us;
	struct seen_key *next;
};

struct stale_keys {
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct seen_key *first;
};

struct stale_keys *stale_keys_new(struct tgw_store *store,
				  const struct tgw_clock *clock)
{
	struct stale_keys *keys = xcalloc(1, sizeof(*keys));

	keys->store = store;
	keys->clock = clock;
	return keys;
}

void stale_keys_free(struct stale_keys *keys)
{
	while (keys->first) {
		struct seen_key *seen = keys->first;

		keys->first = seen->next;
		free(seen->key);
		free(seen);
	}
	free(keys);
}

static struct seen_key *find_or_add(struct stale_keys *keys, const char *key)
{
	struct seen_key *seen = keys->first;

	while (seen && strcmp(seen->key, key) != 0)
		seen = seen->next;
	if (seen)
		return seen;
	seen = xcalloc(1, sizeof(*seen));
	seen->key = xstrdup(key);
	seen->next = keys->first;
	keys->first = seen;
	return seen;
}

void stale_keys_on_entry(struct stale_keys *keys,
			 const struct tgw_store_entry *entry)
{
	struct seen_key *seen = find_or_add(keys, entry->key);

	if (seen->version == entry->version)
		return;
	seen->version = entry->version;
	seen->since_us = tgw_clock_monotonic_us(keys->clock);
}

static void on_deleted(void *arg, const struct tgw_store_result *result)
{
	/* If it fails, the key is deleted later. */
}

void stale_keys_delete(struct stale_keys *keys)
{
	int64_t now_us = tgw_clock_monotonic_us(keys->clock);

	for (struct seen_key *seen = keys->first; seen; seen = seen->next) {
		if (seen->version == TGW_STORE_ABSENT ||
		    now_us - seen->since_us < STALE_KEYS_AGE_MAX_US)
			continue;
		seen->since_us = now_us;
		tgw_store_swap(keys->store, seen->key, seen->version, NULL, 0,
			       (struct tgw_store_callback){on_deleted, keys});
	}
}
