/**
 * @file event_line.h
 * The ends of lines in a text/event-stream: LF, CR, or CR and LF together.
 */
#ifndef PROTOCOL_EVENT_LINE_H
#define PROTOCOL_EVENT_LINE_H

#include <stddef.h>

/** @return how many of these bytes precede the first CR or LF; all if there is
 * none. They are looked at once only, however many lines they hold. */
static inline size_t event_line_length(const char *bytes, size_t size)
{
	size_t length = 0;

	while (length < size && bytes[length] != '\n' && bytes[length] != '\r')
		length++;
	return length;
}

#endif
