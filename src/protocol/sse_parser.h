/**
 * @file sse_parser.h
 * Incremental parser of server-sent events.
 */
#ifndef PROTOCOL_SSE_PARSER_H
#define PROTOCOL_SSE_PARSER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

/** Receiver of events. */
struct sse_handler {
	/** @param data the event's data lines, joined by '\n'; ends with '\0'
	 * @return false to stop: the remaining bytes are not parsed */
	bool (*event)(void *arg, const char *data, size_t size);
	void *arg;
};

enum sse_result {
	SSE_OK,
	SSE_STOPPED,   /**< the handler returned false */
	SSE_TOO_LARGE, /**< an event exceeds max_event_bytes */
};

struct sse_parser {
	size_t max_event_bytes;
	struct buffer line;
	struct buffer data;
	bool has_data;
	bool after_cr; /**< a '\r' ended the last line: skip a '\n' */
};

void sse_parser_init(struct sse_parser *parser, size_t max_event_bytes);

/** Discards a partly read event, as at the start of a new stream. */
void sse_parser_reset(struct sse_parser *parser);

void sse_parser_free(struct sse_parser *parser);

enum sse_result sse_parser_feed(struct sse_parser *parser, const char *bytes,
				size_t size, struct sse_handler handler);

#endif
