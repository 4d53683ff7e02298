#include "ctl/log_line.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIELD_SIZE 256

bool log_line_parse(struct log_line *line, const char *text)
{
	const char *start = strstr(text, "ts=");
	char *end;
	size_t size;

	if (!start || !strchr(start, '\n'))
		return false;
	size = strcspn(start, "\n");
	if (size >= sizeof(line->text))
		return false;
	memcpy(line->text, start, size);
	line->text[size] = '\0';
	line->ts_s = strtod(start + strlen("ts="), &end);
	return *end == ' ' && strstr(line->text, " part=") &&
	       strstr(line->text, " event=");
}

bool log_line_field(const struct log_line *line, const char *key, char *value,
		    size_t size)
{
	size_t length = strlen(key);
	const char *at = line->text;

	for (; at; at = strchr(at, ' ')) {
		at += *at == ' ';
		if (strncmp(at, key, length) || at[length] != '=')
			continue;
		at += length + 1;
		if (*at == '"')
			snprintf(value, size, "%.*s",
				 (int)strcspn(at + 1, "\""), at + 1);
		else
			snprintf(value, size, "%.*s", (int)strcspn(at, " "),
				 at);
		return true;
	}
	return false;
}

bool log_line_field_is(const struct log_line *line, const char *key,
		       const char *value)
{
	char found[FIELD_SIZE];

	return log_line_field(line, key, found, sizeof(found)) &&
	       !strcmp(found, value);
}
