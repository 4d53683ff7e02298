/**
 * @file msgpack_field.h
 * Reads single fields of decoded MessagePack arrays with type and range checks,
 * and packs texts and bytes.
 */
#ifndef STATE_MSGPACK_FIELD_H
#define STATE_MSGPACK_FIELD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @return the elements; NULL unless the object is an array of at least
 * min_count elements */
const msgpack_object *msgpack_field_array(const msgpack_object *object,
					  size_t min_count);

bool msgpack_field_u64(const msgpack_object *object, uint64_t *value);
bool msgpack_field_i64(const msgpack_object *object, int64_t *value);

/** Copies a string and terminates it; fails if it does not fit or contains a
 * null byte. */
bool msgpack_field_text(const msgpack_object *object, char *text, size_t size);

/** Copies bytes of exactly this size. */
bool msgpack_field_bytes(const msgpack_object *object, void *bytes,
			 size_t size);

/** Appends packed bytes to a struct buffer: the callback of
 * msgpack_packer_init().
 * @return 0 */
int msgpack_field_write(void *data, const char *bytes, size_t size);

void msgpack_field_pack_text(msgpack_packer *packer, const char *text);
void msgpack_field_pack_bytes(msgpack_packer *packer, const void *bytes,
			      size_t size);

#endif
