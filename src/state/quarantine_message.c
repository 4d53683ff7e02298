#include "state/quarantine_message.h"

#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/msgpack_field.h"

#define FORMAT_VERSION 1

/* A decoded message with the memory of its server names. */
struct decoded {
	struct quarantine_message message; /* first member */
	char names[QUARANTINE_SERVERS_MAX][TGW_NAME_SIZE];
};

static void pack_items(const struct quarantine_message *message,
		       msgpack_packer *packer)
{
	msgpack_pack_array(packer, message->item_count);
	for (size_t i = 0; i < message->item_count; i++)
		quarantine_item_pack(&message->items[i], packer);
}

void quarantine_message_pack(const struct quarantine_message *message,
			     struct buffer *payload)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, payload, msgpack_field_write);
	msgpack_pack_array(&packer, message->kind == QUARANTINE_UPDATE ? 3 : 6);
	msgpack_pack_uint64(&packer, FORMAT_VERSION);
	msgpack_pack_uint64(&packer, message->kind);
	if (message->kind == QUARANTINE_UPDATE) {
		pack_items(message, &packer);
		return;
	}
	msgpack_pack_uint64(&packer, message->query_id);
	msgpack_field_pack_bytes(&packer, message->fingerprint.bytes,
				 sizeof(message->fingerprint.bytes));
	msgpack_pack_uint64(&packer, message->verdict);
	msgpack_pack_array(&packer, message->server_count);
	for (size_t i = 0; i < message->server_count; i++)
		msgpack_field_pack_text(&packer, message->servers[i]);
}

static bool unpack_items(struct quarantine_message *message,
			 const msgpack_object *object)
{
	size_t count;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	count = object->via.array.size;
	if (count > QUARANTINE_UPDATE_ITEMS_MAX)
		return false;
	message->items = xcalloc(count, sizeof(message->items[0]));
	message->item_count = count;
	for (size_t i = 0; i < count; i++)
		if (!quarantine_item_unpack(&message->items[i],
					    &object->via.array.ptr[i]))
			return false;
	return true;
}

static bool unpack_servers(struct decoded *decoded,
			   const msgpack_object *object)
{
	struct quarantine_message *message = &decoded->message;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > QUARANTINE_SERVERS_MAX)
		return false;
	message->server_count = object->via.array.size;
	for (size_t i = 0; i < message->server_count; i++) {
		if (!msgpack_field_text(&object->via.array.ptr[i],
					decoded->names[i], TGW_NAME_SIZE))
			return false;
		message->servers[i] = decoded->names[i];
	}
	return true;
}

static bool unpack_attempt_fields(struct decoded *decoded,
				  const msgpack_object *fields)
{
	struct quarantine_message *message = &decoded->message;
	uint64_t verdict;

	if (!msgpack_field_u64(&fields[2], &message->query_id) ||
	    !msgpack_field_bytes(&fields[3], message->fingerprint.bytes,
				 sizeof(message->fingerprint.bytes)) ||
	    !msgpack_field_u64(&fields[4], &verdict) ||
	    verdict > TGW_QUARANTINE_REFUSED)
		return false;
	message->verdict = (enum tgw_quarantine_verdict)verdict;
	return unpack_servers(decoded, &fields[5]);
}

static bool unpack_message(struct decoded *decoded,
			   const msgpack_object *object)
{
	const msgpack_object *fields = msgpack_field_array(object, 3);
	uint64_t version;
	uint64_t kind;

	if (!fields || !msgpack_field_u64(&fields[0], &version) ||
	    version != FORMAT_VERSION ||
	    !msgpack_field_u64(&fields[1], &kind) ||
	    kind >= QUARANTINE_KIND_COUNT)
		return false;
	decoded->message.kind = (enum quarantine_message_kind)kind;
	if (kind == QUARANTINE_UPDATE)
		return unpack_items(&decoded->message, &fields[2]);
	fields = msgpack_field_array(object, 6);
	return fields && unpack_attempt_fields(decoded, fields);
}

struct quarantine_message *quarantine_message_unpack(const void *payload,
						     size_t size)
{
	struct decoded *decoded = xcalloc(1, sizeof(*decoded));
	msgpack_unpacked unpacked;
	bool valid;

	msgpack_unpacked_init(&unpacked);
	valid = msgpack_guard_next(&unpacked, payload, size, NULL) ==
			MSGPACK_UNPACK_SUCCESS &&
		unpack_message(decoded, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (valid)
		return &decoded->message;
	quarantine_message_free(&decoded->message);
	return NULL;
}

void quarantine_message_free(struct quarantine_message *message)
{
	free(message->items);
	free(message);
}
