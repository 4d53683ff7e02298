/**
 * @file config_fetch.h
 * Tracks the shards that a host has to fetch before it can apply a manifest.
 */
#ifndef COORDINATION_CONFIG_FETCH_H
#define COORDINATION_CONFIG_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_manifest.h"

/** Fetch state of one shard. */
struct config_fetch_shard {
	bool missing;
	uint32_t request_count; /**< requests for it so far */
	int64_t requested_us;	/**< time of the last request; 0: none */
};

struct config_fetch {
	bool active;
	struct config_manifest manifest; /**< the manifest to apply */
	uint8_t *value;			 /**< the encoded manifest */
	size_t value_size;
	/** Objects of all shards that are not missing; not kept sorted. */
	struct config_set objects;
	size_t missing_count;
	struct config_fetch_shard shards[CONFIG_SHARD_COUNT];
};

/** Starts a fetch, or switches an active one to a newer manifest. Takes
 * ownership of the manifest.
 * @param value the encoded manifest, which is copied
 * @param set the objects in force; ignored when a fetch is already active */
void config_fetch_start(struct config_fetch *fetch,
			struct config_manifest *manifest, const void *value,
			size_t value_size, const struct config_set *set);

/** @return a missing shard that has no request in flight, or -1 */
int32_t config_fetch_next(const struct config_fetch *fetch, int64_t now_us,
			  int64_t timeout_us);

/** @return the number of missing shards whose last request has not timed out */
size_t config_fetch_in_flight(const struct config_fetch *fetch, int64_t now_us,
			      int64_t timeout_us);

/** Adds the value of a shard; does nothing if the shard is not missing.
 * @return OK; CORRUPT when its digest differs from the manifest's; otherwise
 *         the error of decoding it */
enum tgw_status config_fetch_add(struct config_fetch *fetch, uint32_t shard,
				 const void *value, size_t value_size,
				 struct tgw_error *error);

/** Builds the objects of the manifest's generation. No shard may be missing. */
enum tgw_status config_fetch_finish(struct config_fetch *fetch,
				    struct config_set *set,
				    struct tgw_error *error);

void config_fetch_clear(struct config_fetch *fetch);

#endif
