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

const struct claim_record *claim_issuer_decide(
	struct claim_ticket_table *tickets, const struct claim_message *request,
	struct claim_message *reply)
{
	struct claim_ticket *ticket =
		claim_ticket_table_find(tickets, request->serial);

	*reply = *request;
	reply->kind = CLAIM_REPLY;
	reply->retry_after_us = RUNNING_RETRY_AFTER_US;
	reply->record.phase = CLAIM_PHASE_RUNNING;
	memset(&reply->record.result, 0, sizeof(reply->record.result));
	if (!ticket) {
		reply->state =
			claim_ticket_table_has_expired(tickets, request->serial)
				? TGW_CLAIM_UNKNOWN
				: TGW_CLAIM_REFUSED;
		return NULL;
	}
	reply->state = state_of(
		claim_ticket_claim(ticket, request->team, &request->record));
	reply->earlier_attempt_known = reply->state == TGW_CLAIM_UNKNOWN;
	if (reply->state == TGW_CLAIM_RECORDED) {
		reply->record.phase = CLAIM_PHASE_DONE;
		reply->record.result = ticket->record.result;
	}
	return reply->state == TGW_CLAIM_RUNNING ? &ticket->record : NULL;
}

bool claim_issuer_end(struct claim_ticket_table *tickets,
		      const struct claim_message *end)
{
	struct claim_ticket *ticket =
		claim_ticket_table_find(tickets, end->serial);

	return ticket && claim_ticket_end(ticket, &end->record);
}
