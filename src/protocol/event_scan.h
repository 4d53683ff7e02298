/**
 * @file event_scan.h
 * Finds the ends of events in a text/event-stream, without looking further
 * into them than at their ids.
 */
#ifndef PROTOCOL_EVENT_SCAN_H
#define PROTOCOL_EVENT_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Room for the start of a line that may hold an id. */
#define EVENT_SCAN_LINE_SIZE 48

/** Id of a stream that has sent none. */
#define EVENT_SCAN_NO_ID INT64_C(-1)

struct event_scan {
	int64_t last_id;    /**< of the last complete event that had one */
	int64_t pending_id; /**< of the event that is being read */
	uint64_t events;    /**< complete ones */
	size_t line_size;   /**< of the line that is being read */
	bool in_event;	    /**< bytes of an incomplete event were read */
	char line[EVENT_SCAN_LINE_SIZE];
};

void event_scan_init(struct event_scan *scan);

/** @return how many of these bytes end with the last complete event */
size_t event_scan_feed(struct event_scan *scan, const char *data, size_t size);

/** Forgets the incomplete event, as when its source broke off. */
void event_scan_drop_partial(struct event_scan *scan);

#endif
