/**
 * @file claim_issuer.h
 * Answers for the tickets that this process issued.
 */
#ifndef COORDINATION_CLAIM_ISSUER_H
#define COORDINATION_CLAIM_ISSUER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/claim_message.h"
#include "state/claim_ticket.h"
#include "tamarackgw/claim.h"

/** Decides an ASK by this process's memory.
 * @param tell the answer; its body is the ticket's
 * @return the record of the call when another ask runs it, else NULL */
const struct claim_record *claim_issuer_answer(
	struct claim_ticket_table *tickets, const struct claim_message *ask,
	struct claim_message *tell);

/** Takes an END. @return whether it is the first of its ask */
bool claim_issuer_end(struct claim_ticket_table *tickets,
		      const struct claim_message *end);

#endif
