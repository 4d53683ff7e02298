/**
 * @file prefix_cache.h
 * Set-associative cache of the prompt blocks that an engine holds, limited in
 * size, and the events that report what it stores and evicts. Not thread-safe.
 */
#ifndef STANDINS_ENGINE_PREFIX_CACHE_H
#define STANDINS_ENGINE_PREFIX_CACHE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

struct prefix_cache;

/**
 * @param capacity blocks, rounded up to a multiple of the set size
 * @param event_lag_us delay until an event is published
 * @param gap_every every Nth event is lost; 0 for none
 */
struct prefix_cache *prefix_cache_new(size_t capacity, int64_t event_lag_us,
				      int64_t gap_every);

/**
 * Stores a prompt's blocks.
 * @return the number of leading blocks that were cached already
 */
size_t prefix_cache_store(struct prefix_cache *cache, const uint64_t *hashes,
			  size_t count, int64_t now_us);

double prefix_cache_used_ratio(const struct prefix_cache *cache);

/** @return {"events":[...],"next":N} with the published events from a sequence
 * number on, and the sequence number to continue from */
json_t *prefix_cache_events(const struct prefix_cache *cache, int64_t since,
			    int64_t now_us);

#endif
