/**
 * @file call.h
 * One request of a caller, from its arrival to the end of its response.
 */
#ifndef EDGE_CALL_H
#define EDGE_CALL_H

#include "edge/edge.h"
#include "transport/server_conn.h"

/** Starts a call for the request that was read from this connection. */
void call_start(struct edge *edge, struct server_conn *conn);

/** Logs a request that is not read to its end, and refuses one that finds no
 * room here: no server has it.
 * @return whether a response was sent */
bool call_refuse_unread(struct edge *edge, struct server_conn *conn,
			int status);

/** Handles the end of the caller's connection before the response was
 * complete. */
void call_caller_disconnected(struct call *call);

/** Resumes reading from the server after the caller's connection has written
 * its queued bytes. */
void call_caller_drained(struct call *call);

/** Settles the call's reservation and frees the call. The caller's
 * connection is finished or aborted by the function that ends the call. */
void call_end(struct call *call);

/** Answers all requests whose response has not begun: 503 to those that no
 * server may have run, 504 to the others. */
void call_give_up_waiting(struct edge *edge, const char *reason);

/** Retries the reservation of each request that waits for an allotment. */
void call_retry_reservations(struct edge *edge);

#endif
