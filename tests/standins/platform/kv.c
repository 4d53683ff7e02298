#include "standins/platform/kv.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define HISTORY_CHANGES 4096
#define HISTORY_BYTES ((size_t)64 * 1000 * 1000)
#define LEASES_MAX 1024

struct lease {
	int64_t id; /* 0 for a free entry */
	int64_t ttl_s;
	int64_t expires_us;
};

struct kv {
	int64_t revision;
	int64_t last_lease;
	struct kv_entry *entries; /* sorted by key */
	size_t count;
	size_t capacity;
	/* Ring of the latest changes; first_change and end_change only grow. */
	struct kv_entry changes[HISTORY_CHANGES];
	uint64_t first_change;
	uint64_t end_change;
	size_t change_bytes;
	struct lease leases[LEASES_MAX];
};

static int compare(const char *a, size_t a_size, const char *b, size_t b_size)
{
	size_t common = a_size < b_size ? a_size : b_size;
	int order = memcmp(a, b, common);

	if (order)
		return order;
	return a_size < b_size ? -1 : a_size > b_size;
}

/* Index of the first entry that is not below the key. */
static size_t lower_bound(const struct kv *kv, const char *key, size_t size)
{
	size_t low = 0;
	size_t high = kv->count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		const struct kv_entry *entry = &kv->entries[middle];

		if (compare(entry->key, entry->key_size, key, size) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void clear_entry(struct kv_entry *entry)
{
	free(entry->key);
	free(entry->value);
	memset(entry, 0, sizeof(*entry));
}

static void remove_oldest_change(struct kv *kv)
{
	struct kv_entry *change =
		&kv->changes[kv->first_change++ % HISTORY_CHANGES];

	kv->change_bytes -= change->value_size;
	clear_entry(change);
}

static void add_change(struct kv *kv, const struct kv_entry *entry,
		       bool deleted)
{
	struct kv_entry *change;

	while (kv->end_change - kv->first_change >= HISTORY_CHANGES ||
	       (kv->change_bytes > HISTORY_BYTES &&
		kv->first_change < kv->end_change))
		remove_oldest_change(kv);
	change = &kv->changes[kv->end_change++ % HISTORY_CHANGES];
	*change = *entry;
	change->key = xmemdup(entry->key, entry->key_size);
	change->mod_revision = kv->revision;
	change->value = NULL;
	change->value_size = 0;
	if (deleted)
		return;
	change->value = xmemdup(entry->value, entry->value_size);
	change->value_size = entry->value_size;
	kv->change_bytes += change->value_size;
}

static void remove_at(struct kv *kv, size_t index)
{
	add_change(kv, &kv->entries[index], true);
	clear_entry(&kv->entries[index]);
	kv->count--;
	memmove(&kv->entries[index], &kv->entries[index + 1],
		(kv->count - index) * sizeof(*kv->entries));
}

struct kv *kv_new(void)
{
	struct kv *kv = xcalloc(1, sizeof(*kv));

	kv->revision = 1;
	return kv;
}

int64_t kv_revision(const struct kv *kv)
{
	return kv->revision;
}

bool kv_range_has(const struct kv_range *range, const char *key,
		  size_t key_size)
{
	if (!range->end)
		return !compare(key, key_size, range->key, range->key_size);
	if (compare(key, key_size, range->key, range->key_size) < 0)
		return false;
	if (range->end_size == 1 && !range->end[0])
		return true;
	return compare(key, key_size, range->end, range->end_size) < 0;
}

int64_t kv_next(const struct kv *kv, const struct kv_range *range, int64_t from)
{
	size_t index = lower_bound(kv, range->key, range->key_size);

	if (from > (int64_t)index)
		index = (size_t)from;
	if (index >= kv->count || !kv_range_has(range, kv->entries[index].key,
						kv->entries[index].key_size))
		return -1;
	return (int64_t)index;
}

const struct kv_entry *kv_at(const struct kv *kv, int64_t index)
{
	return &kv->entries[index];
}

const struct kv_entry *kv_find(const struct kv *kv, const char *key,
			       size_t key_size)
{
	struct kv_range range = {.key = key, .key_size = key_size};
	int64_t index = kv_next(kv, &range, 0);

	return index < 0 ? NULL : &kv->entries[index];
}

static struct kv_entry *insert(struct kv *kv, const char *key, size_t key_size)
{
	size_t index = lower_bound(kv, key, key_size);
	struct kv_entry *entry;

	if (kv->count == kv->capacity) {
		kv->capacity = kv->capacity ? 2 * kv->capacity : 64;
		kv->entries = xrealloc(kv->entries,
				       kv->capacity * sizeof(*kv->entries));
	}
	entry = &kv->entries[index];
	memmove(entry + 1, entry, (kv->count - index) * sizeof(*entry));
	kv->count++;
	memset(entry, 0, sizeof(*entry));
	entry->key = xmemdup(key, key_size);
	entry->key_size = key_size;
	entry->create_revision = kv->revision;
	return entry;
}

void kv_put(struct kv *kv, const char *key, size_t key_size, const char *value,
	    size_t value_size, int64_t lease)
{
	struct kv_entry *entry = (struct kv_entry *)kv_find(kv, key, key_size);

	kv->revision++;
	if (!entry)
		entry = insert(kv, key, key_size);
	free(entry->value);
	entry->value = xmemdup(value, value_size);
	entry->value_size = value_size;
	entry->mod_revision = kv->revision;
	entry->version++;
	entry->lease = lease;
	add_change(kv, entry, false);
}

int64_t kv_delete(struct kv *kv, const struct kv_range *range)
{
	int64_t deleted = 0;
	int64_t index;

	while ((index = kv_next(kv, range, 0)) >= 0) {
		if (!deleted++)
			kv->revision++;
		remove_at(kv, (size_t)index);
	}
	return deleted;
}

int64_t kv_oldest_change(const struct kv *kv)
{
	if (!kv->first_change)
		return 1;
	if (kv->first_change == kv->end_change)
		return kv->revision + 1;
	return kv->changes[kv->first_change % HISTORY_CHANGES].mod_revision;
}

const struct kv_entry *kv_change_from(const struct kv *kv, int64_t revision)
{
	uint64_t low = kv->first_change;
	uint64_t high = kv->end_change;

	while (low < high) {
		uint64_t middle = low + (high - low) / 2;

		if (kv->changes[middle % HISTORY_CHANGES].mod_revision <
		    revision)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == kv->end_change)
		return NULL;
	return &kv->changes[low % HISTORY_CHANGES];
}

const struct kv_entry *kv_change_after(const struct kv *kv,
				       const struct kv_entry *change)
{
	size_t next = ((size_t)(change - kv->changes) + 1) % HISTORY_CHANGES;

	if (next == kv->end_change % HISTORY_CHANGES)
		return NULL;
	return &kv->changes[next];
}

static struct lease *find_lease(struct kv *kv, int64_t id)
{
	size_t i;

	for (i = 0; i < LEASES_MAX; i++)
		if (kv->leases[i].id == id)
			return &kv->leases[i];
	return NULL;
}

int64_t kv_lease_grant(struct kv *kv, int64_t id, int64_t ttl_s, int64_t now_us)
{
	struct lease *lease = find_lease(kv, 0);

	if (!lease)
		abort();
	lease->id = id ? id : ++kv->last_lease;
	lease->ttl_s = ttl_s;
	lease->expires_us = now_us + ttl_s * 1000000;
	return lease->id;
}

int64_t kv_lease_renew(struct kv *kv, int64_t id, int64_t now_us)
{
	struct lease *lease = id ? find_lease(kv, id) : NULL;

	if (!lease)
		return 0;
	lease->expires_us = now_us + lease->ttl_s * 1000000;
	return lease->ttl_s;
}

bool kv_lease_revoke(struct kv *kv, int64_t id)
{
	struct lease *lease = id ? find_lease(kv, id) : NULL;
	size_t i = kv->count;

	if (!lease)
		return false;
	kv->revision++;
	while (i-- > 0)
		if (kv->entries[i].lease == id)
			remove_at(kv, i);
	memset(lease, 0, sizeof(*lease));
	return true;
}

void kv_lease_expire(struct kv *kv, int64_t now_us, bool all)
{
	size_t i;

	for (i = 0; i < LEASES_MAX; i++)
		if (kv->leases[i].id &&
		    (all || kv->leases[i].expires_us <= now_us))
			kv_lease_revoke(kv, kv->leases[i].id);
}
