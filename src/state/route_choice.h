/**
 * @file route_choice.h
 * Chooses the server of one attempt among those that may run it.
 */
#ifndef STATE_ROUTE_CHOICE_H
#define STATE_ROUTE_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/server_state.h"
#include "tamarackgw/random.h"
#include "tamarackgw/router.h"

/** The servers of one model or service, and the circumstances of the choice. */
struct route_choice {
	struct server_state *const *servers;
	size_t server_count;
	const char *failure_domain; /**< local one; its servers are preferred */
	struct tgw_random *random;
	int64_t now_us;
	int64_t waited_us; /**< time that the attempt has been queued */
};

/** Whether a server was chosen, or why not. */
enum route_choice_result {
	ROUTE_CHOICE_OK,
	ROUTE_CHOICE_FULL, /**< some may run it, but have no free slot */
	ROUTE_CHOICE_NONE, /**< none may run it now */
};

/** Chooses a server.
 * @param matched receives the prompt blocks found in the server's prefix
 * cache, in thousandths of a block */
enum route_choice_result route_choice_pick(
	const struct route_choice *choice,
	const struct tgw_route_request *request, struct server_state **picked,
	int64_t *matched);

/** @return whether this server may run the request, regardless of its load */
bool route_choice_allows(const struct server_state *state,
			 const struct tgw_route_request *request,
			 int64_t now_us);

#endif
