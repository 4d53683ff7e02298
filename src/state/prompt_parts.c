#include "state/prompt_parts.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/text.h"

#define DIGEST_FORMAT "~%016" PRIx64

static bool is_readable(char byte)
{
	return isalnum((unsigned char)byte) || (byte && strchr("-_.", byte));
}

/* @return whether an id can stand for itself: it fits, and it does not break a
 * log line up */
static bool is_short(const char *id, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (!is_readable(id[i]))
			return false;
	return size < PROMPT_PART_ID_SIZE;
}

void prompt_parts_add(struct prompt_parts *parts, const char *id, size_t size)
{
	char *copy;

	if (parts->count == PROMPT_PARTS_MAX || !size)
		return;
	copy = parts->ids[parts->count++];
	if (!is_short(id, size)) {
		snprintf(copy, PROMPT_PART_ID_SIZE, DIGEST_FORMAT,
			 XXH3_64bits(id, size));
		return;
	}
	for (size_t i = 0; i < size; i++)
		copy[i] = (char)tolower((unsigned char)id[i]);
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
