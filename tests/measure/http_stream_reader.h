/**
 * @file http_stream_reader.h
 * Reads one HTTP answer of server-sent events from the bytes of a connection.
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
	HTTP_STREAM_BROKEN, /**< not what was expected */
};

struct http_stream_reader {
	enum http_stream_state state;
	struct buffer raw;  /**< received, not yet taken apart */
	struct buffer body; /**< without chunk marks, not yet an event */
	int status;
	size_t chunk_left;
	/** Called with each whole event, its "data: " taken off. */
	void (*event)(void *arg, const char *data);
	void *arg;
};

/** Starts anew for the next answer on the same connection. */
void http_stream_reader_reset(struct http_stream_reader *reader);

void http_stream_reader_feed(struct http_stream_reader *reader,
			     const char *data, size_t size);

void http_stream_reader_free(struct http_stream_reader *reader);

#endif
