/**
 * @file buffer.h
 * A growable byte string. A null terminator follows the bytes.
 */
#ifndef BASE_BUFFER_H
#define BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

struct buffer {
	char *data; /**< never NULL once something was added */
	size_t size;
	size_t capacity;
};

void buffer_add(struct buffer *buffer, const void *data, size_t size);

/** @return the capacity that the buffer has once `more` bytes were added */
size_t buffer_capacity_with(const struct buffer *buffer, size_t more);

/** Gives the buffer memory for just so many bytes, or for what it has if that
 * is more. */
void buffer_set_capacity(struct buffer *buffer, size_t size);

void buffer_add_text(struct buffer *buffer, const char *text);
void buffer_add_format(struct buffer *buffer, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Removes the first `size` bytes. */
void buffer_consume(struct buffer *buffer, size_t size);

/** Empties the buffer and keeps its memory. */
void buffer_clear(struct buffer *buffer);

void buffer_free(struct buffer *buffer);

#endif
