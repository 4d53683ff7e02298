/**
 * @file config_state.h
 * The configuration in force at a host, with the manifest and the objects that
 * the host needs to apply the next generation and to send the current one to
 * other hosts.
 */
#ifndef STATE_CONFIG_STATE_H
#define STATE_CONFIG_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_manifest.h"
#include "tamarackgw/config_snapshot.h"

struct config_state {
	struct config_manifest manifest; /**< generation 0: none in force */
	uint8_t *value; /**< the manifest as the store holds it */
	size_t value_size;
	struct config_set set;
};

/** Checks that a manifest is not older than the one in force, and that both
 * have the same audit entry for the generation in force. This entry can't be
 * compared when the manifest no longer holds its delta; the check then passes.
 * @return CONFLICT when the manifest has to be refused */
enum tgw_status config_state_check_next(const struct config_state *state,
					const struct config_manifest *manifest,
					struct tgw_error *error);

/**
 * Applies a manifest by means of its deltas, without reading shards.
 * @param manifest owned by the state from then on if a snapshot is returned
 * @param snapshot receives the new snapshot, or NULL when shards are needed
 * @return OK in both cases; another status means that the manifest is refused
 *         and that the state is unchanged
 */
enum tgw_status config_state_apply_deltas(struct config_state *state,
					  struct config_manifest *manifest,
					  const void *value, size_t value_size,
					  struct tgw_config_snapshot **snapshot,
					  struct tgw_error *error);

/** Replaces the configuration in force by a manifest and all of its objects.
 * Takes ownership of the manifest and the set, unless a rule is broken; then
 * the state is unchanged.
 * @param error not NULL */
enum tgw_status config_state_replace(struct config_state *state,
				     struct config_manifest *manifest,
				     const void *value, size_t value_size,
				     struct config_set *set,
				     struct tgw_config_snapshot **snapshot,
				     struct tgw_error *error);

void config_state_clear(struct config_state *state);

#endif
