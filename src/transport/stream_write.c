#include "transport/stream_write.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/** Bytes that the socket did not accept at once. */
struct queued_write {
	uv_write_t request;
	void (*done)(uv_stream_t *stream, int status);
	char data[];
};

static void on_written(uv_write_t *request, int status)
{
	struct queued_write *queued = request->data;
	uv_stream_t *stream = request->handle;
	void (*done)(uv_stream_t * stream, int status) = queued->done;

	free(queued);
	done(stream, status);
}

static size_t copy_from(char *data, const uv_buf_t *parts, unsigned int count,
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
	return at;
}

size_t stream_write_size(const uv_buf_t *parts, unsigned int count)
{
	size_t total = 0;

	for (unsigned int i = 0; i < count; i++)
		total += parts[i].len;
	return total;
}

int stream_write_parts(uv_stream_t *stream, const uv_buf_t *parts,
		       unsigned int count,
		       void (*done)(uv_stream_t *stream, int status))
{
	struct queued_write *queued;
	uv_buf_t rest;
	size_t total = stream_write_size(parts, count);
	size_t accepted = 0;
	int written;
	int error;

	written = uv_try_write(stream, parts, count);
	if (written > 0)
		accepted = (size_t)written;
	if (accepted == total)
		return 0;
	queued = xmalloc(sizeof(*queued) + total - accepted);
	queued->request.data = queued;
	queued->done = done;
	rest = uv_buf_init(queued->data,
			   (unsigned int)copy_from(queued->data, parts, count,
						   accepted));
	error = uv_write(&queued->request, stream, &rest, 1, on_written);
	if (error)
		free(queued);
	return error;
}
