#include "ctl/audit_scan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/config_manifest.h"

#define MAX_DEPTH 8

/* A shorter binary field cannot hold a packed entry. */
#define MIN_ENTRY_BYTES 100

static const char *const scanned_prefixes[] = {
	CONFIG_MANIFEST_KEY, "tgw/audit/",    "tgw/ledger/",
	"tgw/quarantine/",   "tgw/operators",
};

static void add_entry(struct audit_scan *scan, const char *key,
		      const struct audit_entry *entry)
{
	struct audit_scan_entry *added;

	scan->entries = xrealloc(scan->entries,
				 (scan->count + 1) * sizeof(scan->entries[0]));
	added = &scan->entries[scan->count++];
	memset(added, 0, sizeof(*added));
	added->entry = *entry;
	snprintf(added->key, sizeof(added->key), "%s", key);
	added->altered = audit_entry_verify(entry, NULL, NULL) != TGW_OK;
}

static void scan_object(struct audit_scan *scan, const char *key,
			const msgpack_object *object, int depth)
{
	struct audit_entry entry;
	const msgpack_object_array *array = &object->via.array;

	if (depth == MAX_DEPTH)
		return;
	if (object->type == MSGPACK_OBJECT_BIN) {
		if (object->via.bin.size >= MIN_ENTRY_BYTES)
			audit_scan_add_value(scan, key, object->via.bin.ptr,
					     object->via.bin.size);
		return;
	}
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return;
	if (audit_entry_unpack(&entry, object, NULL) == TGW_OK) {
		add_entry(scan, key, &entry);
		return;
	}
	for (size_t i = 0; i < array->size; i++)
		scan_object(scan, key, &array->ptr[i], depth + 1);
}

void audit_scan_add_value(struct audit_scan *scan, const char *key,
			  const void *value, size_t size)
{
	msgpack_unpacked unpacked;
	size_t end = 0;

	msgpack_unpacked_init(&unpacked);
	/* A ledger bucket holds its entries one after the other, without an
	 * array around them. */
	while (end < size && msgpack_guard_next(&unpacked, value, size, &end) ==
				     MSGPACK_UNPACK_SUCCESS)
		scan_object(scan, key, &unpacked.data, 0);
	msgpack_unpacked_destroy(&unpacked);
}

static void add_value(void *arg, const char *key, const void *value,
		      size_t size, int64_t version)
{
	if (value)
		audit_scan_add_value(arg, key, value, size);
}

static int compare_entries(const void *a, const void *b)
{
	const struct audit_entry *left =
		&((const struct audit_scan_entry *)a)->entry;
	const struct audit_entry *right =
		&((const struct audit_scan_entry *)b)->entry;

	if (left->wall_us != right->wall_us)
		return left->wall_us < right->wall_us ? -1 : 1;
	if (left->sequence != right->sequence)
		return left->sequence < right->sequence ? -1 : 1;
	return memcmp(left->hash, right->hash, AUDIT_HASH_BYTES);
}

static int compare_hashes(const void *a, const void *b)
{
	return memcmp(*(const uint8_t *const *)a, *(const uint8_t *const *)b,
		      AUDIT_HASH_BYTES);
}

static void check_predecessors(struct audit_scan *scan)
{
	const uint8_t **hashes = xcalloc(scan->count, sizeof(hashes[0]));

	for (size_t i = 0; i < scan->count; i++)
		hashes[i] = scan->entries[i].entry.hash;
	if (scan->count > 1)
		qsort(hashes, scan->count, sizeof(hashes[0]), compare_hashes);
	for (size_t i = 0; i < scan->count; i++) {
		struct audit_scan_entry *item = &scan->entries[i];
		const uint8_t *previous = item->entry.previous_hash;

		item->lacks_predecessor =
			item->entry.sequence > 1 &&
			!bsearch(&previous, hashes, scan->count,
				 sizeof(hashes[0]), compare_hashes);
	}
	free(hashes);
}

void audit_scan_finish(struct audit_scan *scan)
{
	size_t kept = 0;

	if (scan->count > 1)
		qsort(scan->entries, scan->count, sizeof(scan->entries[0]),
		      compare_entries);
	for (size_t i = 0; i < scan->count; i++)
		if (!kept || compare_entries(&scan->entries[kept - 1],
					     &scan->entries[i]) != 0)
			scan->entries[kept++] = scan->entries[i];
	scan->count = kept;
	check_predecessors(scan);
}

enum tgw_status audit_scan_run(struct audit_scan *scan, struct ctl *ctl,
			       struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (size_t i = 0;
	     i < sizeof(scanned_prefixes) / sizeof(scanned_prefixes[0]) &&
	     status == TGW_OK;
	     i++)
		status = ctl_list(ctl, scanned_prefixes[i], add_value, scan,
				  error);
	audit_scan_finish(scan);
	return status;
}

void audit_scan_clear(struct audit_scan *scan)
{
	free(scan->entries);
	memset(scan, 0, sizeof(*scan));
}
