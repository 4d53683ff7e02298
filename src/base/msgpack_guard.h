/**
 * @file msgpack_guard.h
 * Unpacks MessagePack from others. The library allocates what a container
 * announces before it looks for the elements, so that a few bytes can ask
 * for gigabytes; here the bytes are checked first.
 */
#ifndef BASE_MSGPACK_GUARD_H
#define BASE_MSGPACK_GUARD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>

/** Whether a whole value starts the bytes, each container with as many
 * elements as it announces. */
bool msgpack_guard_is_whole(const void *data, size_t size);

/** As msgpack_unpack_next(); PARSE_ERROR when the value is not whole. */
msgpack_unpack_return msgpack_guard_next(msgpack_unpacked *result,
					 const char *data, size_t size,
					 size_t *offset);

#endif
