/**
 * @file wire_reader.h
 * Reads the elements of a MessagePack array one after the other.
 *
 * A wrong type or a missing element marks the reader as failed and yields zero,
 * so that a decoder checks for failure only once, at its end.
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

/** @return a reader of an array; it has failed when the object is NULL or of
 * another type */
struct wire_reader wire_reader_of(const msgpack_object *object);

uint64_t wire_reader_u64(struct wire_reader *reader);
int64_t wire_reader_i64(struct wire_reader *reader);

/** Copies a string and terminates it; one that does not fit is a failure. */
void wire_reader_text(struct wire_reader *reader, char *text, size_t size);

/** @return the bytes, which live as long as the object */
const uint8_t *wire_reader_bytes(struct wire_reader *reader, size_t *size);

/** @return a reader of the array in the next element */
struct wire_reader wire_reader_array(struct wire_reader *reader);

#endif
