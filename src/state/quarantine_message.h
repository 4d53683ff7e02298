/**
 * @file quarantine_message.h
 * The messages that hosts exchange about suspected requests.
 */
#ifndef STATE_QUARANTINE_MESSAGE_H
#define STATE_QUARANTINE_MESSAGE_H

#include "base/buffer.h"
#include "state/quarantine_table.h"

#define QUARANTINE_UPDATE_ITEMS_MAX 256
#define QUARANTINE_SERVERS_MAX 64

enum quarantine_message_kind {
	QUARANTINE_UPDATE,  /**< items to merge */
	QUARANTINE_QUERY,   /**< requests a permit for a suspected attempt */
	QUARANTINE_REPLY,   /**< the reply to a query */
	QUARANTINE_HOLD,    /**< an attempt is running */
	QUARANTINE_RELEASE, /**< an attempt has ended */
	QUARANTINE_KIND_COUNT
};

struct quarantine_message {
	enum quarantine_message_kind kind;
	uint64_t query_id; /**< of the query; not in an update */
	struct tgw_fingerprint fingerprint;  /**< not in an update */
	enum tgw_quarantine_verdict verdict; /**< in a reply */
	size_t server_count; /**< one, except in a query or an update */
	/** Used in a query, a reply and a hold message. */
	const char *servers[QUARANTINE_SERVERS_MAX];
	size_t item_count;	       /**< in an update */
	struct quarantine_item *items; /**< in an update */
};

void quarantine_message_pack(const struct quarantine_message *message,
			     struct buffer *payload);

/** Decodes a message, to be freed by quarantine_message_free(). Its texts and
 * items are valid until then.
 * @return NULL when the payload does not decode */
struct quarantine_message *quarantine_message_unpack(const void *payload,
						     size_t size);

void quarantine_message_free(struct quarantine_message *message);

#endif
