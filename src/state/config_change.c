#include "state/config_change.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "state/config_shard.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define CHANGES_MAX 200000

static struct config_change *add_change(struct config_change_list *list)
{
	struct config_change *change;

	list->changes = xrealloc(list->changes,
				 (list->count + 1) * sizeof(list->changes[0]));
	change = &list->changes[list->count++];
	memset(change, 0, sizeof(*change));
	return change;
}

static void set_body(struct config_body *body, const void *data, size_t size)
{
	body->data = xmemdup(data, size);
	body->size = size;
}

void config_change_list_add(struct config_change_list *list,
			    const struct config_object *before,
			    const struct config_object *after)
{
	const struct config_object *either = after ? after : before;
	struct config_change *change = add_change(list);

	change->kind = either->kind;
	short_name_copy(change->name, either->name);
	if (before)
		set_body(&change->before, before->body, before->body_size);
	if (after)
		set_body(&change->after, after->body, after->body_size);
}

void config_change_list_clear(struct config_change_list *list)
{
	for (size_t i = 0; i < list->count; i++) {
		free(list->changes[i].before.data);
		free(list->changes[i].after.data);
	}
	free(list->changes);
	memset(list, 0, sizeof(*list));
}

static void pack_body(msgpack_packer *packer, const struct config_body *body)
{
	if (body->data)
		msgpack_field_pack_bytes(packer, body->data, body->size);
	else
		msgpack_pack_nil(packer);
}

void config_change_list_pack(const struct config_change_list *list,
			     msgpack_packer *packer)
{
	msgpack_pack_array(packer, list->count);
	for (size_t i = 0; i < list->count; i++) {
		const struct config_change *change = &list->changes[i];

		msgpack_pack_array(packer, 4);
		msgpack_pack_uint64(packer, (uint64_t)change->kind);
		msgpack_field_pack_text(packer, change->name);
		pack_body(packer, &change->before);
		pack_body(packer, &change->after);
	}
}

static void read_body(struct record_reader *reader, struct config_body *body)
{
	const msgpack_object *field;
	const char *data;
	size_t size;

	if (reader->status == TGW_OK && reader->next < reader->field_count) {
		field = &reader->fields[reader->next];
		if (field->type == MSGPACK_OBJECT_NIL) {
			reader->next++;
			return;
		}
	}
	data = record_reader_blob(reader, &size);
	if (reader->status == TGW_OK)
		set_body(body, data, size);
}

static enum tgw_status unpack_change(struct config_change *change,
				     const msgpack_object *object,
				     struct tgw_error *error)
{
	struct record_reader reader;
	uint64_t kind;

	record_reader_open_nested(&reader, "a configuration change", object);
	kind = record_reader_u64(&reader);
	record_reader_text(&reader, change->name, sizeof(change->name));
	if (reader.status == TGW_OK && kind >= CONFIG_KIND_COUNT)
		reader.status = TGW_NEWER_FORMAT;
	read_body(&reader, &change->before);
	read_body(&reader, &change->after);
	if (reader.status == TGW_OK)
		change->kind = (enum config_kind)kind;
	return record_reader_finish(&reader, error);
}

enum tgw_status config_change_list_unpack(struct config_change_list *list,
					  const msgpack_object *object,
					  struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > CHANGES_MAX)
		return tgw_error_set(
			error, TGW_CORRUPT,
			"cannot decode a list of configuration "
			"changes; publish the configuration again");
	for (size_t i = 0; i < object->via.array.size && status == TGW_OK; i++)
		status = unpack_change(add_change(list),
				       &object->via.array.ptr[i], error);
	return status;
}

void config_change_list_digest(const struct config_change_list *list,
			       uint8_t digest[AUDIT_HASH_BYTES])
{
	msgpack_sbuffer bytes;
	msgpack_packer packer;

	msgpack_sbuffer_init(&bytes);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	config_change_list_pack(list, &packer);
	config_digest(bytes.data, bytes.size, digest);
	msgpack_sbuffer_destroy(&bytes);
}

static enum tgw_status set_object(struct config_set *set,
				  const struct config_change *change,
				  const struct config_body *body,
				  struct tgw_error *error)
{
	struct config_object *object;

	if (!body->data) {
		config_set_remove(set, change->kind, change->name);
		return TGW_OK;
	}
	object = config_object_decode(change->kind, change->name, body->data,
				      body->size, error);
	if (!object)
		return error ? error->status : TGW_CORRUPT;
	config_set_put(set, object);
	return TGW_OK;
}

enum tgw_status config_change_list_apply(const struct config_change_list *list,
					 struct config_set *set,
					 struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (size_t i = 0; i < list->count && status == TGW_OK; i++)
		status = set_object(set, &list->changes[i],
				    &list->changes[i].after, error);
	return status;
}

enum tgw_status config_change_list_undo(const struct config_change_list *list,
					struct config_set *set,
					struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (size_t i = list->count; i > 0 && status == TGW_OK; i--)
		status = set_object(set, &list->changes[i - 1],
				    &list->changes[i - 1].before, error);
	return status;
}

void config_delta_clear(struct config_delta *delta)
{
	config_change_list_clear(&delta->list);
}

void config_delta_pack(const struct config_delta *delta, msgpack_packer *packer)
{
	msgpack_pack_array(packer, 4);
	msgpack_pack_uint64(packer, delta->generation);
	audit_entry_pack(&delta->audit, packer);
	msgpack_pack_uint64(packer, delta->part_count);
	config_change_list_pack(&delta->list, packer);
}

static enum tgw_status check_delta(const struct config_delta *delta,
				   struct tgw_error *error)
{
	uint8_t digest[AUDIT_HASH_BYTES];
	enum tgw_status status = audit_entry_verify(&delta->audit, NULL, error);

	if (status != TGW_OK)
		return status;
	if (delta->audit.sequence != delta->generation)
		return tgw_error_set(error, TGW_CORRUPT,
				     "generation %" PRIu64
				     " carries the audit entry of generation "
				     "%" PRIu64,
				     delta->generation, delta->audit.sequence);
	if (delta->part_count)
		return TGW_OK;
	config_change_list_digest(&delta->list, digest);
	if (sodium_memcmp(digest, delta->audit.change_digest, sizeof(digest)) !=
	    0)
		return tgw_error_set(error, TGW_CORRUPT,
				     "the changes of generation %" PRIu64
				     " do not match the digest in their audit "
				     "entry",
				     delta->generation);
	return TGW_OK;
}

static const msgpack_object *next_object(struct record_reader *reader)
{
	if (reader->status == TGW_OK && reader->next < reader->field_count)
		return &reader->fields[reader->next++];
	if (reader->status == TGW_OK)
		reader->status = TGW_CORRUPT;
	return NULL;
}

enum tgw_status config_delta_unpack(struct config_delta *delta,
				    const msgpack_object *object,
				    struct tgw_error *error)
{
	struct record_reader reader;
	const msgpack_object *audit;
	const msgpack_object *list;
	enum tgw_status status;
	uint64_t part_count;

	memset(delta, 0, sizeof(*delta));
	record_reader_open_nested(&reader, "a configuration delta", object);
	delta->generation = record_reader_u64(&reader);
	audit = next_object(&reader);
	part_count = record_reader_u64(&reader);
	list = next_object(&reader);
	if (part_count > UINT32_MAX)
		reader.status = TGW_CORRUPT;
	delta->part_count = (uint32_t)part_count;
	status = record_reader_finish(&reader, error);
	if (status == TGW_OK)
		status = audit_entry_unpack(&delta->audit, audit, error);
	if (status == TGW_OK)
		status = config_change_list_unpack(&delta->list, list, error);
	if (status == TGW_OK)
		status = check_delta(delta, error);
	return status;
}
