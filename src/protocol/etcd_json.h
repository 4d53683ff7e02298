/**
 * @file etcd_json.h
 * Requests and responses of the etcd v3 JSON mapping.
 */
#ifndef PROTOCOL_ETCD_JSON_H
#define PROTOCOL_ETCD_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/store.h"

/** Keys and values read from a response. */
struct etcd_entries {
	size_t count;
	struct tgw_store_entry *entries;
};

/** Builds a read of one key, or of all keys with a prefix.
 * @return text to be released with free() */
char *etcd_json_range(const char *key, bool is_prefix);

/** Builds a compare-and-swap; a NULL value deletes the key.
 * @return text to be released with free() */
char *etcd_json_swap(const char *key, int64_t expected_version,
		     const void *value, size_t value_size);

/** Builds a request for a watch on a prefix.
 * @return text to be released with free() */
char *etcd_json_watch(const char *prefix);

/** Appends the entries of a "kvs" array. @return false when malformed */
bool etcd_json_read_kvs(const json_t *kvs, struct etcd_entries *entries);

/** Appends the entry of one watch event. @return false when malformed */
bool etcd_json_read_event(const json_t *event, struct etcd_entries *entries);

/** Reads a 64-bit number, which the mapping writes as a number or a string.
 * @return 0 when the value is neither */
int64_t etcd_json_number(const json_t *value);

/** Appends an entry that has a key and a version, but no value. */
void etcd_entries_add_key(struct etcd_entries *entries, const char *key,
			  int64_t version);

void etcd_entries_free(struct etcd_entries *entries);

#endif
