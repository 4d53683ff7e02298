/**
 * @file etcd_json.h
 * Requests and answers of the etcd v3 JSON mapping.
 */
#ifndef PROTOCOL_ETCD_JSON_H
#define PROTOCOL_ETCD_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/store.h"

/** Keys and values read from an answer. */
struct etcd_entries {
	size_t count;
	struct tgw_store_entry *entries;
};

/** Text of a range request, to be released with free(). */
char *etcd_json_range(const char *key, bool is_prefix);

/** Text of a compare-and-swap; a NULL value deletes. */
char *etcd_json_swap(const char *key, int64_t expected_version,
		     const void *value, size_t value_size);

/** Text of a watch on a prefix. */
char *etcd_json_watch(const char *prefix);

/** Adds the entries of a "kvs" array. @return false when malformed */
bool etcd_json_read_kvs(const json_t *kvs, struct etcd_entries *entries);

/** Adds one entry of a watch event. @return false when malformed */
bool etcd_json_read_event(const json_t *event, struct etcd_entries *entries);

/** Reads a 64-bit number that may stand as a string. */
int64_t etcd_json_number(const json_t *value);

void etcd_entries_add_absent(struct etcd_entries *entries, const char *key,
			     int64_t version);

void etcd_entries_free(struct etcd_entries *entries);

#endif
