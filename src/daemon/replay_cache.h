/**
 * @file replay_cache.h
 * Cache of complete answers to requests with an idempotency key, so that a
 * retry receives the same bytes. Bounded by memory and age.
 */
#ifndef DAEMON_REPLAY_CACHE_H
#define DAEMON_REPLAY_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/budget.h"
#include "tamarackgw/claim.h"
#include "transport/answer.h"

enum replay_result {
	REPLAY_NONE,
	REPLAY_FOUND,
	REPLAY_OTHER_BODY, /**< the key was used with another body */
};

struct replay_cache;

struct replay_cache *replay_cache_new(size_t max_bytes, int64_t keep_us);

void replay_cache_free(struct replay_cache *cache);

/** Adds a reference to the answer, if the answer fits into the cache and can be
 * read from its start. The oldest answers are evicted if the cache is full. An
 * earlier answer with the same key is removed in any case. */
void replay_cache_add(struct replay_cache *cache,
		      const struct tgw_request_key *key,
		      const uint8_t body_hash[TGW_BODY_HASH_BYTES],
		      struct answer *answer, int64_t now_us);

/** @param answer set to a borrowed reference if REPLAY_FOUND is returned */
enum replay_result replay_cache_find(
	struct replay_cache *cache, const struct tgw_request_key *key,
	const uint8_t body_hash[TGW_BODY_HASH_BYTES], int64_t now_us,
	struct answer **answer);

/** Removes the answers that have expired. */
void replay_cache_expire(struct replay_cache *cache, int64_t now_us);

size_t replay_cache_bytes(const struct replay_cache *cache);
size_t replay_cache_count(const struct replay_cache *cache);

#endif
