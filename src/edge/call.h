/**
 * @file call.h
 * One request of a caller, from its arrival to its answer.
 */
#ifndef EDGE_CALL_H
#define EDGE_CALL_H

#include "edge/edge.h"
#include "transport/server_conn.h"

/** Takes over the request that was read from this connection. */
void call_start(struct edge *edge, struct server_conn *conn);

/** The caller has left. */
void call_caller_gone(struct call *call);

/** The caller reads again. */
void call_caller_drained(struct call *call);

/** Settles, logs and frees a call; its caller's connection is the caller's
 * to end. */
void call_end(struct call *call);

/** Tries again to reserve tokens for requests that wait for them. */
void call_retry_waiting(struct edge *edge);

#endif
