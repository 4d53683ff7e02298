#include "state/config_shard.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define SHARD_FORMAT_VERSION 1
#define SHARD_OBJECTS_MAX 65536

uint32_t config_shard_of(enum config_kind kind, const char *name)
{
	return (uint32_t)(XXH64(name, strlen(name), (uint64_t)kind) %
			  CONFIG_SHARD_COUNT);
}

void config_digest(const void *value, size_t value_size,
		   uint8_t digest[CONFIG_DIGEST_BYTES])
{
	crypto_generichash(digest, CONFIG_DIGEST_BYTES, value, value_size, NULL,
			   0);
}

size_t config_shard_encode(const struct config_set *set, uint32_t shard,
			   msgpack_sbuffer *value)
{
	msgpack_packer packer;
	size_t count = 0;

	for (size_t i = 0; i < set->count; i++)
		count += set->objects[i]->shard == shard;
	msgpack_packer_init(&packer, value, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, SHARD_FORMAT_VERSION);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < set->count; i++) {
		const struct config_object *object = set->objects[i];

		if (object->shard != shard)
			continue;
		msgpack_pack_array(&packer, 3);
		msgpack_pack_uint64(&packer, (uint64_t)object->kind);
		msgpack_field_pack_text(&packer, object->name);
		msgpack_field_pack_bytes(&packer, object->body,
					 object->body_size);
	}
	return count;
}

static enum tgw_status decode_object(struct config_set *set, uint32_t shard,
				     const msgpack_object *fields,
				     struct tgw_error *error)
{
	struct record_reader reader;
	struct config_object *object;
	char name[TGW_NAME_SIZE];
	const char *body;
	size_t body_size;
	uint64_t kind;

	record_reader_open_nested(&reader, "an object of a shard", fields);
	kind = record_reader_u64(&reader);
	record_reader_text(&reader, name, sizeof(name));
	body = record_reader_blob(&reader, &body_size);
	if (reader.status == TGW_OK && kind >= CONFIG_KIND_COUNT)
		reader.status = TGW_NEWER_FORMAT;
	if (reader.status != TGW_OK)
		return record_reader_finish(&reader, error);
	if (config_shard_of((enum config_kind)kind, name) != shard)
		return tgw_error_set(error, TGW_CORRUPT,
				     "%s %s does not belong to shard %u, which "
				     "holds it",
				     config_kind_name((enum config_kind)kind),
				     name, shard);
	object = config_object_decode((enum config_kind)kind, name, body,
				      body_size, error);
	if (!object)
		return error ? error->status : TGW_CORRUPT;
	config_set_append(set, object);
	return TGW_OK;
}

enum tgw_status config_shard_decode(struct config_set *set, uint32_t shard,
				    const void *value, size_t value_size,
				    struct tgw_error *error)
{
	enum tgw_status status;
	struct record_reader reader;
	const msgpack_object_array *objects;
	msgpack_unpacked unpacked;
	size_t end = 0;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, value, value_size, &end) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    end != value_size) {
		status = tgw_error_set(
			error, TGW_CORRUPT,
			"shard %u is not a single MessagePack value; "
			"publish the configuration again",
			shard);
		goto out;
	}
	record_reader_open(&reader, "a configuration shard", &unpacked.data,
			   SHARD_FORMAT_VERSION);
	objects = record_reader_array(&reader, SHARD_OBJECTS_MAX);
	status = record_reader_finish(&reader, error);
	for (size_t i = 0; i < objects->size && status == TGW_OK; i++)
		status = decode_object(set, shard, &objects->ptr[i], error);
out:
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
