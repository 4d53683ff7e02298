/**
 * @file config_message.h
 * Messages by which hosts hand the configuration to each other while the
 * store is out.
 */
#ifndef STATE_CONFIG_MESSAGE_H
#define STATE_CONFIG_MESSAGE_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_shard.h"
#include "tamarackgw/status.h"

enum config_message_kind {
	CONFIG_WANT_MANIFEST = 1,
	CONFIG_MANIFEST = 2, /**< value: as the store holds it */
	CONFIG_WANT_SHARD = 3,
	CONFIG_SHARD = 4, /**< value: as the store holds it */
};

struct config_message {
	enum config_message_kind kind;
	uint32_t shard;			     /**< of the last two kinds */
	uint8_t digest[CONFIG_DIGEST_BYTES]; /**< of CONFIG_WANT_SHARD */
	const void *value; /**< lives as long as the unpacked bytes */
	size_t value_size;
};

void config_message_encode(const struct config_message *message,
			   msgpack_sbuffer *payload);

/** @param unpacked initialized; holds what the value points to */
enum tgw_status config_message_decode(struct config_message *message,
				      msgpack_unpacked *unpacked,
				      const void *payload, size_t payload_size,
				      struct tgw_error *error);

#endif
