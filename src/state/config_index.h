/**
 * @file config_index.h
 * Finds a team by the hash of a caller's key, and owns the templates that
 * teams with parameters of their own point to.
 */
#ifndef STATE_CONFIG_INDEX_H
#define STATE_CONFIG_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/config_snapshot.h"

struct tgw_config_index;

/** Indexes the keys of all teams.
 * @param duplicate set to a team whose key another team has too, else NULL */
struct tgw_config_index *config_index_new(const struct tgw_team *teams,
					  size_t team_count,
					  const struct tgw_team **duplicate);

void config_index_free(struct tgw_config_index *index);

/** Hands over a template, which lives as long as the index. */
void config_index_own(struct tgw_config_index *index,
		      struct tgw_template *template);

/** @return the team with this key hash, or NULL */
const struct tgw_team *config_index_find(
	const struct tgw_config_index *index, const struct tgw_team *teams,
	const uint8_t hash[TGW_KEY_HASH_BYTES]);

#endif
