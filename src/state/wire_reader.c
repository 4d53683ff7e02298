#include "state/wire_reader.h"

#include <string.h>

struct wire_reader wire_reader_of(const msgpack_object *object)
{
	struct wire_reader reader = {.failed = true};

	if (!object || object->type != MSGPACK_OBJECT_ARRAY)
		return reader;
	reader.next = object->via.array.ptr;
	reader.left = object->via.array.size;
	reader.failed = false;
	return reader;
}

static const msgpack_object *take(struct wire_reader *reader)
{
	if (reader->failed || !reader->left) {
		reader->failed = true;
		return NULL;
	}
	reader->left--;
	return reader->next++;
}

uint64_t wire_reader_u64(struct wire_reader *reader)
{
	const msgpack_object *object = take(reader);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return object->via.u64;
	reader->failed = true;
	return 0;
}

int64_t wire_reader_i64(struct wire_reader *reader)
{
	const msgpack_object *object = take(reader);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX)
		return (int64_t)object->via.u64;
	if (object && object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return object->via.i64;
	reader->failed = true;
	return 0;
}

void wire_reader_text(struct wire_reader *reader, char *text, size_t size)
{
	const msgpack_object *object = take(reader);

	text[0] = '\0';
	if (!object || object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size >= size) {
		reader->failed = true;
		return;
	}
	if (object->via.str.size)
		memcpy(text, object->via.str.ptr, object->via.str.size);
	text[object->via.str.size] = '\0';
}

const uint8_t *wire_reader_bytes(struct wire_reader *reader, size_t *size)
{
	const msgpack_object *object = take(reader);

	*size = 0;
	if (!object || object->type != MSGPACK_OBJECT_BIN) {
		reader->failed = true;
		return NULL;
	}
	*size = object->via.bin.size;
	return (const uint8_t *)object->via.bin.ptr;
}

struct wire_reader wire_reader_array(struct wire_reader *reader)
{
	struct wire_reader inner = wire_reader_of(take(reader));

	if (inner.failed)
		reader->failed = true;
	return inner;
}

void wire_pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

void wire_pack_bytes(msgpack_packer *packer, const void *bytes, size_t size)
{
	msgpack_pack_bin(packer, size);
	msgpack_pack_bin_body(packer, bytes, size);
}
