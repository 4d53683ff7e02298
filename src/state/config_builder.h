/**
 * @file config_builder.h
 * Makes the immutable snapshot that the callers' side reads out of a set of
 * objects.
 */
#ifndef STATE_CONFIG_BUILDER_H
#define STATE_CONFIG_BUILDER_H

#include "state/config_set.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/status.h"

/** @return NULL with the error set when the set breaks a rule */
struct tgw_config_snapshot *config_build_snapshot(const struct config_set *set,
						  uint64_t generation,
						  struct tgw_error *error);

#endif
