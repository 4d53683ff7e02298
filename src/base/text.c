#include "base/text.h"

#include <stdlib.h>
#include <string.h>

#define DELETE 0x7f

void text_copy(char *field, size_t size, const char *text)
{
	size_t length = strlen(text);

	if (length >= size)
		abort();
	memcpy(field, text, length + 1);
}

void text_copy_cut(char *field, size_t size, const char *text)
{
	size_t length = strnlen(text, size - 1);

	memcpy(field, text, length);
	field[length] = '\0';
}

bool text_is_plain_byte(char byte)
{
	return byte > ' ' && byte < DELETE && byte != '"' && byte != '\\';
}

bool text_is_plain(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++)
		if (!text_is_plain_byte(*text))
			return false;
	return true;
}

static bool is_control(char byte)
{
	return (unsigned char)byte < ' ' || byte == DELETE;
}

bool text_is_field_value(const char *text)
{
	size_t size = strlen(text);

	if (size && (text[0] == ' ' || text[size - 1] == ' '))
		return false;
	for (; *text; text++)
		if (is_control(*text))
			return false;
	return true;
}

void text_mask_control(char *text, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (is_control(text[i]))
			text[i] = '?';
}
