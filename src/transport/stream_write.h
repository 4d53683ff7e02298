/**
 * @file stream_write.h
 * Writes to a stream of the event loop: at once as far as its socket takes
 * it, the rest queued in a copy.
 */
#ifndef TRANSPORT_STREAM_WRITE_H
#define TRANSPORT_STREAM_WRITE_H

#include <uv.h>

/**
 * Writes the parts in order. An error that shows at once is not told: it
 * shows at the next read as well.
 * @param done told when queued bytes were written, with 0, or could not be,
 * with libuv's error
 */
void stream_write_parts(uv_stream_t *stream, const uv_buf_t *parts,
			unsigned int count,
			void (*done)(uv_stream_t *stream, int status));

#endif
