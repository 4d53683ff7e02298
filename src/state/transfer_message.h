/**
 * @file transfer_message.h
 * Message between two hosts that move tokens of team budgets to each other. All
 * amounts but those of the sender's state are cumulative for the two processes,
 * so a lost, repeated or reordered message changes nothing that lasts.
 */
#ifndef STATE_TRANSFER_MESSAGE_H
#define STATE_TRANSFER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

#define TRANSFER_MESSAGE_FORMAT 1

/** Maximum number of entries; a full message fits into one datagram. */
#define TRANSFER_ENTRIES_MAX 12

/** Greatest rank; a message with a greater one is invalid. */
#define TRANSFER_RANK_MAX 1000

/** Value of view_age_ms if the sender never read the budget. */
#define TRANSFER_NO_VIEW INT64_C(-1)

/** One team's budget. */
struct transfer_entry {
	char team[TGW_NAME_SIZE];
	/* Cumulative, from the sender's process to the receiver's. */
	int64_t given_tokens;
	int64_t settled_tokens;	 /**< spent, as the sender was told or did */
	int64_t demanded_tokens; /**< by requests that arrived */
	int64_t requests;	 /**< that demanded them */
	/** Cumulative, from the receiver's process to the sender's, as far as
	 * the sender has received them. */
	int64_t taken_tokens;
	/* State of the sender. */
	int64_t needed_tokens; /**< by requests that wait */
	int64_t wanted_tokens; /**< the needed ones, and some ahead of need */
	int64_t rank;	       /**< of the most urgent request that waits */
	int64_t held_tokens;   /**< neither spent nor reserved */
	bool none_available;   /**< the sender has none and can't get any */
	int64_t free_tokens;   /**< in the pool */
	int64_t remaining_tokens; /**< that all hosts can still spend */
	int64_t view_age_ms;	  /**< of the last two */
};

struct transfer_message {
	/** Process that the message is for; 0: the sender does not know it. */
	uint64_t to_incarnation;
	/** Grows with each message of the sender's process. */
	uint64_t sequence;
	bool is_report; /**< from a host to its relay, which replies */
	bool leaving;	/**< the sender takes part no longer */
	bool store_unreachable;
	bool is_loan; /**< a report from a host with another relay, or none: it
		       * asks for what the receiver holds */
	size_t entry_count;
	struct transfer_entry entries[TRANSFER_ENTRIES_MAX];
};

void transfer_message_encode(const struct transfer_message *message,
			     struct buffer *bytes);

/** @return OK; CORRUPT or NEWER_FORMAT */
enum tgw_status transfer_message_decode(struct transfer_message *message,
					const void *bytes, size_t size,
					struct tgw_error *error);

#endif
