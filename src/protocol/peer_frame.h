/**
 * @file peer_frame.h
 * The header of a message between hosts: a MessagePack array of format
 * version, sending host, its incarnation, and topic.
 */
#ifndef PROTOCOL_PEER_FRAME_H
#define PROTOCOL_PEER_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

struct peer_frame {
	char from_host[TGW_NAME_SIZE];
	uint64_t from_incarnation;
	enum tgw_peer_topic topic;
};

void peer_frame_encode(const struct peer_frame *frame, struct buffer *bytes);

enum tgw_status peer_frame_decode(struct peer_frame *frame, const void *bytes,
				  size_t size, struct tgw_error *error);

#endif
