/**
 * @file etcd_watch.h
 * Watches of the etcd v3 JSON mapping, reopened when they break.
 */
#ifndef PROTOCOL_ETCD_WATCH_H
#define PROTOCOL_ETCD_WATCH_H

#include <stdint.h>

#include "base/executor.h"
#include "protocol/http.h"
#include "tamarackgw/store.h"

struct etcd_watch_set;

struct etcd_watch_set *etcd_watch_set_new(struct http_sender *sender,
					  struct executor *executor,
					  const char *url,
					  int64_t connect_timeout_us);

/** The sender must have been freed, and the executor's queue must be empty. */
void etcd_watch_set_free(struct etcd_watch_set *set);

/** @return a handle, never 0 */
uint64_t etcd_watch_set_add(struct etcd_watch_set *set, const char *prefix,
			    struct tgw_store_watcher watcher);

void etcd_watch_set_remove(struct etcd_watch_set *set, uint64_t handle);

/** Opens the watches that are due. @return when the next call is due */
int64_t etcd_watch_set_tick(struct etcd_watch_set *set, int64_t now_us);

/** @return how often a watch was opened, including reopenings */
uint64_t etcd_watch_set_opened(const struct etcd_watch_set *set);

#endif
