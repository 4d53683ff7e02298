/**
 * @file budget_pool_codec.h
 * Encodes a budget pool as a MessagePack array of the format version, the
 * packed pool and a checksum over it.
 */
#ifndef STATE_BUDGET_POOL_CODEC_H
#define STATE_BUDGET_POOL_CODEC_H

#include <stddef.h>

#include "base/buffer.h"
#include "state/budget_pool.h"
#include "tamarackgw/status.h"

/** Greater than LEDGER_FORMAT_VERSION: programs that keep a line for each host
 * in the same key refuse the value. */
#define BUDGET_POOL_FORMAT_VERSION 2

/** Appends the encoded pool. */
void budget_pool_codec_encode(const struct budget_pool *pool,
			      struct buffer *bytes);

/**
 * Decodes a pool, or converts a ledger bucket of an earlier version. A value of
 * size 0 gives an empty pool.
 * @param pool is overwritten
 * @return OK; CORRUPT or NEWER_FORMAT with the pool empty
 */
enum tgw_status budget_pool_codec_decode(struct budget_pool *pool,
					 const void *bytes, size_t size,
					 struct tgw_error *error);

#endif
