#include "state/claim_message.h"

#include <string.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"

#define FORMAT_VERSION 1
#define MESSAGE_FIELDS 9

void claim_message_pack(const struct claim_message *message,
			struct buffer *payload)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, payload, msgpack_field_write);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint64(&packer, FORMAT_VERSION);
	msgpack_pack_uint64(&packer, message->kind);
	msgpack_pack_uint64(&packer, message->authority);
	msgpack_pack_uint64(&packer, message->serial);
	msgpack_field_pack_text(&packer, message->team);
	claim_record_pack(&message->record, &packer);
	msgpack_pack_uint64(&packer, message->state);
	msgpack_pack_uint64(&packer, message->earlier_attempt_known);
	msgpack_pack_int64(&packer, message->retry_after_us);
}

static bool unpack_fields(struct claim_message *message,
			  const msgpack_object *fields)
{
	uint64_t values[5];
	static const size_t indexes[5] = {0, 1, 2, 6, 7};

	for (size_t i = 0; i < 5; i++)
		if (!msgpack_field_u64(&fields[indexes[i]], &values[i]))
			return false;
	if (values[0] != FORMAT_VERSION || values[1] >= CLAIM_KIND_COUNT ||
	    values[2] >= CLAIM_AUTHORITY_COUNT ||
	    values[3] > TGW_CLAIM_KEY_REUSED)
		return false;
	message->kind = (enum claim_message_kind)values[1];
	message->authority = (enum claim_authority)values[2];
	message->state = (enum tgw_claim_state)values[3];
	message->earlier_attempt_known = values[4] != 0;
	return msgpack_field_u64(&fields[3], &message->serial) &&
	       msgpack_field_text(&fields[4], message->team,
				  sizeof(message->team)) &&
	       claim_record_unpack(&message->record, &fields[5]) &&
	       msgpack_field_i64(&fields[8], &message->retry_after_us);
}

bool claim_message_unpack(struct claim_message *message, const void *payload,
			  size_t size)
{
	const msgpack_object *fields;
	msgpack_unpacked unpacked;
	bool decoded = false;

	memset(message, 0, sizeof(*message));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, payload, size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS) {
		fields = msgpack_field_array(&unpacked.data, MESSAGE_FIELDS);
		decoded = fields && unpack_fields(message, fields);
	}
	msgpack_unpacked_destroy(&unpacked);
	return decoded;
}

void claim_message_clear(struct claim_message *message)
{
	claim_result_clear(&message->record.result);
}
