#include "base/text.h"

#include <string.h>

void text_copy(char *field, size_t size, const char *text)
{
	size_t length = strlen(text);

	if (length >= size)
		length = size - 1;
	memcpy(field, text, length);
	field[length] = '\0';
}
