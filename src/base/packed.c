#include "base/packed.h"

#include <stdint.h>
#include <stdlib.h>
#include <zlib.h>

#include "base/xalloc.h"

/* The first byte: DEFLATE with a window of 32 kB. */
#define FIRST_BYTE 0x78

void packed_add(struct buffer *packed, const void *bytes, size_t size)
{
	uLongf packed_size = compressBound(size);
	void *result = xmalloc(packed_size);

	/* It fails only without memory. */
	if (compress2(result, &packed_size, bytes, size, Z_BEST_SPEED) != Z_OK)
		abort();
	buffer_add(packed, result, packed_size);
	free(result);
}

bool packed_is(const void *bytes, size_t size)
{
	return size && *(const uint8_t *)bytes == FIRST_BYTE;
}

bool packed_read(const void *packed, size_t size, size_t max_size,
		 struct buffer *bytes)
{
	uLongf unpacked_size = max_size;
	void *result = xmalloc(max_size);
	bool is_whole = uncompress(result, &unpacked_size, packed, size) ==
			Z_OK;

	if (is_whole)
		buffer_add(bytes, result, unpacked_size);
	free(result);
	return is_whole;
}
