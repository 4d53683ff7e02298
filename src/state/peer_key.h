/**
 * @file peer_key.h
 * The secret by which the hosts of a fleet authenticate their messages, as it
 * is kept in the store.
 */
#ifndef STATE_PEER_KEY_H
#define STATE_PEER_KEY_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/status.h"

#define PEER_KEY_FORMAT_VERSION 1
#define PEER_KEY_SIZE 32

struct peer_key {
	uint8_t bytes[PEER_KEY_SIZE];
};

/** Appends the encoded key, which has a checksum. */
void peer_key_encode(const struct peer_key *key, struct buffer *bytes);

/** @return OK; CORRUPT or NEWER_FORMAT */
enum tgw_status peer_key_decode(struct peer_key *key, const void *bytes,
				size_t size, struct tgw_error *error);

#endif
