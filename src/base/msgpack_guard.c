#include "base/msgpack_guard.h"

#include <stdint.h>

/* The size of a value, from its first byte and its length field. */
struct value_header {
	size_t header_bytes; /* of the first byte and the length field */
	uint64_t body_bytes;
	uint64_t elements; /* values that follow as the container's elements */
};

static uint64_t read_big_endian(const uint8_t *bytes, size_t count)
{
	uint64_t number = 0;

	for (size_t i = 0; i < count; i++)
		number = number << 8 | bytes[i];
	return number;
}

/* The layout of the value formats 0xc0 to 0xdf, by the first byte less 0xc0. */
static const struct {
	uint8_t length_bytes;
	uint8_t fixed_body_bytes;
	/* Elements per unit of the length field; 0: the field counts bytes. */
	uint8_t elements_per_unit;
} formats[32] = {
	/* 0xc0 to 0xc3: nil, never used, false, true */
	[0x04] = {1, 0, 0}, [0x05] = {2, 0, 0},
	[0x06] = {4, 0, 0}, /* bin */
	[0x07] = {1, 1, 0}, [0x08] = {2, 1, 0},
	[0x09] = {4, 1, 0},			/* ext */
	[0x0a] = {0, 4, 0}, [0x0b] = {0, 8, 0}, /* float */
	[0x0c] = {0, 1, 0}, [0x0d] = {0, 2, 0}, /* uint */
	[0x0e] = {0, 4, 0}, [0x0f] = {0, 8, 0}, /* uint */
	[0x10] = {0, 1, 0}, [0x11] = {0, 2, 0}, /* int */
	[0x12] = {0, 4, 0}, [0x13] = {0, 8, 0}, /* int */
	[0x14] = {0, 2, 0}, [0x15] = {0, 3, 0},
	[0x16] = {0, 5, 0},			 /* fixext */
	[0x17] = {0, 9, 0}, [0x18] = {0, 17, 0}, /* fixext */
	[0x19] = {1, 0, 0}, [0x1a] = {2, 0, 0},
	[0x1b] = {4, 0, 0},			/* str */
	[0x1c] = {2, 0, 1}, [0x1d] = {4, 0, 1}, /* array */
	[0x1e] = {2, 0, 2}, [0x1f] = {4, 0, 2}, /* map */
};

static bool read_header(const uint8_t *bytes, size_t size,
			struct value_header *header)
{
	uint8_t first = bytes[0];
	size_t row = first - 0xc0u;
	uint64_t length;

	header->header_bytes = 1;
	header->body_bytes = 0;
	header->elements = 0;
	if (first < 0x80 || first >= 0xe0) /* small integers */
		return true;
	if (first < 0xc0) {
		if (first < 0x90) /* small map */
			header->elements = 2 * (uint64_t)(first & 0x0f);
		else if (first < 0xa0) /* small array */
			header->elements = first & 0x0f;
		else /* short string */
			header->body_bytes = first & 0x1f;
		return true;
	}
	header->header_bytes += formats[row].length_bytes;
	if (header->header_bytes > size)
		return false;
	length = read_big_endian(bytes + 1, formats[row].length_bytes);
	header->body_bytes = formats[row].fixed_body_bytes;
	if (formats[row].elements_per_unit)
		header->elements = length * formats[row].elements_per_unit;
	else
		header->body_bytes += length;
	return true;
}

bool msgpack_guard_is_complete(const void *data, size_t size)
{
	const uint8_t *bytes = data;
	uint64_t values_left = 1;

	while (values_left) {
		struct value_header header;

		/* Each value takes at least one byte. */
		if (values_left > size || !read_header(bytes, size, &header))
			return false;
		bytes += header.header_bytes;
		size -= header.header_bytes;
		if (header.body_bytes > size)
			return false;
		bytes += header.body_bytes;
		size -= header.body_bytes;
		values_left += header.elements;
		values_left--;
	}
	return true;
}

msgpack_unpack_return msgpack_guard_next(msgpack_unpacked *result,
					 const char *data, size_t size,
					 size_t *offset)
{
	size_t at = offset ? *offset : 0;

	if (at >= size || !msgpack_guard_is_complete(data + at, size - at))
		return MSGPACK_UNPACK_PARSE_ERROR;
	return msgpack_unpack_next(result, data, size, offset);
}

bool msgpack_guard_unpack(msgpack_unpacked *unpacked, const void *data,
			  size_t size)
{
	size_t at = 0;

	msgpack_unpacked_init(unpacked);
	return msgpack_guard_next(unpacked, data, size, &at) ==
		       MSGPACK_UNPACK_SUCCESS &&
	       at == size;
}
