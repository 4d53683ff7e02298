#include "state/prompt_parts.h"

#include <ctype.h>
#include <string.h>

#include "base/text.h"

/* Ids are hexadecimal; any other text must not break a log line up. */
static char readable(char character)
{
	unsigned char byte = (unsigned char)character;

	return isalnum(byte) || strchr("-_.", byte) ? (char)tolower(byte) : '_';
}

void prompt_parts_add(struct prompt_parts *parts, const char *id, size_t size)
{
	char *copy;

	if (parts->count == PROMPT_PARTS_MAX || !size)
		return;
	if (size >= PROMPT_PART_ID_SIZE)
		size = PROMPT_PART_ID_SIZE - 1;
	copy = parts->ids[parts->count++];
	for (size_t i = 0; i < size; i++)
		copy[i] = readable(id[i]);
	copy[size] = '\0';
}

void prompt_parts_to_text(const struct prompt_parts *parts,
			  char text[PROMPT_PARTS_TEXT_SIZE])
{
	char *at = text;

	text_copy(text, PROMPT_PARTS_TEXT_SIZE, "-");
	for (uint32_t i = 0; i < parts->count; i++) {
		size_t size = strlen(parts->ids[i]);

		if (i)
			*at++ = ',';
		memcpy(at, parts->ids[i], size + 1);
		at += size;
	}
}
