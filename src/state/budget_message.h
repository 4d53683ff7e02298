/**
 * @file budget_message.h
 * Messages between the budget agents of two hosts.
 *
 * All kinds share one frame: a head and a list of items. What a field means
 * is listed with the kind; fields that are not named are zero or empty.
 */
#ifndef STATE_BUDGET_MESSAGE_H
#define STATE_BUDGET_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/budget.h"
#include "tamarackgw/status.h"

#define BUDGET_MESSAGE_FORMAT_VERSION 1
/** Items of one message at most, which keeps it far below the size limit. */
#define BUDGET_MESSAGE_ITEMS_MAX 1000

enum budget_message_kind {
	/** Entry host asks holder. Item: id of the request, key, budget,
	 * tokens (bound). */
	BUDGET_MESSAGE_RESERVE = 1,
	/** Answer. Item: id, code (status), flags, tokens (settled),
	 * other (retry after, us). line: the granting line. With key and
	 * budget: the holder asks whether the reservation is still used. */
	BUDGET_MESSAGE_RESERVED,
	/** Entry host tells holder. sequence (0: no answer wanted); epoch: the
	 * newest sequence whose answer came, so that what it settled will not
	 * be claimed; item: id, key, budget, tokens (spent), code (basis). */
	BUDGET_MESSAGE_SETTLE,
	/** Acknowledges a SETTLE by its sequence. */
	BUDGET_MESSAGE_SETTLED,
	/** Holder asks witness. bucket, line, epoch, sequence; item: budget,
	 * tokens (new ceiling), other (demand a second). */
	BUDGET_MESSAGE_RAISE,
	/** Answer: the same head; code 1 when refused. */
	BUDGET_MESSAGE_RAISED,
	/** Holder asks other holders for tokens. bucket; item: budget,
	 * tokens. Without an item: only to look at the ledger's key. */
	BUDGET_MESSAGE_WANT,
	/** Answer when the ledger has them: bucket; item: budget, tokens. */
	BUDGET_MESSAGE_RELEASED,
	/** Entry host claims what a written-off line was charged too much.
	 * bucket, line; item: budget, tokens (cumulative). */
	BUDGET_MESSAGE_CLAIM,
	/** Answer: the same, once recorded for good. */
	BUDGET_MESSAGE_CLAIMED,
	/** Holder tells another domain's holder of settled keys. bucket,
	 * sequence (of the last key); item: id (start of the key). */
	BUDGET_MESSAGE_KEYS,
	/** Acknowledges KEYS: bucket, sequence. */
	BUDGET_MESSAGE_KEYS_SEEN,
	/** Both settled the key. bucket; item: key, tokens, code (enum
	 * budget_copy_state), flags: a reply, or to be replied to. */
	BUDGET_MESSAGE_DUPLICATE,
	/** Tells a new holder of keys of its predecessor. bucket; item: key,
	 * budget, tokens (spent or bound), code (1 when settled). */
	BUDGET_MESSAGE_REGISTER,
	BUDGET_MESSAGE_KIND_END
};

/** What became of one copy of a request that was settled twice. */
enum budget_copy_state {
	BUDGET_COPY_REVERSIBLE,
	BUDGET_COPY_FINAL, /**< another host's, or returned for good */
	BUDGET_COPY_REVERSED,
	BUDGET_COPY_KEPT, /**< others were or will be reversed for it */
};

#define BUDGET_FLAG_ALREADY_RESERVED 1u
#define BUDGET_FLAG_ALREADY_SETTLED 2u
#define BUDGET_FLAG_REPLY 4u
/** Granted anew after a run that was cut off; tokens: what that one used. */
#define BUDGET_FLAG_RUN_AGAIN 8u

struct budget_message_item {
	uint64_t id;
	struct tgw_request_key key;
	bool has_key;
	char budget[TGW_NAME_SIZE];
	int64_t tokens;
	int64_t other;
	uint32_t code;
	uint32_t flags;
};

struct budget_message {
	enum budget_message_kind kind;
	uint32_t bucket;
	uint64_t line;
	uint64_t epoch;
	uint64_t sequence;
	uint32_t code;
	size_t item_count;
	struct budget_message_item *items;
};

/** @return the new item, zeroed */
struct budget_message_item *budget_message_add(struct budget_message *message);

void budget_message_clear(struct budget_message *message);

void budget_message_encode(const struct budget_message *message,
			   struct buffer *bytes);

/** @return OK, CORRUPT or NEWER_FORMAT; the message is then empty */
enum tgw_status budget_message_decode(struct budget_message *message,
				      const void *bytes, size_t size);

#endif
