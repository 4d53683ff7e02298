/**
 * @file config_manifest.h
 * The one key whose compare-and-swap commits a change: which shards make up
 * the configuration, and the latest deltas with their audit entries.
 *
 * The shards hold the state at the folded generation; the deltas lead on
 * from there. Deltas up to the folded generation are kept for a while, so
 * that a host that is a little behind needs no shard.
 */
#ifndef STATE_CONFIG_MANIFEST_H
#define STATE_CONFIG_MANIFEST_H

#include <stddef.h>
#include <stdint.h>

#include "state/config_change.h"
#include "state/config_shard.h"

#define CONFIG_MANIFEST_KEY "tgw/config/manifest"
#define CONFIG_KEY_SIZE 128

/** Where a shard's value lies. Generation 0: the shard has no objects. */
struct config_shard_ref {
	uint64_t generation;
	uint8_t digest[CONFIG_DIGEST_BYTES];
};

struct config_manifest {
	uint64_t generation;
	uint64_t folded_generation;
	struct config_shard_ref shards[CONFIG_SHARD_COUNT];
	size_t delta_count;
	struct config_delta *deltas; /**< contiguous; the last is the newest */
};

void config_manifest_clear(struct config_manifest *manifest);

enum tgw_status config_manifest_decode(struct config_manifest *manifest,
				       const void *value, size_t value_size,
				       struct tgw_error *error);

void config_manifest_encode(const struct config_manifest *manifest,
			    msgpack_sbuffer *value);

/** @return the delta that made this generation, or NULL */
const struct config_delta *config_manifest_find(
	const struct config_manifest *manifest, uint64_t generation);

/** Whether the deltas alone lead from a generation to the newest. */
bool config_manifest_leads_from(const struct config_manifest *manifest,
				uint64_t generation);

/** Applies the deltas above a generation. */
enum tgw_status config_manifest_apply(const struct config_manifest *manifest,
				      uint64_t above_generation,
				      struct config_set *set,
				      struct tgw_error *error);

/**
 * Encodes a shard as it was at the folded generation.
 * @param set objects of the newest generation
 * @param value an initialized buffer, to which the bytes are added
 */
enum tgw_status config_manifest_encode_shard(
	const struct config_manifest *manifest, const struct config_set *set,
	uint32_t shard, msgpack_sbuffer *value, struct tgw_error *error);

bool config_shard_ref_equals(const struct config_shard_ref *a,
			     const struct config_shard_ref *b);

void config_shard_key(char key[CONFIG_KEY_SIZE], uint32_t shard,
		      const struct config_shard_ref *ref);

/** Key of an audit segment, which holds the deltas of a range. */
void config_segment_key(char key[CONFIG_KEY_SIZE], uint64_t first,
			uint64_t last);

/** Key of a part of a large change. */
void config_part_key(char key[CONFIG_KEY_SIZE], const struct audit_entry *audit,
		     uint32_t part);

#define CONFIG_SEGMENT_PREFIX "tgw/audit/config/"

#endif
