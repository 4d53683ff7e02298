#include "state/quarantine_value.h"

#include <string.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"

#define FORMAT_VERSION 1
#define VALUE_FIELDS 3

static bool items_are_valid(const msgpack_object *items)
{
	struct quarantine_item item;

	if (items->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (size_t i = 0; i < items->via.array.size; i++)
		if (!quarantine_item_unpack(&item, &items->via.array.ptr[i]))
			return false;
	return true;
}

static bool merge_items(struct quarantine_table *table,
			const msgpack_object *items, int64_t now_us)
{
	struct quarantine_item item;
	bool changed = false;

	for (size_t i = 0; i < items->via.array.size; i++)
		if (quarantine_item_unpack(&item, &items->via.array.ptr[i]) &&
		    quarantine_table_merge(table, &item, now_us))
			changed = true;
	return changed;
}

static void copy_audit(struct buffer *audit, const msgpack_object *entries)
{
	msgpack_packer packer;

	buffer_clear(audit);
	msgpack_packer_init(&packer, audit, msgpack_field_write);
	msgpack_pack_object(&packer, *entries);
}

enum tgw_status quarantine_value_merge(struct quarantine_table *table,
				       struct buffer *audit, const void *value,
				       size_t size, int64_t now_us,
				       bool *changed, struct tgw_error *error)
{
	enum tgw_status status = TGW_CORRUPT;
	const msgpack_object *fields;
	msgpack_unpacked unpacked;
	uint64_t version;

	*changed = false;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, value, size, NULL) !=
	    MSGPACK_UNPACK_SUCCESS)
		goto out;
	fields = msgpack_field_array(&unpacked.data, 1);
	if (!fields || !msgpack_field_u64(&fields[0], &version))
		goto out;
	if (version > FORMAT_VERSION) {
		status = TGW_NEWER_FORMAT;
		goto out;
	}
	fields = msgpack_field_array(&unpacked.data, VALUE_FIELDS);
	if (!fields || !items_are_valid(&fields[1]) ||
	    fields[2].type != MSGPACK_OBJECT_ARRAY)
		goto out;
	*changed = merge_items(table, &fields[1], now_us);
	if (audit)
		copy_audit(audit, &fields[2]);
	status = TGW_OK;
out:
	msgpack_unpacked_destroy(&unpacked);
	if (status == TGW_NEWER_FORMAT)
		return tgw_error_set(error, status,
				     "%s was written by a newer version; "
				     "upgrade this program",
				     QUARANTINE_STORE_KEY);
	if (status)
		return tgw_error_set(error, status,
				     "%s does not decode; delete the key to "
				     "start with an empty quarantine",
				     QUARANTINE_STORE_KEY);
	return TGW_OK;
}

void quarantine_value_pack(const struct quarantine_table *table,
			   const struct buffer *audit, struct buffer *value)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, value, msgpack_field_write);
	msgpack_pack_array(&packer, VALUE_FIELDS);
	msgpack_pack_uint64(&packer, FORMAT_VERSION);
	msgpack_pack_array(&packer, table->count);
	for (size_t i = 0; i < table->count; i++)
		quarantine_item_pack(&table->items[i], &packer);
	if (audit && audit->size)
		buffer_add(value, audit->data, audit->size);
	else
		msgpack_pack_array(&packer, 0);
}
