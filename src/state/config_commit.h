/**
 * @file config_commit.h
 * Works out the writes of one change: what has to be stored first, and the
 * manifest whose compare-and-swap commits change and audit entry together.
 */
#ifndef STATE_CONFIG_COMMIT_H
#define STATE_CONFIG_COMMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_manifest.h"

/** Deltas that the manifest holds at most, in bytes. */
#define CONFIG_DELTAS_MAX_BYTES (12 * 1024)

/** Deltas that a fold leaves in the manifest, in bytes. */
#define CONFIG_DELTAS_KEEP_BYTES (5 * 1024)

/** A larger change is kept in parts outside the manifest. */
#define CONFIG_INLINE_MAX_BYTES (6 * 1024)

/** A value to be stored under a key that must not exist yet. */
struct config_write {
	char key[CONFIG_KEY_SIZE];
	uint8_t *value;
	size_t value_size;
};

struct config_commit {
	struct config_manifest manifest; /**< as it will be */
	size_t write_count;
	struct config_write *writes;
	size_t retired_count;
	char (*retired)[CONFIG_KEY_SIZE]; /**< to be deleted afterwards */
};

/** Whether this change makes the manifest fold its deltas into shards. */
bool config_commit_folds(const struct config_manifest *manifest,
			 const struct config_change_list *list);

/** Whether the shard's objects have to be in the set for a commit. */
bool config_commit_needs_shard(const struct config_manifest *manifest,
			       const struct config_change_list *list,
			       uint32_t shard);

/**
 * @param manifest the one in the store; all zeros when there is none
 * @param set the objects of its generation, at least of the needed shards
 * @param audit who, when, why and what; chained and covered here
 */
enum tgw_status config_commit_prepare(struct config_commit *commit,
				      const struct config_manifest *manifest,
				      const struct config_set *set,
				      const struct config_change_list *list,
				      const struct audit_entry *audit,
				      struct tgw_error *error);

void config_commit_clear(struct config_commit *commit);

/** Adds the deltas of an audit segment to a list. */
enum tgw_status config_segment_decode(const void *value, size_t value_size,
				      struct config_delta **deltas,
				      size_t *delta_count,
				      struct tgw_error *error);

#endif
