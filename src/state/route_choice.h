/**
 * @file route_choice.h
 * Picks the server for one attempt out of those that may run it.
 */
#ifndef STATE_ROUTE_CHOICE_H
#define STATE_ROUTE_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/server_state.h"
#include "tamarackgw/random.h"
#include "tamarackgw/router.h"

/** The servers of one model or service, and who asks. */
struct route_choice {
	struct server_state *const *servers;
	size_t server_count;
	const char *failure_domain; /**< whose servers come first */
	struct tgw_random *random;
	int64_t now_us;
	int64_t waited_us; /**< by the attempt */
};

/** Why no server was picked. */
enum route_choice_result {
	ROUTE_CHOICE_OK,
	ROUTE_CHOICE_FULL, /**< some could run it, when they have room */
	ROUTE_CHOICE_NONE, /**< none may run it now */
};

/** @param matched receives the blocks found in the server's prefix cache */
enum route_choice_result route_choice_pick(
	const struct route_choice *choice,
	const struct tgw_route_request *request, struct server_state **picked,
	int64_t *matched);

/** @return whether this server may run the request, room aside */
bool route_choice_allows(const struct server_state *state,
			 const struct tgw_route_request *request,
			 int64_t now_us);

#endif
