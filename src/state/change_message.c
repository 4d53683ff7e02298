#include "state/change_message.h"

#include <msgpack.h>
#include <string.h>

#include "state/mirror_table.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define MESSAGE_FORMAT 1
#define MESSAGE_FIELDS 12
#define STATE_FIELDS 4
#define WHAT "a message about the store's changes"

static void encode_state(msgpack_packer *packer,
			 const struct change_state *state)
{
	msgpack_pack_array(packer, STATE_FIELDS);
	msgpack_pack_int64(packer, state->revision);
	msgpack_pack_int64(packer, state->changed_revision);
	msgpack_pack_int64(packer, state->age_us);
	msgpack_pack_int64(packer, state->store_unreachable);
}

void change_message_encode(const struct change_message *message,
			   struct buffer *bytes)
{
	static const uint8_t none[1];
	msgpack_packer packer;

	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint64(&packer, MESSAGE_FORMAT);
	msgpack_pack_uint64(&packer, message->kind);
	msgpack_pack_uint64(&packer, message->sequence);
	msgpack_pack_int64(&packer, message->stamp_us);
	msgpack_pack_int64(&packer, message->held_us);
	msgpack_pack_array(&packer, message->state_count);
	for (size_t i = 0; i < message->state_count; i++)
		encode_state(&packer, &message->states[i]);
	msgpack_pack_uint64(&packer, message->prefix);
	msgpack_pack_int64(&packer, message->after_revision);
	msgpack_pack_int64(&packer, message->revision);
	msgpack_pack_uint64(&packer, message->offset);
	msgpack_pack_uint64(&packer, message->total_size);
	msgpack_field_pack_bytes(&packer, message->part ? message->part : none,
				 message->part_size);
}

static bool decode_state(struct change_state *state,
			 const msgpack_object *object)
{
	struct record_reader reader;

	record_reader_open_nested(&reader, WHAT, object);
	state->revision = record_reader_i64(&reader);
	state->changed_revision = record_reader_i64(&reader);
	state->age_us = record_reader_i64(&reader);
	state->store_unreachable = record_reader_i64(&reader) != 0;
	return reader.status == TGW_OK && state->changed_revision >= 0 &&
	       state->changed_revision <= state->revision;
}

static bool is_valid(const struct change_message *message)
{
	return message->kind >= CHANGE_MESSAGE_FOLLOW &&
	       message->kind < CHANGE_MESSAGE_KIND_END &&
	       message->prefix < CHANGE_PREFIXES_MAX &&
	       message->stamp_us >= 0 && message->held_us >= 0 &&
	       message->after_revision >= 0 && message->revision >= 0 &&
	       message->total_size <= MIRROR_CHANGES_MAX_BYTES &&
	       message->offset <= message->total_size &&
	       message->part_size <= message->total_size - message->offset;
}

static enum tgw_status decode_fields(void *arg, const msgpack_object *object,
				     struct tgw_error *error)
{
	struct change_message *message = arg;
	const msgpack_object_array *states;
	struct record_reader reader;
	bool valid = true;
	uint64_t prefix;

	record_reader_open(&reader, WHAT, object, MESSAGE_FORMAT);
	message->kind = (enum change_message_kind)record_reader_u64(&reader);
	message->sequence = record_reader_u64(&reader);
	message->stamp_us = record_reader_i64(&reader);
	message->held_us = record_reader_i64(&reader);
	states = record_reader_array(&reader, CHANGE_PREFIXES_MAX);
	prefix = record_reader_u64(&reader);
	message->after_revision = record_reader_i64(&reader);
	message->revision = record_reader_i64(&reader);
	message->offset = record_reader_u64(&reader);
	message->total_size = record_reader_u64(&reader);
	message->part = (const uint8_t *)record_reader_blob(
		&reader, &message->part_size);
	if (record_reader_finish(&reader, error) != TGW_OK)
		return reader.status;
	message->prefix = prefix < CHANGE_PREFIXES_MAX ? (uint32_t)prefix
						       : CHANGE_PREFIXES_MAX;
	message->state_count = states->size;
	for (uint32_t i = 0; i < states->size; i++)
		valid = valid &&
			decode_state(&message->states[i], &states->ptr[i]);
	if (!valid || !is_valid(message))
		return tgw_error_set(error, TGW_CORRUPT,
				     WHAT " is out of range; check the "
					  "sender's version");
	return TGW_OK;
}

enum tgw_status change_message_decode(struct change_message *message,
				      const void *bytes, size_t size,
				      struct tgw_error *error)
{
	memset(message, 0, sizeof(*message));
	return record_reader_decode(WHAT, bytes, size, decode_fields, message,
				    error);
}
