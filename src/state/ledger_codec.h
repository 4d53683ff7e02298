/**
 * @file ledger_codec.h
 * Encodes a ledger bucket as a MessagePack array that begins with the format
 * version.
 */
#ifndef STATE_LEDGER_CODEC_H
#define STATE_LEDGER_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/ledger_bucket.h"
#include "tamarackgw/status.h"

#define LEDGER_FORMAT_VERSION 1

/** Appends the encoded bucket. */
void ledger_codec_encode(const struct ledger_bucket *bucket,
			 struct buffer *bytes);

/**
 * Decodes into a cleared bucket; a value of size 0 gives an empty bucket.
 * @return OK; CORRUPT or NEWER_FORMAT with the bucket empty
 */
enum tgw_status ledger_codec_decode(struct ledger_bucket *bucket,
				    const void *bytes, size_t size,
				    struct tgw_error *error);

#endif
