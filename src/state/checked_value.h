/**
 * @file checked_value.h
 * The outer form of a stored value: a MessagePack array of the format version,
 * the packed body and a checksum over the body.
 */
#ifndef STATE_CHECKED_VALUE_H
#define STATE_CHECKED_VALUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/wire_reader.h"
#include "tamarackgw/status.h"

/** One kind of stored value. */
struct checked_value_kind {
	uint32_t format_version;
	const char *name;   /**< for messages */
	const char *remedy; /**< what to do about a damaged value */
};

/** Appends the value. */
void checked_value_encode(const struct checked_value_kind *kind,
			  const struct buffer *body, struct buffer *value);

/** Decodes the value up to the version.
 * @param unpacked is initialized, and has to be destroyed in any case
 * @param reader receives the rest of the outer array
 * @param format_version receives that of the value, which may be an earlier one
 * @return OK; CORRUPT or NEWER_FORMAT with a message */
enum tgw_status checked_value_open(const struct checked_value_kind *kind,
				   msgpack_unpacked *unpacked,
				   const void *value, size_t size,
				   struct wire_reader *reader,
				   uint64_t *format_version,
				   struct tgw_error *error);

/** Reads the body and the checksum, and decodes the body.
 * @param reader of the outer array, behind the version
 * @param read receives the decoded body, and returns whether it is valid
 * @return false if the body is damaged or not valid */
bool checked_value_read(struct wire_reader *reader,
			bool (*read)(void *arg, const msgpack_object *body),
			void *arg);

/** Decodes a value that has no earlier format.
 * @return OK; CORRUPT or NEWER_FORMAT with a message */
enum tgw_status checked_value_decode(const struct checked_value_kind *kind,
				     const void *value, size_t size,
				     bool (*read)(void *arg,
						  const msgpack_object *body),
				     void *arg, struct tgw_error *error);

/** @return CORRUPT, with a message that names the remedy
 * @param size of the value */
enum tgw_status checked_value_report_damage(
	const struct checked_value_kind *kind, size_t size,
	struct tgw_error *error);

#endif
