#include "coordination/route_pool.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

struct route_pool *route_pool_new(const char *name, enum tgw_server_kind kind,
				  bool writes)
{
	struct route_pool *pool = xcalloc(1, sizeof(*pool));

	snprintf(pool->name, sizeof(pool->name), "%s", name);
	pool->kind = kind;
	pool->writes = writes;
	return pool;
}

void route_pool_free(struct route_pool *pool)
{
	assert(!pool->queue.count);
	free(pool->servers);
	free(pool);
}

static bool serves(const struct tgw_server *server,
		   const struct route_pool *pool)
{
	if (server->kind != pool->kind)
		return false;
	if (pool->kind == TGW_SERVER_SERVICE)
		return !strcmp(server->service, pool->name);
	for (size_t i = 0; i < server->models.count; i++)
		if (!strcmp(server->models.names[i], pool->name))
			return true;
	return false;
}

void route_pool_set_servers(struct route_pool *pool,
			    struct server_state *const *servers, size_t count)
{
	pool->servers =
		xrealloc(pool->servers, count * sizeof(pool->servers[0]));
	pool->server_count = 0;
	for (size_t i = 0; i < count; i++)
		if (servers[i]->configured && serves(&servers[i]->server, pool))
			pool->servers[pool->server_count++] = servers[i];
}

bool route_pool_may_eject(const struct route_pool *pool,
			  const struct server_state *server, int64_t now_us)
{
	size_t usable = 0;
	size_t total = 0;

	for (size_t i = 0; i < pool->server_count; i++) {
		const struct server_state *other = pool->servers[i];

		if (!server_state_accepts_work(other) ||
		    strcmp(other->server.failure_domain,
			   server->server.failure_domain))
			continue;
		total++;
		if (other != server && !server_state_is_ejected(other, now_us))
			usable++;
	}
	return usable > 0 && 2 * usable >= total;
}
