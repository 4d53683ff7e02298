/**
 * @file packed.h
 * Bytes compressed by DEFLATE (RFC 1950).
 */
#ifndef BASE_PACKED_H
#define BASE_PACKED_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

/** Appends the compressed bytes. */
void packed_add(struct buffer *packed, const void *bytes, size_t size);

/** @return whether the bytes begin as compressed ones do, which no encoded
 * record does */
bool packed_is(const void *bytes, size_t size);

/** Appends what was compressed.
 * @return false if the bytes are damaged, or more than the maximum results;
 * then nothing is appended */
bool packed_read(const void *packed, size_t size, size_t max_size,
		 struct buffer *bytes);

#endif
