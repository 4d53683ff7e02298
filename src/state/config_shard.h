/**
 * @file config_shard.h
 * Shards: the stored values that hold the objects, divided by hash.
 */
#ifndef STATE_CONFIG_SHARD_H
#define STATE_CONFIG_SHARD_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_set.h"

/** Part of the stored format: never changes. */
#define CONFIG_SHARD_COUNT 128
#define CONFIG_DIGEST_BYTES 32

uint32_t config_shard_of(enum config_kind kind, const char *name);

/**
 * Encodes the objects of a shard. The same objects give the same bytes.
 * @param value an initialized buffer, to which the bytes are added
 * @return the number of objects
 */
size_t config_shard_encode(const struct config_set *set, uint32_t shard,
			   msgpack_sbuffer *value);

/** Adds a stored shard's objects to a set, which then needs to be sorted. */
enum tgw_status config_shard_decode(struct config_set *set, uint32_t shard,
				    const void *value, size_t value_size,
				    struct tgw_error *error);

void config_digest(const void *value, size_t value_size,
		   uint8_t digest[CONFIG_DIGEST_BYTES]);

#endif
