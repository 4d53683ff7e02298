/**
 * @file claim_issuer.h
 * Decides claim requests that use tickets issued by this process.
 */
#ifndef COORDINATION_CLAIM_ISSUER_H
#define COORDINATION_CLAIM_ISSUER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/claim_message.h"
#include "state/claim_ticket.h"
#include "tamarackgw/claim.h"

/** Decides a CLAIM_REQUEST from the tickets in this process's memory.
 * @param reply receives the CLAIM_REPLY; its response body stays owned by the
 *        ticket
 * @return the record of the call if another request is running it, otherwise
 *         NULL */
const struct claim_record *claim_issuer_decide(
	struct claim_ticket_table *tickets, const struct claim_message *request,
	struct claim_message *reply);

/** Applies a CLAIM_END to its ticket.
 * @return whether it is the first CLAIM_END of its request */
bool claim_issuer_end(struct claim_ticket_table *tickets,
		      const struct claim_message *end);

#endif
