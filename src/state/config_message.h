/**
 * @file config_message.h
 * Messages by which hosts get the configuration from each other while the
 * store is unreachable.
 */
#ifndef STATE_CONFIG_MESSAGE_H
#define STATE_CONFIG_MESSAGE_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_shard.h"
#include "tamarackgw/status.h"

enum config_message_kind {
	CONFIG_REQUEST_MANIFEST = 1,
	CONFIG_MANIFEST = 2, /**< value: the stored manifest */
	CONFIG_REQUEST_SHARD = 3,
	CONFIG_SHARD = 4, /**< value: the stored shard */
};

struct config_message {
	enum config_message_kind kind;
	uint32_t shard; /**< for CONFIG_REQUEST_SHARD and CONFIG_SHARD */
	uint8_t digest[CONFIG_DIGEST_BYTES]; /**< for CONFIG_REQUEST_SHARD */
	const void *value; /**< valid as long as the unpacked bytes */
	size_t value_size;
};

void config_message_encode(const struct config_message *message,
			   msgpack_sbuffer *payload);

/** @param unpacked initialized by the caller; owns the bytes of the value */
enum tgw_status config_message_decode(struct config_message *message,
				      msgpack_unpacked *unpacked,
				      const void *payload, size_t payload_size,
				      struct tgw_error *error);

#endif
