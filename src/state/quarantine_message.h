/**
 * @file quarantine_message.h
 * What hosts tell each other about suspected requests.
 */
#ifndef STATE_QUARANTINE_MESSAGE_H
#define STATE_QUARANTINE_MESSAGE_H

#include "base/buffer.h"
#include "state/quarantine_table.h"

#define QUARANTINE_NEWS_MAX 256
#define QUARANTINE_SERVERS_MAX 64

enum quarantine_message_kind {
	QUARANTINE_NEWS,    /**< items to merge */
	QUARANTINE_ASK,	    /**< may a suspected attempt run? */
	QUARANTINE_TELL,    /**< the answer to an ask */
	QUARANTINE_HOLD,    /**< an attempt is running */
	QUARANTINE_RELEASE, /**< an attempt has ended */
	QUARANTINE_KIND_COUNT
};

struct quarantine_message {
	enum quarantine_message_kind kind;
	uint64_t ask_id;			     /**< all but NEWS */
	struct tgw_fingerprint fingerprint;	     /**< all but NEWS */
	enum tgw_quarantine_verdict verdict;	     /**< TELL */
	size_t server_count;			     /**< one, but for an ASK */
	const char *servers[QUARANTINE_SERVERS_MAX]; /**< ASK, TELL, HOLD */
	size_t item_count;			     /**< NEWS */
	struct quarantine_item *items;		     /**< NEWS */
};

void quarantine_message_pack(const struct quarantine_message *message,
			     struct buffer *payload);

/** Decodes a message. Texts and items live until it is released.
 * @return NULL when the payload does not decode */
struct quarantine_message *quarantine_message_unpack(const void *payload,
						     size_t size);

void quarantine_message_free(struct quarantine_message *message);

#endif
