#include "measure/http_stream_reader.h"

#include <stdlib.h>
#include <string.h>

#define EVENT_PREFIX "data: "
#define EVENT_END "\n\n"
#define STATUS_PREFIX "HTTP/1.1 "
#define STATUS_OK 200

void http_stream_reader_reset(struct http_stream_reader *reader)
{
	reader->state = HTTP_STREAM_HEAD;
	buffer_clear(&reader->raw);
	buffer_clear(&reader->body);
	reader->status = 0;
	reader->chunk_left = 0;
}

void http_stream_reader_free(struct http_stream_reader *reader)
{
	buffer_free(&reader->raw);
	buffer_free(&reader->body);
}

/* Finds the end of the first line or head in the received bytes.
 * @return its length with the terminator, 0 while it is incomplete */
static size_t line_size(const struct http_stream_reader *reader,
			const char *terminator)
{
	const char *end =
		reader->raw.size ? strstr(reader->raw.data, terminator) : NULL;

	return end ? (size_t)(end - reader->raw.data) + strlen(terminator) : 0;
}

static bool read_head(struct http_stream_reader *reader)
{
	size_t size = line_size(reader, "\r\n\r\n");

	if (!size)
		return false;
	if (!strncmp(reader->raw.data, STATUS_PREFIX, strlen(STATUS_PREFIX)))
		reader->status = (int)strtol(
			reader->raw.data + strlen(STATUS_PREFIX), NULL, 10);
	reader->state = HTTP_STREAM_CHUNK_SIZE;
	if (reader->status != STATUS_OK)
		reader->state = HTTP_STREAM_REFUSED;
	buffer_consume(&reader->raw, size);
	return true;
}

static bool read_chunk_size(struct http_stream_reader *reader)
{
	size_t size = line_size(reader, "\r\n");

	if (!size)
		return false;
	reader->chunk_left = strtoul(reader->raw.data, NULL, 16);
	reader->state = reader->chunk_left ? HTTP_STREAM_CHUNK_DATA
					   : HTTP_STREAM_TRAILER;
	buffer_consume(&reader->raw, size);
	return true;
}

static void deliver_events(struct http_stream_reader *reader)
{
	char *start = reader->body.data;
	char *end;

	while ((end = strstr(start, EVENT_END)) != NULL) {
		*end = '\0';
		if (!strncmp(start, EVENT_PREFIX, strlen(EVENT_PREFIX)))
			reader->event(reader->arg,
				      start + strlen(EVENT_PREFIX));
		start = end + strlen(EVENT_END);
	}
	buffer_consume(&reader->body, (size_t)(start - reader->body.data));
}

static bool read_chunk_data(struct http_stream_reader *reader)
{
	size_t size = reader->raw.size;

	if (!size)
		return false;
	if (size > reader->chunk_left)
		size = reader->chunk_left;
	buffer_add(&reader->body, reader->raw.data, size);
	buffer_consume(&reader->raw, size);
	reader->chunk_left -= size;
	deliver_events(reader);
	if (!reader->chunk_left)
		reader->state = HTTP_STREAM_CHUNK_END;
	return true;
}

static bool read_chunk_end(struct http_stream_reader *reader)
{
	size_t size = line_size(reader, "\r\n");

	if (!size)
		return false;
	reader->state = reader->state == HTTP_STREAM_TRAILER
				? HTTP_STREAM_COMPLETE
				: HTTP_STREAM_CHUNK_SIZE;
	buffer_consume(&reader->raw, size);
	return true;
}

static bool (*const parsers[])(struct http_stream_reader *reader) = {
	[HTTP_STREAM_HEAD] = read_head,
	[HTTP_STREAM_CHUNK_SIZE] = read_chunk_size,
	[HTTP_STREAM_CHUNK_DATA] = read_chunk_data,
	[HTTP_STREAM_CHUNK_END] = read_chunk_end,
	[HTTP_STREAM_TRAILER] = read_chunk_end,
};

void http_stream_reader_feed(struct http_stream_reader *reader,
			     const char *data, size_t size)
{
	buffer_add(&reader->raw, data, size);
	while (reader->state < HTTP_STREAM_COMPLETE)
		if (!parsers[reader->state](reader))
			return;
}
