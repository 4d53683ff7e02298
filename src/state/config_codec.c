#include "state/config_codec.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define TEMPLATE_FORMAT_VERSION 1
#define TEAM_FORMAT_VERSION 1
#define SERVER_FORMAT_VERSION 1
#define SERVICE_FORMAT_VERSION 1

static void pack_bool(msgpack_packer *packer, bool value)
{
	if (value)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

static void pack_names(msgpack_packer *packer, const struct tgw_name_list *list)
{
	msgpack_pack_array(packer, list->count);
	for (size_t i = 0; i < list->count; i++)
		msgpack_field_pack_text(packer, list->names[i]);
}

static void read_names(struct record_reader *reader, struct tgw_name_list *list)
{
	const msgpack_object_array *array =
		record_reader_array(reader, TGW_LIST_MAX);
	struct record_reader names;

	if (reader->status != TGW_OK)
		return;
	names = *reader;
	names.fields = array->ptr;
	names.field_count = array->size;
	names.next = 0;
	for (size_t i = 0; i < array->size; i++)
		record_reader_text(&names, list->names[i], TGW_NAME_SIZE);
	list->count = array->size;
	reader->status = names.status;
}

static void pack_work_kinds(msgpack_packer *packer,
			    const struct tgw_work_kind *kinds, size_t count)
{
	msgpack_pack_array(packer, count);
	for (size_t i = 0; i < count; i++) {
		msgpack_pack_array(packer, 3);
		msgpack_field_pack_text(packer, kinds[i].name);
		msgpack_pack_uint64(packer, (uint64_t)kinds[i].urgency);
		msgpack_pack_int64(packer, kinds[i].deadline_ms);
	}
}

static void read_work_kind(struct record_reader *outer,
			   struct tgw_work_kind *kind,
			   const msgpack_object *object)
{
	struct record_reader reader;
	uint64_t urgency;

	record_reader_open_nested(&reader, outer->what, object);
	record_reader_text(&reader, kind->name, sizeof(kind->name));
	urgency = record_reader_u64(&reader);
	kind->deadline_ms = record_reader_i64(&reader);
	if (reader.status == TGW_OK && urgency >= TGW_URGENCY_COUNT)
		reader.status = TGW_CORRUPT;
	if (reader.status != TGW_OK) {
		outer->status = reader.status;
		return;
	}
	kind->urgency = (enum tgw_urgency)urgency;
}

static size_t read_work_kinds(struct record_reader *reader,
			      struct tgw_work_kind *kinds)
{
	const msgpack_object_array *array =
		record_reader_array(reader, TGW_WORK_KINDS_MAX);

	for (size_t i = 0; i < array->size && reader->status == TGW_OK; i++)
		read_work_kind(reader, &kinds[i], &array->ptr[i]);
	return array->size;
}

void config_pack_template(msgpack_packer *packer,
			  const struct tgw_template *template)
{
	msgpack_pack_array(packer, 8);
	msgpack_pack_uint64(packer, TEMPLATE_FORMAT_VERSION);
	pack_names(packer, &template->models);
	pack_names(packer, &template->services);
	pack_work_kinds(packer, template->work_kinds,
			template->work_kind_count);
	msgpack_pack_int64(packer, template->max_output_tokens);
	msgpack_pack_int64(packer, template->prompt_fixed_tokens);
	msgpack_pack_int64(packer, template->service_call_tokens);
	msgpack_pack_int64(packer, template->max_open_requests);
}

enum tgw_status config_unpack_template(struct tgw_template *template,
				       const msgpack_object *object,
				       struct tgw_error *error)
{
	struct record_reader reader;

	record_reader_open(&reader, "a template", object,
			   TEMPLATE_FORMAT_VERSION);
	read_names(&reader, &template->models);
	read_names(&reader, &template->services);
	template->work_kind_count =
		read_work_kinds(&reader, template->work_kinds);
	template->max_output_tokens = record_reader_i64(&reader);
	template->prompt_fixed_tokens = record_reader_i64(&reader);
	template->service_call_tokens = record_reader_i64(&reader);
	template->max_open_requests = record_reader_i64(&reader);
	return record_reader_finish(&reader, error);
}

static void pack_parameters(msgpack_packer *packer,
			    const struct config_parameters *parameters)
{
	static const struct tgw_name_list no_names;

	msgpack_pack_array(packer, 8);
	pack_bool(packer, parameters->has_models);
	pack_names(packer,
		   parameters->has_models ? &parameters->models : &no_names);
	pack_bool(packer, parameters->has_services);
	pack_names(packer, parameters->has_services ? &parameters->services
						    : &no_names);
	pack_bool(packer, parameters->has_work_kinds);
	pack_work_kinds(packer, parameters->work_kinds,
			parameters->has_work_kinds ? parameters->work_kind_count
						   : 0);
	msgpack_pack_int64(packer, parameters->max_output_tokens);
	msgpack_pack_int64(packer, parameters->max_open_requests);
}

static void read_parameters(struct record_reader *outer,
			    struct config_parameters *parameters,
			    const msgpack_object *object)
{
	struct record_reader reader;

	record_reader_open_nested(&reader, outer->what, object);
	parameters->has_models = record_reader_bool(&reader);
	read_names(&reader, &parameters->models);
	parameters->has_services = record_reader_bool(&reader);
	read_names(&reader, &parameters->services);
	parameters->has_work_kinds = record_reader_bool(&reader);
	parameters->work_kind_count =
		read_work_kinds(&reader, parameters->work_kinds);
	parameters->max_output_tokens = record_reader_i64(&reader);
	parameters->max_open_requests = record_reader_i64(&reader);
	outer->status = reader.status;
}

void config_pack_team(msgpack_packer *packer, const struct tgw_team *team,
		      const struct config_parameters *parameters)
{
	msgpack_pack_array(packer, 5);
	msgpack_pack_uint64(packer, TEAM_FORMAT_VERSION);
	msgpack_field_pack_text(packer, team->template_name);
	msgpack_field_pack_text(packer, team->budget);
	msgpack_pack_array(packer, team->key_count);
	for (size_t i = 0; i < team->key_count; i++)
		msgpack_field_pack_bytes(packer, team->key_hashes[i],
					 TGW_KEY_HASH_BYTES);
	msgpack_pack_array(packer, parameters ? 1 : 0);
	if (parameters)
		pack_parameters(packer, parameters);
}

static void read_key_hashes(struct record_reader *reader, struct tgw_team *team)
{
	const msgpack_object_array *array =
		record_reader_array(reader, TGW_TEAM_KEYS_MAX);
	struct record_reader hashes;

	if (reader->status != TGW_OK)
		return;
	hashes = *reader;
	hashes.fields = array->ptr;
	hashes.field_count = array->size;
	hashes.next = 0;
	for (size_t i = 0; i < array->size; i++)
		record_reader_bytes(&hashes, team->key_hashes[i],
				    TGW_KEY_HASH_BYTES);
	team->key_count = array->size;
	reader->status = hashes.status;
}

enum tgw_status config_unpack_team(struct tgw_team *team,
				   struct config_parameters **parameters,
				   const msgpack_object *object,
				   struct tgw_error *error)
{
	struct record_reader reader;
	const msgpack_object_array *array;

	*parameters = NULL;
	record_reader_open(&reader, "a team", object, TEAM_FORMAT_VERSION);
	record_reader_text(&reader, team->template_name,
			   sizeof(team->template_name));
	record_reader_text(&reader, team->budget, sizeof(team->budget));
	read_key_hashes(&reader, team);
	array = record_reader_array(&reader, 1);
	if (reader.status == TGW_OK && array->size) {
		*parameters = xcalloc(1, sizeof(**parameters));
		read_parameters(&reader, *parameters, &array->ptr[0]);
	}
	if (reader.status != TGW_OK) {
		free(*parameters);
		*parameters = NULL;
	}
	return record_reader_finish(&reader, error);
}

void config_pack_server(msgpack_packer *packer, const struct tgw_server *server)
{
	msgpack_pack_array(packer, 11);
	msgpack_pack_uint64(packer, SERVER_FORMAT_VERSION);
	msgpack_field_pack_text(packer, server->failure_domain);
	msgpack_field_pack_text(packer, server->url);
	msgpack_pack_uint64(packer, (uint64_t)server->kind);
	pack_names(packer, &server->models);
	msgpack_field_pack_text(packer, server->service);
	pack_bool(packer, server->can_resume);
	pack_bool(packer, server->can_cancel);
	pack_bool(packer, server->checks_fencing);
	pack_bool(packer, server->draining);
	msgpack_pack_int64(packer, server->slots);
}

enum tgw_status config_unpack_server(struct tgw_server *server,
				     const msgpack_object *object,
				     struct tgw_error *error)
{
	struct record_reader reader;
	uint64_t kind;

	record_reader_open(&reader, "a server", object, SERVER_FORMAT_VERSION);
	record_reader_text(&reader, server->failure_domain,
			   sizeof(server->failure_domain));
	record_reader_text(&reader, server->url, sizeof(server->url));
	kind = record_reader_u64(&reader);
	if (reader.status == TGW_OK && kind > TGW_SERVER_SERVICE)
		reader.status = TGW_CORRUPT;
	server->kind = kind ? TGW_SERVER_SERVICE : TGW_SERVER_MODEL;
	read_names(&reader, &server->models);
	record_reader_text(&reader, server->service, sizeof(server->service));
	server->can_resume = record_reader_bool(&reader);
	server->can_cancel = record_reader_bool(&reader);
	server->checks_fencing = record_reader_bool(&reader);
	server->draining = record_reader_bool(&reader);
	server->slots = record_reader_i64(&reader);
	return record_reader_finish(&reader, error);
}

void config_pack_service(msgpack_packer *packer,
			 const struct tgw_service *service)
{
	msgpack_pack_array(packer, 2);
	msgpack_pack_uint64(packer, SERVICE_FORMAT_VERSION);
	msgpack_pack_array(packer, service->repeatable_count);
	for (size_t i = 0; i < service->repeatable_count; i++)
		msgpack_field_pack_text(packer, service->repeatable[i]);
}

enum tgw_status config_unpack_service(struct tgw_service *service,
				      const msgpack_object *object,
				      struct tgw_error *error)
{
	struct record_reader reader;
	struct record_reader methods;
	const msgpack_object_array *array;

	record_reader_open(&reader, "a service", object,
			   SERVICE_FORMAT_VERSION);
	array = record_reader_array(&reader, TGW_LIST_MAX);
	methods = reader;
	methods.fields = array->ptr;
	methods.field_count = array->size;
	methods.next = 0;
	for (size_t i = 0; i < array->size; i++)
		record_reader_text(&methods, service->repeatable[i],
				   TGW_METHOD_SIZE);
	service->repeatable_count = array->size;
	return record_reader_finish(&methods, error);
}
