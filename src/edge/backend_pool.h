/**
 * @file backend_pool.h
 * The pool of idle connections to a backend server. Connections are added to it
 * only while the server accepts requests.
 */
#ifndef EDGE_BACKEND_POOL_H
#define EDGE_BACKEND_POOL_H

#include <uv.h>

#include "state/backend_table.h"
#include "transport/http_conn.h"

/** @return a new connection, or NULL if the server's address can't be parsed */
struct http_conn *backend_pool_open(uv_loop_t *loop,
				    const struct backend *backend);

/** Takes an idle connection from the pool that has not carried a request of
 * this id lately, or opens a new one.
 * @return NULL if the server's address can't be parsed */
struct http_conn *backend_pool_acquire(uv_loop_t *loop, struct backend *backend,
				       uint64_t request_id_hash,
				       int64_t now_us);

/** Releases a connection to the pool for a later request. It is closed if it
 * can't be reused, the pool is full, or the server accepts no requests. */
void backend_pool_release(struct backend *backend, struct http_conn *conn,
			  int64_t now_us);

/** Closes the connections that have reached their idle limit; all of them if
 * the server accepts no requests. */
void backend_pool_trim(struct backend *backend, int64_t now_us);

/** Sends each request to the server on a connection of its own for some time.
 */
void backend_pool_keep_none(struct backend *backend, int64_t now_us);

/** Closes all idle connections and frees the pool. */
void backend_pool_free(struct backend *backend);

#endif
