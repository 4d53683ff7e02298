#include "state/quarantine_report.h"

#include <string.h>

#include "state/checked_value.h"
#include "state/msgpack_field.h"

static const struct checked_value_kind kind = {
	.format_version = 1,
	.name = "quarantine report",
	.remedy = "delete its key, and its host writes it again",
};

void quarantine_report_encode(const struct quarantine_report *report,
			      struct buffer *value)
{
	const struct quarantine_table *table = &report->table;
	struct buffer body = {0};
	msgpack_packer packer;

	msgpack_packer_init(&packer, &body, msgpack_field_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int64(&packer, report->written_us);
	msgpack_pack_array(&packer, table->count);
	for (size_t i = 0; i < table->count; i++)
		quarantine_item_pack(&table->items[i], &packer);
	checked_value_encode(&kind, &body, value);
	buffer_free(&body);
}

static bool decode_items(struct quarantine_table *table,
			 const msgpack_object *items)
{
	for (size_t i = 0; i < items->via.array.size; i++) {
		struct quarantine_item item;

		if (!quarantine_item_unpack(&item, &items->via.array.ptr[i]))
			return false;
		quarantine_table_merge(table, &item, 0);
	}
	return true;
}

static bool read_body(void *arg, const msgpack_object *body)
{
	struct quarantine_report *report = arg;
	const msgpack_object *fields = msgpack_field_array(body, 2);

	return fields && msgpack_field_i64(&fields[0], &report->written_us) &&
	       fields[1].type == MSGPACK_OBJECT_ARRAY &&
	       decode_items(&report->table, &fields[1]);
}

enum tgw_status quarantine_report_decode(struct quarantine_report *report,
					 const void *value, size_t size,
					 struct tgw_error *error)
{
	enum tgw_status status;

	memset(report, 0, sizeof(*report));
	status = checked_value_decode(&kind, value, size, read_body, report,
				      error);
	if (status != TGW_OK)
		quarantine_table_free(&report->table);
	return status;
}
