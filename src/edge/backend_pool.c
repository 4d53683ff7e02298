#include "edge/backend_pool.h"

#include <stdlib.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "transport/socket_address.h"

/* Idle connections kept to one server; all hosts share what it takes. */
#define IDLE_MAX 8
/* Used where the server does not tell its idle limit. */
#define IDLE_LIMIT_US (3 * TGW_US_PER_S)

struct backend_pool {
	struct http_conn *idle; /* last used first */
	uint32_t count;
};

static void on_idle_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	struct backend *backend = conn->owner;
	struct backend_pool *pool = backend->pool;
	struct http_conn **at = &pool->idle;

	while (*at && *at != conn)
		at = &(*at)->next;
	if (!*at)
		return;
	*at = conn->next;
	pool->count--;
}

static const struct http_conn_events idle_events = {
	.broken = on_idle_broken,
};

static bool is_stale(const struct http_conn *conn, int64_t now_us)
{
	int64_t limit_us = conn->keep_idle_us ? conn->keep_idle_us
					      : IDLE_LIMIT_US;

	return now_us - conn->idle_since_us >= limit_us;
}

struct http_conn *backend_pool_take(uv_loop_t *loop, struct backend *backend,
				    int64_t now_us)
{
	struct backend_pool *pool = backend->pool;
	union socket_address address;

	while (pool && pool->idle) {
		struct http_conn *conn = pool->idle;

		pool->idle = conn->next;
		pool->count--;
		conn->next = NULL;
		if (!is_stale(conn, now_us))
			return conn;
		http_conn_close(conn);
	}
	if (!socket_address_parse(backend->entry.address, &address))
		return NULL;
	return http_conn_open(loop, &address.v4);
}

void backend_pool_keep(struct backend *backend, struct http_conn *conn,
		       int64_t now_us)
{
	struct backend_pool *pool = backend->pool;

	if (!conn->reusable)
		return;
	if (!backend->listed || (pool && pool->count >= IDLE_MAX)) {
		conn->reusable = false;
		return;
	}
	if (!pool) {
		pool = xcalloc(1, sizeof(*pool));
		backend->pool = pool;
	}
	conn->events = &idle_events;
	conn->owner = backend;
	conn->idle_since_us = now_us;
	conn->next = pool->idle;
	pool->idle = conn;
	pool->count++;
}

void backend_pool_trim(struct backend *backend, int64_t now_us)
{
	struct backend_pool *pool = backend->pool;
	struct http_conn **at;

	if (!pool)
		return;
	at = &pool->idle;
	while (*at) {
		struct http_conn *conn = *at;

		if (!is_stale(conn, now_us)) {
			at = &conn->next;
			continue;
		}
		*at = conn->next;
		pool->count--;
		http_conn_close(conn);
	}
}

void backend_pool_free(struct backend *backend)
{
	struct backend_pool *pool = backend->pool;

	if (!pool)
		return;
	while (pool->idle) {
		struct http_conn *conn = pool->idle;

		pool->idle = conn->next;
		http_conn_close(conn);
	}
	free(pool);
	backend->pool = NULL;
}
