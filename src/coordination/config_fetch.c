#include "coordination/config_fetch.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* Whether the objects of a shard are already those that the manifest names. */
static bool has_shard(const struct config_fetch *fetch, uint32_t shard,
		      const struct config_set *sorted)
{
	const struct config_shard_ref *ref = &fetch->manifest.shards[shard];
	uint8_t digest[CONFIG_DIGEST_BYTES];
	msgpack_sbuffer value;
	size_t count;

	msgpack_sbuffer_init(&value);
	count = config_shard_encode(sorted, shard, &value);
	config_digest(value.data, value.size, digest);
	msgpack_sbuffer_destroy(&value);
	if (!ref->generation || !count)
		return !ref->generation && !count;
	return !memcmp(digest, ref->digest, sizeof(digest));
}

static void find_missing(struct config_fetch *fetch)
{
	fetch->missing_count = 0;
	memset(fetch->shards, 0, sizeof(fetch->shards));
	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT; i++) {
		if (has_shard(fetch, i, &fetch->objects))
			continue;
		config_set_remove_shard(&fetch->objects, i);
		if (!fetch->manifest.shards[i].generation)
			continue;
		fetch->shards[i].missing = true;
		fetch->missing_count++;
	}
}

void config_fetch_start(struct config_fetch *fetch,
			struct config_manifest *manifest, const void *value,
			size_t value_size, const struct config_set *set)
{
	if (!fetch->active)
		config_set_copy(&fetch->objects, set);
	fetch->active = true;
	config_manifest_clear(&fetch->manifest);
	fetch->manifest = *manifest;
	memset(manifest, 0, sizeof(*manifest));
	free(fetch->value);
	fetch->value = xmemdup(value, value_size);
	fetch->value_size = value_size;
	config_set_sort(&fetch->objects);
	find_missing(fetch);
}

static bool is_in_flight(const struct config_fetch_shard *shard, int64_t now_us,
			 int64_t timeout_us)
{
	return shard->missing && shard->requested_us &&
	       now_us - shard->requested_us < timeout_us;
}

int32_t config_fetch_next(const struct config_fetch *fetch, int64_t now_us,
			  int64_t timeout_us)
{
	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT; i++)
		if (fetch->shards[i].missing &&
		    !is_in_flight(&fetch->shards[i], now_us, timeout_us))
			return (int32_t)i;
	return -1;
}

size_t config_fetch_in_flight(const struct config_fetch *fetch, int64_t now_us,
			      int64_t timeout_us)
{
	size_t count = 0;

	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT; i++)
		count += is_in_flight(&fetch->shards[i], now_us, timeout_us);
	return count;
}

enum tgw_status config_fetch_add(struct config_fetch *fetch, uint32_t shard,
				 const void *value, size_t value_size,
				 struct tgw_error *error)
{
	struct config_fetch_shard *entry = &fetch->shards[shard];
	uint8_t digest[CONFIG_DIGEST_BYTES];
	enum tgw_status status;

	if (!entry->missing)
		return TGW_OK;
	config_digest(value, value_size, digest);
	if (sodium_memcmp(digest, fetch->manifest.shards[shard].digest,
			  sizeof(digest)) != 0)
		return tgw_error_set(error, TGW_CORRUPT,
				     "shard %u is not the one that the "
				     "manifest names",
				     shard);
	status = config_shard_decode(&fetch->objects, shard, value, value_size,
				     error);
	if (status != TGW_OK) {
		config_set_remove_shard(&fetch->objects, shard);
		return status;
	}
	entry->missing = false;
	fetch->missing_count--;
	return TGW_OK;
}

enum tgw_status config_fetch_finish(struct config_fetch *fetch,
				    struct config_set *set,
				    struct tgw_error *error)
{
	if (!config_set_sort(&fetch->objects))
		return tgw_error_set(error, TGW_CORRUPT,
				     "a shard holds two objects of the same "
				     "kind and name; publish the configuration "
				     "again");
	config_set_copy(set, &fetch->objects);
	return config_manifest_apply(&fetch->manifest,
				     fetch->manifest.folded_generation, set,
				     error);
}

void config_fetch_clear(struct config_fetch *fetch)
{
	config_manifest_clear(&fetch->manifest);
	config_set_clear(&fetch->objects);
	free(fetch->value);
	memset(fetch, 0, sizeof(*fetch));
}
