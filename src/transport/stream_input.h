/**
 * @file stream_input.h
 * Looks into a socket for what has arrived since the event loop last read.
 */
#ifndef TRANSPORT_STREAM_INPUT_H
#define TRANSPORT_STREAM_INPUT_H

#include <uv.h>

enum stream_input {
	STREAM_INPUT_NONE,
	STREAM_INPUT_BYTES,
	STREAM_INPUT_ENDED, /**< the peer has closed or reset, or an error */
};

/** Looks without waiting, and leaves all bytes where they are. */
enum stream_input stream_input_look(const uv_tcp_t *tcp);

#endif
