/**
 * @file stream_write.h
 * Writes to a stream of the event loop: at once as much as the socket accepts,
 * the rest from a queue.
 */
#ifndef TRANSPORT_STREAM_WRITE_H
#define TRANSPORT_STREAM_WRITE_H

#include <stddef.h>
#include <uv.h>

#include "state/held_buffer.h"

/** @return the bytes of the parts together */
size_t stream_write_size(const uv_buf_t *parts, unsigned int count);

/**
 * Writes the parts in order. After an error, bytes are missing: the stream
 * can't be used further.
 * @param last has the bytes of the last part, which are queued by reference;
 * NULL: all is queued as a copy
 * @param done called once the queued bytes were written, with 0, or could not
 * be written, with libuv's error; not called if all was written at once, or
 * after an error
 * @return 0, or the error of libuv
 */
int stream_write_parts(uv_stream_t *stream, const uv_buf_t *parts,
		       unsigned int count, struct held_buffer *last,
		       void (*done)(uv_stream_t *stream, int status));

#endif
