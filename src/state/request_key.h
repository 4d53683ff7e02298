/**
 * @file request_key.h
 * Properties that are encoded in a request key.
 */
#ifndef STATE_REQUEST_KEY_H
#define STATE_REQUEST_KEY_H

#include <stdbool.h>

#include "tamarackgw/budget.h"

/** Set in the first byte of a random key, which no retry can repeat. */
#define REQUEST_KEY_UNIQUE_BIT 0x80

static inline bool request_key_is_unique(const struct tgw_request_key *key)
{
	return key->bytes[0] & REQUEST_KEY_UNIQUE_BIT;
}

#endif
