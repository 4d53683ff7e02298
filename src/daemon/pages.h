/**
 * @file pages.h
 * The HTTP pages of a host for the platform's load balancer, the metrics
 * collector and operators.
 */
#ifndef DAEMON_PAGES_H
#define DAEMON_PAGES_H

#include "daemon/gateway.h"
#include "daemon/runtime.h"
#include "protocol/etcd_store.h"
#include "transport/zmq_channel.h"

struct pages;

/** @return NULL with the error set if the file of operators' keys can't be read
 * or is invalid */
struct pages *pages_new(struct runtime *runtime, const struct etcd_store *etcd,
			const struct zmq_channel *channel,
			struct tgw_error *error);

void pages_free(struct pages *pages);

void pages_set_gateway(struct pages *pages, const struct gateway *gateway);

/** Records that the coordination thread is running. The thread calls this after
 * each tick of the agents. */
void pages_note_alive(struct pages *pages);

/** @return the pages in the form that gateway_new() takes */
struct gateway_pages pages_handler(struct pages *pages);

#endif
