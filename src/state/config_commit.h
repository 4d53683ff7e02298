/**
 * @file config_commit.h
 * Prepares the store writes of one change: the values that have to be stored
 * first, and the manifest. The compare-and-swap of the manifest commits the
 * change and its audit entry atomically.
 *
 * When the change or the deltas in the manifest are too large, a commit folds
 * the deltas: it writes their changes into the shards, and moves the oldest
 * deltas to an audit segment.
 */
#ifndef STATE_CONFIG_COMMIT_H
#define STATE_CONFIG_COMMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_manifest.h"

/** Maximum size of the manifest's deltas; a commit folds them to keep it. */
#define CONFIG_DELTAS_MAX_BYTES (12 * 1024)

/** Maximum size of the old deltas that a fold leaves in the manifest. */
#define CONFIG_DELTAS_KEEP_BYTES (5 * 1024)

/** A larger change is stored in parts outside the manifest. */
#define CONFIG_INLINE_MAX_BYTES (6 * 1024)

/** A value to store under a key that must not exist yet. */
struct config_write {
	char key[CONFIG_KEY_SIZE];
	uint8_t *value;
	size_t value_size;
};

struct config_commit {
	struct config_manifest manifest; /**< after the change */
	/** Writes to make before the manifest's compare-and-swap. */
	size_t write_count;
	struct config_write *writes;
	/** Keys of replaced shards, to delete after it. */
	size_t retired_count;
	char (*retired)[CONFIG_KEY_SIZE];
};

/** Whether committing this change folds the manifest's deltas into shards. */
bool config_commit_folds(const struct config_manifest *manifest,
			 const struct config_change_list *list);

/** Whether the set for config_commit_prepare() needs this shard's objects. */
bool config_commit_needs_shard(const struct config_manifest *manifest,
			       const struct config_change_list *list,
			       uint32_t shard);

/**
 * Prepares the commit of one change.
 * @param manifest the stored manifest; all zeros when there is none
 * @param set the objects of the manifest's generation, at least those of the
 *        shards that config_commit_needs_shard() names
 * @param audit who made which change, when and why; its copy in the manifest
 *        gets the digest of the changes, the sequence and the hashes
 */
enum tgw_status config_commit_prepare(struct config_commit *commit,
				      const struct config_manifest *manifest,
				      const struct config_set *set,
				      const struct config_change_list *list,
				      const struct audit_entry *audit,
				      struct tgw_error *error);

void config_commit_clear(struct config_commit *commit);

/** Decodes an audit segment and appends its deltas to a list. */
enum tgw_status config_segment_decode(const void *value, size_t value_size,
				      struct config_delta **deltas,
				      size_t *delta_count,
				      struct tgw_error *error);

#endif
