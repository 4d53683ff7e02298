/**
 * @file claim_run.h
 * The claim requests of this host that wait for a reply, and the calls that
 * were granted to it, until their ends are recorded.
 */
#ifndef COORDINATION_CLAIM_RUN_H
#define COORDINATION_CLAIM_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/claim_message.h"
#include "state/claim_ticket.h"
#include "tamarackgw/claim.h"

enum claim_run_phase {
	CLAIM_RUN_REQUESTED, /**< not granted; no byte of the call was sent */
	CLAIM_RUN_RUNNING,   /**< granted to this host */
	CLAIM_RUN_ENDED,     /**< the CLAIM_END is not acknowledged yet */
};

struct claim_run {
	struct claim_run *next;
	enum claim_run_phase phase;
	/** A CLAIM_REQUEST; once the run has ended, a CLAIM_END. */
	struct claim_message message;
	struct claim_ticket_name ticket;
	bool has_ticket;
	bool is_first_attempt;
	/** The run only records in the store how a call with a ticket of this
	 * host ended; may be dropped. */
	bool is_record;
	uint32_t sent_count;
	int64_t next_send_us; /**< when the message is sent again */
	int64_t deadline_us;  /**< when a pending request is given up */
	struct tgw_claim_callback callback; /**< used while REQUESTED */
};

struct claim_run_list {
	struct claim_run *first;
	size_t count;
};

struct claim_run *claim_run_add(struct claim_run_list *list);

/** @return the run of this owner, or NULL */
struct claim_run *claim_run_find(const struct claim_run_list *list,
				 const struct claim_owner *owner);

/** @return the oldest run that has is_record set, or NULL */
struct claim_run *claim_run_oldest_record(const struct claim_run_list *list);

/** @return a run of this key that was granted to this host, or NULL */
struct claim_run *claim_run_find_granted(const struct claim_run_list *list,
					 const struct tgw_request_key *key);

/** Removes the run from the list and frees it. */
void claim_run_remove(struct claim_run_list *list, struct claim_run *run);

#endif
