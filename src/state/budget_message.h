/**
 * @file budget_message.h
 * Messages between the budget agents of two hosts.
 *
 * All kinds share one frame: a header and a list of items. Each kind lists the
 * fields that it uses and what they mean; the others are zero or empty.
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
/** Maximum number of items, which keeps a message far below the size limit. */
#define BUDGET_MESSAGE_ITEMS_MAX 1000

enum budget_message_kind {
	/** An entry host requests a reservation from a holder. Item: id (of
	 * the request), key, budget, tokens (upper bound of the cost). */
	BUDGET_MESSAGE_RESERVE = 1,
	/** Reply to RESERVE. line: the granting line. Item: id, code (status),
	 * flags, tokens (settled), other (retry after, in us). If the item has
	 * a key and a budget, it is no reply: the holder queries whether the
	 * reservation is still used. */
	BUDGET_MESSAGE_RESERVED,
	/** An entry host reports spent tokens to a holder. sequence (0: no
	 * reply requested); epoch: the newest sequence whose acknowledgement
	 * the entry host has received. It claims no refund for settlements up
	 * to that one. Item: id, key, budget, tokens (spent), code (basis). */
	BUDGET_MESSAGE_SETTLE,
	/** Acknowledges a SETTLE by its sequence. */
	BUDGET_MESSAGE_SETTLED,
	/** A holder requests a higher spending ceiling from its witness.
	 * bucket, line, epoch, sequence; item: budget, tokens (new ceiling),
	 * other (demand in tokens per second). */
	BUDGET_MESSAGE_RAISE,
	/** Reply to RAISE: the same header; code 1 when refused. */
	BUDGET_MESSAGE_RAISED,
	/** A holder recalls tokens from other holders. bucket; item: budget,
	 * tokens. Without an item: the receiver only reads the ledger's key. */
	BUDGET_MESSAGE_RECALL,
	/** Reply to RECALL, once the tokens are back in the ledger. bucket;
	 * item: budget, tokens. */
	BUDGET_MESSAGE_RELEASED,
	/** An entry host claims a refund of tokens that a written-off line was
	 * charged but that were not spent. bucket, line; item: budget, tokens
	 * (cumulative). */
	BUDGET_MESSAGE_CLAIM,
	/** Reply to CLAIM with the same fields, once the ledger has recorded
	 * the refund. */
	BUDGET_MESSAGE_CLAIMED,
	/** A holder reports settled keys to a holder of another failure domain.
	 * bucket, sequence (of the last key); item: id (prefix of the key). */
	BUDGET_MESSAGE_KEYS,
	/** Acknowledges KEYS: bucket, sequence. */
	BUDGET_MESSAGE_KEYS_SEEN,
	/** Both hosts have settled the key. bucket; item: key, tokens, code
	 * (enum budget_copy_state), flags (BUDGET_FLAG_REPLY: a reply, which
	 * gets none itself). */
	BUDGET_MESSAGE_DUPLICATE,
	/** Reports keys of a previous holder to the new holder. bucket; item:
	 * key, budget, tokens (spent, or the bound), code (1 when settled). */
	BUDGET_MESSAGE_REGISTER,
	BUDGET_MESSAGE_KIND_END
};

/** State of one host's copy of a request that was settled twice. */
enum budget_copy_state {
	BUDGET_COPY_REVERSIBLE,
	BUDGET_COPY_FINAL, /**< irreversible here: held by another host, or
			    * its allotment has been returned */
	BUDGET_COPY_REVERSED,
	BUDGET_COPY_KEPT, /**< stays charged; the other copies were or will be
			   * reversed */
};

#define BUDGET_FLAG_ALREADY_RESERVED 1u
#define BUDGET_FLAG_ALREADY_SETTLED 2u
#define BUDGET_FLAG_REPLY 4u
/** Granted again after an earlier run that was interrupted and settled; tokens:
 * what that run used. */
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

/** @return OK; CORRUPT or NEWER_FORMAT with the message empty */
enum tgw_status budget_message_decode(struct budget_message *message,
				      const void *bytes, size_t size);

#endif
