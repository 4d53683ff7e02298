#include "state/config_manifest.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define MANIFEST_FORMAT_VERSION 1
#define MANIFEST_DELTAS_MAX 4096
#define DIGEST_HEX_SIZE 33 /* for the first half of a digest */

void config_manifest_clear(struct config_manifest *manifest)
{
	for (size_t i = 0; i < manifest->delta_count; i++)
		config_delta_clear(&manifest->deltas[i]);
	free(manifest->deltas);
	memset(manifest, 0, sizeof(*manifest));
}

void config_manifest_encode(const struct config_manifest *manifest,
			    msgpack_sbuffer *value)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, value, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_uint64(&packer, MANIFEST_FORMAT_VERSION);
	msgpack_pack_uint64(&packer, manifest->generation);
	msgpack_pack_uint64(&packer, manifest->folded_generation);
	msgpack_pack_array(&packer, CONFIG_SHARD_COUNT);
	for (size_t i = 0; i < CONFIG_SHARD_COUNT; i++) {
		const struct config_shard_ref *ref = &manifest->shards[i];

		if (!ref->generation) {
			msgpack_pack_nil(&packer);
			continue;
		}
		msgpack_pack_array(&packer, 2);
		msgpack_pack_uint64(&packer, ref->generation);
		msgpack_field_pack_bytes(&packer, ref->digest,
					 CONFIG_DIGEST_BYTES);
	}
	msgpack_pack_array(&packer, manifest->delta_count);
	for (size_t i = 0; i < manifest->delta_count; i++)
		config_delta_pack(&manifest->deltas[i], &packer);
}

static void read_shards(struct record_reader *reader,
			struct config_manifest *manifest)
{
	const msgpack_object_array *array =
		record_reader_array(reader, CONFIG_SHARD_COUNT);

	if (reader->status == TGW_OK && array->size != CONFIG_SHARD_COUNT)
		reader->status = TGW_CORRUPT;
	for (size_t i = 0; i < array->size && reader->status == TGW_OK; i++) {
		struct config_shard_ref *ref = &manifest->shards[i];
		struct record_reader fields;

		if (array->ptr[i].type == MSGPACK_OBJECT_NIL)
			continue;
		record_reader_open_nested(&fields, reader->what,
					  &array->ptr[i]);
		ref->generation = record_reader_u64(&fields);
		record_reader_bytes(&fields, ref->digest, CONFIG_DIGEST_BYTES);
		if (fields.status == TGW_OK &&
		    (!ref->generation ||
		     ref->generation > manifest->folded_generation))
			fields.status = TGW_CORRUPT;
		reader->status = fields.status;
	}
}

static enum tgw_status read_deltas(struct config_manifest *manifest,
				   const msgpack_object_array *array,
				   struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	manifest->deltas = xcalloc(array->size, sizeof(manifest->deltas[0]));
	for (size_t i = 0; i < array->size && status == TGW_OK; i++) {
		struct config_delta *delta = &manifest->deltas[i];

		manifest->delta_count++;
		status = config_delta_unpack(delta, &array->ptr[i], error);
		if (status == TGW_OK && i > 0)
			status = audit_entry_verify(
				&delta->audit, &manifest->deltas[i - 1].audit,
				error);
	}
	return status;
}

/* Checks that the deltas lead from the folded generation to the newest one. The
 * audit entries, which read_deltas() verifies, exclude gaps between deltas. */
static enum tgw_status check_range(const struct config_manifest *manifest,
				   struct tgw_error *error)
{
	const struct config_delta *last;

	if (!manifest->delta_count || !manifest->generation ||
	    manifest->folded_generation > manifest->generation)
		goto bad;
	last = &manifest->deltas[manifest->delta_count - 1];
	if (last->generation != manifest->generation ||
	    manifest->deltas[0].generation > manifest->folded_generation + 1)
		goto bad;
	return TGW_OK;
bad:
	return tgw_error_set(
		error, TGW_CORRUPT,
		"the deltas of the manifest do not lead from its folded "
		"generation %" PRIu64 " to its generation %" PRIu64
		"; publish the configuration again",
		manifest->folded_generation, manifest->generation);
}

enum tgw_status config_manifest_decode(struct config_manifest *manifest,
				       const void *value, size_t value_size,
				       struct tgw_error *error)
{
	enum tgw_status status;
	struct record_reader reader;
	const msgpack_object_array *deltas;
	msgpack_unpacked unpacked;
	size_t end = 0;

	memset(manifest, 0, sizeof(*manifest));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, value, value_size, &end) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    end != value_size) {
		status = tgw_error_set(
			error, TGW_CORRUPT,
			"the manifest is not a single MessagePack "
			"value; restore " CONFIG_MANIFEST_KEY
			" from a backup of the store");
		goto out;
	}
	record_reader_open(&reader, "the configuration manifest",
			   &unpacked.data, MANIFEST_FORMAT_VERSION);
	manifest->generation = record_reader_u64(&reader);
	manifest->folded_generation = record_reader_u64(&reader);
	read_shards(&reader, manifest);
	deltas = record_reader_array(&reader, MANIFEST_DELTAS_MAX);
	status = record_reader_finish(&reader, error);
	if (status == TGW_OK)
		status = read_deltas(manifest, deltas, error);
	if (status == TGW_OK)
		status = check_range(manifest, error);
out:
	if (status != TGW_OK)
		config_manifest_clear(manifest);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

const struct config_delta *config_manifest_find(
	const struct config_manifest *manifest, uint64_t generation)
{
	for (size_t i = manifest->delta_count; i > 0; i--)
		if (manifest->deltas[i - 1].generation == generation)
			return &manifest->deltas[i - 1];
	return NULL;
}

bool config_manifest_has_deltas_since(const struct config_manifest *manifest,
				      uint64_t generation)
{
	if (!manifest->delta_count ||
	    manifest->deltas[0].generation > generation + 1)
		return false;
	for (size_t i = 0; i < manifest->delta_count; i++)
		if (manifest->deltas[i].generation > generation &&
		    manifest->deltas[i].part_count)
			return false;
	return true;
}

enum tgw_status config_manifest_apply(const struct config_manifest *manifest,
				      uint64_t above_generation,
				      struct config_set *set,
				      struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (size_t i = 0; i < manifest->delta_count && status == TGW_OK; i++)
		if (manifest->deltas[i].generation > above_generation)
			status = config_change_list_apply(
				&manifest->deltas[i].list, set, error);
	return status;
}

/* Reverts the changes of the unfolded deltas to the objects of one shard. */
static enum tgw_status undo_in_shard(const struct config_manifest *manifest,
				     uint32_t shard, struct config_set *set,
				     struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (size_t i = manifest->delta_count; i > 0 && status == TGW_OK; i--) {
		const struct config_delta *delta = &manifest->deltas[i - 1];

		if (delta->generation <= manifest->folded_generation)
			return TGW_OK;
		for (size_t j = delta->list.count; j > 0 && status == TGW_OK;
		     j--) {
			struct config_change_list one = {
				.count = 1,
				.changes = &delta->list.changes[j - 1],
			};

			if (config_shard_of(one.changes->kind,
					    one.changes->name) == shard)
				status = config_change_list_undo(&one, set,
								 error);
		}
	}
	return status;
}

enum tgw_status config_manifest_encode_shard(
	const struct config_manifest *manifest, const struct config_set *set,
	uint32_t shard, msgpack_sbuffer *value, struct tgw_error *error)
{
	struct config_set objects = {0};
	enum tgw_status status;

	for (size_t i = 0; i < set->count; i++)
		if (set->objects[i]->shard == shard)
			config_set_append(&objects,
					  config_object_ref(set->objects[i]));
	status = undo_in_shard(manifest, shard, &objects, error);
	if (status == TGW_OK)
		config_shard_encode(&objects, shard, value);
	config_set_clear(&objects);
	return status;
}

bool config_shard_ref_equals(const struct config_shard_ref *a,
			     const struct config_shard_ref *b)
{
	return !a->generation == !b->generation &&
	       (!a->generation ||
		!memcmp(a->digest, b->digest, CONFIG_DIGEST_BYTES));
}

void config_shard_key(char key[CONFIG_KEY_SIZE], uint32_t shard,
		      const struct config_shard_ref *ref)
{
	char hex[DIGEST_HEX_SIZE];

	sodium_bin2hex(hex, sizeof(hex), ref->digest, CONFIG_DIGEST_BYTES / 2);
	snprintf(key, CONFIG_KEY_SIZE,
		 "tgw/config/shard/%03" PRIu32 "/%" PRIu64 "-%s", shard,
		 ref->generation, hex);
}

void config_segment_key(char key[CONFIG_KEY_SIZE], uint64_t first,
			uint64_t last)
{
	snprintf(key, CONFIG_KEY_SIZE,
		 CONFIG_SEGMENT_PREFIX "%012" PRIu64 "-%012" PRIu64, first,
		 last);
}

void config_part_key(char key[CONFIG_KEY_SIZE], const struct audit_entry *audit,
		     uint32_t part)
{
	char hex[DIGEST_HEX_SIZE];

	sodium_bin2hex(hex, sizeof(hex), audit->change_digest,
		       CONFIG_DIGEST_BYTES / 2);
	snprintf(key, CONFIG_KEY_SIZE,
		 "tgw/config/change/%012" PRIu64 "-%s/%04" PRIu32,
		 audit->sequence, hex, part);
}
