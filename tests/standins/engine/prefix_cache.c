#include "standins/engine/prefix_cache.h"

#include <stdbool.h>
#include <stdio.h>

#include "base/xalloc.h"

#define WAYS 8
#define EVENTS_MAX 4096

struct block {
	uint64_t hash;	  /* 0 for a free entry */
	uint64_t used_at; /* use_count at its last use */
};

struct event {
	int64_t published_us;
	uint64_t hash;
	bool stored; /* else evicted */
	bool lost;
};

struct prefix_cache {
	size_t sets;
	struct block *blocks; /* sets of WAYS entries */
	size_t used;
	uint64_t use_count;
	int64_t event_lag_us;
	int64_t gap_every;
	struct event events[EVENTS_MAX]; /* ring */
	int64_t next_sequence;
};

struct prefix_cache *prefix_cache_new(size_t capacity, int64_t event_lag_us,
				      int64_t gap_every)
{
	struct prefix_cache *cache = xcalloc(1, sizeof(*cache));

	cache->sets = (capacity + WAYS - 1) / WAYS;
	if (!cache->sets)
		cache->sets = 1;
	cache->blocks = xcalloc(cache->sets * WAYS, sizeof(*cache->blocks));
	cache->event_lag_us = event_lag_us;
	cache->gap_every = gap_every;
	return cache;
}

static void publish(struct prefix_cache *cache, uint64_t hash, bool stored,
		    int64_t now_us)
{
	int64_t sequence = cache->next_sequence++;
	struct event *event = &cache->events[sequence % EVENTS_MAX];

	event->published_us = now_us + cache->event_lag_us;
	event->hash = hash;
	event->stored = stored;
	event->lost = cache->gap_every &&
		      sequence % cache->gap_every == cache->gap_every - 1;
}

/* @return whether the block was cached already */
static bool store_block(struct prefix_cache *cache, uint64_t hash,
			int64_t now_us)
{
	struct block *set = &cache->blocks[hash % cache->sets * WAYS];
	struct block *oldest = set;
	size_t i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].hash == hash) {
			set[i].used_at = ++cache->use_count;
			return true;
		}
		if (set[i].used_at < oldest->used_at)
			oldest = &set[i];
	}
	if (oldest->hash)
		publish(cache, oldest->hash, false, now_us);
	else
		cache->used++;
	oldest->hash = hash;
	oldest->used_at = ++cache->use_count;
	publish(cache, hash, true, now_us);
	return false;
}

size_t prefix_cache_store(struct prefix_cache *cache, const uint64_t *hashes,
			  size_t count, int64_t now_us)
{
	size_t hits = 0;
	bool all_cached = true;
	size_t i;

	for (i = 0; i < count; i++) {
		all_cached = store_block(cache, hashes[i], now_us) &&
			     all_cached;
		if (all_cached)
			hits++;
	}
	return hits;
}

double prefix_cache_used_ratio(const struct prefix_cache *cache)
{
	return (double)cache->used / (double)(cache->sets * WAYS);
}

json_t *prefix_cache_events(const struct prefix_cache *cache, int64_t since,
			    int64_t now_us)
{
	json_t *events = json_array();
	int64_t sequence = since;

	if (sequence < cache->next_sequence - EVENTS_MAX)
		sequence = cache->next_sequence - EVENTS_MAX;
	if (sequence < 0)
		sequence = 0;
	for (; sequence < cache->next_sequence; sequence++) {
		const struct event *event =
			&cache->events[sequence % EVENTS_MAX];
		char text[17];

		if (event->published_us > now_us)
			break;
		if (event->lost)
			continue;
		snprintf(text, sizeof(text), "%016llx",
			 (unsigned long long)event->hash);
		json_array_append_new(
			events, json_pack("{s:I, s:s, s:[s]}", "sequence",
					  (json_int_t)sequence, "kind",
					  event->stored ? "stored" : "evicted",
					  "hashes", text));
	}
	return json_pack("{s:o, s:I}", "events", events, "next",
			 (json_int_t)sequence);
}
