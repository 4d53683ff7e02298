/**
 * @file text.h
 * Copies of strings into fixed-size fields.
 */
#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stddef.h>

/** Copies a string; what does not fit is cut off. The rest of the field is
 * left as it was. */
void text_copy(char *field, size_t size, const char *text);

#endif
