/**
 * @file pages.h
 * What a host tells the platform's balancer, the metrics collector and
 * operators over HTTP.
 */
#ifndef DAEMON_PAGES_H
#define DAEMON_PAGES_H

#include "daemon/gateway.h"
#include "daemon/runtime.h"
#include "protocol/etcd_store.h"
#include "transport/zmq_channel.h"

struct pages;

/** @return NULL with the error set when the operators' keys are unusable */
struct pages *pages_new(struct runtime *runtime, const struct etcd_store *etcd,
			const struct zmq_channel *channel,
			struct tgw_error *error);

void pages_free(struct pages *pages);

void pages_set_gateway(struct pages *pages, const struct gateway *gateway);

/** The coordination thread is at work; it calls this on each round. */
void pages_note_alive(struct pages *pages);

/** The pages as the gateway asks for them. */
struct gateway_pages pages_table(struct pages *pages);

#endif
