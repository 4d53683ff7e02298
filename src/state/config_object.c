#include "state/config_object.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/msgpack_guard.h"
#include "base/short_name.h"
#include "base/xalloc.h"
#include "state/config_codec.h"
#include "state/config_shard.h"

static const char *const kind_names[CONFIG_KIND_COUNT] = {
	[CONFIG_TEMPLATE] = "template",
	[CONFIG_TEAM] = "team",
	[CONFIG_SERVER] = "server",
	[CONFIG_SERVICE] = "service",
};

const char *config_kind_name(enum config_kind kind)
{
	return kind_names[kind];
}

bool config_kind_parse(const char *name, enum config_kind *kind)
{
	for (int i = 0; i < CONFIG_KIND_COUNT; i++) {
		if (!strcmp(kind_names[i], name)) {
			*kind = (enum config_kind)i;
			return true;
		}
	}
	return false;
}

bool config_name_is_valid(const char *name)
{
	size_t length = strlen(name);

	return length > 0 && length < TGW_NAME_SIZE &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			    "0123456789._-") == length;
}

static struct config_object *new_object(enum config_kind kind)
{
	struct config_object *object = xcalloc(1, sizeof(*object));

	object->references = 1;
	object->kind = kind;
	return object;
}

static void set_body(struct config_object *object, const char *name,
		     const void *body, size_t body_size)
{
	object->name = name;
	object->body = xmemdup(body, body_size);
	object->body_size = body_size;
	object->shard = config_shard_of(object->kind, name);
}

struct config_object *config_object_from_template(
	const struct tgw_template *template)
{
	struct config_object *object = new_object(CONFIG_TEMPLATE);
	msgpack_sbuffer body;
	msgpack_packer packer;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
	config_pack_template(&packer, template);
	object->template = xmemdup(template, sizeof(*template));
	set_body(object, object->template->name, body.data, body.size);
	msgpack_sbuffer_destroy(&body);
	return object;
}

struct config_object *config_object_from_team(
	const struct tgw_team *team, const struct config_parameters *parameters)
{
	struct config_object *object = new_object(CONFIG_TEAM);
	msgpack_sbuffer body;
	msgpack_packer packer;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
	config_pack_team(&packer, team, parameters);
	object->team = xmemdup(team, sizeof(*team));
	object->team->template = NULL;
	if (parameters)
		object->parameters = xmemdup(parameters, sizeof(*parameters));
	set_body(object, object->team->name, body.data, body.size);
	msgpack_sbuffer_destroy(&body);
	return object;
}

struct config_object *config_object_from_server(const struct tgw_server *server)
{
	struct config_object *object = new_object(CONFIG_SERVER);
	msgpack_sbuffer body;
	msgpack_packer packer;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
	config_pack_server(&packer, server);
	object->server = xmemdup(server, sizeof(*server));
	set_body(object, object->server->name, body.data, body.size);
	msgpack_sbuffer_destroy(&body);
	return object;
}

struct config_object *config_object_from_service(
	const struct tgw_service *service)
{
	struct config_object *object = new_object(CONFIG_SERVICE);
	msgpack_sbuffer body;
	msgpack_packer packer;

	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
	config_pack_service(&packer, service);
	object->service = xmemdup(service, sizeof(*service));
	set_body(object, object->service->name, body.data, body.size);
	msgpack_sbuffer_destroy(&body);
	return object;
}

/* Allocates the union's member for the kind, sets the name and unpacks the
 * fields. The member and the name are set even when the unpacking fails. */
static enum tgw_status decode_member(struct config_object *object,
				     const char *name,
				     const msgpack_object *fields,
				     struct tgw_error *error)
{
	switch (object->kind) {
	case CONFIG_TEMPLATE:
		object->template = xcalloc(1, sizeof(*object->template));
		short_name_copy(object->template->name, name);
		object->name = object->template->name;
		return config_unpack_template(object->template, fields, error);
	case CONFIG_TEAM:
		object->team = xcalloc(1, sizeof(*object->team));
		short_name_copy(object->team->name, name);
		object->name = object->team->name;
		return config_unpack_team(object->team, &object->parameters,
					  fields, error);
	case CONFIG_SERVER:
		object->server = xcalloc(1, sizeof(*object->server));
		short_name_copy(object->server->name, name);
		object->name = object->server->name;
		return config_unpack_server(object->server, fields, error);
	case CONFIG_SERVICE:
		object->service = xcalloc(1, sizeof(*object->service));
		short_name_copy(object->service->name, name);
		object->name = object->service->name;
		return config_unpack_service(object->service, fields, error);
	default:
		return tgw_error_set(error, TGW_CORRUPT,
				     "the kind of the object is unknown");
	}
}

struct config_object *config_object_decode(enum config_kind kind,
					   const char *name, const void *body,
					   size_t body_size,
					   struct tgw_error *error)
{
	struct config_object *object = NULL;
	struct tgw_error cause;
	msgpack_unpacked unpacked;
	size_t end = 0;

	msgpack_unpacked_init(&unpacked);
	tgw_error_set(
		&cause, TGW_CORRUPT,
		"the packed fields are not a single MessagePack value of at "
		"most %d bytes",
		CONFIG_BODY_MAX_BYTES);
	if (!config_name_is_valid(name)) {
		tgw_error_set(&cause, TGW_CORRUPT, "the name is not valid");
		goto out;
	}
	if (body_size > CONFIG_BODY_MAX_BYTES ||
	    msgpack_guard_next(&unpacked, body, body_size, &end) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    end != body_size)
		goto out;
	object = new_object(kind);
	if (decode_member(object, name, &unpacked.data, &cause) == TGW_OK) {
		set_body(object, object->name, body, body_size);
		goto done;
	}
	config_object_unref(object);
	object = NULL;
out:
	tgw_error_set(error, cause.status, "%s %.*s: %s",
		      config_kind_name(kind), TGW_NAME_SIZE, name,
		      cause.message);
done:
	msgpack_unpacked_destroy(&unpacked);
	return object;
}

struct config_object *config_object_ref(struct config_object *object)
{
	object->references++;
	return object;
}

void config_object_unref(struct config_object *object)
{
	if (!object || --object->references)
		return;
	free(object->body);
	free(object->parameters);
	switch (object->kind) {
	case CONFIG_TEMPLATE:
		free(object->template);
		break;
	case CONFIG_TEAM:
		free(object->team);
		break;
	case CONFIG_SERVER:
		free(object->server);
		break;
	default:
		free(object->service);
		break;
	}
	free(object);
}

int config_object_compare(enum config_kind kind_a, const char *name_a,
			  enum config_kind kind_b, const char *name_b)
{
	if (kind_a != kind_b)
		return kind_a < kind_b ? -1 : 1;
	return strcmp(name_a, name_b);
}

bool config_object_equals(const struct config_object *a,
			  const struct config_object *b)
{
	if (!a || !b)
		return a == b;
	return a->kind == b->kind && !strcmp(a->name, b->name) &&
	       a->body_size == b->body_size &&
	       !memcmp(a->body, b->body, a->body_size);
}
