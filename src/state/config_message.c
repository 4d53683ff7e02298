#include "state/config_message.h"

#include <string.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define MESSAGE_FORMAT_VERSION 1

void config_message_encode(const struct config_message *message,
			   msgpack_sbuffer *payload)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, payload, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_uint64(&packer, MESSAGE_FORMAT_VERSION);
	msgpack_pack_uint64(&packer, (uint64_t)message->kind);
	msgpack_pack_uint64(&packer, message->shard);
	msgpack_field_pack_bytes(&packer, message->digest,
				 sizeof(message->digest));
	msgpack_field_pack_bytes(&packer, message->value ? message->value : "",
				 message->value_size);
}

enum tgw_status config_message_decode(struct config_message *message,
				      msgpack_unpacked *unpacked,
				      const void *payload, size_t payload_size,
				      struct tgw_error *error)
{
	struct record_reader reader;
	uint64_t kind;
	uint64_t shard;

	memset(message, 0, sizeof(*message));
	if (msgpack_guard_next(unpacked, payload, payload_size, NULL) !=
	    MSGPACK_UNPACK_SUCCESS)
		return tgw_error_set(error, TGW_CORRUPT,
				     "cannot decode a configuration message; "
				     "check the version of the sender");
	record_reader_open(&reader, "a configuration message", &unpacked->data,
			   MESSAGE_FORMAT_VERSION);
	kind = record_reader_u64(&reader);
	shard = record_reader_u64(&reader);
	record_reader_bytes(&reader, message->digest, sizeof(message->digest));
	message->value = record_reader_blob(&reader, &message->value_size);
	if (reader.status == TGW_OK &&
	    (kind < CONFIG_REQUEST_MANIFEST || kind > CONFIG_SHARD))
		reader.status = TGW_NEWER_FORMAT;
	if (reader.status == TGW_OK && shard >= CONFIG_SHARD_COUNT)
		reader.status = TGW_CORRUPT;
	if (reader.status == TGW_OK) {
		message->kind = (enum config_message_kind)kind;
		message->shard = (uint32_t)shard;
	}
	return record_reader_finish(&reader, error);
}
