#include "transport/stream_write.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/** Bytes that the socket did not accept at once. */
struct queued_write {
	uv_write_t request;
	void (*done)(uv_stream_t *stream, int status);
	struct held_buffer *last; /* NULL unless a part of it is queued */
	char data[];
};

static void free_queued(struct queued_write *queued)
{
	held_buffer_unref(queued->last);
	free(queued);
}

static void on_written(uv_write_t *request, int status)
{
	struct queued_write *queued = request->data;
	uv_stream_t *stream = request->handle;
	void (*done)(uv_stream_t * stream, int status) = queued->done;

	free_queued(queued);
	done(stream, status);
}

/* Copies what follows the first `skip` bytes of the parts. */
static void copy_from(char *data, const uv_buf_t *parts, unsigned int count,
		      size_t skip)
{
	size_t at = 0;

	for (unsigned int i = 0; i < count; i++) {
		size_t skipped = skip < parts[i].len ? skip : parts[i].len;

		memcpy(data + at, parts[i].base + skipped,
		       parts[i].len - skipped);
		at += parts[i].len - skipped;
		skip -= skipped;
	}
}

size_t stream_write_size(const uv_buf_t *parts, unsigned int count)
{
	size_t total = 0;

	for (unsigned int i = 0; i < count; i++)
		total += parts[i].len;
	return total;
}

/* @param size of the rest, which is not empty */
static int queue_rest(uv_stream_t *stream, const uv_buf_t *parts,
		      unsigned int count, size_t size, struct held_buffer *last,
		      void (*done)(uv_stream_t *stream, int status))
{
	unsigned int copied_count = last ? count - 1 : count;
	size_t last_size = last ? parts[count - 1].len : 0;
	size_t by_reference = size < last_size ? size : last_size;
	size_t copied = size - by_reference;
	size_t skip = stream_write_size(parts, copied_count) - copied;
	struct queued_write *queued = xmalloc(sizeof(*queued) + copied);
	uv_buf_t rest[2];
	unsigned int rest_count = 0;
	int error;

	queued->request.data = queued;
	queued->done = done;
	queued->last = held_buffer_ref(last);
	copy_from(queued->data, parts, copied_count, skip);
	if (copied)
		rest[rest_count++] =
			uv_buf_init(queued->data, (unsigned int)copied);
	if (by_reference)
		rest[rest_count++] = uv_buf_init(
			parts[count - 1].base + last_size - by_reference,
			(unsigned int)by_reference);
	error = uv_write(&queued->request, stream, rest, rest_count,
			 on_written);
	if (error)
		free_queued(queued);
	return error;
}

int stream_write_parts(uv_stream_t *stream, const uv_buf_t *parts,
		       unsigned int count, struct held_buffer *last,
		       void (*done)(uv_stream_t *stream, int status))
{
	size_t total = stream_write_size(parts, count);
	int written = uv_try_write(stream, parts, count);
	size_t accepted = written > 0 ? (size_t)written : 0;

	if (accepted == total)
		return 0;
	return queue_rest(stream, parts, count, total - accepted, last, done);
}
