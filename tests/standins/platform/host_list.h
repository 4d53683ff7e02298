/**
 * @file host_list.h
 * The platform's list of hosts and servers, which shows changes with a delay.
 * Not thread-safe.
 */
#ifndef STANDINS_PLATFORM_HOST_LIST_H
#define STANDINS_PLATFORM_HOST_LIST_H

#include <jansson.h>
#include <stdint.h>

struct host_list;

struct host_list *host_list_new(int64_t lag_us);

/**
 * Queues a change, which the list shows after the lag:
 * {"register":{"hosts":[...],"servers":[...]},
 *  "unregister":{"hosts":["name"],"servers":["name"]}}.
 * Registering a known name changes only the fields that are given.
 */
void host_list_change(struct host_list *list, json_t *change, int64_t now_us);

/** @return the list as shown at this time; a new reference */
json_t *host_list_show(struct host_list *list, int64_t now_us);

#endif
