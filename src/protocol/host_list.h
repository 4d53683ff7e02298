/**
 * @file host_list.h
 * Reads the platform's lagging list of hosts and servers.
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

/** One reading of the list. */
struct host_list_reading {
	size_t host_count;
	struct tgw_listed_host *hosts;
	size_t server_count;
	struct listed_server *servers;
};

/** Decodes the list. @return TGW_CORRUPT when it does not have the form */
enum tgw_status host_list_decode(struct host_list_reading *reading,
				 const char *text, size_t size,
				 struct tgw_error *error);

void host_list_reading_clear(struct host_list_reading *reading);

struct host_list_poller;

/** @param took called on the executor for each reading that worked */
struct host_list_poller *host_list_poller_new(
	struct http_sender *sender, struct executor *executor, const char *url,
	int64_t interval_us, int64_t timeout_us,
	void (*took)(void *arg, const struct host_list_reading *reading),
	void *arg);

/** The sender has to be gone and the executor's queue empty. */
void host_list_poller_free(struct host_list_poller *poller);

/** Reads when it is due. @return the next due time */
int64_t host_list_poller_tick(struct host_list_poller *poller, int64_t now_us);

#endif
