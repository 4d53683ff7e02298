/**
 * @file host_list.h
 * Polls the platform's list of hosts and backend servers. The list lags behind
 * the actual state.
 */
#ifndef PROTOCOL_HOST_LIST_H
#define PROTOCOL_HOST_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/executor.h"
#include "protocol/http.h"
#include "tamarackgw/membership.h"

struct listed_server {
	char name[TGW_NAME_SIZE];
	bool leaving;
};

/** The list as one poll returned it. */
struct host_list_snapshot {
	size_t host_count;
	struct tgw_listed_host *hosts;
	size_t server_count;
	struct listed_server *servers;
};

/** Decodes the list, without the hosts and servers that have no valid name. A
 * host with another odd field has its name alone. @return TGW_CORRUPT when it
 * is malformed */
enum tgw_status host_list_decode(struct host_list_snapshot *snapshot,
				 const char *text, size_t size,
				 struct tgw_error *error);

void host_list_snapshot_clear(struct host_list_snapshot *snapshot);

struct host_list_poller;

/** @param on_snapshot called on the executor after each successful poll */
struct host_list_poller *host_list_poller_new(
	struct http_sender *sender, struct executor *executor, const char *url,
	int64_t interval_us, int64_t timeout_us,
	void (*on_snapshot)(void *arg,
			    const struct host_list_snapshot *snapshot),
	void *arg);

/** The sender must have been freed, and the executor's queue must be empty. */
void host_list_poller_free(struct host_list_poller *poller);

/** Starts a poll if it is due and none is in flight.
 * @return when the next call is due */
int64_t host_list_poller_tick(struct host_list_poller *poller, int64_t now_us);

#endif
