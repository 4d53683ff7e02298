#include "daemon/replay_cache.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/xalloc.h"

#define BUCKET_COUNT 256 /* one for each value of a key's first byte */
#define ENTRY_OVERHEAD_BYTES 512

struct replay_entry {
	TAILQ_ENTRY(replay_entry) by_age;
	LIST_ENTRY(replay_entry) in_bucket;
	struct tgw_request_key key;
	uint8_t body_hash[TGW_BODY_HASH_BYTES];
	struct answer *answer;
	size_t bytes;
	int64_t expires_us;
};

TAILQ_HEAD(replay_queue, replay_entry);
LIST_HEAD(replay_bucket, replay_entry);

struct replay_cache {
	size_t max_bytes;
	int64_t keep_us;
	size_t bytes;
	size_t count;
	struct replay_queue by_age; /* oldest first */
	struct replay_bucket buckets[BUCKET_COUNT];
};

struct replay_cache *replay_cache_new(size_t max_bytes, int64_t keep_us)
{
	struct replay_cache *cache = xcalloc(1, sizeof(*cache));

	cache->max_bytes = max_bytes;
	cache->keep_us = keep_us;
	TAILQ_INIT(&cache->by_age);
	return cache;
}

static void remove_entry(struct replay_cache *cache, struct replay_entry *entry)
{
	TAILQ_REMOVE(&cache->by_age, entry, by_age);
	LIST_REMOVE(entry, in_bucket);
	cache->bytes -= entry->bytes;
	cache->count--;
	answer_unref(entry->answer);
	free(entry);
}

void replay_cache_free(struct replay_cache *cache)
{
	struct replay_entry *entry;
	struct replay_entry *next;

	if (!cache)
		return;
	for (entry = TAILQ_FIRST(&cache->by_age); entry; entry = next) {
		next = TAILQ_NEXT(entry, by_age);
		remove_entry(cache, entry);
	}
	free(cache);
}

static struct replay_entry *find_entry(struct replay_cache *cache,
				       const struct tgw_request_key *key)
{
	struct replay_entry *entry;

	LIST_FOREACH(entry, &cache->buckets[key->bytes[0]], in_bucket)
	{
		if (memcmp(&entry->key, key, sizeof(*key)) == 0)
			return entry;
	}
	return NULL;
}

/* Evicts the oldest entries until this many bytes fit. */
static void evict_for(struct replay_cache *cache, size_t bytes)
{
	struct replay_entry *entry = TAILQ_FIRST(&cache->by_age);

	while (entry && cache->bytes + bytes > cache->max_bytes) {
		struct replay_entry *next = TAILQ_NEXT(entry, by_age);

		remove_entry(cache, entry);
		entry = next;
	}
}

void replay_cache_add(struct replay_cache *cache,
		      const struct tgw_request_key *key,
		      const uint8_t body_hash[TGW_BODY_HASH_BYTES],
		      struct answer *answer, int64_t now_us)
{
	size_t bytes = answer_size(answer) + ENTRY_OVERHEAD_BYTES;
	struct replay_entry *entry = find_entry(cache, key);

	if (entry)
		remove_entry(cache, entry);
	if (bytes > cache->max_bytes || !answer_is_replayable(answer))
		return;
	evict_for(cache, bytes);
	entry = xcalloc(1, sizeof(*entry));
	entry->key = *key;
	memcpy(entry->body_hash, body_hash, sizeof(entry->body_hash));
	entry->answer = answer_ref(answer);
	entry->bytes = bytes;
	entry->expires_us = now_us + cache->keep_us;
	TAILQ_INSERT_TAIL(&cache->by_age, entry, by_age);
	LIST_INSERT_HEAD(&cache->buckets[key->bytes[0]], entry, in_bucket);
	cache->bytes += bytes;
	cache->count++;
}

enum replay_result replay_cache_find(
	struct replay_cache *cache, const struct tgw_request_key *key,
	const uint8_t body_hash[TGW_BODY_HASH_BYTES], int64_t now_us,
	struct answer **answer)
{
	struct replay_entry *entry;

	replay_cache_expire(cache, now_us);
	entry = find_entry(cache, key);
	if (!entry)
		return REPLAY_NONE;
	if (memcmp(entry->body_hash, body_hash, TGW_BODY_HASH_BYTES) != 0)
		return REPLAY_OTHER_BODY;
	*answer = entry->answer;
	return REPLAY_FOUND;
}

void replay_cache_expire(struct replay_cache *cache, int64_t now_us)
{
	struct replay_entry *entry = TAILQ_FIRST(&cache->by_age);

	while (entry && entry->expires_us <= now_us) {
		struct replay_entry *next = TAILQ_NEXT(entry, by_age);

		remove_entry(cache, entry);
		entry = next;
	}
}

size_t replay_cache_bytes(const struct replay_cache *cache)
{
	return cache->bytes;
}

size_t replay_cache_count(const struct replay_cache *cache)
{
	return cache->count;
}
