/**
 * @file config_state.h
 * The configuration that a host has in force, with what it needs to go on
 * to the next generation and to hand its own to other hosts.
 */
#ifndef STATE_CONFIG_STATE_H
#define STATE_CONFIG_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_manifest.h"
#include "tamarackgw/config_snapshot.h"

struct config_state {
	struct config_manifest manifest; /**< generation 0: none yet */
	uint8_t *value;			 /**< the manifest as it was stored */
	size_t value_size;
	struct config_set set;
};

/** Checks that a manifest is newer and goes on from the same history. */
enum tgw_status config_state_check_next(const struct config_state *state,
					const struct config_manifest *manifest,
					struct tgw_error *error);

/**
 * Goes over to a manifest by its deltas alone.
 * @param snapshot receives the new snapshot; NULL when shards are needed
 * @return OK also then; else the manifest is refused and all stays
 */
enum tgw_status config_state_step(struct config_state *state,
				  struct config_manifest *manifest,
				  const void *value, size_t value_size,
				  struct tgw_config_snapshot **snapshot,
				  struct tgw_error *error);

/** Goes over to a manifest whose objects are known. Takes both over. */
enum tgw_status config_state_replace(struct config_state *state,
				     struct config_manifest *manifest,
				     const void *value, size_t value_size,
				     struct config_set *set,
				     struct tgw_config_snapshot **snapshot,
				     struct tgw_error *error);

void config_state_clear(struct config_state *state);

#endif
