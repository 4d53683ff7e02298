/**
 * @file chat_event_scan.h
 * Reads the plain events of a stream, which nearly all tokens come in,
 * without building a document.
 */
#ifndef PROTOCOL_CHAT_EVENT_SCAN_H
#define PROTOCOL_CHAT_EVENT_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#include "protocol/chat_event.h"

/**
 * Reads an event of one token.
 * @param data followed by a terminator
 * @return false when the event is not of that plain form: it may still be
 *         sound, so the caller parses it whole
 */
bool chat_event_scan(struct chat_event *event, const char *data, size_t size);

#endif
