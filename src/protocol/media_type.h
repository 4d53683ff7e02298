/**
 * @file media_type.h
 * Recognizes the media types of bodies whose end can be told from their
 * content.
 */
#ifndef PROTOCOL_MEDIA_TYPE_H
#define PROTOCOL_MEDIA_TYPE_H

#include <stdbool.h>
#include <string.h>
#include <strings.h>

#define MEDIA_TYPE_EVENT_STREAM "text/event-stream"

/** @param content_type value of Content-Type, with or without parameters; NULL
 * for none */
static inline bool media_type_is(const char *content_type, const char *type)
{
	size_t size = strlen(type);

	if (!content_type || strncasecmp(content_type, type, size))
		return false;
	return !content_type[size] || strchr("; \t", content_type[size]);
}

/** @return whether the body is a stream of server-sent events */
static inline bool media_type_is_event_stream(const char *content_type)
{
	return media_type_is(content_type, MEDIA_TYPE_EVENT_STREAM);
}

/** @return whether the body is one JSON text */
static inline bool media_type_is_json(const char *content_type)
{
	return media_type_is(content_type, "application/json");
}

#endif
