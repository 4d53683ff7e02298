#include "ctl/config_repository.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/config_commit.h"
#include "tamarackgw/store.h"

enum tgw_status config_repository_open(struct config_repository *repository,
				       struct ctl *ctl, struct tgw_error *error)
{
	struct buffer value = {0};
	enum tgw_status status;

	memset(repository, 0, sizeof(*repository));
	repository->ctl = ctl;
	status = ctl_get(ctl, CONFIG_MANIFEST_KEY, &value, &repository->version,
			 error);
	if (status == TGW_OK && repository->version != TGW_STORE_ABSENT)
		status = config_manifest_decode(&repository->manifest,
						value.data, value.size, error);
	buffer_free(&value);
	return status;
}

/* Applies the changes after the folded generation to a shard's objects. */
static enum tgw_status apply_deltas(struct config_repository *repository,
				    uint32_t shard, struct tgw_error *error)
{
	const struct config_manifest *manifest = &repository->manifest;
	enum tgw_status status = TGW_OK;

	for (size_t i = 0; i < manifest->delta_count; i++) {
		const struct config_delta *delta = &manifest->deltas[i];

		if (delta->generation <= manifest->folded_generation)
			continue;
		for (size_t j = 0; j < delta->list.count && status == TGW_OK;
		     j++) {
			struct config_change_list one = {
				.count = 1,
				.changes = &delta->list.changes[j],
			};

			if (config_shard_of(one.changes->kind,
					    one.changes->name) == shard)
				status = config_change_list_apply(
					&one, &repository->set, error);
		}
	}
	return status;
}

static enum tgw_status read_shard(struct config_repository *repository,
				  uint32_t shard, struct tgw_error *error)
{
	const struct config_shard_ref *ref =
		&repository->manifest.shards[shard];
	uint8_t digest[CONFIG_DIGEST_BYTES];
	char key[CONFIG_KEY_SIZE];
	struct buffer value = {0};
	int64_t version;
	enum tgw_status status;

	config_shard_key(key, shard, ref);
	status = ctl_get(repository->ctl, key, &value, &version, error);
	if (status == TGW_OK && version == TGW_STORE_ABSENT)
		status = tgw_error_set(error, TGW_BUSY,
				       "the configuration changed while it was "
				       "read; run the command again");
	if (status != TGW_OK)
		goto out;
	config_digest(value.data, value.size, digest);
	if (memcmp(digest, ref->digest, sizeof(digest)) != 0)
		status = tgw_error_set(
			error, TGW_CORRUPT,
			"%s does not match its digest in the manifest; "
			"restore it from a backup of the store",
			key);
	else
		status = config_shard_decode(&repository->set, shard,
					     value.data, value.size, error);
	config_set_sort(&repository->set);
out:
	buffer_free(&value);
	return status;
}

enum tgw_status config_repository_load_shard(
	struct config_repository *repository, uint32_t shard,
	struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	if (repository->has_shard[shard])
		return TGW_OK;
	if (repository->manifest.shards[shard].generation)
		status = read_shard(repository, shard, error);
	if (status == TGW_OK)
		status = apply_deltas(repository, shard, error);
	repository->has_shard[shard] = status == TGW_OK;
	return status;
}

enum tgw_status config_repository_load_shard_of(
	struct config_repository *repository, enum config_kind kind,
	const char *name, struct tgw_error *error)
{
	return config_repository_load_shard(repository,
					    config_shard_of(kind, name), error);
}

enum tgw_status config_repository_load_all(struct config_repository *repository,
					   struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT && status == TGW_OK; i++)
		status = config_repository_load_shard(repository, i, error);
	return status;
}

enum tgw_status config_repository_find(struct config_repository *repository,
				       enum config_kind kind, const char *name,
				       struct config_object **object,
				       struct tgw_error *error)
{
	enum tgw_status status =
		config_repository_load_shard_of(repository, kind, name, error);

	if (status != TGW_OK)
		return status;
	*object = config_set_find(&repository->set, kind, name);
	if (*object)
		return TGW_OK;
	return tgw_error_set(error, TGW_NOT_FOUND,
			     "there is no %s %s; see 'tamarackgwctl %s list'",
			     config_kind_name(kind), name,
			     config_kind_name(kind));
}

void config_repository_close(struct config_repository *repository)
{
	config_manifest_clear(&repository->manifest);
	config_set_clear(&repository->set);
}

/* ---- history ---- */

/* The deltas that are collected from the audit segments and the manifest. */
struct history {
	uint64_t above_generation;
	struct config_delta *deltas;
	size_t count;
	enum tgw_status status;
	struct tgw_error *error;
};

static void add_segment(void *arg, const char *key, const void *value,
			size_t size, int64_t version)
{
	struct history *history = arg;
	const char *dash = strrchr(key, '-');

	if (history->status != TGW_OK || !value || !dash ||
	    strtoull(dash + 1, NULL, 10) <= history->above_generation)
		return;
	history->status = config_segment_decode(
		value, size, &history->deltas, &history->count, history->error);
}

/* Copies a delta by packing and unpacking it. */
static enum tgw_status copy_delta(struct config_delta *copy,
				  const struct config_delta *delta,
				  struct tgw_error *error)
{
	msgpack_unpacked unpacked;
	msgpack_packer packer;
	msgpack_sbuffer bytes;
	enum tgw_status status = TGW_CORRUPT;

	msgpack_sbuffer_init(&bytes);
	msgpack_unpacked_init(&unpacked);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	config_delta_pack(delta, &packer);
	if (msgpack_guard_next(&unpacked, bytes.data, bytes.size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		status = config_delta_unpack(copy, &unpacked.data, error);
	msgpack_unpacked_destroy(&unpacked);
	msgpack_sbuffer_destroy(&bytes);
	return status;
}

static int compare_deltas(const void *a, const void *b)
{
	const struct config_delta *left = a;
	const struct config_delta *right = b;

	if (left->generation != right->generation)
		return left->generation < right->generation ? -1 : 1;
	return 0;
}

/* Sorts the deltas by generation and removes duplicates: a commit that lost a
 * race leaves its segment in the store, which may overlap with others. */
static void sort_and_deduplicate(struct history *history)
{
	size_t kept = 0;

	if (history->count > 1)
		qsort(history->deltas, history->count,
		      sizeof(history->deltas[0]), compare_deltas);
	for (size_t i = 0; i < history->count; i++) {
		struct config_delta *delta = &history->deltas[i];

		if (delta->generation <= history->above_generation ||
		    (kept &&
		     history->deltas[kept - 1].generation == delta->generation))
			config_delta_clear(delta);
		else
			history->deltas[kept++] = *delta;
	}
	history->count = kept;
}

/* Reads a delta's changes that are stored in parts outside the manifest. */
static enum tgw_status read_parts(struct ctl *ctl, struct config_delta *delta,
				  struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (uint32_t i = 0; i < delta->part_count && status == TGW_OK; i++) {
		char key[CONFIG_KEY_SIZE];
		struct buffer value = {0};
		msgpack_unpacked unpacked;
		int64_t version;

		msgpack_unpacked_init(&unpacked);
		config_part_key(key, &delta->audit, i);
		status = ctl_get(ctl, key, &value, &version, error);
		if (status == TGW_OK &&
		    msgpack_guard_next(&unpacked, value.data ? value.data : "",
				       value.size,
				       NULL) != MSGPACK_UNPACK_SUCCESS)
			status = tgw_error_set(error, TGW_CORRUPT,
					       "%s does not decode; restore it "
					       "from a backup of the store",
					       key);
		if (status == TGW_OK)
			status = config_change_list_unpack(
				&delta->list, &unpacked.data, error);
		msgpack_unpacked_destroy(&unpacked);
		buffer_free(&value);
	}
	return status;
}

enum tgw_status config_repository_history(struct config_repository *repository,
					  uint64_t above_generation,
					  bool with_parts,
					  struct config_delta **deltas,
					  size_t *count,
					  struct tgw_error *error)
{
	const struct config_manifest *manifest = &repository->manifest;
	struct history history = {.above_generation = above_generation,
				  .error = error};
	enum tgw_status status = TGW_OK;

	if (manifest->delta_count &&
	    manifest->deltas[0].generation > above_generation + 1) {
		status = ctl_list(repository->ctl, CONFIG_SEGMENT_PREFIX,
				  add_segment, &history, error);
		if (status == TGW_OK)
			status = history.status;
	}
	for (size_t i = 0; i < manifest->delta_count && status == TGW_OK; i++) {
		history.deltas = xrealloc(
			history.deltas, (history.count + 1) * sizeof(**deltas));
		status = copy_delta(&history.deltas[history.count++],
				    &manifest->deltas[i], error);
	}
	sort_and_deduplicate(&history);
	for (size_t i = 0; i < history.count && with_parts && status == TGW_OK;
	     i++)
		status = read_parts(repository->ctl, &history.deltas[i], error);
	*deltas = history.deltas;
	*count = history.count;
	return status;
}
