#include "base/xalloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *abort_if_null(void *memory)
{
	if (!memory)
		abort();
	return memory;
}

void *xmalloc(size_t size)
{
	return abort_if_null(malloc(size ? size : 1));
}

void *xcalloc(size_t count, size_t size)
{
	return abort_if_null(calloc(count ? count : 1, size ? size : 1));
}

void *xrealloc(void *memory, size_t size)
{
	return abort_if_null(realloc(memory, size ? size : 1));
}

void *xmemdup(const void *memory, size_t size)
{
	void *copy = xmalloc(size);

	if (size)
		memcpy(copy, memory, size);
	return copy;
}

char *xstrdup(const char *text)
{
	return xmemdup(text, strlen(text) + 1);
}

char *xasprintf(const char *format, ...)
{
	va_list args;
	char *text = NULL;
	int length;

	va_start(args, format);
	length = vasprintf(&text, format, args);
	va_end(args);
	if (length < 0)
		abort();
	return text;
}
