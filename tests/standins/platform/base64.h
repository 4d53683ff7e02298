/**
 * @file base64.h
 * Base64 encoding of byte strings in JSON values.
 */
#ifndef STANDINS_PLATFORM_BASE64_H
#define STANDINS_PLATFORM_BASE64_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** @return a JSON string of the bytes in base64 */
json_t *base64_encode(const char *data, size_t size);

/**
 * Decodes a field. For a missing field, sets bytes to NULL and size to 0.
 * @param bytes to be released with free()
 * @return false when the field is not base64
 */
bool base64_field(const json_t *object, const char *name, char **bytes,
		  size_t *size);

#endif
