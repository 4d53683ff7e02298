#include "state/budget_message.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/msgpack_field.h"
#include "state/wire_reader.h"

struct budget_message_item *budget_message_add(struct budget_message *message)
{
	struct budget_message_item *item;

	message->items = xrealloc(message->items,
				  (message->item_count + 1) * sizeof(*item));
	item = &message->items[message->item_count++];
	memset(item, 0, sizeof(*item));
	return item;
}

void budget_message_clear(struct budget_message *message)
{
	free(message->items);
	memset(message, 0, sizeof(*message));
}

/* Trailing fields that are zero are not encoded. */
static size_t item_field_count(const struct budget_message_item *item)
{
	if (item->flags)
		return 7;
	if (item->code)
		return 6;
	if (item->other)
		return 5;
	if (item->has_key)
		return 4;
	return item->id ? 3 : 2;
}

static void encode_item(msgpack_packer *packer,
			const struct budget_message_item *item)
{
	size_t fields = item_field_count(item);

	msgpack_pack_array(packer, fields);
	msgpack_pack_int64(packer, item->tokens);
	msgpack_field_pack_text(packer, item->budget);
	if (fields > 2)
		msgpack_pack_uint64(packer, item->id);
	if (fields > 3)
		msgpack_field_pack_bytes(packer, item->key.bytes,
					 item->has_key ? sizeof(item->key.bytes)
						       : 0);
	if (fields > 4)
		msgpack_pack_int64(packer, item->other);
	if (fields > 5)
		msgpack_pack_uint32(packer, item->code);
	if (fields > 6)
		msgpack_pack_uint32(packer, item->flags);
}

static size_t header_field_count(const struct budget_message *message)
{
	if (message->code)
		return 8;
	if (message->epoch)
		return 7;
	if (message->line)
		return 6;
	if (message->sequence)
		return 5;
	return message->bucket ? 4 : 3;
}

void budget_message_encode(const struct budget_message *message,
			   struct buffer *bytes)
{
	msgpack_packer packer;
	size_t fields = header_field_count(message);

	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, fields);
	msgpack_pack_uint32(&packer, BUDGET_MESSAGE_FORMAT_VERSION);
	msgpack_pack_uint32(&packer, message->kind);
	msgpack_pack_array(&packer, message->item_count);
	for (size_t i = 0; i < message->item_count; i++)
		encode_item(&packer, &message->items[i]);
	if (fields > 3)
		msgpack_pack_uint32(&packer, message->bucket);
	if (fields > 4)
		msgpack_pack_uint64(&packer, message->sequence);
	if (fields > 5)
		msgpack_pack_uint64(&packer, message->line);
	if (fields > 6)
		msgpack_pack_uint64(&packer, message->epoch);
	if (fields > 7)
		msgpack_pack_uint32(&packer, message->code);
}

static bool is_valid_amount(int64_t tokens)
{
	return tokens >= 0 && tokens <= INT64_MAX / 4;
}

static void decode_key(struct budget_message_item *item,
		       struct wire_reader *reader)
{
	size_t size;
	const uint8_t *key = wire_reader_bytes(reader, &size);

	if (size == sizeof(item->key.bytes)) {
		memcpy(item->key.bytes, key, size);
		item->has_key = true;
	} else if (size) {
		reader->failed = true;
	}
}

static void decode_item(struct budget_message_item *item,
			struct wire_reader *reader)
{
	item->tokens = wire_reader_i64(reader);
	wire_reader_text(reader, item->budget, sizeof(item->budget));
	if (reader->left)
		item->id = wire_reader_u64(reader);
	if (reader->left)
		decode_key(item, reader);
	if (reader->left)
		item->other = wire_reader_i64(reader);
	if (reader->left)
		item->code = (uint32_t)wire_reader_u64(reader);
	if (reader->left)
		item->flags = (uint32_t)wire_reader_u64(reader);
	if (!is_valid_amount(item->tokens) || !is_valid_amount(item->other))
		reader->failed = true;
}

static void decode_items(struct budget_message *message,
			 struct wire_reader *reader)
{
	struct wire_reader items = wire_reader_array(reader);

	if (items.left > BUDGET_MESSAGE_ITEMS_MAX)
		reader->failed = true;
	if (reader->failed)
		return;
	message->items = xcalloc(items.left, sizeof(message->items[0]));
	while (items.left && !reader->failed) {
		struct wire_reader inner = wire_reader_array(&items);

		decode_item(&message->items[message->item_count++], &inner);
		reader->failed |= inner.failed;
	}
}

static void decode_body(struct budget_message *message,
			struct wire_reader *reader)
{
	uint64_t kind = wire_reader_u64(reader);

	if (kind < BUDGET_MESSAGE_RESERVE || kind >= BUDGET_MESSAGE_KIND_END)
		reader->failed = true;
	message->kind = (enum budget_message_kind)kind;
	decode_items(message, reader);
	if (reader->left)
		message->bucket = (uint32_t)wire_reader_u64(reader);
	if (reader->left)
		message->sequence = wire_reader_u64(reader);
	if (reader->left)
		message->line = wire_reader_u64(reader);
	if (reader->left)
		message->epoch = wire_reader_u64(reader);
	if (reader->left)
		message->code = (uint32_t)wire_reader_u64(reader);
}

enum tgw_status budget_message_decode(struct budget_message *message,
				      const void *bytes, size_t size)
{
	enum tgw_status status = TGW_OK;
	struct wire_reader reader;
	msgpack_unpacked unpacked;
	size_t at = 0;

	memset(message, 0, sizeof(*message));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, bytes, size, &at) !=
	    MSGPACK_UNPACK_SUCCESS) {
		status = TGW_CORRUPT;
		goto out;
	}
	reader = wire_reader_of(&unpacked.data);
	if (wire_reader_u64(&reader) > BUDGET_MESSAGE_FORMAT_VERSION) {
		status = TGW_NEWER_FORMAT;
		goto out;
	}
	decode_body(message, &reader);
	if (reader.failed)
		status = TGW_CORRUPT;
out:
	if (status != TGW_OK)
		budget_message_clear(message);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
