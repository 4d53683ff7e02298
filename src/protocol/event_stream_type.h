/**
 * @file event_stream_type.h
 * Recognizes the media type of server-sent events.
 */
#ifndef PROTOCOL_EVENT_STREAM_TYPE_H
#define PROTOCOL_EVENT_STREAM_TYPE_H

#include <stdbool.h>
#include <string.h>
#include <strings.h>

#define EVENT_STREAM_TYPE "text/event-stream"

/** @param content_type value of Content-Type, with or without parameters; NULL
 * for none */
static inline bool is_event_stream_type(const char *content_type)
{
	size_t size = strlen(EVENT_STREAM_TYPE);

	if (!content_type || strncasecmp(content_type, EVENT_STREAM_TYPE, size))
		return false;
	return !content_type[size] || strchr("; \t", content_type[size]);
}

#endif
