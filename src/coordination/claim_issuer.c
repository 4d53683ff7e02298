#include "coordination/claim_issuer.h"

#include <string.h>

#define RUNNING_RETRY_AFTER_US TGW_US_PER_S

static enum tgw_claim_state state_of(enum claim_decision decision)
{
	switch (decision) {
	case CLAIM_DECISION_GRANTED:
		return TGW_CLAIM_GRANTED;
	case CLAIM_DECISION_RUNNING:
		return TGW_CLAIM_RUNNING;
	case CLAIM_DECISION_DONE:
		return TGW_CLAIM_RECORDED;
	case CLAIM_DECISION_KEY_REUSED:
		return TGW_CLAIM_KEY_REUSED;
	default:
		return TGW_CLAIM_UNKNOWN;
	}
}

const struct claim_record *claim_issuer_answer(
	struct claim_ticket_table *tickets, const struct claim_message *ask,
	struct claim_message *tell)
{
	struct claim_ticket *ticket =
		claim_ticket_table_find(tickets, ask->serial);

	*tell = *ask;
	tell->kind = CLAIM_REPLY;
	tell->retry_after_us = RUNNING_RETRY_AFTER_US;
	tell->record.phase = CLAIM_PHASE_RUNNING;
	memset(&tell->record.result, 0, sizeof(tell->record.result));
	if (!ticket) {
		tell->state =
			claim_ticket_table_has_expired(tickets, ask->serial)
				? TGW_CLAIM_UNKNOWN
				: TGW_CLAIM_REFUSED;
		return NULL;
	}
	tell->state =
		state_of(claim_ticket_claim(ticket, ask->team, &ask->record));
	tell->earlier_attempt_known = tell->state == TGW_CLAIM_UNKNOWN;
	if (tell->state == TGW_CLAIM_RECORDED) {
		tell->record.phase = CLAIM_PHASE_DONE;
		tell->record.result = ticket->record.result;
	}
	return tell->state == TGW_CLAIM_RUNNING ? &ticket->record : NULL;
}

bool claim_issuer_end(struct claim_ticket_table *tickets,
		      const struct claim_message *end)
{
	struct claim_ticket *ticket =
		claim_ticket_table_find(tickets, end->serial);

	return ticket && claim_ticket_end(ticket, &end->record);
}
