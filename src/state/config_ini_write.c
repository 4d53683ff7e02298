#include <sodium.h>

#include "state/config_ini.h"

#define HASH_HEX_SIZE (2 * TGW_KEY_HASH_BYTES + 1)

/* Writes one name per line, so that no line exceeds the limit of
 * config_ini_parse(). */
static void write_names(struct buffer *text, const char *key,
			const struct tgw_name_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		buffer_add_format(text, "%s = %s\n", key, list->names[i]);
}

static void write_number(struct buffer *text, const char *key, int64_t number)
{
	buffer_add_format(text, "%s = %lld\n", key, (long long)number);
}

static void write_flag(struct buffer *text, const char *key, bool flag)
{
	buffer_add_format(text, "%s = %s\n", key, flag ? "yes" : "no");
}

static void write_work_kinds(struct buffer *text,
			     const struct tgw_work_kind *kinds, size_t count)
{
	for (size_t i = 0; i < count; i++)
		buffer_add_format(text, "work.%s = %s, %lld\n", kinds[i].name,
				  tgw_urgency_name(kinds[i].urgency),
				  (long long)kinds[i].deadline_ms);
}

static void write_template(struct buffer *text,
			   const struct tgw_template *template)
{
	write_names(text, "models", &template->models);
	write_names(text, "services", &template->services);
	write_work_kinds(text, template->work_kinds, template->work_kind_count);
	write_number(text, "max_output_tokens", template->max_output_tokens);
	write_number(text, "prompt_fixed_tokens",
		     template->prompt_fixed_tokens);
	write_number(text, "service_call_tokens",
		     template->service_call_tokens);
	write_number(text, "max_open_requests", template->max_open_requests);
}

static void write_parameters(struct buffer *text,
			     const struct config_parameters *parameters)
{
	if (parameters->has_models)
		write_names(text, "models", &parameters->models);
	if (parameters->has_services)
		write_names(text, "services", &parameters->services);
	if (parameters->has_work_kinds)
		write_work_kinds(text, parameters->work_kinds,
				 parameters->work_kind_count);
	if (parameters->max_output_tokens)
		write_number(text, "max_output_tokens",
			     parameters->max_output_tokens);
	if (parameters->max_open_requests)
		write_number(text, "max_open_requests",
			     parameters->max_open_requests);
}

static void write_team(struct buffer *text, const struct config_object *object)
{
	const struct tgw_team *team = object->team;
	char hex[HASH_HEX_SIZE];

	buffer_add_format(text, "template = %s\n", team->template_name);
	buffer_add_format(text, "budget = %s\n", team->budget);
	for (size_t i = 0; i < team->key_count; i++) {
		sodium_bin2hex(hex, sizeof(hex), team->key_hashes[i],
			       TGW_KEY_HASH_BYTES);
		buffer_add_format(text, "key_hash = %s\n", hex);
	}
	if (object->parameters)
		write_parameters(text, object->parameters);
}

static void write_server(struct buffer *text, const struct tgw_server *server)
{
	buffer_add_format(text, "failure_domain = %s\n",
			  server->failure_domain);
	buffer_add_format(text, "url = %s\n", server->url);
	buffer_add_format(text, "kind = %s\n",
			  server->kind == TGW_SERVER_MODEL ? "model"
							   : "service");
	write_names(text, "models", &server->models);
	if (*server->service)
		buffer_add_format(text, "service = %s\n", server->service);
	write_flag(text, "can_resume", server->can_resume);
	write_flag(text, "can_cancel", server->can_cancel);
	write_flag(text, "checks_fencing", server->checks_fencing);
	write_flag(text, "draining", server->draining);
	write_number(text, "slots", server->slots);
}

void config_ini_write(const struct config_object *object, struct buffer *text)
{
	buffer_add_format(text, "[%s %s]\n", config_kind_name(object->kind),
			  object->name);
	switch (object->kind) {
	case CONFIG_TEMPLATE:
		write_template(text, object->template);
		break;
	case CONFIG_TEAM:
		write_team(text, object);
		break;
	case CONFIG_SERVER:
		write_server(text, object->server);
		break;
	default:
		for (size_t i = 0; i < object->service->repeatable_count; i++)
			buffer_add_format(text, "repeatable = %s\n",
					  object->service->repeatable[i]);
		break;
	}
}
