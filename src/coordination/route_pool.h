/**
 * @file route_pool.h
 * The servers of one model or plain service, and the attempts that wait for
 * them.
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
	bool writes; /**< for a service's writes, queued apart from its reads */
	size_t server_count;
	struct server_state **servers;
	struct route_queue queue;
	struct route_pace pace;
	bool dispatching; /**< guards against recursion from callbacks */
};

struct route_pool *route_pool_new(const char *name, enum tgw_server_kind kind,
				  bool writes);

/** Frees a pool, whose queue has to be empty. */
void route_pool_free(struct route_pool *pool);

/** Selects the pool's servers from all servers. */
void route_pool_set_servers(struct route_pool *pool,
			    struct server_state *const *servers, size_t count);

/** @return whether the server may be ejected: of the pool's servers in its
 * failure domain that accept work, at least one other and at least half stay
 * usable */
bool route_pool_may_eject(const struct route_pool *pool,
			  const struct server_state *server, int64_t now_us);

#endif
