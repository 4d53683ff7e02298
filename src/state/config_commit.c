#include "state/config_commit.h"

#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/record_reader.h"
#include "tamarackgw/store.h"

#define SEGMENT_FORMAT_VERSION 1
#define SEGMENT_DELTAS_MAX 4096

/* Leaves room in the stored value for the encoding around the changes of a
 * part. */
#define PART_MAX_BYTES (TGW_STORE_VALUE_MAX_BYTES - 64 * 1024)

static size_t packed_size(const struct config_delta *delta)
{
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	size_t size;

	msgpack_sbuffer_init(&bytes);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	config_delta_pack(delta, &packer);
	size = bytes.size;
	msgpack_sbuffer_destroy(&bytes);
	return size;
}

static size_t packed_list_size(const struct config_change_list *list)
{
	size_t size = 0;

	for (size_t i = 0; i < list->count; i++)
		size += list->changes[i].before.size +
			list->changes[i].after.size + TGW_NAME_SIZE;
	return size;
}

static size_t packed_deltas_size(const struct config_manifest *manifest)
{
	size_t size = 0;

	for (size_t i = 0; i < manifest->delta_count; i++)
		size += packed_size(&manifest->deltas[i]);
	return size;
}

static bool is_large(const struct config_change_list *list)
{
	return packed_list_size(list) > CONFIG_INLINE_MAX_BYTES;
}

bool config_commit_folds(const struct config_manifest *manifest,
			 const struct config_change_list *list)
{
	return is_large(list) ||
	       packed_deltas_size(manifest) + packed_list_size(list) >
		       CONFIG_DELTAS_MAX_BYTES;
}

static bool list_affects_shard(const struct config_change_list *list,
			       uint32_t shard)
{
	for (size_t i = 0; i < list->count; i++)
		if (config_shard_of(list->changes[i].kind,
				    list->changes[i].name) == shard)
			return true;
	return false;
}

static bool unfolded_deltas_affect_shard(const struct config_manifest *manifest,
					 uint32_t shard)
{
	for (size_t i = 0; i < manifest->delta_count; i++)
		if (manifest->deltas[i].generation >
			    manifest->folded_generation &&
		    list_affects_shard(&manifest->deltas[i].list, shard))
			return true;
	return false;
}

bool config_commit_needs_shard(const struct config_manifest *manifest,
			       const struct config_change_list *list,
			       uint32_t shard)
{
	if (list_affects_shard(list, shard))
		return true;
	return config_commit_folds(manifest, list) &&
	       unfolded_deltas_affect_shard(manifest, shard);
}

static struct config_write *add_write(struct config_commit *commit,
				      const void *value, size_t value_size)
{
	struct config_write *write;

	commit->writes =
		xrealloc(commit->writes,
			 (commit->write_count + 1) * sizeof(commit->writes[0]));
	write = &commit->writes[commit->write_count++];
	write->value = xmemdup(value, value_size);
	write->value_size = value_size;
	return write;
}

static void retire_shard(struct config_commit *commit, uint32_t shard,
			 const struct config_shard_ref *ref)
{
	if (!ref->generation)
		return;
	commit->retired =
		xrealloc(commit->retired, (commit->retired_count + 1) *
						  sizeof(commit->retired[0]));
	config_shard_key(commit->retired[commit->retired_count++], shard, ref);
}

static enum tgw_status fold_shard(struct config_commit *commit,
				  const struct config_set *set, uint32_t shard,
				  uint64_t generation, struct tgw_error *error)
{
	struct config_shard_ref *ref = &commit->manifest.shards[shard];
	struct config_shard_ref next = {.generation = generation};
	enum tgw_status status = TGW_OK;
	msgpack_sbuffer value;

	msgpack_sbuffer_init(&value);
	if (!config_shard_encode(set, shard, &value))
		next.generation = 0;
	config_digest(value.data, value.size, next.digest);
	if (config_shard_ref_equals(ref, &next))
		goto out;
	if (value.size > TGW_STORE_VALUE_MAX_BYTES) {
		status = tgw_error_set(
			error, TGW_TOO_LARGE,
			"shard %u would have %zu bytes, over the "
			"store's limit of %d; remove teams",
			shard, value.size, TGW_STORE_VALUE_MAX_BYTES);
		goto out;
	}
	retire_shard(commit, shard, ref);
	*ref = next;
	if (next.generation)
		config_shard_key(add_write(commit, value.data, value.size)->key,
				 shard, ref);
out:
	msgpack_sbuffer_destroy(&value);
	return status;
}

/* Rewrites the shards whose objects have changed since the last fold.
 * new_changes: the changes that the set contains beyond the old manifest, or
 * NULL when it contains none. */
static enum tgw_status fold_shards(struct config_commit *commit,
				   const struct config_manifest *old,
				   const struct config_set *set,
				   const struct config_change_list *new_changes,
				   uint64_t generation, struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (uint32_t shard = 0; shard < CONFIG_SHARD_COUNT && status == TGW_OK;
	     shard++)
		if (unfolded_deltas_affect_shard(old, shard) ||
		    (new_changes && list_affects_shard(new_changes, shard)))
			status = fold_shard(commit, set, shard, generation,
					    error);
	commit->manifest.folded_generation = generation;
	return status;
}

static void write_segment(struct config_commit *commit,
			  const struct config_delta *deltas, size_t count)
{
	struct config_write *write;
	msgpack_sbuffer value;
	msgpack_packer packer;

	if (!count)
		return;
	msgpack_sbuffer_init(&value);
	msgpack_packer_init(&packer, &value, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, SEGMENT_FORMAT_VERSION);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		config_delta_pack(&deltas[i], &packer);
	write = add_write(commit, value.data, value.size);
	config_segment_key(write->key, deltas[0].generation,
			   deltas[count - 1].generation);
	msgpack_sbuffer_destroy(&value);
}

/* Moves the oldest deltas to an audit segment; at most keep_bytes are left. */
static void archive_deltas(struct config_commit *commit,
			   const struct config_manifest *old, size_t keep_bytes)
{
	struct config_manifest *manifest = &commit->manifest;
	size_t remaining_bytes = packed_deltas_size(old);
	size_t archived = 0;

	while (archived < old->delta_count && remaining_bytes > keep_bytes)
		remaining_bytes -= packed_size(&old->deltas[archived++]);
	write_segment(commit, old->deltas, archived);
	for (size_t i = 0; i < archived; i++)
		config_delta_clear(&manifest->deltas[i]);
	manifest->delta_count -= archived;
	memmove(manifest->deltas, manifest->deltas + archived,
		manifest->delta_count * sizeof(manifest->deltas[0]));
}

static void copy_list(struct config_change_list *copy,
		      const struct config_change_list *list)
{
	copy->count = list->count;
	copy->changes =
		xmemdup(list->changes, list->count * sizeof(list->changes[0]));
	for (size_t i = 0; i < list->count; i++) {
		struct config_change *change = &copy->changes[i];

		if (change->before.data)
			change->before.data = xmemdup(change->before.data,
						      change->before.size);
		if (change->after.data)
			change->after.data =
				xmemdup(change->after.data, change->after.size);
	}
}

static void copy_manifest(struct config_manifest *copy,
			  const struct config_manifest *manifest)
{
	*copy = *manifest;
	copy->deltas =
		xmemdup(manifest->deltas,
			manifest->delta_count * sizeof(manifest->deltas[0]));
	for (size_t i = 0; i < manifest->delta_count; i++)
		copy_list(&copy->deltas[i].list, &manifest->deltas[i].list);
}

/* Divides the changes into parts that each fit into one stored value. */
static void write_parts(struct config_commit *commit,
			struct config_delta *delta,
			const struct config_change_list *list)
{
	size_t next_change = 0;

	while (next_change < list->count) {
		struct config_change_list part = {
			.changes = &list->changes[next_change]};
		size_t size = 0;
		msgpack_sbuffer value;
		msgpack_packer packer;
		struct config_write *write;

		while (next_change < list->count &&
		       size < PART_MAX_BYTES - 2 * CONFIG_BODY_MAX_BYTES) {
			size += list->changes[next_change].before.size +
				list->changes[next_change].after.size +
				TGW_NAME_SIZE + 16;
			part.count++;
			next_change++;
		}
		msgpack_sbuffer_init(&value);
		msgpack_packer_init(&packer, &value, msgpack_sbuffer_write);
		config_change_list_pack(&part, &packer);
		write = add_write(commit, value.data, value.size);
		config_part_key(write->key, &delta->audit, delta->part_count++);
		msgpack_sbuffer_destroy(&value);
	}
}

static struct config_delta *add_delta(struct config_manifest *manifest)
{
	struct config_delta *delta;

	manifest->deltas =
		xrealloc(manifest->deltas, (manifest->delta_count + 1) *
						   sizeof(manifest->deltas[0]));
	delta = &manifest->deltas[manifest->delta_count++];
	memset(delta, 0, sizeof(*delta));
	return delta;
}

static enum tgw_status fold_large_change(struct config_commit *commit,
					 const struct config_manifest *old,
					 const struct config_set *set,
					 const struct config_change_list *list,
					 struct tgw_error *error)
{
	struct config_set after = {0};
	enum tgw_status status;

	config_set_copy(&after, set);
	status = config_change_list_apply(list, &after, error);
	if (status == TGW_OK)
		status = fold_shards(commit, old, &after, list,
				     old->generation + 1, error);
	config_set_clear(&after);
	return status;
}

enum tgw_status config_commit_prepare(struct config_commit *commit,
				      const struct config_manifest *manifest,
				      const struct config_set *set,
				      const struct config_change_list *list,
				      const struct audit_entry *audit,
				      struct tgw_error *error)
{
	const struct audit_entry *previous =
		manifest->delta_count
			? &manifest->deltas[manifest->delta_count - 1].audit
			: NULL;
	bool large = is_large(list);
	enum tgw_status status = TGW_OK;
	struct config_delta *delta;

	memset(commit, 0, sizeof(*commit));
	copy_manifest(&commit->manifest, manifest);
	if (large)
		status = fold_large_change(commit, manifest, set, list, error);
	else if (config_commit_folds(manifest, list))
		status = fold_shards(commit, manifest, set, NULL,
				     manifest->generation, error);
	if (status != TGW_OK)
		return status;
	if (config_commit_folds(manifest, list))
		archive_deltas(commit, manifest, CONFIG_DELTAS_KEEP_BYTES);
	commit->manifest.generation = manifest->generation + 1;
	delta = add_delta(&commit->manifest);
	delta->generation = commit->manifest.generation;
	delta->audit = *audit;
	config_change_list_digest(list, delta->audit.change_digest);
	audit_entry_chain(&delta->audit, previous);
	if (large)
		write_parts(commit, delta, list);
	else
		copy_list(&delta->list, list);
	return TGW_OK;
}

void config_commit_clear(struct config_commit *commit)
{
	config_manifest_clear(&commit->manifest);
	for (size_t i = 0; i < commit->write_count; i++)
		free(commit->writes[i].value);
	free(commit->writes);
	free(commit->retired);
	memset(commit, 0, sizeof(*commit));
}

enum tgw_status config_segment_decode(const void *value, size_t value_size,
				      struct config_delta **deltas,
				      size_t *delta_count,
				      struct tgw_error *error)
{
	enum tgw_status status;
	struct record_reader reader;
	const msgpack_object_array *array;
	msgpack_unpacked unpacked;
	size_t end = 0;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, value, value_size, &end) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    end != value_size) {
		status = tgw_error_set(error, TGW_CORRUPT,
				       "an audit segment is not a single "
				       "MessagePack value; restore it from a "
				       "backup of the store");
		goto out;
	}
	record_reader_open(&reader, "an audit segment", &unpacked.data,
			   SEGMENT_FORMAT_VERSION);
	array = record_reader_array(&reader, SEGMENT_DELTAS_MAX);
	status = record_reader_finish(&reader, error);
	*deltas = xrealloc(*deltas,
			   (*delta_count + array->size) * sizeof((*deltas)[0]));
	for (size_t i = 0; i < array->size && status == TGW_OK; i++) {
		status = config_delta_unpack(&(*deltas)[*delta_count],
					     &array->ptr[i], error);
		(*delta_count)++;
	}
out:
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
