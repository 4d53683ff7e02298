/**
 * @file config_fetch.h
 * The shards that a host has to get before it can apply a manifest.
 */
#ifndef COORDINATION_CONFIG_FETCH_H
#define COORDINATION_CONFIG_FETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_manifest.h"

/** One shard that is missing. */
struct config_fetch_shard {
	bool missing;
	uint32_t asked;	     /**< times that it was asked for */
	int64_t asked_at_us; /**< 0: not under way */
};

struct config_fetch {
	bool active;
	struct config_manifest manifest; /**< to be applied */
	uint8_t *value;			 /**< the manifest as it was stored */
	size_t value_size;
	struct config_set base; /**< what is here already; not sorted */
	size_t missing_count;
	struct config_fetch_shard shards[CONFIG_SHARD_COUNT];
};

/** Starts, or goes over to a newer manifest. Takes over the manifest and a
 * copy of its value.
 * @param set what is in force now; not used when going over */
void config_fetch_start(struct config_fetch *fetch,
			struct config_manifest *manifest, const void *value,
			size_t value_size, const struct config_set *set);

/** @return a missing shard that may be asked for now, or -1 */
int32_t config_fetch_next(const struct config_fetch *fetch, int64_t now_us,
			  int64_t timeout_us);

/** @return the number of shards that were asked for and may still come */
size_t config_fetch_under_way(const struct config_fetch *fetch, int64_t now_us,
			      int64_t timeout_us);

/** Takes a shard's value in. CORRUPT when it isn't what the manifest says. */
enum tgw_status config_fetch_take(struct config_fetch *fetch, uint32_t shard,
				  const void *value, size_t value_size,
				  struct tgw_error *error);

/** With all shards here: makes the set of the manifest's generation. */
enum tgw_status config_fetch_finish(struct config_fetch *fetch,
				    struct config_set *set,
				    struct tgw_error *error);

void config_fetch_clear(struct config_fetch *fetch);

#endif
