#include "state/held_buffer.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

struct held_buffer *held_buffer_take(struct buffer *bytes,
				     struct held_bytes *held,
				     int64_t *recorded_bytes)
{
	struct held_buffer *buffer = xcalloc(1, sizeof(*buffer));

	buffer->bytes = *bytes;
	memset(bytes, 0, sizeof(*bytes));
	buffer->users = 1;
	buffer->held = held;
	if (held) {
		buffer->recorded_bytes = *recorded_bytes;
		*recorded_bytes = 0;
	}
	return buffer;
}

struct held_buffer *held_buffer_ref(struct held_buffer *buffer)
{
	if (buffer)
		buffer->users++;
	return buffer;
}

void held_buffer_unref(struct held_buffer *buffer)
{
	if (!buffer)
		return;
	assert(buffer->users);
	if (--buffer->users)
		return;
	if (buffer->held)
		held_bytes_record(buffer->held, &buffer->recorded_bytes, 0);
	buffer_free(&buffer->bytes);
	free(buffer);
}
