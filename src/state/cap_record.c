#include "state/cap_record.h"

#include <msgpack.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "state/checked_value.h"
#include "state/ledger_bucket.h"
#include "state/msgpack_field.h"
#include "tamarackgw/clock.h"

#define RECORD_FIELDS 5
#define ENTRY_FIELDS 4
/* Times up to this can be told in microseconds. */
#define MAX_MS (INT64_MAX / TGW_US_PER_MS)

static const struct checked_value_kind kind = {
	.format_version = CAP_RECORD_FORMAT_VERSION,
	.name = "record of spending caps",
	.remedy = "delete the key; the host then writes it anew",
};

void cap_record_clear(struct cap_record *record)
{
	free(record->entries);
	memset(record, 0, sizeof(*record));
}

void cap_record_add(struct cap_record *record, const char *team,
		    const struct spending_cap *cap)
{
	struct cap_record_entry *entry;

	record->entries =
		xrealloc(record->entries,
			 (record->entry_count + 1) * sizeof(*record->entries));
	entry = &record->entries[record->entry_count++];
	short_name_copy(entry->team, team);
	entry->cap = *cap;
	entry->cap.written_us = record->written_us;
	entry->cap.period_us = record->period_us;
}

const struct spending_cap *cap_record_find(const struct cap_record *record,
					   const char *team)
{
	for (size_t i = 0; i < record->entry_count; i++)
		if (!strcmp(record->entries[i].team, team))
			return &record->entries[i].cap;
	return NULL;
}

static void encode_entry(msgpack_packer *packer,
			 const struct cap_record_entry *entry)
{
	msgpack_pack_array(packer, ENTRY_FIELDS);
	msgpack_field_pack_text(packer, entry->team);
	msgpack_pack_int64(packer, entry->cap.spendable_tokens);
	msgpack_pack_int64(packer, entry->cap.tokens_per_s);
	msgpack_pack_int64(packer, entry->cap.allotted_tokens);
}

void cap_record_encode(const struct cap_record *record, struct buffer *bytes)
{
	struct buffer body = {0};
	msgpack_packer packer;

	msgpack_packer_init(&packer, &body, msgpack_field_write);
	msgpack_pack_array(&packer, RECORD_FIELDS);
	msgpack_pack_uint64(&packer, record->host_id);
	msgpack_pack_uint32(&packer, record->boot);
	msgpack_pack_int64(&packer, record->written_us / TGW_US_PER_MS);
	msgpack_pack_int64(&packer, record->period_us / TGW_US_PER_MS);
	msgpack_pack_array(&packer, record->entry_count);
	for (size_t i = 0; i < record->entry_count; i++)
		encode_entry(&packer, &record->entries[i]);
	checked_value_encode(&kind, &body, bytes);
	buffer_free(&body);
}

static bool is_valid(const struct spending_cap *cap)
{
	return cap->spendable_tokens >= 0 && cap->tokens_per_s >= 0 &&
	       cap->tokens_per_s <= LEDGER_TOKENS_MAX &&
	       cap->spendable_tokens <= cap->allotted_tokens &&
	       cap->allotted_tokens <= LEDGER_TOKENS_MAX;
}

static bool decode_entry(struct cap_record *record, struct wire_reader *reader)
{
	struct cap_record_entry *entry = &record->entries[record->entry_count];
	struct spending_cap *cap = &entry->cap;

	wire_reader_text(reader, entry->team, sizeof(entry->team));
	cap->spendable_tokens = wire_reader_i64(reader);
	cap->tokens_per_s = wire_reader_i64(reader);
	cap->allotted_tokens = wire_reader_i64(reader);
	cap->written_us = record->written_us;
	cap->period_us = record->period_us;
	record->entry_count++;
	return !reader->failed && !reader->left && is_valid(cap);
}

static bool decode_fields(struct cap_record *record, struct wire_reader *reader)
{
	struct wire_reader entries;
	uint64_t boot;
	int64_t written_ms;
	int64_t period_ms;

	record->host_id = wire_reader_u64(reader);
	boot = wire_reader_u64(reader);
	written_ms = wire_reader_i64(reader);
	period_ms = wire_reader_i64(reader);
	entries = wire_reader_array(reader);
	if (reader->failed || boot > UINT32_MAX || written_ms <= 0 ||
	    written_ms > MAX_MS || period_ms < 0 || period_ms > MAX_MS)
		return false;
	record->boot = (uint32_t)boot;
	record->written_us = written_ms * TGW_US_PER_MS;
	record->period_us = period_ms * TGW_US_PER_MS;
	record->entries = xcalloc(entries.left, sizeof(record->entries[0]));
	while (entries.left) {
		struct wire_reader entry = wire_reader_array(&entries);

		if (entries.failed || !decode_entry(record, &entry))
			return false;
	}
	return true;
}

/* The size of the body bounds the memory for its entries: each takes at least
 * one byte. */
static bool read_body(void *arg, const msgpack_object *body)
{
	struct wire_reader reader = wire_reader_of(body);

	return decode_fields(arg, &reader);
}

enum tgw_status cap_record_decode(struct cap_record *record, const void *bytes,
				  size_t size, struct tgw_error *error)
{
	enum tgw_status status;

	memset(record, 0, sizeof(*record));
	if (!size)
		return TGW_OK;
	status = checked_value_decode(&kind, bytes, size, read_body, record,
				      error);
	if (status != TGW_OK)
		cap_record_clear(record);
	return status;
}
