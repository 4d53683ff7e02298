/**
 * @file text.h
 * Strings: copies into fixed-size fields, and what bytes they hold.
 */
#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/** Copies a string, truncated to the size of the field. The bytes after the
 * terminator are not changed. */
void text_copy(char *field, size_t size, const char *text);

/** @return whether it is not empty and can stand in a header field or a log
 * line: all bytes are visible ASCII, and none is a quote or a backslash */
bool text_is_plain(const char *text);

/** Replaces control bytes by question marks. */
void text_mask_control(char *text, size_t size);

#endif
