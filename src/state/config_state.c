#include "state/config_state.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/config_builder.h"

enum tgw_status config_state_check_next(const struct config_state *state,
					const struct config_manifest *manifest,
					struct tgw_error *error)
{
	uint64_t in_force = state->manifest.generation;
	const struct config_delta *ours;
	const struct config_delta *theirs;

	if (manifest->generation < in_force)
		return tgw_error_set(error, TGW_CONFLICT,
				     "generation %" PRIu64
				     " is older than %" PRIu64
				     ", which is in force and stays; restore "
				     "the store from a newer copy",
				     manifest->generation, in_force);
	if (!in_force)
		return TGW_OK;
	ours = config_manifest_find(&state->manifest, in_force);
	theirs = config_manifest_find(manifest, in_force);
	if (!theirs || !sodium_memcmp(ours->audit.hash, theirs->audit.hash,
				      AUDIT_HASH_BYTES))
		return TGW_OK;
	return tgw_error_set(
		error, TGW_CONFLICT,
		"generation %" PRIu64
		" has a different audit history than generation %" PRIu64
		", which is in force and stays; compare the "
		"audit trail, then restart the host",
		manifest->generation, in_force);
}

/* Checks the shards that were written since the manifest in force: each must
 * have the contents that the set has when it is reverted to the folded
 * generation of the new manifest. */
static bool shards_match(const struct config_state *state,
			 const struct config_manifest *manifest,
			 const struct config_set *set)
{
	bool match = true;

	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT && match; i++) {
		const struct config_shard_ref *ref = &manifest->shards[i];
		uint8_t digest[CONFIG_DIGEST_BYTES];
		msgpack_sbuffer value;

		if (config_shard_ref_equals(ref, &state->manifest.shards[i]) ||
		    !ref->generation)
			continue;
		msgpack_sbuffer_init(&value);
		match = config_manifest_encode_shard(manifest, set, i, &value,
						     NULL) == TGW_OK;
		config_digest(value.data, value.size, digest);
		match = match && !memcmp(digest, ref->digest, sizeof(digest));
		msgpack_sbuffer_destroy(&value);
	}
	return match;
}

enum tgw_status config_state_apply_deltas(struct config_state *state,
					  struct config_manifest *manifest,
					  const void *value, size_t value_size,
					  struct tgw_config_snapshot **snapshot,
					  struct tgw_error *error)
{
	uint64_t from = state->manifest.generation;
	struct config_set set = {0};
	enum tgw_status status;

	*snapshot = NULL;
	if (!config_manifest_has_deltas_since(manifest, from))
		return TGW_OK;
	config_set_copy(&set, &state->set);
	status = config_manifest_apply(manifest, from, &set, error);
	if (status == TGW_OK && shards_match(state, manifest, &set))
		status = config_state_replace(state, manifest, value,
					      value_size, &set, snapshot,
					      error);
	config_set_clear(&set);
	return status;
}

enum tgw_status config_state_replace(struct config_state *state,
				     struct config_manifest *manifest,
				     const void *value, size_t value_size,
				     struct config_set *set,
				     struct tgw_config_snapshot **snapshot,
				     struct tgw_error *error)
{
	*snapshot = config_build_snapshot(set, manifest->generation, error);
	if (!*snapshot)
		return error->status;
	config_state_clear(state);
	state->manifest = *manifest;
	memset(manifest, 0, sizeof(*manifest));
	state->value = xmemdup(value, value_size);
	state->value_size = value_size;
	state->set = *set;
	memset(set, 0, sizeof(*set));
	return TGW_OK;
}

void config_state_clear(struct config_state *state)
{
	config_manifest_clear(&state->manifest);
	config_set_clear(&state->set);
	free(state->value);
	memset(state, 0, sizeof(*state));
}
