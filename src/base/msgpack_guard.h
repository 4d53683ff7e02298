/**
 * @file msgpack_guard.h
 * Unpacks MessagePack data from untrusted sources. The MessagePack library
 * allocates memory for all elements that a container declares before it reads
 * them, so a few bytes can make it allocate gigabytes. These functions
 * first check that the data holds as many elements as declared.
 */
#ifndef BASE_MSGPACK_GUARD_H
#define BASE_MSGPACK_GUARD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

/** @return whether the data begins with a complete value, in which each
 * container has as many elements as it declares */
bool msgpack_guard_is_complete(const void *data, size_t size);

/** Like msgpack_unpack_next().
 * @return MSGPACK_UNPACK_PARSE_ERROR also when the value is incomplete */
msgpack_unpack_return msgpack_guard_next(msgpack_unpacked *result,
					 const char *data, size_t size,
					 size_t *offset);

/** Unpacks data that consists of one value.
 * @param unpacked is initialized, and has to be destroyed in any case
 * @return false if the data is anything else */
bool msgpack_guard_unpack(msgpack_unpacked *unpacked, const void *data,
			  size_t size);

#endif
