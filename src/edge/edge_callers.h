/**
 * @file edge_callers.h
 * The connections of a host's callers: accepts them as the host's load allows,
 * and closes idle ones while there are many.
 */
#ifndef EDGE_EDGE_CALLERS_H
#define EDGE_EDGE_CALLERS_H

#include <stdbool.h>
#include <uv.h>

struct edge;
struct server_limits;

/** Sets how many connections there may be, by the settings. */
void edge_callers_init(struct edge *edge);

/** Puts changed limits in force. */
void edge_callers_set_limits(struct edge *edge,
			     const struct server_limits *limits);

/** For uv_listen(). */
void edge_callers_on_connection(uv_stream_t *listener, int status);

/** Begins an iteration of the event loop: grants turns to read, and accepts a
 * connection that had to wait. */
void edge_callers_begin_poll(struct edge *edge);

/** Closes the idle connections that are too many: first those that were kept as
 * long as announced, then the others, the least recently used first. Sets how
 * long later responses announce. */
void edge_callers_close_surplus(struct edge *edge);

/** Closes all idle connections. */
void edge_callers_close_idle(struct edge *edge);

/** @return whether the next response is to end its connection, so that its
 * caller connects to another host */
bool edge_callers_ends_connection(struct edge *edge);

#endif
