/**
 * @file change_message.h
 * Messages by which a host follows the store's keys through another host.
 */
#ifndef STATE_CHANGE_MESSAGE_H
#define STATE_CHANGE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/status.h"

/** Maximum number of prefixes that are followed. */
#define CHANGE_PREFIXES_MAX 8

/** Largest part of encoded changes in one message, in bytes. */
#define CHANGE_PART_MAX_BYTES 1100

enum change_message_kind {
	/** A follower tells that it follows. stamp. */
	CHANGE_MESSAGE_FOLLOW = 1,
	/** How much the sender knows of each prefix. stamp, held_us,
	 * prefixes. */
	CHANGE_MESSAGE_STATE,
	/** Asks for the changes after a revision. prefix, after_revision,
	 * revision (of the changes whose first bytes are known; 0: the newest),
	 * offset. */
	CHANGE_MESSAGE_PULL,
	/** Some bytes of encoded changes. prefix, after_revision, revision,
	 * offset, total_size, part. */
	CHANGE_MESSAGE_PART,
	CHANGE_MESSAGE_KIND_END
};

/** What a host knows of a prefix. */
struct change_state {
	int64_t revision;	  /**< all changes up to this; 0: none */
	int64_t changed_revision; /**< of the last change among them */
	/** Since the store confirmed that; negative: never. */
	int64_t age_us;
	bool store_unreachable;
};

struct change_message {
	enum change_message_kind kind;
	uint64_t sequence; /**< grows with each message of a process */
	/** Time of the follower's clock when it sent its last message to the
	 * sender, and how long ago that arrived here. */
	int64_t stamp_us;
	int64_t held_us;
	size_t state_count;
	struct change_state states[CHANGE_PREFIXES_MAX];
	uint32_t prefix; /**< its number, the same at all hosts */
	int64_t after_revision;
	int64_t revision;
	uint64_t offset;
	uint64_t total_size;
	const uint8_t *part; /**< of the decoded bytes */
	size_t part_size;
};

void change_message_encode(const struct change_message *message,
			   struct buffer *bytes);

/** @return OK; CORRUPT or NEWER_FORMAT */
enum tgw_status change_message_decode(struct change_message *message,
				      const void *bytes, size_t size,
				      struct tgw_error *error);

#endif
