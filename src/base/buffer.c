#include "base/buffer.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define BUFFER_INITIAL_BYTES 256

size_t buffer_capacity_with(const struct buffer *buffer, size_t more)
{
	size_t needed = buffer->size + more + 1;
	size_t capacity = buffer->capacity;

	if (needed <= capacity)
		return capacity;
	if (!capacity)
		capacity = BUFFER_INITIAL_BYTES;
	while (capacity < needed)
		capacity *= 2;
	return capacity;
}

static void buffer_reserve(struct buffer *buffer, size_t more)
{
	size_t capacity = buffer_capacity_with(buffer, more);

	if (capacity == buffer->capacity)
		return;
	buffer->capacity = capacity;
	buffer->data = xrealloc(buffer->data, buffer->capacity);
}

void buffer_set_capacity(struct buffer *buffer, size_t size)
{
	buffer->capacity = (size > buffer->size ? size : buffer->size) + 1;
	buffer->data = xrealloc(buffer->data, buffer->capacity);
	buffer->data[buffer->size] = '\0';
}

void buffer_add(struct buffer *buffer, const void *data, size_t size)
{
	buffer_reserve(buffer, size);
	if (size)
		memcpy(buffer->data + buffer->size, data, size);
	buffer->size += size;
	buffer->data[buffer->size] = '\0';
}

void buffer_add_text(struct buffer *buffer, const char *text)
{
	buffer_add(buffer, text, strlen(text));
}

void buffer_add_format(struct buffer *buffer, const char *format, ...)
{
	va_list args;
	char *text = NULL;
	int length;

	va_start(args, format);
	length = vasprintf(&text, format, args);
	va_end(args);
	if (length < 0)
		abort();
	buffer_add(buffer, text, (size_t)length);
	free(text);
}

void buffer_consume(struct buffer *buffer, size_t size)
{
	assert(size <= buffer->size);
	if (!buffer->data)
		return;
	memmove(buffer->data, buffer->data + size, buffer->size - size + 1);
	buffer->size -= size;
}

void buffer_clear(struct buffer *buffer)
{
	buffer->size = 0;
	if (buffer->data)
		buffer->data[0] = '\0';
}

void buffer_free(struct buffer *buffer)
{
	free(buffer->data);
	memset(buffer, 0, sizeof(*buffer));
}
