#include "base/text.h"

#include <string.h>

#define DELETE 0x7f

void text_copy(char *field, size_t size, const char *text)
{
	size_t length = strlen(text);

	if (length >= size)
		length = size - 1;
	memcpy(field, text, length);
	field[length] = '\0';
}

bool text_is_plain(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++)
		if (*text <= ' ' || *text >= DELETE || *text == '"' ||
		    *text == '\\')
			return false;
	return true;
}

void text_mask_control(char *text, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if ((unsigned char)text[i] < ' ' || text[i] == DELETE)
			text[i] = '?';
}
