/**
 * @file metrics_page.h
 * Counters of the agents and transports in the Prometheus text format.
 */
#ifndef DAEMON_METRICS_PAGE_H
#define DAEMON_METRICS_PAGE_H

#include "base/buffer.h"
#include "daemon/runtime.h"
#include "protocol/etcd_store.h"
#include "transport/zmq_channel.h"

/** To be called on the coordination thread. */
void metrics_page_write(const struct runtime *runtime,
			const struct etcd_store *etcd,
			const struct zmq_channel *channel, struct buffer *text);

#endif
