/**
 * @file edge_metrics.h
 * The metrics page of a host, as text of the Prometheus exposition format.
 */
#ifndef EDGE_EDGE_METRICS_H
#define EDGE_EDGE_METRICS_H

#include "base/buffer.h"
#include "edge/edge.h"

/** Appends all metrics.
 * @param ready whether the host is ready for requests */
void edge_metrics_write(const struct edge *edge, bool ready,
			struct buffer *text);

#endif
