/**
 * @file wire_reader.h
 * Reads the elements of a MessagePack array one after the other.
 *
 * A wrong type or a missing element marks the reader as failed and yields a
 * zero, so that a decoder checks once, at its end.
 */
#ifndef STATE_WIRE_READER_H
#define STATE_WIRE_READER_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct wire_reader {
	const msgpack_object *next;
	size_t left;
	bool failed;
};

/** @param object NULL or no array: the reader has failed */
struct wire_reader wire_reader_of(const msgpack_object *object);

uint64_t wire_reader_u64(struct wire_reader *reader);
int64_t wire_reader_i64(struct wire_reader *reader);

/** Copies a text with its terminator; too long a text is a failure. */
void wire_reader_text(struct wire_reader *reader, char *text, size_t size);

/** @return the bytes inside the object; size is set */
const uint8_t *wire_reader_bytes(struct wire_reader *reader, size_t *size);

/** @return a reader of the array that comes next */
struct wire_reader wire_reader_array(struct wire_reader *reader);

#endif
