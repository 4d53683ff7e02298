/**
 * @file load_message.h
 * The message by which hosts tell each other what backend servers reported of
 * their load.
 */
#ifndef STATE_LOAD_MESSAGE_H
#define STATE_LOAD_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/status.h"

/** Reports of one message; a datagram holds that many. */
#define LOAD_MESSAGE_REPORTS_MAX 80

/** One server's last report. */
struct load_report {
	uint32_t run;	 /**< part of the hash of the server's run */
	uint32_t age_ms; /**< when the message was sent */
	uint32_t running;
	uint32_t waiting;
	uint32_t work_percent;
};

struct load_message {
	struct load_report reports[LOAD_MESSAGE_REPORTS_MAX];
	size_t count;
};

/** Appends the encoded message. */
void load_message_encode(const struct load_message *message,
			 struct buffer *bytes);

/** @return OK; CORRUPT or NEWER_FORMAT */
enum tgw_status load_message_decode(struct load_message *message,
				    const void *bytes, size_t size,
				    struct tgw_error *error);

#endif
