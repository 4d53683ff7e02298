/**
 * @file route_pool.h
 * The servers of one model or plain service, and the work that waits there.
 */
#ifndef COORDINATION_ROUTE_POOL_H
#define COORDINATION_ROUTE_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/route_pace.h"
#include "state/route_queue.h"
#include "state/server_state.h"

struct route_pool {
	struct route_pool *next;
	char name[TGW_NAME_SIZE]; /**< of the model or the service */
	enum tgw_server_kind kind;
	bool writes; /**< of a service: its writes, which wait apart */
	size_t server_count;
	struct server_state **servers;
	struct route_queue queue;
	struct route_pace pace;
	bool dispatching; /**< guards against calls from callbacks */
};

struct route_pool *route_pool_new(const char *name, enum tgw_server_kind kind,
				  bool writes);

/** Frees a pool with nothing in its queue. */
void route_pool_free(struct route_pool *pool);

/** Picks the pool's servers out of all that are configured. */
void route_pool_set_servers(struct route_pool *pool,
			    struct server_state *const *servers, size_t count);

/** Ejects a server, unless that would leave too few of the pool. */
bool route_pool_may_eject(const struct route_pool *pool,
			  const struct server_state *server, int64_t now_us);

#endif
