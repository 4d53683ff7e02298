#include "base/msgpack_guard.h"

#include <stdint.h>

/* What a value's first bytes say of the rest. */
struct value_head {
	size_t head_bytes; /* first byte and length field */
	uint64_t body_bytes;
	uint64_t elements;
};

static uint64_t read_big_endian(const uint8_t *bytes, size_t count)
{
	uint64_t number = 0;

	for (size_t i = 0; i < count; i++)
		number = number << 8 | bytes[i];
	return number;
}

/* Bytes of the length field, and what follows it, by the first byte. */
static const struct {
	uint8_t length_bytes;
	uint8_t fixed_body_bytes;
	uint8_t elements_per_count; /* 0: the length counts bytes */
} heads[32] = {
	/* 0xc0 nil, never used, false, true */
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

static bool read_head(const uint8_t *bytes, size_t size,
		      struct value_head *head)
{
	uint8_t first = bytes[0];
	size_t row = first - 0xc0u;
	uint64_t length;

	head->head_bytes = 1;
	head->body_bytes = 0;
	head->elements = 0;
	if (first < 0x80 || first >= 0xe0) /* small integers */
		return true;
	if (first < 0xc0) {
		if (first < 0x90) /* small map */
			head->elements = 2 * (uint64_t)(first & 0x0f);
		else if (first < 0xa0) /* small array */
			head->elements = first & 0x0f;
		else /* short string */
			head->body_bytes = first & 0x1f;
		return true;
	}
	head->head_bytes += heads[row].length_bytes;
	if (head->head_bytes > size)
		return false;
	length = read_big_endian(bytes + 1, heads[row].length_bytes);
	head->body_bytes = heads[row].fixed_body_bytes;
	if (heads[row].elements_per_count)
		head->elements = length * heads[row].elements_per_count;
	else
		head->body_bytes += length;
	return true;
}

bool msgpack_guard_is_whole(const void *data, size_t size)
{
	const uint8_t *bytes = data;
	uint64_t wanted = 1;

	while (wanted) {
		struct value_head head;

		/* Each value takes a byte at least. */
		if (wanted > size || !read_head(bytes, size, &head))
			return false;
		bytes += head.head_bytes;
		size -= head.head_bytes;
		if (head.body_bytes > size)
			return false;
		bytes += head.body_bytes;
		size -= head.body_bytes;
		wanted += head.elements;
		wanted--;
	}
	return true;
}

msgpack_unpack_return msgpack_guard_next(msgpack_unpacked *result,
					 const char *data, size_t size,
					 size_t *offset)
{
	size_t at = offset ? *offset : 0;

	if (at >= size || !msgpack_guard_is_whole(data + at, size - at))
		return MSGPACK_UNPACK_PARSE_ERROR;
	return msgpack_unpack_next(result, data, size, offset);
}
