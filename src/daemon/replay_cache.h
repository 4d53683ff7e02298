/**
 * @file replay_cache.h
 * Whole answers of requests with a key, kept for a while so that a retry
 * gets the same bytes. Bounded by memory and age.
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
	REPLAY_OTHER_BODY, /**< the key was used for another request */
};

struct replay_cache;

struct replay_cache *replay_cache_new(size_t max_bytes, int64_t keep_us);

void replay_cache_free(struct replay_cache *cache);

/** Keeps a reference to the answer, if it fits. */
void replay_cache_add(struct replay_cache *cache,
		      const struct tgw_request_key *key,
		      const uint8_t body_hash[TGW_BODY_HASH_BYTES],
		      struct answer *answer, int64_t now_us);

/** @param answer set to a borrowed answer when FOUND */
enum replay_result replay_cache_find(
	struct replay_cache *cache, const struct tgw_request_key *key,
	const uint8_t body_hash[TGW_BODY_HASH_BYTES], int64_t now_us,
	struct answer **answer);

/** Drops what is too old. */
void replay_cache_expire(struct replay_cache *cache, int64_t now_us);

size_t replay_cache_bytes(const struct replay_cache *cache);
size_t replay_cache_count(const struct replay_cache *cache);

#endif
