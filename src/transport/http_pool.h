/**
 * @file http_pool.h
 * Idle connections to one server, kept for reuse.
 */
#ifndef TRANSPORT_HTTP_POOL_H
#define TRANSPORT_HTTP_POOL_H

#include <uv.h>

#include "transport/http_conn.h"

/** Empty when zeroed. */
struct http_pool {
	struct http_conn *idle; /**< most recently used first */
	uint32_t count;
	/** Until then connections are closed after one response. */
	int64_t keeps_none_until_us;
};

/** @return an idle connection that is within its idle limit and that its server
 * has not ended, or NULL */
struct http_conn *http_pool_acquire(struct http_pool *pool, int64_t now_us);

/** Releases a connection to the pool if it is reusable, and the pool keeps
 * connections now and has fewer than `max_idle`; otherwise it is marked as not
 * reusable. The pool must not move in memory while it has connections. */
void http_pool_release(struct http_pool *pool, struct http_conn *conn,
		       uint32_t max_idle, int64_t now_us);

/** Closes connections that have reached their idle limit. */
void http_pool_trim(struct http_pool *pool, int64_t now_us);

/** Closes all idle connections. */
void http_pool_clear(struct http_pool *pool);

/** Closes all idle connections, and keeps none until a time. */
void http_pool_keep_none(struct http_pool *pool, int64_t until_us);

#endif
