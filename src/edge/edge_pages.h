/**
 * @file edge_pages.h
 * The host's own pages: whether it is ready, and its metrics.
 */
#ifndef EDGE_EDGE_PAGES_H
#define EDGE_EDGE_PAGES_H

#include <uv.h>

/** Accepts a connection; the listener's data is the edge. */
void edge_pages_on_connection(uv_stream_t *listener, int status);

#endif
