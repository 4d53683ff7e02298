/**
 * @file event_scan.h
 * Finds the ends of events in a text/event-stream, whose lines end with LF, CR
 * or both, and parses nothing in them
 * but their ids.
 */
#ifndef PROTOCOL_EVENT_SCAN_H
#define PROTOCOL_EVENT_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Only the start of a longer line is kept, and no id is read from it. */
#define EVENT_SCAN_LINE_SIZE 48

/** Value of an id that has not been read. */
#define EVENT_SCAN_NO_ID INT64_C(-1)

struct event_scan {
	int64_t first_id;   /**< of the first complete event */
	int64_t last_id;    /**< of the last complete event that has an id */
	int64_t pending_id; /**< of the incomplete event */
	/** Of the last complete event, if the stream can be resumed after it:
	 * that event has an id, and all ids so far have increased. */
	int64_t resume_id;
	bool skips_ids;	   /**< some id is not its predecessor's plus one */
	bool ids_decrease; /**< some id is not greater than the one before */
	uint64_t events;   /**< number of complete events */
	size_t line_size;  /**< of the incomplete line; may exceed line[] */
	bool after_cr;	   /**< the last byte was a CR, which ended a line */
	bool in_event;	   /**< bytes of an incomplete event have been read */
	/** The incomplete event has a line that is no comment. Comments alone
	 * are not an event. */
	bool has_field;
	char line[EVENT_SCAN_LINE_SIZE];
};

void event_scan_init(struct event_scan *scan);

/** @return how many of these bytes precede the incomplete event; they belong to
 * complete events and to blank lines between events */
size_t event_scan_feed(struct event_scan *scan, const char *data, size_t size);

/** Discards the incomplete event, as when its source has failed. */
void event_scan_discard_partial(struct event_scan *scan);

#endif
