/**
 * @file http_stream_reader.h
 * Parses one chunked HTTP response of server-sent events from the bytes of a
 * connection.
 */
#ifndef MEASURE_HTTP_STREAM_READER_H
#define MEASURE_HTTP_STREAM_READER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

enum http_stream_state {
	HTTP_STREAM_HEAD,
	HTTP_STREAM_CHUNK_SIZE,
	HTTP_STREAM_CHUNK_DATA,
	HTTP_STREAM_CHUNK_END,
	HTTP_STREAM_TRAILER,
	HTTP_STREAM_COMPLETE,
	HTTP_STREAM_REFUSED, /**< the status is not 200 */
};

struct http_stream_reader {
	enum http_stream_state state;
	struct buffer raw; /**< received bytes that are not parsed yet */
	/** Data of the chunks that does not form a complete event yet. */
	struct buffer body;
	int status; /**< 0 until the head is parsed */
	size_t chunk_left;
	/** Called with the data of each complete event, without "data: ". */
	void (*event)(void *arg, const char *data);
	void *arg;
};

/** Prepares for the next response on the same connection. */
void http_stream_reader_reset(struct http_stream_reader *reader);

void http_stream_reader_feed(struct http_stream_reader *reader,
			     const char *data, size_t size);

void http_stream_reader_free(struct http_stream_reader *reader);

#endif
