#include "state/transfer_message.h"

#include <msgpack.h>
#include <string.h>

#include "state/ledger_bucket.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define MESSAGE_FIELDS 5
#define ENTRY_FIELDS 14
#define WHAT "a transfer of tokens"

enum message_flag {
	FLAG_REPORT = 1,
	FLAG_LEAVING = 2,
	FLAG_STORE_UNREACHABLE = 4,
	FLAG_LOAN = 8,
};

static void encode_entry(msgpack_packer *packer,
			 const struct transfer_entry *entry)
{
	msgpack_pack_array(packer, ENTRY_FIELDS);
	msgpack_field_pack_text(packer, entry->team);
	msgpack_pack_int64(packer, entry->given_tokens);
	msgpack_pack_int64(packer, entry->settled_tokens);
	msgpack_pack_int64(packer, entry->demanded_tokens);
	msgpack_pack_int64(packer, entry->requests);
	msgpack_pack_int64(packer, entry->taken_tokens);
	msgpack_pack_int64(packer, entry->needed_tokens);
	msgpack_pack_int64(packer, entry->wanted_tokens);
	msgpack_pack_int64(packer, entry->rank);
	msgpack_pack_int64(packer, entry->held_tokens);
	msgpack_pack_int64(packer, entry->none_available);
	msgpack_pack_int64(packer, entry->free_tokens);
	msgpack_pack_int64(packer, entry->remaining_tokens);
	msgpack_pack_int64(packer, entry->view_age_ms);
}

void transfer_message_encode(const struct transfer_message *message,
			     struct buffer *bytes)
{
	msgpack_packer packer;
	uint64_t flags =
		(message->is_report ? FLAG_REPORT : 0) |
		(message->leaving ? FLAG_LEAVING : 0) |
		(message->store_unreachable ? FLAG_STORE_UNREACHABLE : 0) |
		(message->is_loan ? FLAG_LOAN : 0);

	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint64(&packer, TRANSFER_MESSAGE_FORMAT);
	msgpack_pack_uint64(&packer, message->to_incarnation);
	msgpack_pack_uint64(&packer, message->sequence);
	msgpack_pack_uint64(&packer, flags);
	msgpack_pack_array(&packer, message->entry_count);
	for (size_t i = 0; i < message->entry_count; i++)
		encode_entry(&packer, &message->entries[i]);
}

static bool is_amount(int64_t tokens)
{
	return tokens >= 0 && tokens <= LEDGER_TOKENS_MAX;
}

static bool is_valid(const struct transfer_entry *entry)
{
	return *entry->team && is_amount(entry->given_tokens) &&
	       is_amount(entry->settled_tokens) &&
	       is_amount(entry->demanded_tokens) &&
	       is_amount(entry->requests) && is_amount(entry->taken_tokens) &&
	       is_amount(entry->needed_tokens) &&
	       is_amount(entry->wanted_tokens) &&
	       is_amount(entry->held_tokens) && is_amount(entry->free_tokens) &&
	       entry->rank >= 0 && entry->rank <= TRANSFER_RANK_MAX &&
	       entry->remaining_tokens <= LEDGER_TOKENS_MAX &&
	       entry->view_age_ms >= TRANSFER_NO_VIEW;
}

static bool decode_entry(struct transfer_entry *entry,
			 const msgpack_object *object)
{
	struct record_reader reader;

	record_reader_open_nested(&reader, WHAT, object);
	record_reader_text(&reader, entry->team, sizeof(entry->team));
	entry->given_tokens = record_reader_i64(&reader);
	entry->settled_tokens = record_reader_i64(&reader);
	entry->demanded_tokens = record_reader_i64(&reader);
	entry->requests = record_reader_i64(&reader);
	entry->taken_tokens = record_reader_i64(&reader);
	entry->needed_tokens = record_reader_i64(&reader);
	entry->wanted_tokens = record_reader_i64(&reader);
	entry->rank = record_reader_i64(&reader);
	entry->held_tokens = record_reader_i64(&reader);
	entry->none_available = record_reader_i64(&reader) != 0;
	entry->free_tokens = record_reader_i64(&reader);
	entry->remaining_tokens = record_reader_i64(&reader);
	entry->view_age_ms = record_reader_i64(&reader);
	return reader.status == TGW_OK && is_valid(entry);
}

static enum tgw_status decode_fields(void *arg, const msgpack_object *object,
				     struct tgw_error *error)
{
	struct transfer_message *message = arg;
	const msgpack_object_array *entries;
	struct record_reader reader;
	uint64_t flags;

	record_reader_open(&reader, WHAT, object, TRANSFER_MESSAGE_FORMAT);
	message->to_incarnation = record_reader_u64(&reader);
	message->sequence = record_reader_u64(&reader);
	flags = record_reader_u64(&reader);
	message->is_report = flags & FLAG_REPORT;
	message->leaving = flags & FLAG_LEAVING;
	message->store_unreachable = flags & FLAG_STORE_UNREACHABLE;
	message->is_loan = flags & FLAG_LOAN;
	entries = record_reader_array(&reader, TRANSFER_ENTRIES_MAX);
	if (record_reader_finish(&reader, error) != TGW_OK)
		return reader.status;
	for (uint32_t i = 0; i < entries->size; i++)
		if (!decode_entry(&message->entries[i], &entries->ptr[i]))
			return tgw_error_set(error, TGW_CORRUPT,
					     WHAT " has an invalid entry; "
						  "check the sender's version");
	message->entry_count = entries->size;
	return TGW_OK;
}

enum tgw_status transfer_message_decode(struct transfer_message *message,
					const void *bytes, size_t size,
					struct tgw_error *error)
{
	memset(message, 0, sizeof(*message));
	return record_reader_decode(WHAT, bytes, size, decode_fields, message,
				    error);
}
