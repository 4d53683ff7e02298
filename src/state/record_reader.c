#include "state/record_reader.h"

#include <string.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"

static const msgpack_object_array no_elements;

void record_reader_open_nested(struct record_reader *reader, const char *what,
			       const msgpack_object *object)
{
	memset(reader, 0, sizeof(*reader));
	reader->what = what;
	reader->status = TGW_OK;
	if (object->type != MSGPACK_OBJECT_ARRAY) {
		reader->status = TGW_CORRUPT;
		return;
	}
	reader->fields = object->via.array.ptr;
	reader->field_count = object->via.array.size;
}

void record_reader_open(struct record_reader *reader, const char *what,
			const msgpack_object *object, uint64_t newest_format)
{
	uint64_t format;

	record_reader_open_nested(reader, what, object);
	format = record_reader_u64(reader);
	if (reader->status != TGW_OK)
		return;
	if (format == 0)
		reader->status = TGW_CORRUPT;
	else if (format > newest_format)
		reader->status = TGW_NEWER_FORMAT;
}

static const msgpack_object *next_field(struct record_reader *reader)
{
	if (reader->status != TGW_OK)
		return NULL;
	if (reader->next == reader->field_count) {
		reader->status = TGW_CORRUPT;
		return NULL;
	}
	return &reader->fields[reader->next++];
}

static const msgpack_object *next_typed(struct record_reader *reader,
					msgpack_object_type type)
{
	const msgpack_object *field = next_field(reader);

	if (field && field->type != type) {
		reader->status = TGW_CORRUPT;
		return NULL;
	}
	return field;
}

uint64_t record_reader_u64(struct record_reader *reader)
{
	const msgpack_object *field =
		next_typed(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return field ? field->via.u64 : 0;
}

int64_t record_reader_i64(struct record_reader *reader)
{
	const msgpack_object *field = next_field(reader);
	int64_t value = 0;

	if (field && !msgpack_field_i64(field, &value))
		reader->status = TGW_CORRUPT;
	return value;
}

bool record_reader_bool(struct record_reader *reader)
{
	const msgpack_object *field =
		next_typed(reader, MSGPACK_OBJECT_BOOLEAN);

	return field && field->via.boolean;
}

void record_reader_text(struct record_reader *reader, char *text, size_t size)
{
	const msgpack_object *field = next_field(reader);

	text[0] = '\0';
	if (field && !msgpack_field_text(field, text, size))
		reader->status = TGW_CORRUPT;
}

const char *record_reader_blob(struct record_reader *reader, size_t *size)
{
	const msgpack_object *field = next_typed(reader, MSGPACK_OBJECT_BIN);

	*size = field ? field->via.bin.size : 0;
	return field ? field->via.bin.ptr : NULL;
}

void record_reader_bytes(struct record_reader *reader, void *bytes, size_t size)
{
	size_t found;
	const char *blob = record_reader_blob(reader, &found);

	memset(bytes, 0, size);
	if (reader->status != TGW_OK)
		return;
	if (found != size) {
		reader->status = TGW_CORRUPT;
		return;
	}
	memcpy(bytes, blob, size);
}

const msgpack_object_array *record_reader_array(struct record_reader *reader,
						size_t max_count)
{
	const msgpack_object *field = next_typed(reader, MSGPACK_OBJECT_ARRAY);

	if (!field)
		return &no_elements;
	if (field->via.array.size > max_count) {
		reader->status = TGW_CORRUPT;
		return &no_elements;
	}
	return &field->via.array;
}

enum tgw_status record_reader_finish(const struct record_reader *reader,
				     struct tgw_error *error)
{
	switch (reader->status) {
	case TGW_OK:
		return TGW_OK;
	case TGW_NEWER_FORMAT:
		return tgw_error_set(error, TGW_NEWER_FORMAT,
				     "%s was written by a newer version; "
				     "upgrade this program",
				     reader->what);
	default:
		return tgw_error_set(error, reader->status,
				     "%s does not decode at field %zu; check "
				     "the version of its writer, or restore "
				     "stored data from an earlier generation",
				     reader->what, reader->next);
	}
}

enum tgw_status record_reader_decode(
	const char *what, const void *bytes, size_t size,
	enum tgw_status (*read)(void *arg, const msgpack_object *object,
				struct tgw_error *error),
	void *arg, struct tgw_error *error)
{
	msgpack_unpacked unpacked;
	enum tgw_status status;

	if (msgpack_guard_unpack(&unpacked, bytes, size))
		status = read(arg, &unpacked.data, error);
	else
		status = tgw_error_set(error, TGW_CORRUPT,
				       "%s can't be decoded; check the "
				       "sender's version",
				       what);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
