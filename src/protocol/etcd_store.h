/**
 * @file etcd_store.h
 * The platform's store over the etcd v3 JSON mapping.
 *
 * Results are delivered on the given executor. When etcd_store_free() is
 * called, the sender must have been freed, and the executor's queue must be
 * empty.
 */
#ifndef PROTOCOL_ETCD_STORE_H
#define PROTOCOL_ETCD_STORE_H

#include <stdint.h>

#include "base/executor.h"
#include "protocol/http.h"
#include "tamarackgw/store.h"

struct etcd_store;

/** Calls made to the store, cumulative. */
struct etcd_store_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches_opened;
	uint64_t failures;
	/* Of request and response bodies, without those of watches. */
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

/** @param url base URL of the store, without a slash at the end */
struct etcd_store *etcd_store_new(struct http_sender *sender,
				  struct executor *executor, const char *url,
				  int64_t timeout_us);

void etcd_store_free(struct etcd_store *store);

struct tgw_store *etcd_store_store(struct etcd_store *store);

/** Opens new and broken watches that are due.
 * @return when the next call is due */
int64_t etcd_store_tick(struct etcd_store *store, int64_t now_us);

const struct etcd_store_counters *etcd_store_counters(
	const struct etcd_store *store);

#endif
