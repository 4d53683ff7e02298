/**
 * @file edge_pages.h
 * The host's own HTTP pages: /ready, which reports readiness, /metrics, and
 * /quarantine, which lists what is held to crash servers.
 */
#ifndef EDGE_EDGE_PAGES_H
#define EDGE_EDGE_PAGES_H

#include <uv.h>

/** Accepts a connection. The `data` of the listener must point to the edge. */
void edge_pages_on_connection(uv_stream_t *listener, int status);

#endif
