/**
 * @file claim_run.h
 * The asks of this host that wait for an answer, and the calls that it was
 * granted, until it is recorded how they ended.
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
	CLAIM_RUN_ASKING,  /**< not granted; nothing was sent */
	CLAIM_RUN_RUNNING, /**< granted to this host */
	CLAIM_RUN_ENDED,   /**< not yet known to be recorded */
};

struct claim_run {
	struct claim_run *next;
	enum claim_run_phase phase;
	struct claim_message message; /**< the ASK; since it ended the END */
	struct claim_ticket_name ticket;
	bool has_ticket;
	bool is_first_attempt;
	bool is_record; /**< an issuer's note for the store; may be dropped */
	uint32_t sent_count;
	int64_t send_us; /**< when to send the message again */
	int64_t due_us;	 /**< when an ask is given up */
	struct tgw_claim_callback callback; /**< while asking */
};

struct claim_run_list {
	struct claim_run *first;
	size_t count;
};

/** @return a new member of the list */
struct claim_run *claim_run_add(struct claim_run_list *list);

/** @return the run of this ask, or NULL */
struct claim_run *claim_run_find(const struct claim_run_list *list,
				 const struct claim_owner *owner);

/** @return the oldest note for the store, or NULL */
struct claim_run *claim_run_oldest_record(const struct claim_run_list *list);

/** @return a run of this key that is past asking, or NULL */
struct claim_run *claim_run_find_granted(const struct claim_run_list *list,
					 const struct tgw_request_key *key);

/** Takes the run out of the list and frees it. */
void claim_run_remove(struct claim_run_list *list, struct claim_run *run);

#endif
