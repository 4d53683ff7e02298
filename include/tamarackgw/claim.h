/**
 * @file claim.h
 * Calls that may not be repeated: claimed before the first byte is sent.
 */
#ifndef TAMARACKGW_CLAIM_H
#define TAMARACKGW_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/budget.h"

#define TGW_BODY_HASH_BYTES 16
/** Room for a ticket's text, terminator included. */
#define TGW_CLAIM_TICKET_SIZE 128

/** What a claim's owner, or a retry, is told. */
enum tgw_claim_state {
	TGW_CLAIM_GRANTED,    /**< this host runs the call, now, once */
	TGW_CLAIM_RUNNING,    /**< runs already; come back for the answer */
	TGW_CLAIM_RECORDED,   /**< ended; the recorded answer is at hand */
	TGW_CLAIM_UNKNOWN,    /**< may have run; its outcome is not known */
	TGW_CLAIM_REFUSED,    /**< not run; the claim could not be confirmed */
	TGW_CLAIM_KEY_REUSED, /**< same key, other body; not run */
};

/** How a claimed call ended. */
enum tgw_claim_outcome {
	TGW_CLAIM_DONE,	    /**< the whole answer came */
	TGW_CLAIM_NOT_SENT, /**< no byte was sent; may be claimed again */
	TGW_CLAIM_LOST,	    /**< sent, and the answer can't be learnt */
};

struct tgw_claim_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint64_t random_seed;
	uint32_t bucket_count;
	int64_t batch_interval_us; /**< claims wait this long for company */
	int64_t keep_us;	   /**< age at which a claim is cleaned up */
	int64_t claim_timeout_us;  /**< wait for the store's confirmation */
	uint32_t answer_max_bytes; /**< larger answers are not recorded */
};

struct tgw_claim_request {
	struct tgw_request_key key;
	uint8_t body_hash[TGW_BODY_HASH_BYTES];
	const char *team; /**< whose call it is */
	/** The caller's key when it is a ticket, see
	 * tgw_claim_issue_ticket(); else NULL. */
	const char *ticket;
	/** The caller gave no key of its own, so that there can't have been
	 * an earlier attempt: then a claim that can't be confirmed is
	 * REFUSED, and otherwise UNKNOWN. */
	bool is_first_attempt;
};

/** Valid only during the callback. */
struct tgw_claim_answer {
	enum tgw_claim_state state;
	/** Of UNKNOWN: an earlier attempt surely was granted. Else none is
	 * known of, but that could not be made sure. Either way this
	 * attempt was not run. */
	bool earlier_attempt_known;
	/** Of RECORDED: the body was too large to keep. */
	bool body_not_kept;
	int32_t http_status; /**< of a recorded answer */
	const char *content_type;
	const uint8_t *body;
	size_t body_size;
	int64_t retry_after_us;
	const char *message;
};

struct tgw_claim_callback {
	void (*done)(void *arg, const struct tgw_claim_answer *answer);
	void *arg;
};

struct tgw_claim_counters {
	uint64_t granted;
	uint64_t refused;
	uint64_t replayed;
	uint64_t unknown;
	uint64_t store_writes;
	uint64_t store_reads;
	uint64_t store_conflicts;
	uint64_t store_read_backs; /**< after an answer was lost */
	uint64_t tickets_issued;
	uint64_t tickets_granted; /**< part of granted: without the store */
	uint64_t peer_messages_sent;
};

struct tgw_claim_agent;

struct tgw_claim_env tgw_claim_env_default(void);

struct tgw_claim_agent *tgw_claim_agent_new(const struct tgw_claim_env *env,
					    const struct tgw_host_view *view);

void tgw_claim_agent_free(struct tgw_claim_agent *agent);

/** Claims a call; the callback runs exactly once, from this call or later.
 * Each GRANTED is followed by one tgw_claim_finish(). */
void tgw_claim_begin(struct tgw_claim_agent *agent,
		     const struct tgw_claim_request *request,
		     struct tgw_claim_callback callback);

/**
 * Issues a single-use key to a caller ahead of its call. Only this process
 * says whether the call may run, so that it needs no store: also a domain
 * that is cut off from the store runs it. The caller gives the text as its
 * key, to any host. When this process is gone, what it did not record is
 * UNKNOWN. A text that was made up runs nothing.
 * @param team who may use it
 * @return OK; BUSY when too many are open; CANCELLED when stopping
 */
enum tgw_status tgw_claim_issue_ticket(struct tgw_claim_agent *agent,
				       const char *team,
				       char text[TGW_CLAIM_TICKET_SIZE],
				       struct tgw_error *error);

/** @return whether a caller's key has the form of a ticket */
bool tgw_claim_is_ticket(const char *text);

/** Records how a granted call ended. */
void tgw_claim_finish(struct tgw_claim_agent *agent,
		      const struct tgw_request_key *key,
		      enum tgw_claim_outcome outcome, int32_t http_status,
		      const char *content_type, const void *body,
		      size_t body_size);

void tgw_claim_set_hosts(struct tgw_claim_agent *agent,
			 const struct tgw_host_view *view);

void tgw_claim_on_message(struct tgw_claim_agent *agent,
			  const struct tgw_peer_message *message);

int64_t tgw_claim_tick(struct tgw_claim_agent *agent);

void tgw_claim_drain(struct tgw_claim_agent *agent);

bool tgw_claim_is_drained(const struct tgw_claim_agent *agent);

const struct tgw_claim_counters *tgw_claim_agent_counters(
	const struct tgw_claim_agent *agent);

#endif
