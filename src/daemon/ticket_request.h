/**
 * @file ticket_request.h
 * A caller's request for a ticket, which is a single-use key; see
 * tgw_claim_issue_ticket().
 */
#ifndef DAEMON_TICKET_REQUEST_H
#define DAEMON_TICKET_REQUEST_H

#include "daemon/call.h"

/** Sets the answer later, on the coordination thread. May be called on any
 * thread. */
void ticket_request_post(struct gateway_core *core, const char *team,
			 struct answer *answer);

#endif
