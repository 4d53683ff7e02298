/**
 * @file http_pool.h
 * Kept connections to one server.
 */
#ifndef TRANSPORT_HTTP_POOL_H
#define TRANSPORT_HTTP_POOL_H

#include <uv.h>

#include "transport/http_conn.h"

/** Empty when zeroed. */
struct http_pool {
	struct http_conn *idle; /**< last used first */
	uint32_t count;
};

/** @return an idle connection that its server still keeps, or NULL */
struct http_conn *http_pool_take(struct http_pool *pool, int64_t now_us);

/** Keeps a connection for a later request, if it can serve one and fewer
 * than `most` are kept; else it is marked as of no more use. The pool must
 * stay where it is. */
void http_pool_keep(struct http_pool *pool, struct http_conn *conn,
		    uint32_t most, int64_t now_us);

/** Closes connections that have been idle for too long. */
void http_pool_trim(struct http_pool *pool, int64_t now_us);

/** Closes all idle connections. */
void http_pool_clear(struct http_pool *pool);

#endif
