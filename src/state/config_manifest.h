/**
 * @file config_manifest.h
 * The manifest: the value of the store key whose compare-and-swap commits a
 * change. It names the shards that make up the configuration, and holds the
 * latest deltas with their audit entries.
 *
 * The shards hold the objects of the folded generation. The deltas above it
 * lead from there to the newest generation. Some deltas up to the folded
 * generation stay in the manifest, so that a host that is a few generations
 * behind can catch up without reading a shard.
 */
#ifndef STATE_CONFIG_MANIFEST_H
#define STATE_CONFIG_MANIFEST_H

#include <stddef.h>
#include <stdint.h>

#include "state/config_change.h"
#include "state/config_shard.h"

#define CONFIG_MANIFEST_KEY "tgw/config/manifest"
#define CONFIG_KEY_SIZE 128

/** Names the stored value of a shard, whose key contains the generation and the
 * digest. Generation 0: the shard has no objects. */
struct config_shard_ref {
	uint64_t generation;
	uint8_t digest[CONFIG_DIGEST_BYTES];
};

struct config_manifest {
	uint64_t generation;
	uint64_t folded_generation;
	struct config_shard_ref shards[CONFIG_SHARD_COUNT];
	size_t delta_count;
	struct config_delta *deltas; /**< oldest first, without gaps */
};

void config_manifest_clear(struct config_manifest *manifest);

enum tgw_status config_manifest_decode(struct config_manifest *manifest,
				       const void *value, size_t value_size,
				       struct tgw_error *error);

void config_manifest_encode(const struct config_manifest *manifest,
			    msgpack_sbuffer *value);

/** @return the delta that leads to this generation, or NULL */
const struct config_delta *config_manifest_find(
	const struct config_manifest *manifest, uint64_t generation);

/** Whether the manifest holds all changes since a generation, so that a host
 * needs no shard to go from there to the newest generation. */
bool config_manifest_has_deltas_since(const struct config_manifest *manifest,
				      uint64_t generation);

/** Applies all deltas above a generation to a set. */
enum tgw_status config_manifest_apply(const struct config_manifest *manifest,
				      uint64_t above_generation,
				      struct config_set *set,
				      struct tgw_error *error);

/**
 * Encodes a shard as of the folded generation.
 * @param set the objects of the newest generation
 * @param value an initialized buffer, to which the bytes are appended
 */
enum tgw_status config_manifest_encode_shard(
	const struct config_manifest *manifest, const struct config_set *set,
	uint32_t shard, msgpack_sbuffer *value, struct tgw_error *error);

/** Whether both shards have the same contents; their generations may differ. */
bool config_shard_ref_equals(const struct config_shard_ref *a,
			     const struct config_shard_ref *b);

/** Makes the store key of a shard's value. */
void config_shard_key(char key[CONFIG_KEY_SIZE], uint32_t shard,
		      const struct config_shard_ref *ref);

/** Makes the store key of the audit segment with the deltas of a range of
 * generations. */
void config_segment_key(char key[CONFIG_KEY_SIZE], uint64_t first,
			uint64_t last);

/** Makes the store key of one part of a large change. */
void config_part_key(char key[CONFIG_KEY_SIZE], const struct audit_entry *audit,
		     uint32_t part);

/** Prefix of the store keys of all audit segments. */
#define CONFIG_SEGMENT_PREFIX "tgw/audit/config/"

#endif
