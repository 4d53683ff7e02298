/**
 * @file server_conn_private.h
 * Shared by the files that implement a caller's connection: server_conn.c reads
 * and ends it, server_conn_request.c parses requests, records what they take
 * and refuses those that exceed a limit, server_conn_response.c writes
 * responses.
 */
#ifndef TRANSPORT_SERVER_CONN_PRIVATE_H
#define TRANSPORT_SERVER_CONN_PRIVATE_H

#include "transport/server_conn.h"

/** The shortest idle limit that a response can announce: Keep-Alive counts
 * whole seconds. */
#define SERVER_MIN_ANNOUNCED_MS 1000

static inline int64_t server_conn_max_of(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/** Makes the parser await the head of a request. */
void server_conn_parse_next(struct server_conn *conn);

/** Parses up to the end of the current request.
 * @return how many of these bytes it has taken */
size_t server_conn_parse(struct server_conn *conn, const char *data,
			 size_t size);

/** Records what the connection holds of requests. */
void server_conn_record_input(struct server_conn *conn);

/** Closes the connection, and tells the owner of a request that is served. */
void server_conn_handle_disconnect(struct server_conn *conn);

/** Starts the timer of what the connection waits for now. */
void server_conn_start_wait(struct server_conn *conn);

/** @return bytes received after the current request */
static inline size_t server_conn_pipelined(const struct server_conn *conn)
{
	return conn->pipelined.size - conn->pipelined_read;
}

/** @return whether the caller has to read before it is served further */
bool server_conn_is_full(const struct server_conn *conn);

/** Reads requests, after all responses were written. */
void server_conn_read_on(struct server_conn *conn);

void server_conn_pause_reading(struct server_conn *conn);

/** Ends a connection whose last response is written. */
void server_conn_end_flushed(struct server_conn *conn);

/** Writes the parts in order, or queues what the socket does not accept. */
void server_conn_write_parts(struct server_conn *conn, const uv_buf_t *parts,
			     unsigned int count);

#endif
