/**
 * @file ticket_request.h
 * A caller's wish for a single-use key, see tgw_claim_issue_ticket().
 */
#ifndef DAEMON_TICKET_REQUEST_H
#define DAEMON_TICKET_REQUEST_H

#include "daemon/call.h"

/** Answers on the coordination thread; any thread. */
void ticket_request_post(struct gateway_core *core, const char *team,
			 struct answer *answer);

#endif
