/**
 * @file claim_message.h
 * Messages between hosts about calls that may not be repeated.
 */
#ifndef STATE_CLAIM_MESSAGE_H
#define STATE_CLAIM_MESSAGE_H

#include "base/buffer.h"
#include "state/claim_record.h"

enum claim_message_kind {
	CLAIM_REQUEST, /**< requests the right to run a call */
	CLAIM_REPLY,   /**< replies to a CLAIM_REQUEST */
	CLAIM_END,     /**< reports how a granted call ended */
	CLAIM_END_ACK, /**< acknowledges a recorded CLAIM_END */
	CLAIM_CHECK,   /**< queries an owner: does the call still run? */
	CLAIM_KIND_COUNT
};

/** What decides a claim attempt. */
enum claim_authority {
	CLAIM_BY_STORE,	 /**< the record in the store */
	CLAIM_BY_ISSUER, /**< the process that issued the ticket */
	CLAIM_BY_RECORD, /**< the issuer has died: only the stored record */
	CLAIM_AUTHORITY_COUNT
};

struct claim_message {
	enum claim_message_kind kind;
	enum claim_authority authority; /**< of a request, an end or a check */
	uint64_t serial;		/**< of the ticket */
	char team[TGW_NAME_SIZE]; /**< of the caller that uses the ticket */
	/** Key, body hash and owner; of a CLAIM_END also the phase and the
	 * result, where RUNNING means that no byte was sent. */
	struct claim_record record;
	/* Only in a reply: */
	enum tgw_claim_state state;
	bool earlier_attempt_known;
	int64_t retry_after_us;
};

void claim_message_pack(const struct claim_message *message,
			struct buffer *payload);

/** @return whether it decodes; the caller clears the message in any case */
bool claim_message_unpack(struct claim_message *message, const void *payload,
			  size_t size);

void claim_message_clear(struct claim_message *message);

#endif
