/**
 * @file kv.h
 * Keys with revisions, leases and a history of changes, as etcd keeps them.
 * Not thread-safe.
 */
#ifndef STANDINS_PLATFORM_KV_H
#define STANDINS_PLATFORM_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One key, or one change of a key. */
struct kv_entry {
	char *key;
	size_t key_size;
	char *value; /**< NULL in the change that deleted the key */
	size_t value_size;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease;
};

struct kv;

/** Half-open range of keys; end NULL for one key, "\0" for no end. */
struct kv_range {
	const char *key;
	size_t key_size;
	const char *end;
	size_t end_size;
};

struct kv *kv_new(void);

int64_t kv_revision(const struct kv *kv);

/** Finds the first key of the range at or after an index.
 * @return its index, or -1 */
int64_t kv_next(const struct kv *kv, const struct kv_range *range,
		int64_t from);

const struct kv_entry *kv_at(const struct kv *kv, int64_t index);

/** @return the key's entry, or NULL */
const struct kv_entry *kv_find(const struct kv *kv, const char *key,
			       size_t key_size);

void kv_put(struct kv *kv, const char *key, size_t key_size, const char *value,
	    size_t value_size, int64_t lease);

/** @return the number of keys deleted */
int64_t kv_delete(struct kv *kv, const struct kv_range *range);

bool kv_range_has(const struct kv_range *range, const char *key,
		  size_t key_size);

/** @return the oldest revision whose changes are still kept */
int64_t kv_oldest_change(const struct kv *kv);

/** @return the first change with this revision or a later one, or NULL */
const struct kv_entry *kv_change_from(const struct kv *kv, int64_t revision);

/** @return the change after this one, or NULL */
const struct kv_entry *kv_change_after(const struct kv *kv,
				       const struct kv_entry *change);

/** Creates a lease; id 0 picks one. @return the lease's id */
int64_t kv_lease_grant(struct kv *kv, int64_t id, int64_t ttl_s,
		       int64_t now_us);

/** Renews a lease.
 * @return its time to live in seconds, 0 when there is no such lease */
int64_t kv_lease_renew(struct kv *kv, int64_t id, int64_t now_us);

/** Deletes the lease and its keys. @return false when there is no such lease */
bool kv_lease_revoke(struct kv *kv, int64_t id);

/** Revokes the leases that have expired, or all leases. */
void kv_lease_expire(struct kv *kv, int64_t now_us, bool all);

#endif
