#include "state/claim_bucket.h"

#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/msgpack_field.h"

#define FORMAT_VERSION 1
#define VALUE_FIELDS 4
/* Packed size of a record without its texts and its body. */
#define RECORD_OVERHEAD_BYTES 96

void claim_bucket_clear(struct claim_bucket *bucket)
{
	for (size_t i = 0; i < bucket->count; i++)
		claim_result_clear(&bucket->records[i].result);
	free(bucket->records);
	memset(bucket, 0, sizeof(*bucket));
}

static size_t packed_size(const struct claim_record *record)
{
	return RECORD_OVERHEAD_BYTES + strlen(record->owner.host) +
	       strlen(record->result.content_type) + record->result.body_size;
}

static struct claim_record *find(const struct claim_bucket *bucket,
				 const struct tgw_request_key *key)
{
	for (size_t i = 0; i < bucket->count; i++)
		if (!memcmp(&bucket->records[i].key, key, sizeof(*key)))
			return &bucket->records[i];
	return NULL;
}

const struct claim_record *claim_bucket_find(const struct claim_bucket *bucket,
					     const struct tgw_request_key *key)
{
	return find(bucket, key);
}

static void remove_record(struct claim_bucket *bucket,
			  struct claim_record *record)
{
	bucket->packed_bytes -= packed_size(record);
	claim_result_clear(&record->result);
	bucket->count--;
	memmove(record, record + 1,
		(size_t)(bucket->records + bucket->count - record) *
			sizeof(*record));
}

static struct claim_record *append(struct claim_bucket *bucket)
{
	if (bucket->count == bucket->capacity) {
		bucket->capacity = bucket->capacity * 2 + 16;
		bucket->records =
			xrealloc(bucket->records,
				 bucket->capacity * sizeof(bucket->records[0]));
	}
	return &bucket->records[bucket->count++];
}

static void drop_body(struct claim_result *result)
{
	free(result->body);
	result->body = NULL;
	result->body_size = 0;
	result->body_not_kept = true;
}

static bool is_full(const struct claim_bucket *bucket)
{
	return bucket->count == CLAIM_BUCKET_RECORDS_MAX;
}

/* Frees the oldest kept bodies until there is room; keeps all records. */
static bool make_room(struct claim_bucket *bucket, size_t bytes)
{
	for (size_t i = 0; i < bucket->count; i++) {
		struct claim_result *result = &bucket->records[i].result;

		if (bucket->packed_bytes + bytes <= CLAIM_BUCKET_BYTES_MAX)
			return true;
		if (!result->body)
			continue;
		bucket->packed_bytes -= result->body_size;
		drop_body(result);
	}
	return bucket->packed_bytes + bytes <= CLAIM_BUCKET_BYTES_MAX;
}

enum claim_decision claim_bucket_look_up(const struct claim_bucket *bucket,
					 const struct claim_record *attempt)
{
	const struct claim_record *record = find(bucket, &attempt->key);

	if (!record)
		return CLAIM_DECISION_ABSENT;
	if (memcmp(record->body_hash, attempt->body_hash,
		   sizeof(record->body_hash)))
		return CLAIM_DECISION_KEY_REUSED;
	if (record->phase == CLAIM_PHASE_DONE)
		return CLAIM_DECISION_DONE;
	if (record->phase == CLAIM_PHASE_UNKNOWN)
		return CLAIM_DECISION_UNKNOWN;
	if (claim_owner_equals(&record->owner, &attempt->owner))
		return CLAIM_DECISION_GRANTED;
	return CLAIM_DECISION_RUNNING;
}

enum claim_decision claim_bucket_claim(struct claim_bucket *bucket,
				       const struct claim_record *attempt,
				       bool *changed)
{
	enum claim_decision decision = claim_bucket_look_up(bucket, attempt);
	struct claim_record *record;

	if (decision != CLAIM_DECISION_ABSENT)
		return decision;
	if (is_full(bucket) || !make_room(bucket, packed_size(attempt)))
		return CLAIM_DECISION_FULL;
	record = append(bucket);
	*record = *attempt;
	record->phase = CLAIM_PHASE_RUNNING;
	memset(&record->result, 0, sizeof(record->result));
	bucket->packed_bytes += packed_size(record);
	*changed = true;
	return CLAIM_DECISION_GRANTED;
}

/* The record gets its result only once there is room for it: make_room() may
 * drop the body of any record, and counts it as freed. */
static void set_end(struct claim_bucket *bucket, struct claim_record *record,
		    const struct claim_record *end)
{
	struct claim_result result;
	bool has_room;

	claim_result_copy(&result, &end->result);
	bucket->packed_bytes -= packed_size(record);
	claim_result_clear(&record->result);
	has_room = make_room(bucket, packed_size(record) +
					     strlen(result.content_type) +
					     result.body_size);
	if (!has_room && result.body)
		drop_body(&result);
	record->phase = end->phase;
	record->result = result;
	bucket->packed_bytes += packed_size(record);
}

void claim_bucket_end(struct claim_bucket *bucket,
		      const struct claim_record *end, bool insert,
		      bool *changed)
{
	struct claim_record *record = find(bucket, &end->key);

	if (!record && insert && !is_full(bucket) &&
	    make_room(bucket, packed_size(end))) {
		record = append(bucket);
		*record = *end;
		record->phase = CLAIM_PHASE_RUNNING;
		memset(&record->result, 0, sizeof(record->result));
		bucket->packed_bytes += packed_size(record);
	}
	if (!record || record->phase != CLAIM_PHASE_RUNNING ||
	    !claim_owner_equals(&record->owner, &end->owner))
		return;
	*changed = true;
	if (end->phase == CLAIM_PHASE_RUNNING)
		remove_record(bucket, record);
	else
		set_end(bucket, record, end);
}

void claim_bucket_expire(struct claim_bucket *bucket, int64_t wall_us,
			 int64_t keep_us, bool *changed)
{
	for (size_t i = bucket->count; i > 0; i--) {
		struct claim_record *record = &bucket->records[i - 1];
		int64_t kept_us = record->phase == CLAIM_PHASE_RUNNING
					  ? 2 * keep_us
					  : keep_us;

		if (wall_us - record->wall_us <= kept_us)
			continue;
		remove_record(bucket, record);
		*changed = true;
	}
}

void claim_bucket_pack(const struct claim_bucket *bucket, struct buffer *value)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, value, msgpack_field_write);
	msgpack_pack_array(&packer, VALUE_FIELDS);
	msgpack_pack_uint64(&packer, FORMAT_VERSION);
	msgpack_pack_uint64(&packer, bucket->writer_incarnation);
	msgpack_pack_uint64(&packer, bucket->writer_sequence);
	msgpack_pack_array(&packer, bucket->count);
	for (size_t i = 0; i < bucket->count; i++)
		claim_record_pack(&bucket->records[i], &packer);
}

static bool unpack_records(struct claim_bucket *bucket,
			   const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; i < object->via.array.size; i++) {
		struct claim_record *record = append(bucket);

		if (!claim_record_unpack(record, &object->via.array.ptr[i]))
			return false;
		bucket->packed_bytes += packed_size(record);
	}
	return true;
}

static enum tgw_status unpack_value(struct claim_bucket *bucket,
				    const msgpack_object *object)
{
	const msgpack_object *fields = msgpack_field_array(object, 1);
	uint64_t version;

	if (!fields || !msgpack_field_u64(&fields[0], &version))
		return TGW_CORRUPT;
	if (version > FORMAT_VERSION)
		return TGW_NEWER_FORMAT;
	fields = msgpack_field_array(object, VALUE_FIELDS);
	if (!fields ||
	    !msgpack_field_u64(&fields[1], &bucket->writer_incarnation) ||
	    !msgpack_field_u64(&fields[2], &bucket->writer_sequence) ||
	    !unpack_records(bucket, &fields[3]))
		return TGW_CORRUPT;
	return TGW_OK;
}

enum tgw_status claim_bucket_unpack(struct claim_bucket *bucket,
				    const void *value, size_t size,
				    struct tgw_error *error)
{
	enum tgw_status status = TGW_CORRUPT;
	msgpack_unpacked unpacked;

	claim_bucket_clear(bucket);
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, value, size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		status = unpack_value(bucket, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (!status)
		return TGW_OK;
	claim_bucket_clear(bucket);
	return tgw_error_set(error, status,
			     status == TGW_NEWER_FORMAT
				     ? "claims were written by a newer "
				       "version; upgrade this program"
				     : "claims do not decode; restore the key "
				       "from a backup: without it calls could "
				       "run twice");
}
