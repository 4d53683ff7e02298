#include "state/wire_reader.h"

#include "state/msgpack_field.h"

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

static const msgpack_object *next_element(struct wire_reader *reader)
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
	const msgpack_object *object = next_element(reader);
	uint64_t value = 0;

	if (!object || !msgpack_field_u64(object, &value))
		reader->failed = true;
	return value;
}

int64_t wire_reader_i64(struct wire_reader *reader)
{
	const msgpack_object *object = next_element(reader);
	int64_t value = 0;

	if (!object || !msgpack_field_i64(object, &value))
		reader->failed = true;
	return value;
}

void wire_reader_text(struct wire_reader *reader, char *text, size_t size)
{
	const msgpack_object *object = next_element(reader);

	text[0] = '\0';
	if (!object || !msgpack_field_text(object, text, size))
		reader->failed = true;
}

const uint8_t *wire_reader_bytes(struct wire_reader *reader, size_t *size)
{
	const msgpack_object *object = next_element(reader);

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
	struct wire_reader inner = wire_reader_of(next_element(reader));

	if (inner.failed)
		reader->failed = true;
	return inner;
}
