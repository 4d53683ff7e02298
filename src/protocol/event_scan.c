#include "protocol/event_scan.h"

#include <string.h>

#include "protocol/event_line.h"

#define ID_FIELD "id:"
/* A number of more digits may exceed an int64_t. */
#define ID_DIGITS_MAX 18

void event_scan_init(struct event_scan *scan)
{
	memset(scan, 0, sizeof(*scan));
	scan->first_id = EVENT_SCAN_NO_ID;
	scan->last_id = EVENT_SCAN_NO_ID;
	scan->pending_id = EVENT_SCAN_NO_ID;
	scan->resume_id = EVENT_SCAN_NO_ID;
}

/* @return EVENT_SCAN_NO_ID unless the text is a number, and nothing else */
static int64_t parse_id(const char *text)
{
	int64_t id = 0;
	const char *at = text;

	for (; *at >= '0' && *at <= '9'; at++) {
		if (at - text == ID_DIGITS_MAX)
			return EVENT_SCAN_NO_ID;
		id = id * 10 + (*at - '0');
	}
	if (at == text || *at)
		return EVENT_SCAN_NO_ID;
	return id;
}

static void read_line(struct event_scan *scan)
{
	const char *value = scan->line + strlen(ID_FIELD);

	if (scan->line[0] != ':')
		scan->has_field = true;
	if (scan->line_size >= sizeof(scan->line))
		return;
	scan->line[scan->line_size] = '\0';
	if (!strncmp(scan->line, ID_FIELD, strlen(ID_FIELD)))
		scan->pending_id = parse_id(*value == ' ' ? value + 1 : value);
}

static void record_id(struct event_scan *scan, int64_t id)
{
	if (!scan->events)
		scan->first_id = id;
	if (id != EVENT_SCAN_NO_ID) {
		scan->skips_ids |= scan->last_id != EVENT_SCAN_NO_ID &&
				   id != scan->last_id + 1;
		scan->ids_decrease |= id <= scan->last_id;
		scan->last_id = id;
	}
	scan->resume_id = scan->ids_decrease ? EVENT_SCAN_NO_ID : id;
}

/* An event begins with the next byte. */
static void clear_event(struct event_scan *scan)
{
	scan->pending_id = EVENT_SCAN_NO_ID;
	scan->line_size = 0;
	scan->in_event = false;
	scan->has_field = false;
}

static void end_event(struct event_scan *scan)
{
	if (scan->has_field) {
		record_id(scan, scan->pending_id);
		scan->events++;
	}
	clear_event(scan);
}

/* @return whether the line ended an event */
static bool end_line(struct event_scan *scan)
{
	bool ends_event = !scan->line_size && scan->in_event;

	if (ends_event)
		end_event(scan);
	else if (scan->line_size)
		read_line(scan);
	scan->line_size = 0;
	return ends_event;
}

static void add_to_line(struct event_scan *scan, const char *data, size_t size)
{
	size_t capacity = sizeof(scan->line);

	for (size_t i = 0; i < size && scan->line_size + i < capacity; i++)
		scan->line[scan->line_size + i] = data[i];
	scan->line_size += size;
	if (scan->line_size)
		scan->in_event = true;
}

/* Takes the end of a line, which a LF after a CR belongs to.
 * @return whether what comes next belongs to no event yet */
static bool take_line_end(struct event_scan *scan, char byte)
{
	bool ends_line = byte == '\r' || !scan->after_cr;

	scan->after_cr = byte == '\r';
	return (ends_line && end_line(scan)) || !scan->in_event;
}

size_t event_scan_feed(struct event_scan *scan, const char *data, size_t size)
{
	size_t complete = 0;
	size_t at = 0;

	while (at < size) {
		size_t length = event_line_length(data + at, size - at);

		if (length) {
			add_to_line(scan, data + at, length);
			scan->after_cr = false;
		}
		at += length;
		if (at == size)
			break;
		if (take_line_end(scan, data[at++]))
			complete = at;
	}
	return complete;
}

void event_scan_discard_partial(struct event_scan *scan)
{
	clear_event(scan);
}
