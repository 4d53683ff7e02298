/**
 * @file budget_lending.h
 * Loans between hosts that take tokens for a failure domain, while they do not
 * reach the store: what the fleet holds serves whichever host is asked.
 *
 * A host whose requests lack tokens asks the relays of the other failure
 * domains, one after the other for each team, those first that said last that
 * they hold more. A lender gives what it holds and asks nobody itself, so no
 * request goes around. One that has nothing left is not asked again for a
 * while, and if that goes for all, a request is refused at once. A loan is a
 * transfer as any other: it binds the lender before it tells the borrower, and
 * is taken once.
 */
#ifndef COORDINATION_BUDGET_LENDING_H
#define COORDINATION_BUDGET_LENDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/peer_host.h"
#include "state/team_account.h"
#include "state/transfer_link.h"

#define BUDGET_LENDING_LENDERS_MAX 16

struct budget_relay;

/** A host that may lend. */
struct budget_lender {
	char host[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	bool is_spare;		    /**< not the best of its failure domain */
	int64_t greeted_us;	    /**< last message to an unknown process */
	int64_t greeting_period_us; /**< until the next one; doubles */
	uint32_t unanswered;	    /**< requests in a row */
	int64_t silent_until_us;    /**< it did not reply: not asked before */
};

struct budget_lending {
	size_t lender_count;
	struct budget_lender lenders[BUDGET_LENDING_LENDERS_MAX];
	int64_t started_us; /**< first request of an outage; 0: there is none */
	bool requested;	    /**< loans are to be asked for */
};

/** Takes the best hosts of each other failure domain as lenders. */
void budget_lending_set_hosts(struct budget_relay *relay,
			      const struct peer_host *hosts, size_t count);

/** Requests lack these tokens, and the store can't be reached.
 * @return whether a loan may come */
bool budget_lending_request(struct budget_relay *relay,
			    struct team_account *account, int64_t tokens);

/** Applies a lender's reply: waiting requests may try again. */
void budget_lending_on_reply(struct budget_relay *relay,
			     const struct transfer_link *link);

/** Sends the requests for loans that are due.
 * @return the next due time */
int64_t budget_lending_tick(struct budget_relay *relay);

#endif
