/**
 * @file text.h
 * Strings: copies into fixed-size fields, and what bytes they hold.
 */
#ifndef BASE_TEXT_H
#define BASE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/** Copies a string of which the caller knows that it fits; ends the process if
 * it doesn't. For names see short_name.h. */
void text_copy(char *field, size_t size, const char *text);

/** Copies a string for people to read, cut to the size of the field. What it
 * copies must not be compared with anything. */
void text_copy_cut(char *field, size_t size, const char *text);

/** @return whether a byte is visible ASCII and neither a quote nor a
 * backslash */
bool text_is_plain_byte(char byte);

/** @return whether it is not empty and can stand in a header field or a log
 * line: all its bytes are plain */
bool text_is_plain(const char *text);

/** @return whether it can be the value of a header field as it is: it has no
 * control byte, and no blank at either end; an empty one can */
bool text_is_field_value(const char *text);

/** Replaces control bytes by question marks. */
void text_mask_control(char *text, size_t size);

#endif
