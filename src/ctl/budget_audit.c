#include "ctl/budget_audit.h"

#include <inttypes.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"

/* An append to a bucket with at least this many entries first copies them to a
 * segment key and keeps only the last in the bucket. */
#define MAX_BUCKET_ENTRIES 8
#define SEGMENT_KEY_SIZE 64

struct entry_list {
	size_t count;
	struct audit_entry *entries;
};

static enum tgw_status unpack_entries(struct entry_list *list,
				      const struct ledger_bucket *bucket,
				      struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;
	msgpack_unpacked unpacked;
	size_t end = 0;

	msgpack_unpacked_init(&unpacked);
	while (status == TGW_OK && end < bucket->audit_size) {
		if (msgpack_guard_next(&unpacked, (const char *)bucket->audit,
				       bucket->audit_size,
				       &end) != MSGPACK_UNPACK_SUCCESS) {
			status = tgw_error_set(error, TGW_CORRUPT,
					       "the bucket's audit entries do "
					       "not decode; restore the key");
			break;
		}
		list->entries =
			xrealloc(list->entries,
				 (list->count + 1) * sizeof(list->entries[0]));
		status = audit_entry_unpack(&list->entries[list->count++],
					    &unpacked.data, error);
	}
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

/* Writes the entries to a segment key, named after the sequence number of the
 * last one. A retry writes the same key with the same value, so a conflict
 * counts as success. */
static enum tgw_status write_segment(struct ctl *ctl, uint32_t bucket_index,
				     const struct entry_list *list,
				     struct tgw_error *error)
{
	char key[SEGMENT_KEY_SIZE];
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	enum tgw_status status;

	snprintf(key, sizeof(key), "tgw/audit/ledger-%04u/%08" PRIu64,
		 bucket_index, list->entries[list->count - 1].sequence);
	msgpack_sbuffer_init(&bytes);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, list->count);
	for (size_t i = 0; i < list->count; i++)
		audit_entry_pack(&list->entries[i], &packer);
	status = ctl_swap(ctl, key, 0, bytes.data, bytes.size, error);
	msgpack_sbuffer_destroy(&bytes);
	return status == TGW_CONFLICT ? TGW_OK : status;
}

static void pack_entries(struct ledger_bucket *bucket,
			 const struct audit_entry *entries, size_t count)
{
	msgpack_sbuffer bytes;
	msgpack_packer packer;

	msgpack_sbuffer_init(&bytes);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	for (size_t i = 0; i < count; i++)
		audit_entry_pack(&entries[i], &packer);
	free(bucket->audit);
	bucket->audit = xmemdup(bytes.data, bytes.size);
	bucket->audit_size = bytes.size;
	msgpack_sbuffer_destroy(&bytes);
}

enum tgw_status budget_audit_append(struct ctl *ctl,
				    struct ledger_bucket *bucket,
				    uint32_t bucket_index,
				    struct audit_entry *entry,
				    struct tgw_error *error)
{
	struct entry_list list = {0};
	enum tgw_status status = unpack_entries(&list, bucket, error);
	size_t first = 0;

	if (status == TGW_OK && list.count >= MAX_BUCKET_ENTRIES &&
	    !ctl->dry_run) {
		status = write_segment(ctl, bucket_index, &list, error);
		first = list.count - 1;
	}
	if (status != TGW_OK)
		goto out;
	audit_entry_chain(entry,
			  list.count ? &list.entries[list.count - 1] : NULL);
	list.entries = xrealloc(list.entries,
				(list.count + 1) * sizeof(list.entries[0]));
	list.entries[list.count++] = *entry;
	pack_entries(bucket, &list.entries[first], list.count - first);
out:
	free(list.entries);
	return status;
}
