/**
 * @file chat_event_scan.h
 * Fast path for the plain events that carry nearly all tokens of a stream:
 * reads them without building a JSON document.
 */
#ifndef PROTOCOL_CHAT_EVENT_SCAN_H
#define PROTOCOL_CHAT_EVENT_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#include "protocol/chat_event.h"

/**
 * Reads an event that has content, and neither a finish reason nor the usage.
 * @param data must have a '\0' at data[size]
 * @return false when the event does not have the plain form. It may still be
 *         valid, so the caller has to parse it in full.
 */
bool chat_event_scan(struct chat_event *event, const char *data, size_t size);

#endif
