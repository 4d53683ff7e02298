#include "protocol/event_scan.h"

#include <stdlib.h>
#include <string.h>

void event_scan_init(struct event_scan *scan)
{
	memset(scan, 0, sizeof(*scan));
	scan->last_id = EVENT_SCAN_NO_ID;
	scan->pending_id = EVENT_SCAN_NO_ID;
}

static void read_id(struct event_scan *scan)
{
	const char *value;
	char *end;
	long long id;

	if (scan->line_size >= sizeof(scan->line))
		return;
	scan->line[scan->line_size] = '\0';
	if (strncmp(scan->line, "id:", 3))
		return;
	value = scan->line + 3;
	id = strtoll(value, &end, 10);
	if (end != value && id >= 0)
		scan->pending_id = id;
}

static void end_event(struct event_scan *scan)
{
	if (scan->pending_id != EVENT_SCAN_NO_ID)
		scan->last_id = scan->pending_id;
	scan->pending_id = EVENT_SCAN_NO_ID;
	scan->in_event = false;
	scan->events++;
}

static bool line_is_blank(const struct event_scan *scan)
{
	return !scan->line_size ||
	       (scan->line_size == 1 && scan->line[0] == '\r');
}

/* @return whether the line ended an event */
static bool end_line(struct event_scan *scan)
{
	bool ends_event = line_is_blank(scan) && scan->in_event;

	if (ends_event)
		end_event(scan);
	else if (!line_is_blank(scan))
		read_id(scan);
	scan->line_size = 0;
	return ends_event;
}

static void add_to_line(struct event_scan *scan, const char *data, size_t size)
{
	size_t capacity = sizeof(scan->line);

	for (size_t i = 0; i < size && scan->line_size + i < capacity; i++)
		scan->line[scan->line_size + i] = data[i];
	scan->line_size += size;
	if (!line_is_blank(scan))
		scan->in_event = true;
}

size_t event_scan_feed(struct event_scan *scan, const char *data, size_t size)
{
	size_t complete = 0;
	size_t at = 0;

	while (at < size) {
		const char *end = memchr(data + at, '\n', size - at);
		size_t length = end ? (size_t)(end - data) - at : size - at;

		add_to_line(scan, data + at, length);
		at += length;
		if (!end)
			break;
		at++;
		if (end_line(scan) || !scan->in_event)
			complete = at;
	}
	return complete;
}

void event_scan_discard_partial(struct event_scan *scan)
{
	scan->pending_id = EVENT_SCAN_NO_ID;
	scan->line_size = 0;
	scan->in_event = false;
}
