#include "state/config_index.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define MIN_TABLE_SLOTS 16

/* Hash table with open addressing. A slot is 0 when free, otherwise it is
 * 1 + team index * TGW_TEAM_KEYS_MAX + key index. */
struct tgw_config_index {
	size_t mask;
	uint32_t *slots;
	size_t owned_count;
	struct tgw_template **owned;
};

static size_t first_slot(const struct tgw_config_index *index,
			 const uint8_t hash[TGW_KEY_HASH_BYTES])
{
	/* Hashes the key hash again: operators can enter any key_hash, so
	 * its bits need not be evenly distributed. */
	return (size_t)XXH64(hash, TGW_KEY_HASH_BYTES, 0) & index->mask;
}

static const struct tgw_team *team_at(const struct tgw_team *teams,
				      uint32_t slot)
{
	return &teams[(slot - 1) / TGW_TEAM_KEYS_MAX];
}

static const uint8_t *hash_at(const struct tgw_team *teams, uint32_t slot)
{
	return team_at(teams, slot)->key_hashes[(slot - 1) % TGW_TEAM_KEYS_MAX];
}

const struct tgw_team *config_index_find(const struct tgw_config_index *index,
					 const struct tgw_team *teams,
					 const uint8_t hash[TGW_KEY_HASH_BYTES])
{
	size_t pos = first_slot(index, hash);

	while (index->slots[pos]) {
		if (sodium_memcmp(hash_at(teams, index->slots[pos]), hash,
				  TGW_KEY_HASH_BYTES) == 0)
			return team_at(teams, index->slots[pos]);
		pos = (pos + 1) & index->mask;
	}
	return NULL;
}

static const struct tgw_team *add_team(struct tgw_config_index *index,
				       const struct tgw_team *teams,
				       size_t team)
{
	for (size_t key = 0; key < teams[team].key_count; key++) {
		const uint8_t *hash = teams[team].key_hashes[key];
		size_t pos = first_slot(index, hash);

		if (config_index_find(index, teams, hash))
			return &teams[team];
		while (index->slots[pos])
			pos = (pos + 1) & index->mask;
		index->slots[pos] =
			(uint32_t)(1 + team * TGW_TEAM_KEYS_MAX + key);
	}
	return NULL;
}

struct tgw_config_index *config_index_new(const struct tgw_team *teams,
					  size_t team_count,
					  const struct tgw_team **duplicate)
{
	struct tgw_config_index *index = xcalloc(1, sizeof(*index));
	size_t size = MIN_TABLE_SLOTS;

	while (size < team_count * TGW_TEAM_KEYS_MAX * 2)
		size *= 2;
	index->mask = size - 1;
	index->slots = xcalloc(size, sizeof(index->slots[0]));
	*duplicate = NULL;
	for (size_t i = 0; i < team_count && !*duplicate; i++)
		*duplicate = add_team(index, teams, i);
	return index;
}

void config_index_add_template(struct tgw_config_index *index,
			       struct tgw_template *template)
{
	index->owned = xrealloc(index->owned, (index->owned_count + 1) *
						      sizeof(index->owned[0]));
	index->owned[index->owned_count++] = template;
}

void config_index_free(struct tgw_config_index *index)
{
	if (!index)
		return;
	for (size_t i = 0; i < index->owned_count; i++)
		free(index->owned[i]);
	free(index->owned);
	free(index->slots);
	free(index);
}
