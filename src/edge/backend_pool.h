/**
 * @file backend_pool.h
 * Connections to a backend server, kept while it is listed.
 */
#ifndef EDGE_BACKEND_POOL_H
#define EDGE_BACKEND_POOL_H

#include <uv.h>

#include "state/backend_table.h"
#include "transport/http_conn.h"

/** Takes an idle connection, or opens one.
 * @return NULL if the server's address can't be used */
struct http_conn *backend_pool_take(uv_loop_t *loop, struct backend *backend,
				    int64_t now_us);

/** Keeps a connection for a later request, if it can serve one. */
void backend_pool_keep(struct backend *backend, struct http_conn *conn,
		       int64_t now_us);

/** Closes connections that have been idle for too long. */
void backend_pool_trim(struct backend *backend, int64_t now_us);

/** Closes all idle connections and frees the pool. */
void backend_pool_free(struct backend *backend);

#endif
