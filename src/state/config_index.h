/**
 * @file config_index.h
 * Hash table that finds a team by the hash of a caller's key. The index also
 * owns the templates that were derived for teams with parameters.
 */
#ifndef STATE_CONFIG_INDEX_H
#define STATE_CONFIG_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/config_snapshot.h"

struct tgw_config_index;

/** Indexes the keys of all teams.
 * @param duplicate set to a team with a key that occurs twice, or to NULL when
 * there is none */
struct tgw_config_index *config_index_new(const struct tgw_team *teams,
					  size_t team_count,
					  const struct tgw_team **duplicate);

void config_index_free(struct tgw_config_index *index);

/** Adds a template and takes ownership of it: it is freed with the index. */
void config_index_add_template(struct tgw_config_index *index,
			       struct tgw_template *template);

/** @return the team with this key hash, or NULL */
const struct tgw_team *config_index_find(
	const struct tgw_config_index *index, const struct tgw_team *teams,
	const uint8_t hash[TGW_KEY_HASH_BYTES]);

#endif
