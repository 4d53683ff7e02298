#include "state/audit_entry.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define AUDIT_ENTRY_FORMAT_VERSION 1
#define AUDIT_ENTRY_FIELDS 13

/* Packs the fields that the hash covers: all but the hash itself. */
static void pack_hashed_fields(const struct audit_entry *entry,
			       msgpack_packer *packer)
{
	msgpack_pack_uint64(packer, AUDIT_ENTRY_FORMAT_VERSION);
	msgpack_pack_uint64(packer, entry->sequence);
	msgpack_pack_int64(packer, entry->wall_us);
	msgpack_field_pack_text(packer, entry->who);
	msgpack_field_pack_text(packer, entry->from);
	msgpack_field_pack_text(packer, entry->action);
	msgpack_field_pack_text(packer, entry->object);
	msgpack_field_pack_text(packer, entry->before);
	msgpack_field_pack_text(packer, entry->after);
	msgpack_field_pack_text(packer, entry->reason);
	msgpack_field_pack_bytes(packer, entry->change_digest,
				 AUDIT_HASH_BYTES);
	msgpack_field_pack_bytes(packer, entry->previous_hash,
				 AUDIT_HASH_BYTES);
}

static void compute_hash(const struct audit_entry *entry,
			 uint8_t hash[AUDIT_HASH_BYTES])
{
	msgpack_sbuffer covered;
	msgpack_packer packer;

	msgpack_sbuffer_init(&covered);
	msgpack_packer_init(&packer, &covered, msgpack_sbuffer_write);
	pack_hashed_fields(entry, &packer);
	crypto_generichash(hash, AUDIT_HASH_BYTES,
			   (const unsigned char *)covered.data, covered.size,
			   NULL, 0);
	msgpack_sbuffer_destroy(&covered);
}

void audit_entry_chain(struct audit_entry *entry,
		       const struct audit_entry *previous)
{
	entry->sequence = previous ? previous->sequence + 1 : 1;
	if (previous)
		memcpy(entry->previous_hash, previous->hash, AUDIT_HASH_BYTES);
	else
		memset(entry->previous_hash, 0, AUDIT_HASH_BYTES);
	compute_hash(entry, entry->hash);
}

static enum tgw_status verify_link(const struct audit_entry *entry,
				   const struct audit_entry *previous,
				   struct tgw_error *error)
{
	if (entry->sequence != previous->sequence + 1)
		return tgw_error_set(error, TGW_CORRUPT,
				     "audit entry %" PRIu64
				     " follows entry %" PRIu64
				     ": entries were removed or added; "
				     "compare with an exported copy",
				     entry->sequence, previous->sequence);
	if (sodium_memcmp(entry->previous_hash, previous->hash,
			  AUDIT_HASH_BYTES) != 0)
		return tgw_error_set(error, TGW_CORRUPT,
				     "audit entry %" PRIu64
				     " does not link to the entry before it; "
				     "compare with an exported copy",
				     entry->sequence);
	return TGW_OK;
}

enum tgw_status audit_entry_verify(const struct audit_entry *entry,
				   const struct audit_entry *previous,
				   struct tgw_error *error)
{
	uint8_t hash[AUDIT_HASH_BYTES];

	compute_hash(entry, hash);
	if (sodium_memcmp(hash, entry->hash, AUDIT_HASH_BYTES) != 0)
		return tgw_error_set(error, TGW_CORRUPT,
				     "audit entry %" PRIu64 " was altered; "
				     "compare with an exported copy",
				     entry->sequence);
	return previous ? verify_link(entry, previous, error) : TGW_OK;
}

void audit_entry_pack(const struct audit_entry *entry, msgpack_packer *packer)
{
	msgpack_pack_array(packer, AUDIT_ENTRY_FIELDS);
	pack_hashed_fields(entry, packer);
	msgpack_field_pack_bytes(packer, entry->hash, AUDIT_HASH_BYTES);
}

enum tgw_status audit_entry_unpack(struct audit_entry *entry,
				   const msgpack_object *object,
				   struct tgw_error *error)
{
	struct record_reader reader;

	memset(entry, 0, sizeof(*entry));
	record_reader_open(&reader, "an audit entry", object,
			   AUDIT_ENTRY_FORMAT_VERSION);
	entry->sequence = record_reader_u64(&reader);
	entry->wall_us = record_reader_i64(&reader);
	record_reader_text(&reader, entry->who, sizeof(entry->who));
	record_reader_text(&reader, entry->from, sizeof(entry->from));
	record_reader_text(&reader, entry->action, sizeof(entry->action));
	record_reader_text(&reader, entry->object, sizeof(entry->object));
	record_reader_text(&reader, entry->before, sizeof(entry->before));
	record_reader_text(&reader, entry->after, sizeof(entry->after));
	record_reader_text(&reader, entry->reason, sizeof(entry->reason));
	record_reader_bytes(&reader, entry->change_digest, AUDIT_HASH_BYTES);
	record_reader_bytes(&reader, entry->previous_hash, AUDIT_HASH_BYTES);
	record_reader_bytes(&reader, entry->hash, AUDIT_HASH_BYTES);
	return record_reader_finish(&reader, error);
}
