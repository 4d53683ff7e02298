#include "state/claim_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/msgpack_field.h"

#define OWNER_FIELDS 3
#define RESULT_FIELDS 4
#define RECORD_FIELDS 6

bool claim_owner_equals(const struct claim_owner *a,
			const struct claim_owner *b)
{
	return a->attempt_id == b->attempt_id &&
	       a->incarnation == b->incarnation && !strcmp(a->host, b->host);
}

void claim_owner_pack(const struct claim_owner *owner, msgpack_packer *packer)
{
	msgpack_pack_array(packer, OWNER_FIELDS);
	msgpack_field_pack_text(packer, owner->host);
	msgpack_pack_uint64(packer, owner->incarnation);
	msgpack_pack_uint64(packer, owner->attempt_id);
}

bool claim_owner_unpack(struct claim_owner *owner, const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, OWNER_FIELDS);

	return fields &&
	       msgpack_field_text(&fields[0], owner->host,
				  sizeof(owner->host)) &&
	       msgpack_field_u64(&fields[1], &owner->incarnation) &&
	       msgpack_field_u64(&fields[2], &owner->attempt_id);
}

void claim_result_set(struct claim_result *result, int32_t http_status,
		      const char *content_type, const void *body,
		      size_t body_size, uint32_t body_max_bytes)
{
	memset(result, 0, sizeof(*result));
	result->http_status = http_status;
	snprintf(result->content_type, sizeof(result->content_type), "%s",
		 content_type ? content_type : "");
	if (body_size > body_max_bytes) {
		result->body_not_kept = true;
		return;
	}
	result->body_size = (uint32_t)body_size;
	result->body = body_size ? xmemdup(body, body_size) : NULL;
}

void claim_result_copy(struct claim_result *to, const struct claim_result *from)
{
	*to = *from;
	if (from->body)
		to->body = xmemdup(from->body, from->body_size);
}

void claim_result_clear(struct claim_result *result)
{
	free(result->body);
	memset(result, 0, sizeof(*result));
}

void claim_result_pack(const struct claim_result *result,
		       msgpack_packer *packer)
{
	msgpack_pack_array(packer, RESULT_FIELDS);
	msgpack_pack_int64(packer, result->http_status);
	msgpack_field_pack_text(packer, result->content_type);
	msgpack_pack_uint64(packer, result->body_not_kept);
	msgpack_field_pack_bytes(packer, result->body, result->body_size);
}

bool claim_result_unpack(struct claim_result *result,
			 const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, RESULT_FIELDS);
	int64_t http_status;
	uint64_t not_kept;

	memset(result, 0, sizeof(*result));
	if (!fields || !msgpack_field_i64(&fields[0], &http_status) ||
	    !msgpack_field_text(&fields[1], result->content_type,
				sizeof(result->content_type)) ||
	    !msgpack_field_u64(&fields[2], &not_kept) ||
	    fields[3].type != MSGPACK_OBJECT_BIN)
		return false;
	result->http_status = (int32_t)http_status;
	result->body_not_kept = not_kept != 0;
	result->body_size = fields[3].via.bin.size;
	if (result->body_size)
		result->body =
			xmemdup(fields[3].via.bin.ptr, result->body_size);
	return true;
}

void claim_record_pack(const struct claim_record *record,
		       msgpack_packer *packer)
{
	msgpack_pack_array(packer, RECORD_FIELDS);
	msgpack_field_pack_bytes(packer, record->key.bytes,
				 sizeof(record->key.bytes));
	msgpack_field_pack_bytes(packer, record->body_hash,
				 sizeof(record->body_hash));
	msgpack_pack_uint64(packer, record->phase);
	claim_owner_pack(&record->owner, packer);
	msgpack_pack_int64(packer, record->wall_us);
	if (record->phase == CLAIM_PHASE_DONE)
		claim_result_pack(&record->result, packer);
	else
		msgpack_pack_nil(packer);
}

bool claim_record_unpack(struct claim_record *record,
			 const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, RECORD_FIELDS);
	uint64_t phase;

	memset(record, 0, sizeof(*record));
	if (!fields ||
	    !msgpack_field_bytes(&fields[0], record->key.bytes,
				 sizeof(record->key.bytes)) ||
	    !msgpack_field_bytes(&fields[1], record->body_hash,
				 sizeof(record->body_hash)) ||
	    !msgpack_field_u64(&fields[2], &phase) ||
	    phase >= CLAIM_PHASE_COUNT ||
	    !claim_owner_unpack(&record->owner, &fields[3]) ||
	    !msgpack_field_i64(&fields[4], &record->wall_us))
		return false;
	record->phase = (enum claim_phase)phase;
	if (record->phase != CLAIM_PHASE_DONE)
		return true;
	return claim_result_unpack(&record->result, &fields[5]);
}
