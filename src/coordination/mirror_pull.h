/**
 * @file mirror_pull.h
 * Large changes that a host fetches from its relay in parts. Private to
 * store_mirror.
 */
#ifndef COORDINATION_MIRROR_PULL_H
#define COORDINATION_MIRROR_PULL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/change_message.h"

/** Parts that are sent for one message. */
#define MIRROR_PULL_PARTS 8

struct mirror_pull {
	bool active;
	int64_t after_revision;
	int64_t revision;
	size_t total_size;
	struct buffer bytes;
	/** 0: a part has arrived since, or the message was repeated. */
	int64_t asked_us;
	int64_t active_us; /**< when it was asked for, or a part arrived */
	int64_t retry_us;  /**< it is repeated after this without a part */
};

/** What follows from a part. */
enum mirror_pull_step {
	MIRROR_PULL_IGNORED, /**< it is not the next one */
	MIRROR_PULL_ADDED,
	MIRROR_PULL_ASK, /**< more parts have to be asked for */
	MIRROR_PULL_WHOLE,
};

void mirror_pull_clear(struct mirror_pull *pull);

void mirror_pull_start(struct mirror_pull *pull, int64_t after_revision);

/** Makes the message that asks for the next parts, which is then sent. */
void mirror_pull_ask(struct mirror_pull *pull, struct change_message *message,
		     int64_t now_us);

/** @return whether the last message has to be repeated */
bool mirror_pull_is_late(const struct mirror_pull *pull, int64_t now_us);

/** As mirror_pull_ask(), if that is late. */
void mirror_pull_repeat(struct mirror_pull *pull,
			struct change_message *message, int64_t now_us);

enum mirror_pull_step mirror_pull_add(struct mirror_pull *pull,
				      const struct change_message *part,
				      int64_t now_us);

#endif
