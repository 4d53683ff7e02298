#include "edge/backend_pool.h"

#include <stdlib.h>

#include "base/xalloc.h"
#include "transport/http_pool.h"
#include "transport/socket_address.h"

/* Limit on this host's idle connections to one server. All hosts share the
 * connections that a server accepts. */
#define IDLE_CONNECTIONS_MAX 8

struct http_conn *backend_pool_acquire(uv_loop_t *loop, struct backend *backend,
				       int64_t now_us)
{
	struct http_pool *pool = backend->pool;
	struct http_conn *conn = pool ? http_pool_acquire(pool, now_us) : NULL;
	union socket_address address;

	if (conn)
		return conn;
	if (!socket_address_parse(backend->entry.address, &address))
		return NULL;
	return http_conn_open(loop, &address.any);
}

static struct http_pool *pool_of(struct backend *backend)
{
	if (!backend->pool)
		backend->pool = xcalloc(1, sizeof(struct http_pool));
	return backend->pool;
}

void backend_pool_keep_none(struct backend *backend)
{
	http_pool_keep_none(pool_of(backend));
}

void backend_pool_release(struct backend *backend, struct http_conn *conn,
			  int64_t now_us)
{
	http_pool_release(pool_of(backend), conn,
			  backend_accepts_requests(backend, now_us)
				  ? IDLE_CONNECTIONS_MAX
				  : 0,
			  now_us);
}

void backend_pool_trim(struct backend *backend, int64_t now_us)
{
	if (!backend->pool)
		return;
	if (backend_accepts_requests(backend, now_us))
		http_pool_trim(backend->pool, now_us);
	else
		http_pool_clear(backend->pool);
}

void backend_pool_free(struct backend *backend)
{
	if (!backend->pool)
		return;
	http_pool_clear(backend->pool);
	free(backend->pool);
	backend->pool = NULL;
}
