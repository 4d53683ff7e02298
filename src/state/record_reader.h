/**
 * @file record_reader.h
 * Reads the fields of a MessagePack array one after the other. After the first
 * field that has the wrong type or does not fit, no more fields are read.
 */
#ifndef STATE_RECORD_READER_H
#define STATE_RECORD_READER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"

struct record_reader {
	const char *what; /**< name of the record in error messages */
	const msgpack_object *fields;
	size_t field_count;
	size_t next;
	enum tgw_status status; /**< OK until a field is invalid */
};

/** Opens an array that begins with a format version. The status becomes
 * NEWER_FORMAT when that version is above newest_format, and CORRUPT when it is
 * 0. */
void record_reader_open(struct record_reader *reader, const char *what,
			const msgpack_object *object, uint64_t newest_format);

/** Opens an array without a format version, such as one within another. */
void record_reader_open_nested(struct record_reader *reader, const char *what,
			       const msgpack_object *object);

uint64_t record_reader_u64(struct record_reader *reader);
int64_t record_reader_i64(struct record_reader *reader);
bool record_reader_bool(struct record_reader *reader);

/** Copies a string; one that does not fit is an error. */
void record_reader_text(struct record_reader *reader, char *text, size_t size);

/** Copies a byte string of exactly this size. */
void record_reader_bytes(struct record_reader *reader, void *bytes,
			 size_t size);

/** @return the bytes of a field, which live as long as the object */
const char *record_reader_blob(struct record_reader *reader, size_t *size);

/** @return the array in the next field; an empty one when the field is invalid
 * or has more than max_count elements */
const msgpack_object_array *record_reader_array(struct record_reader *reader,
						size_t max_count);

/** Decodes bytes that are one MessagePack value.
 * @param read receives the decoded value
 * @return the status of `read`; CORRUPT if the bytes are anything else */
enum tgw_status record_reader_decode(
	const char *what, const void *bytes, size_t size,
	enum tgw_status (*read)(void *arg, const msgpack_object *object,
				struct tgw_error *error),
	void *arg, struct tgw_error *error);

/** @return the status; sets the error's message when it is not OK */
enum tgw_status record_reader_finish(const struct record_reader *reader,
				     struct tgw_error *error);

#endif
