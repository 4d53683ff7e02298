/**
 * @file held_buffer.h
 * Bytes with several users: a request's body, which waits for a server and is
 * on its way to it. They are freed with the last user, and count toward what
 * the host holds until then.
 */
#ifndef STATE_HELD_BUFFER_H
#define STATE_HELD_BUFFER_H

#include "base/buffer.h"
#include "state/held_bytes.h"

struct held_buffer {
	struct buffer bytes;
	uint32_t users;
	struct held_bytes *held; /**< counts them; NULL: nobody does */
	int64_t recorded_bytes;
};

/** Takes the bytes, which leaves the buffer empty; the caller is the first
 * user.
 * @param held counts them, and lives as long; or NULL
 * @param recorded_bytes what it has recorded for them; set to 0 */
struct held_buffer *held_buffer_take(struct buffer *bytes,
				     struct held_bytes *held,
				     int64_t *recorded_bytes);

/** Adds a user. @return the same, also if it is NULL */
struct held_buffer *held_buffer_ref(struct held_buffer *buffer);

/** Removes a user, unless it is NULL. */
void held_buffer_unref(struct held_buffer *buffer);

#endif
