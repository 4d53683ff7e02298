/**
 * @file config_builder.h
 * Builds an immutable snapshot, which request threads read, from a set of
 * configuration objects.
 */
#ifndef STATE_CONFIG_BUILDER_H
#define STATE_CONFIG_BUILDER_H

#include "state/config_set.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/status.h"

/** Checks all rules and builds a snapshot.
 * @return NULL with the error set when the set breaks a rule */
struct tgw_config_snapshot *config_build_snapshot(const struct config_set *set,
						  uint64_t generation,
						  struct tgw_error *error);

#endif
