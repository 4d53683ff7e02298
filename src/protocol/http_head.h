/**
 * @file http_head.h
 * The header fields of one HTTP message, collected while the message is
 * parsed.
 */
#ifndef PROTOCOL_HTTP_HEAD_H
#define PROTOCOL_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

/** One field: offsets of its terminated texts in the head's buffer. */
struct http_field {
	uint32_t name_offset;
	uint32_t value_offset;
};

struct http_head {
	struct buffer text;
	size_t count;
	size_t capacity;
	struct http_field *fields;
	bool in_value; /**< the last piece added was part of a value */
};

/** Empties the head and keeps its memory. */
void http_head_clear(struct http_head *head);
void http_head_free(struct http_head *head);

/** Appends a piece of a field's name. The first piece after a value starts a
 * new field. */
void http_head_add_name(struct http_head *head, const char *data, size_t size);

/** Appends a piece of the value of the last field. */
void http_head_add_value(struct http_head *head, const char *data, size_t size);

const char *http_head_name(const struct http_head *head, size_t index);
const char *http_head_value(const struct http_head *head, size_t index);

/** @return the value of the first field of this name, or NULL */
const char *http_head_find(const struct http_head *head, const char *name);

/** @return how many fields have this name */
size_t http_head_count(const struct http_head *head, const char *name);

/** @return whether a comma-separated list contains the word, ignoring case */
bool http_head_list_has(const char *list, const char *word);

/** @return whether the field is not forwarded: it applies to one connection
 * only (RFC 9110, 7.6.1), is generated anew for each hop, such as
 * Content-Length, or is named in the message's Connection field */
bool http_head_is_hop_by_hop(const struct http_head *head, const char *name);

#endif
