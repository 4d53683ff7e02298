/**
 * @file config_shard.h
 * Shards: the stored values that hold the objects. The hash of an object's
 * kind and name determines its shard.
 */
#ifndef STATE_CONFIG_SHARD_H
#define STATE_CONFIG_SHARD_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_set.h"

/** Part of the stored format, so it must never change. */
#define CONFIG_SHARD_COUNT 128
#define CONFIG_DIGEST_BYTES 32

uint32_t config_shard_of(enum config_kind kind, const char *name);

/**
 * Encodes the objects of a shard. Equal objects result in equal bytes.
 * @param value an initialized buffer, to which the bytes are appended
 * @return the number of objects
 */
size_t config_shard_encode(const struct config_set *set, uint32_t shard,
			   msgpack_sbuffer *value);

/** Appends a stored shard's objects to a set. The set has to be sorted with
 * config_set_sort() before it is used. */
enum tgw_status config_shard_decode(struct config_set *set, uint32_t shard,
				    const void *value, size_t value_size,
				    struct tgw_error *error);

/** Computes the BLAKE2b digest of a stored value. */
void config_digest(const void *value, size_t value_size,
		   uint8_t digest[CONFIG_DIGEST_BYTES]);

#endif
