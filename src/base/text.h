/**
 * @file text.h
 * Copies of strings into fixed-size fields.
 */
#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stddef.h>

/** Copies a string, truncated to the size of the field. The bytes after the
 * terminator are not changed. */
void text_copy(char *field, size_t size, const char *text);

#endif
