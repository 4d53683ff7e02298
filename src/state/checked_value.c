#include "state/checked_value.h"

#include <xxhash.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"

#define FIELDS 3

void checked_value_encode(const struct checked_value_kind *kind,
			  const struct buffer *body, struct buffer *value)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, value, msgpack_field_write);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_uint32(&packer, kind->format_version);
	msgpack_field_pack_bytes(&packer, body->data, body->size);
	msgpack_pack_uint64(&packer, XXH64(body->data, body->size, 0));
}

enum tgw_status checked_value_report_damage(
	const struct checked_value_kind *kind, size_t size,
	struct tgw_error *error)
{
	return tgw_error_set(error, TGW_CORRUPT,
			     "the %s of %zu bytes is damaged; %s", kind->name,
			     size, kind->remedy);
}

enum tgw_status checked_value_open(const struct checked_value_kind *kind,
				   msgpack_unpacked *unpacked,
				   const void *value, size_t size,
				   struct wire_reader *reader,
				   uint64_t *format_version,
				   struct tgw_error *error)
{
	if (!msgpack_guard_unpack(unpacked, value, size))
		return checked_value_report_damage(kind, size, error);
	*reader = wire_reader_of(&unpacked->data);
	*format_version = wire_reader_u64(reader);
	if (reader->failed)
		return checked_value_report_damage(kind, size, error);
	if (*format_version > kind->format_version)
		return tgw_error_set(error, TGW_NEWER_FORMAT,
				     "the %s was written by a newer version; "
				     "upgrade this program",
				     kind->name);
	return TGW_OK;
}

static bool decode_body(const uint8_t *body, size_t size,
			bool (*read)(void *arg, const msgpack_object *body),
			void *arg)
{
	msgpack_unpacked unpacked;
	bool valid = msgpack_guard_unpack(&unpacked, body, size) &&
		     read(arg, &unpacked.data);

	msgpack_unpacked_destroy(&unpacked);
	return valid;
}

bool checked_value_read(struct wire_reader *reader,
			bool (*read)(void *arg, const msgpack_object *body),
			void *arg)
{
	uint64_t checksum;
	size_t size;
	const uint8_t *body = wire_reader_bytes(reader, &size);

	checksum = wire_reader_u64(reader);
	return !reader->failed && !reader->left &&
	       checksum == XXH64(body, size, 0) &&
	       decode_body(body, size, read, arg);
}

enum tgw_status checked_value_decode(const struct checked_value_kind *kind,
				     const void *value, size_t size,
				     bool (*read)(void *arg,
						  const msgpack_object *body),
				     void *arg, struct tgw_error *error)
{
	struct wire_reader reader;
	msgpack_unpacked unpacked;
	uint64_t version = 0;
	enum tgw_status status = checked_value_open(
		kind, &unpacked, value, size, &reader, &version, error);

	if (status == TGW_OK && (version != kind->format_version ||
				 !checked_value_read(&reader, read, arg)))
		status = checked_value_report_damage(kind, size, error);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
