/**
 * @file claim.h
 * Claims for calls that must not be repeated: a host claims such a call
 * before it sends the first byte, so that the call runs at most once.
 */
#ifndef TAMARACKGW_CLAIM_H
#define TAMARACKGW_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/budget.h"

#define TGW_BODY_HASH_BYTES 16
/** Size of a ticket's text in bytes, terminator included. */
#define TGW_CLAIM_TICKET_SIZE 128

/** Result of a claim, as reported to its owner or to a retry. */
enum tgw_claim_state {
	TGW_CLAIM_GRANTED,    /**< this host must run the call now, once */
	TGW_CLAIM_RUNNING,    /**< already running; retry for the response */
	TGW_CLAIM_RECORDED,   /**< ended; the recorded response is attached */
	TGW_CLAIM_UNKNOWN,    /**< may have run; its outcome is unknown */
	TGW_CLAIM_REFUSED,    /**< not run; the claim could not be confirmed */
	TGW_CLAIM_KEY_REUSED, /**< key of another call; not run */
};

/** How a claimed call ended. */
enum tgw_claim_outcome {
	TGW_CLAIM_DONE,	       /**< the complete response was received */
	TGW_CLAIM_NOT_SENT,    /**< no byte was sent; can be claimed again */
	TGW_CLAIM_NO_RESPONSE, /**< sent, but the response cannot be obtained */
};

struct tgw_claim_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint64_t random_seed;
	uint32_t bucket_count;
	/** Minimum time between two writes of a bucket; the claims that arrive
	 * in between share one write. */
	int64_t batch_interval_us;
	/** Age at which an ended claim or a ticket is removed. A claim that is
	 * still running is kept twice as long. */
	int64_t keep_us;
	int64_t claim_timeout_us;    /**< limit for the store to confirm */
	uint32_t max_response_bytes; /**< larger bodies are not kept */
};

struct tgw_claim_request {
	struct tgw_request_key key;
	uint8_t body_hash[TGW_BODY_HASH_BYTES];
	const char *team; /**< the team that makes the call */
	/** The caller's key if it is a ticket, see tgw_claim_issue_ticket();
	 * otherwise NULL. */
	const char *ticket;
	/** The caller supplied no key of its own, so there cannot have been an
	 * earlier attempt. A claim that cannot be confirmed is REFUSED if this
	 * is set, and UNKNOWN otherwise. */
	bool is_first_attempt;
};

/** Result of tgw_claim_begin(). Valid only during the callback. */
struct tgw_claim_answer {
	enum tgw_claim_state state;
	/** For UNKNOWN: whether an earlier attempt is known to have been
	 * granted. If false, none is known, but one cannot be ruled out. In
	 * both cases this attempt was not run. */
	bool earlier_attempt_known;
	/** For RECORDED: the response body was too large to keep. */
	bool body_not_kept;
	int32_t http_status; /**< of the recorded response */
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
	uint64_t store_read_backs; /**< after a write without a usable reply */
	uint64_t tickets_issued;
	uint64_t tickets_granted; /**< included in granted; need no store */
	uint64_t peer_messages_sent;
};

struct tgw_claim_agent;

struct tgw_claim_env tgw_claim_env_default(void);

struct tgw_claim_agent *tgw_claim_agent_new(const struct tgw_claim_env *env,
					    const struct tgw_host_view *view);

void tgw_claim_agent_free(struct tgw_claim_agent *agent);

/** Claims a call. The callback runs exactly once, during this function or
 * later. Each GRANTED must be followed by one tgw_claim_finish(). */
void tgw_claim_begin(struct tgw_claim_agent *agent,
		     const struct tgw_claim_request *request,
		     struct tgw_claim_callback callback);

/**
 * Issues a ticket: a single-use key that a caller obtains ahead of its call.
 * Only this process decides whether the call may run, so the decision needs
 * no store: the call can run even in a failure domain that is partitioned
 * from the store. The caller passes the text as its key to any host. Once this
 * process is dead, a claim with the ticket is UNKNOWN unless the end of the
 * call was recorded. A forged ticket never runs a call.
 * @param team the only team that may use the ticket
 * @return OK; BUSY when too many tickets are outstanding; CANCELLED when this
 *         host is stopping
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
