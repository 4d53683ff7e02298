#include "edge/backend_pool.h"

#include <stdlib.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "transport/http_pool.h"
#include "transport/socket_address.h"

/* Limit on this host's idle connections to one server. All hosts share the
 * connections that a server accepts. */
#define IDLE_CONNECTIONS_MAX 8
/* Limited, so that one request with an odd response does not cost all later
 * ones their kept connections. */
#define KEEP_NONE_US (60 * TGW_US_PER_S)

struct http_conn *backend_pool_open(uv_loop_t *loop,
				    const struct backend *backend)
{
	union socket_address address;

	if (!socket_address_parse(backend->entry.address, &address))
		return NULL;
	return http_conn_open(loop, &address.any);
}

static bool has_carried(const struct http_conn *conn, uint64_t request_id_hash)
{
	for (size_t i = 0; i < HTTP_CONN_CARRIED_IDS; i++)
		if (conn->carried_ids[i] == request_id_hash)
			return true;
	return false;
}

/* A late copy of the response to an earlier request with the same id can't be
 * told from the response to this one, so its connection is closed. */
static struct http_conn *take_idle(struct backend *backend,
				   uint64_t request_id_hash, int64_t now_us)
{
	struct http_conn *conn;

	if (!backend->pool)
		return NULL;
	while ((conn = http_pool_acquire(backend->pool, now_us))) {
		if (!has_carried(conn, request_id_hash))
			return conn;
		http_conn_close(conn);
	}
	return NULL;
}

struct http_conn *backend_pool_acquire(uv_loop_t *loop, struct backend *backend,
				       uint64_t request_id_hash, int64_t now_us)
{
	struct http_conn *conn = take_idle(backend, request_id_hash, now_us);

	if (!conn)
		conn = backend_pool_open(loop, backend);
	if (conn)
		conn->carried_ids[conn->carried_count++ %
				  HTTP_CONN_CARRIED_IDS] = request_id_hash;
	return conn;
}

static struct http_pool *pool_of(struct backend *backend)
{
	if (!backend->pool)
		backend->pool = xcalloc(1, sizeof(struct http_pool));
	return backend->pool;
}

void backend_pool_keep_none(struct backend *backend, int64_t now_us)
{
	http_pool_keep_none(pool_of(backend), now_us + KEEP_NONE_US);
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
