/**
 * @file sse_parser.h
 * Server-sent events, taken apart as the bytes come.
 */
#ifndef PROTOCOL_SSE_PARSER_H
#define PROTOCOL_SSE_PARSER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

/** Receiver of events. */
struct sse_handler {
	/** @param data the event's data lines, joined; ends with '\0'
	 * @return false to stop: the rest of the bytes is not looked at */
	bool (*event)(void *arg, const char *data, size_t size);
	void *arg;
};

enum sse_result {
	SSE_OK,
	SSE_STOPPED,   /**< the handler wanted no more */
	SSE_TOO_LARGE, /**< an event is over the limit */
};

struct sse_parser {
	size_t max_event_bytes;
	struct buffer line;
	struct buffer data;
	bool has_data;
	bool after_cr; /**< a '\n' that follows belongs to the '\r' */
};

void sse_parser_init(struct sse_parser *parser, size_t max_event_bytes);

/** Forgets a half-read event, as at the start of a new stream. */
void sse_parser_reset(struct sse_parser *parser);

void sse_parser_free(struct sse_parser *parser);

enum sse_result sse_parser_feed(struct sse_parser *parser, const char *bytes,
				size_t size, struct sse_handler handler);

#endif
