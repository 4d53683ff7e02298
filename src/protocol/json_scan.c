#include "protocol/json_scan.h"

#include <ctype.h>

static void read_in_string(struct json_scan *scan, char character)
{
	if (scan->after_slash)
		scan->after_slash = false;
	else if (character == '\\')
		scan->after_slash = true;
	else if (character == '"')
		scan->in_string = false;
}

static void read_outside(struct json_scan *scan, char character)
{
	if (isspace((unsigned char)character))
		return;
	scan->has_value = true;
	if (character == '"')
		scan->in_string = true;
	else if (character == '{' || character == '[')
		scan->depth++;
	else if ((character == '}' || character == ']') && scan->depth)
		scan->depth--;
}

void json_scan_feed(struct json_scan *scan, const char *data, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (scan->in_string)
			read_in_string(scan, data[i]);
		else
			read_outside(scan, data[i]);
}

bool json_scan_is_whole(const struct json_scan *scan)
{
	return scan->has_value && !scan->in_string && !scan->depth;
}
